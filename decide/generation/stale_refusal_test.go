package generation_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// Guards against a stream that ends, or waits, after the loss of its run, because an earlier replacement of that run was refused with a time to come
// back that is over.
func TestOldRefusalEndsAStream(t *testing.T) {
	for _, code := range []vaneyoke.Code{vaneyoke.CodeWithheld, vaneyoke.CodePushedBack, vaneyoke.CodeOverloaded} {
		for name, goesOnFor := range map[string]time.Duration{"with time left": 4 * time.Second, "close to its deadline": 7 * time.Second} {
			t.Run(code.String()+", "+name, func(t *testing.T) {
				const retryAfter = 3 * time.Second
				o := newSilentStream(t, "")
				place := find[generation.Place](t, placeAgain(o))
				must.SliceEmpty(t, o.handle(generation.NotPlaced{Attempt: place.Attempt, Code: code, RetryAfter: retryAfter}))
				until := o.now.Add(goesOnFor)
				for at := vaneyoke.Tokens(2); o.now.Before(until); at++ {
					o.now = o.now.Add(100 * time.Millisecond)
					o.chunkOf(1, at)
				}
				lost := o.handle(generation.Lost{Attempt: 1, Cause: generation.CauseClosed})
				must.False(t, has[generation.Fail](lost))
				must.EqOp(t, 0, find[generation.Place](t, lost).Delay)
			})
		}
	}
}

// Guards against a request that is refused although its run was declined, because an earlier replacement of that run was refused.
func TestOldRefusalEndsARequestThatHasNotRun(t *testing.T) {
	o := newOpaqueAnswer(t, func(c *generation.Config) { c.ProbeEvery, c.Silence.FirstToken = 0, firstTokenLimit })
	o.place(o.handle(generation.Admitted{}), "e1", "")
	place := find[generation.Place](t, o.silentFor(2*time.Second))
	must.SliceEmpty(t, o.handle(generation.NotPlaced{Attempt: place.Attempt, Code: vaneyoke.CodeRetryExhausted}))
	declined := o.handle(generation.Lost{Attempt: 1, Cause: generation.CauseDeclined})
	must.False(t, has[generation.Fail](declined))
	must.True(t, has[generation.Place](declined))
}
