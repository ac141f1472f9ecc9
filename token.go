package vaneyoke

// TokenID is a token's number in its model's vocabulary.
type TokenID int32

// Tokens is a count of tokens.
type Tokens int

// Batch is a sequence of tokens that an engine sent in one event, with their text.
type Batch struct {
	First Tokens    // index of the first token within the answer
	IDs   []TokenID // one id for each token
	Text  []byte    // text of the whole batch; empty while the engine holds back an incomplete UTF-8 character
}

// End returns the index after the last token of the batch.
func (b Batch) End() Tokens { return b.First + Tokens(len(b.IDs)) }
