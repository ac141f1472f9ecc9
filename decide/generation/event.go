package generation

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Admitted says that the request passed admission control; it is the first event.
type Admitted struct{}

// Placed names the upstream that was chosen for an attempt.
type Placed struct {
	Attempt      vaneyoke.Attempt
	Upstream     vaneyoke.UpstreamID
	ExpectedTTFT time.Duration       // expected time to first token; 0 for unknown
	HoldsReplica bool                // whether the upstream holds the replica that Place preferred
	Replica      vaneyoke.UpstreamID // upstream that is to keep a replica of the run's KV cache; "" for none
}

// Forecast holds what recent answers say about this one; a zero field is unknown. It applies to the events that follow it.
type Forecast struct {
	FirstChunk time.Duration   // from the start of a run to its first chunk on a fast upstream; for a call, to its answer
	ChunkGap   time.Duration   // between two chunks from a fast upstream
	Chunks     vaneyoke.Tokens // least number of chunks of the whole answer
}

// TailInspected answers InspectTail.
type TailInspected struct {
	Attempt  vaneyoke.Attempt
	Buffered vaneyoke.Tokens // tokens at the end whose text the lost engine buffered
}

// NotPlaced says that no upstream can take the attempt now.
type NotPlaced struct {
	Attempt    vaneyoke.Attempt
	Code       vaneyoke.Code
	RetryAfter time.Duration // 0 if the placement gives no time
	IsRefused  bool          // whether the request may not be sent to any upstream any more
}

// Sent says that an attempt has got to its upstream: an opaque one is connected and about to be sent, a stream of tokens is open, a unary call is begun.
type Sent struct{ Attempt vaneyoke.Attempt }

// RunReported answers QueryRun.
type RunReported struct {
	Attempt  vaneyoke.Attempt
	State    vaneyoke.RunState
	Produced vaneyoke.Tokens // chunks of the answer that the upstream has produced; 0 if it does not say
}

// Probed answers Probe.
type Probed struct {
	Attempt vaneyoke.Attempt
	Alive   bool
}

// PromptTokenized holds the prompt's token ids as tokenized by an attempt's engine.
type PromptTokenized struct {
	Attempt vaneyoke.Attempt
	IDs     []vaneyoke.TokenID
}

// Received is a batch of tokens from an attempt's stream, or an opaque event.
type Received struct {
	Attempt vaneyoke.Attempt
	Batch   vaneyoke.Batch
	Number  vaneyoke.EventNumber // of an opaque event of a stream
}

// Ended says that an attempt's stream ended normally.
type Ended struct {
	Attempt     vaneyoke.Attempt
	Reason      vaneyoke.FinishReason
	Unconfirmed bool // whether only its connection says so, which closes in the same way if the upstream ends within an answer; one that brought nothing has not ended
}

// Lost says that an attempt failed or its stream broke off.
type Lost struct {
	Attempt vaneyoke.Attempt
	Cause   Cause
}

// Paused says that an attempt's stream is not read because its caller does not read the answer, or that it is read again.
type Paused struct {
	Attempt vaneyoke.Attempt
	Paused  bool
}

// Unsent says that an attempt that was started has not been sent to its upstream, and will not be.
type Unsent struct{ Attempt vaneyoke.Attempt }

// Rejected says that an engine refused the request as invalid, as any other engine would.
type Rejected struct {
	Attempt vaneyoke.Attempt
	Detail  string
}

// CallerGone says that the caller disconnected.
type CallerGone struct{}

// NodeStopping says that the node is stopping and that the answer has to end now.
type NodeStopping struct {
	KeepRuns bool // whether the runs are left running for another node to continue the answer
}

// Quarantined says that the request's content crashes the upstreams that run it, so that it is not sent to any more of them.
type Quarantined struct{ RetryAfter time.Duration }

// Broken says that the node has found a fault in itself, so that nothing more is known of the attempts.
type Broken struct{}

// Suspended says that the VM was suspended for a time that the clocks of the node did not count but the caller's did.
type Suspended struct{ For time.Duration }

// Superseded says that another node has taken over the answer.
type Superseded struct{}

// Tick says that the time returned by NextTick has come.
type Tick struct{}

func (Admitted) event()        {}
func (Placed) event()          {}
func (Forecast) event()        {}
func (TailInspected) event()   {}
func (Sent) event()            {}
func (RunReported) event()     {}
func (Probed) event()          {}
func (NotPlaced) event()       {}
func (PromptTokenized) event() {}
func (*Received) event()       {}
func (Ended) event()           {}
func (Lost) event()            {}
func (Paused) event()          {}
func (Unsent) event()          {}
func (Rejected) event()        {}
func (CallerGone) event()      {}
func (NodeStopping) event()    {}
func (Quarantined) event()     {}
func (Broken) event()          {}
func (Suspended) event()       {}
func (Superseded) event()      {}
func (Tick) event()            {}

// Cause is the reason why an attempt was lost.
type Cause int

// The causes of a loss.
const (
	CauseNotSent     Cause = iota + 1 // the engine did not get the request, or reported that it did not run it
	CauseClosed                       // the connection closed before the end of the stream
	CauseMalformed                    // the stream violated the protocol
	CauseNoStream                     // the engine does not know the stream to resume
	CauseSilent                       // the stream fell silent
	CauseDeclined                     // the upstream got the request and reported that it did not run it
	CauseFailed                       // the upstream answered with a failure
	CauseGone                         // the address now belongs to another upstream
	CauseUnreachable                  // the upstream did not answer a probe
	CauseRestarted                    // the upstream, or the one that began the answer, had restarted, perhaps with another software version, before it was sent its attempt
)

// String returns the cause as it is logged.
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
	case CauseRestarted:
		return "restarted"
	default:
		return "unknown"
	}
}

// mayHaveRun reports whether an engine may have run an attempt that was lost for this cause.
func (c Cause) mayHaveRun() bool {
	return c != CauseNotSent && c != CauseDeclined && c != CauseGone
}
