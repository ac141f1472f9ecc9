package vaneyoke

// TokenID is a token's number in its model's vocabulary.
type TokenID int32

// Tokens is a count of tokens.
type Tokens int

// Batch is a run of tokens that an engine sent together with the text they stand for.
type Batch struct {
	First Tokens    // index within the answer of the first token
	IDs   []TokenID // one id for each token
	Text  []byte    // text of the whole batch; empty while the engine holds back an unfinished character
}

// End returns the index after the batch's last token.
func (b Batch) End() Tokens { return b.First + Tokens(len(b.IDs)) }
