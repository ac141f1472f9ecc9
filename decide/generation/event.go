package generation

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Event is something that happened to a generation.
type Event interface{ event() }

// Admitted says that the request may start; it is the first event.
type Admitted struct{}

// Placed names the upstream that was chosen for an attempt.
type Placed struct {
	Attempt      vaneyoke.Attempt
	Upstream     vaneyoke.UpstreamID
	Expect       time.Duration       // expected time to the first token; 0 where unknown
	HoldsReplica bool                // whether the upstream has the replica that Place asked for
	Replica      vaneyoke.UpstreamID // upstream that is to keep a replica of the run's memory; "" for none
}

// Inspected answers Inspect.
type Inspected struct {
	Attempt vaneyoke.Attempt
	Held    vaneyoke.Tokens // tokens at the end whose text was held back
}

// NotPlaced says that no upstream can take an attempt now.
type NotPlaced struct {
	Attempt    vaneyoke.Attempt
	Code       vaneyoke.Code
	RetryAfter time.Duration // 0 where the placement gives no time
}

// Asked says what an upstream tells of an attempt's run, in answer to Ask.
type Asked struct {
	Attempt vaneyoke.Attempt
	Work    vaneyoke.RunState
	Made    vaneyoke.Tokens // pieces of the answer that the upstream has made; 0 where it does not say
}

// Probed answers Probe.
type Probed struct {
	Attempt vaneyoke.Attempt
	Alive   bool
}

// PromptRead gives the prompt's token ids as an attempt's engine read them.
type PromptRead struct {
	Attempt vaneyoke.Attempt
	IDs     []vaneyoke.TokenID
}

// Received is a batch of tokens from an attempt's stream.
type Received struct {
	Attempt vaneyoke.Attempt
	Batch   vaneyoke.Batch
}

// Ended says that an attempt's stream came to its own end.
type Ended struct {
	Attempt vaneyoke.Attempt
	Reason  vaneyoke.FinishReason
}

// Lost says that an attempt's stream broke off.
type Lost struct {
	Attempt vaneyoke.Attempt
	Cause   Cause
}

// Rejected says that an engine refused the request as wrong, which no other engine would mend.
type Rejected struct {
	Attempt vaneyoke.Attempt
	Detail  string
}

// CallerGone says that nobody waits for the answer any more.
type CallerGone struct{}

// Interrupted says that the node ends, and that the caller must have its last word now.
type Interrupted struct {
	RunsOn bool // whether the runs are left for another node to go on with
}

// Quarantined says that what the request asks ends the upstreams that run it, so that it is sent to none any more.
type Quarantined struct{ RetryAfter time.Duration }

// Suspended says that the VM stood still for a while that no clock of the node has counted, and the caller's has.
type Suspended struct{ For time.Duration }

// Superseded says that another node goes on with the answer.
type Superseded struct{}

// Tick says that the time returned by Deadline has come.
type Tick struct{}

func (Admitted) event()    {}
func (Placed) event()      {}
func (Inspected) event()   {}
func (Asked) event()       {}
func (Probed) event()      {}
func (NotPlaced) event()   {}
func (PromptRead) event()  {}
func (*Received) event()   {}
func (Ended) event()       {}
func (Lost) event()        {}
func (Rejected) event()    {}
func (CallerGone) event()  {}
func (Interrupted) event() {}
func (Quarantined) event() {}
func (Suspended) event()   {}
func (Superseded) event()  {}
func (Tick) event()        {}

// Cause says how an attempt was lost.
type Cause int

// The causes of a loss.
const (
	CauseNotSent     Cause = iota + 1 // the engine never got the request, or said that it did not run it
	CauseClosed                       // the stream closed before its end
	CauseMalformed                    // the stream broke its protocol
	CauseNoStream                     // the engine knows no such stream to resume
	CauseSilent                       // the stream fell silent
	CauseDeclined                     // the upstream got the request, and said that it did not run it
	CauseFailed                       // the upstream answered that it failed
	CauseGone                         // another upstream has the address of the one that was meant
	CauseUnreachable                  // the upstream did not answer a probe
)

// String returns the cause as it stands in logs.
func (c Cause) String() string {
	switch c {
	case CauseNotSent:
		return "not_sent"
	case CauseClosed:
		return "closed"
	case CauseMalformed:
		return "malformed"
	case CauseNoStream:
		return "no_stream"
	case CauseSilent:
		return "silent"
	case CauseDeclined:
		return "declined"
	case CauseFailed:
		return "failed"
	case CauseGone:
		return "gone"
	case CauseUnreachable:
		return "unreachable"
	default:
		return "unknown"
	}
}

// mayHaveRun reports whether an engine may have run an attempt that was lost for the cause.
func (c Cause) mayHaveRun() bool {
	return c != CauseNotSent && c != CauseDeclined && c != CauseGone
}
