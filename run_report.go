package vaneyoke

import "time"

// RunState is the state of a run, as its upstream reports it when asked.
type RunState int

// The states of a run; a dead upstream does not answer, which gives RunStateUnknown.
const (
	RunStateUnknown RunState = iota // the upstream did not answer
	RunStateNone                    // the upstream does not know the run
	RunStateQueued                  // the upstream has queued requests or prompts in prefill, and does not say which; the run may be one of them
	RunStateRunning                 // the upstream works on the run
)

// String returns the state as written to logs.
func (s RunState) String() string {
	switch s {
	case RunStateNone:
		return "none"
	case RunStateQueued:
		return "queued"
	case RunStateRunning:
		return "running"
	default:
		return "unknown"
	}
}

// LoadReport is the load that an upstream reported a short while ago.
type LoadReport struct {
	PendingPrompts int // prompts that are queued or in prefill
	Runs           int // runs in progress, including those in prefill
	// KVInUse is the KV cache memory that cannot be freed for a new prompt, including replicas; KVSize is the total. Both are 0 if not reported.
	KVInUse, KVSize Tokens
	// Incarnation is the upstream's current incarnation; 0 if not reported.
	Incarnation Incarnation
	AskedAt     time.Time // when the node asked for it, which is before any of it was stated; zero if not known
}
