package vaneyoke

// RunState is what an upstream, when asked, says that it does for a run.
type RunState int

// What an upstream may say; a dead one says nothing.
const (
	RunStateUnknown RunState = iota // it did not answer
	RunStateNone                // it does not know the run
	RunStateQueued              // it has requests queued or reads prompts, which it does not name; this one may be among them
	RunStateRunning             // it runs it
)

// String returns what is said as it stands in logs.
func (w RunState) String() string {
	switch w {
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

// LoadReport is what an upstream tells of its work, as of a short while ago.
type LoadReport struct {
	PendingPrompts int // that it has still to read
	Runs    int // that it works on, those whose prompt it reads among them
	// KVInUse is the memory that cannot give way to a new prompt, replicas among it, and KVSize all that there is; 0 where it does not say.
	KVInUse, KVSize Tokens
	// Incarnation tells which of its lives this is; 0 where it does not say.
	Incarnation Incarnation
}
