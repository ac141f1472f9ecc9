package vaneyoke

// FinishReason says why an answer ended, as the OpenAI API spells it.
type FinishReason string

// The finish reasons that the node itself interprets.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Usage counts the tokens of one answer as a run without interruptions would report them.
type Usage struct {
	Prompt     Tokens
	Completion Tokens
}
