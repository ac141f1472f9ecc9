package generation

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Effect is an action for the caller of Handle, which carries effects out in order.
type Effect interface{ effect() }

// Place asks for an upstream for an attempt; Placed or NotPlaced answers it.
type Place struct {
	Attempt vaneyoke.Attempt
	Avoid   []vaneyoke.UpstreamID // upstreams that lost an attempt since the last accepted token, latest last
	Prefer  vaneyoke.UpstreamID   // upstream that holds a replica of the lost run's KV cache; "" for none
	Delay   time.Duration         // delay before an upstream is chosen
	Retry   bool                  // whether the attempt counts against the retry budget
	// Replicate says whether the run could be continued from a replica of its KV cache.
	Replicate bool
}

// NotBegun says that an attempt is not begun, or a replica not kept, because it could not be of use.
type NotBegun struct {
	Attempt       vaneyoke.Attempt
	Reason        Reason
	Remaining     time.Duration // until the deadline
	ExpectedFirst time.Duration // expected time to the first chunk; 0 for unknown
	ExpectedRest  time.Duration // expected time from then to the end of the answer; 0 for unknown
	FromReplica   bool          // whether a replica holds the prompt, so that it would not have been read again
}

// GivenUp says that the runs of an answer are ended because they can no longer complete it before the deadline.
type GivenUp struct {
	Attempt      vaneyoke.Attempt
	Remaining    time.Duration // until the deadline
	ExpectedRest time.Duration // expected time for the chunks that are missing
}

// InspectTail asks an engine how many of the answer's last tokens have text that the detokenizer buffers, because it ends within a
// character.
type InspectTail struct {
	Attempt  vaneyoke.Attempt
	Upstream vaneyoke.UpstreamID
	IDs      []vaneyoke.TokenID // the answer so far
}

// Suspect says that a run is silent or its upstream not reached, and that it goes on until another attempt takes over.
type Suspect struct {
	Attempt  vaneyoke.Attempt
	Upstream vaneyoke.UpstreamID
	Cause    Cause
}

// Probe checks whether an attempt's upstream is alive.
type Probe struct {
	Attempt  vaneyoke.Attempt
	Upstream vaneyoke.UpstreamID
}

// QueryRun asks an upstream for the state of an attempt's run.
type QueryRun struct {
	Attempt   vaneyoke.Attempt
	Upstream  vaneyoke.UpstreamID
	SilentFor time.Duration // since the last batch, or since the attempt was placed
	HasOutput bool          // whether a batch has arrived
}

// Start sends an attempt to its upstream.
type Start struct {
	Attempt     vaneyoke.Attempt
	Upstream    vaneyoke.UpstreamID
	Prefix      []vaneyoke.TokenID  // prompt and answer so far; nil for a run from the caller's own prompt
	From        vaneyoke.Tokens     // index within the answer of the attempt's first token
	Replica     vaneyoke.UpstreamID // upstream that is to keep a replica of the run's KV cache; "" for none
	FromReplica bool                // whether the upstream holds a replica of the lost run's KV cache
}

// Resume attaches an attempt to the stream that an earlier attempt started.
type Resume struct {
	Attempt  vaneyoke.Attempt
	Upstream vaneyoke.UpstreamID
	Stream   vaneyoke.Attempt // the attempt that started the stream
	From     vaneyoke.Tokens  // index within the answer of the first token to send
}

// Spliced says that the first event of an attempt follows one of another attempt.
type Spliced struct {
	Attempt vaneyoke.Attempt
	Splice  Splice
	After   vaneyoke.EventNumber // of the last event before it
	Number  vaneyoke.EventNumber
}

// Cancel ends an attempt; whatever it still sends is dropped.
type Cancel struct {
	Attempt  vaneyoke.Attempt
	Upstream vaneyoke.UpstreamID
	Stream   vaneyoke.Attempt // the attempt that started the stream
	Stop     bool             // whether the engine is told to stop the run
	Cause    Cause            // why the attempt was lost; 0 if it was not
}

// Deliver says that the transcript has new tokens for the caller.
type Deliver struct{}

// Finish ends the answer successfully.
type Finish struct {
	Reason vaneyoke.FinishReason
	Usage  vaneyoke.Usage
}

// Fail ends the answer with a result code; tokens that were delivered remain valid.
type Fail struct {
	Code       vaneyoke.Code
	RetryAfter time.Duration
	Detail     string
}

func (Place) effect()       {}
func (NotBegun) effect()    {}
func (GivenUp) effect()     {}
func (InspectTail) effect() {}
func (Probe) effect()       {}
func (Suspect) effect()     {}
func (QueryRun) effect()    {}
func (Start) effect()       {}
func (Resume) effect()      {}
func (Spliced) effect()     {}
func (Cancel) effect()      {}
func (Deliver) effect()     {}
func (Finish) effect()      {}
func (Fail) effect()        {}
