package generation

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// stage is the progress of a run.
type stage int

const (
	stagePlacing stage = iota + 1
	stageStarted
	stageStreaming
)

// run is one live attempt.
type run struct {
	attempt          vaneyoke.Attempt
	stream           vaneyoke.Attempt // the attempt that started the stream; the engine knows the stream by its number
	upstream         vaneyoke.UpstreamID
	stage            stage
	sent             bool               // whether it was started
	connecting       bool               // whether it is an opaque run of which nothing has been sent yet
	resumed          bool               // attached to the stream of an earlier attempt
	pending          []vaneyoke.TokenID // received, but not accepted yet: their text ends within a character
	placedAt         time.Time
	probing          bool          // whether a probe is in flight
	aliveAt          time.Time     // when the upstream last answered a probe, or the run was placed
	queries          int           // queries for the run's state since the last batch
	queriedAt        time.Time     // when the last of them was sent
	aheadReports     int           // consecutive reports of chunks that were produced but have not arrived
	expectedTTFT     time.Duration // expected time to first token
	gaps             gapEstimate
	replica          vaneyoke.UpstreamID // keeps a replica of the run's KV cache; "" for none
	fromReplica      bool                // whether it continues from a replica of a lost run's KV cache
	paused           bool                // whether its stream is not read, so that its silence means nothing
	kept             bool                // silent for longer than its limit, but no other attempt could complete the answer
	suspect          bool                // silent for longer than its limit; a second attempt races it if one could be started
	successor        vaneyoke.Attempt    // that is being placed to replace it; 0 for none
	handoverAt       time.Time           // when it ends because its successor was sent; zero if that has not been sent
	givenUpFor       Cause               // why it is to be replaced; 0 if it is not
	unreachableSince time.Time           // when its upstream was first not reached since it last was; zero if it is
	refusals         int                 // of its successors since its last batch
	waitUntil        time.Time           // before which no other successor is asked for; zero for none
}

// lossCause returns the cause of a loss, given why the run is given up: one that is ended while it connects is not sent any more.
func (r *run) lossCause(cause Cause) Cause {
	if r.connecting && (cause == CauseSilent || cause == CauseUnreachable) {
		return CauseNotSent
	}
	return cause
}

// cancel returns the effect that ends the run.
func (r *run) cancel(stop bool, cause Cause) Cancel {
	return Cancel{Attempt: r.attempt, Upstream: r.upstream, Stream: r.stream, Stop: stop, Cause: cause}
}

// nextIndex returns the index of the next token that the run has to send, given the number of accepted tokens.
func (r *run) nextIndex(accepted vaneyoke.Tokens) vaneyoke.Tokens {
	return accepted + vaneyoke.Tokens(len(r.pending))
}
