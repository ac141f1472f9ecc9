package vaneyoke

// FinishReason says why an answer ended, in the words of the OpenAI API.
type FinishReason string

// The reasons that the node itself has to know.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Usage counts the tokens of one answer as an undisturbed run would.
type Usage struct {
	Prompt     Tokens
	Completion Tokens
}
