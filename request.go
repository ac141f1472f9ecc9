package vaneyoke

import "time"

// Endpoint is the form in which the caller asked for a generation.
type Endpoint int

// The endpoints of the caller API that run generations.
const (
	EndpointChat Endpoint = iota + 1
	EndpointCompletions
)

// Request is one generation as the caller asked for it.
type Request struct {
	ID           RequestID
	Content      ContentID // "" if repeats of the request are not tracked
	Workspace    WorkspaceID
	Endpoint     Endpoint
	Model        ModelID
	Stream       bool
	IncludeUsage bool      // the caller asked for usage figures at the end of the stream
	Repeatable   bool      // false if the request may run at most once
	Continuable  bool      // false if only a run from the first token gives a correct answer
	Fields       Fields    // every field of the caller's body, including those unknown to the node
	Prompt       []TokenID // set if the caller sent the prompt as token ids
	MaxTokens    Tokens    // 0 if the caller set no limit
	MinTokens    Tokens    // 0 if the caller set no minimum
	Stop         []string  // stop strings, matched by the node
	IncludeStop  bool      // whether a matched stop string stays in the answer
	PromptBytes  int       // size of the prompt as sent; estimates the prefill work
	Kind         string    // kind of request, chosen by the caller

	Order         []Selector    // upstreams in order of preference; nil for any
	Priority      int           // passed on to the engine; lower values are served first
	Rule          string        // policy and rule that matched, "" for none
	Recovery      Recovery      // cost that is acceptable for recovering a lost attempt
	MaxWait       time.Duration // maximum wait for an upstream; it starts anew for each continuation
	ReceivedAt    time.Time
	TraceParent   string
	IdempotentKey string
}
