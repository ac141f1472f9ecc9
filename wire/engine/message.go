package engine

import "github.com/vaneyoke/vaneyoke"

// Message is one message of an engine's stream: Prompt, *Tokens or End.
type Message interface{ message() }

// Prompt carries the prompt's token ids as the engine tokenized it.
type Prompt struct{ IDs []vaneyoke.TokenID }

// Tokens carries the next tokens; its batch is valid until the next message is read.
type Tokens struct{ Batch vaneyoke.Batch }

// End carries the run's finish reason.
type End struct{ Reason vaneyoke.FinishReason }

func (Prompt) message()  {}
func (*Tokens) message() {}
func (End) message()     {}
