package generation_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// refuseByLimit answers a Place with the refusal that all upstreams have reached their rate limits.
func (o *opaqueAnswer) refuseByLimit(effects []generation.Effect, retryAfter time.Duration) []generation.Effect {
	o.t.Helper()
	o.last = find[generation.Place](o.t, effects).Attempt
	return o.handle(generation.NotPlaced{Attempt: o.last, Code: vaneyoke.CodeWithheld, RetryAfter: retryAfter})
}

// TestFirstAttemptIsRefusedAtOnce checks that a request fails at once, with a retry-after time, when all upstreams have reached their rate
// limits before its first attempt.
func TestFirstAttemptIsRefusedAtOnce(t *testing.T) {
	o := newOpaqueAnswer(t, nil)
	failed := find[generation.Fail](t, o.refuseByLimit(o.handle(generation.Admitted{}), 1200*time.Millisecond))
	must.EqOp(t, vaneyoke.CodeWithheld, failed.Code)
	must.EqOp(t, 1200*time.Millisecond, failed.RetryAfter)
}

// TestLaterAttemptsWaitForRateLimit loses a run when all other upstreams have reached their rate limits: the request waits for the retry-after
// time if enough time is left before its deadline. If not, it fails, and its code must not promise that nothing was run.
func TestLaterAttemptsWaitForRateLimit(t *testing.T) {
	o := newOpaqueAnswer(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.chunk(0)
	effects := o.refuseByLimit(o.lose(generation.CauseClosed), 2*time.Second)
	place := find[generation.Place](t, effects)
	must.EqOp(t, 2*time.Second, place.Delay)
	must.True(t, place.Retry)
	effects = o.refuseByLimit(effects, time.Second)
	must.EqOp(t, time.Second, find[generation.Place](t, effects).Delay)
	start := o.place(effects, "e2", "")
	must.EqOp(t, 1, start.From)

	o = newOpaqueAnswer(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	failed := find[generation.Fail](t, o.refuseByLimit(o.lose(generation.CauseFailed), 5*time.Second)) // of the 10 s before the deadline
	must.EqOp(t, vaneyoke.CodeUpstream, failed.Code)
	must.False(t, failed.Code.Info().NotRun)
}
