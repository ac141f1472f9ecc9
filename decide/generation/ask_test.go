package generation_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

const (
	askedPause = 700 * time.Millisecond
	askedFirst = time.Second                 // in which a first piece is to come
	askedAnew  = 2*askedPause + 2*askedFirst // for which a run may stand still that would have to be read anew
)

// begun returns a stream that has given two pieces, 30 ms apart, and has fallen silent since.
func begun(t *testing.T, replica vaneyoke.UpstreamID) *opaque {
	o := newOpaque(t, func(c *generation.Config) {
		c.AskSilent, c.ProbeEvery, c.LastWaits, c.Pause = 2, 0, true, askedPause
		c.Silence = generation.Silence{
			FirstToken: askedFirst, Floor: askedPause / 6, Ceiling: askedPause / 3, Deviations: 8, Usual: 1.5, Patience: 1,
		}
	})
	o.place(o.handle(generation.Admitted{}), "e1", replica)
	o.piece(0)
	o.now = o.now.Add(30 * time.Millisecond)
	o.piece(1)
	return o
}

// TestSilentStreamIsAskedAbout has an engine fall silent within a stream, and say different things when it is asked.
func TestSilentStreamIsAskedAbout(t *testing.T) {
	type says struct {
		work vaneyoke.RunState
		made vaneyoke.Tokens
	}
	running := says{vaneyoke.RunStateRunning, 2}
	cases := map[string]struct {
		replica vaneyoke.UpstreamID
		answers []says        // in turn, the last for all further questions
		lost    time.Duration // silence within which the run is given up
		early   time.Duration // silence before which it is not
	}{
		"it does not answer":                 {"e2", []says{{vaneyoke.RunStateUnknown, 0}}, askedPause / 2, 0},
		"it does not answer, no replica":     {"", []says{{vaneyoke.RunStateUnknown, 0}}, askedPause / 2, 0},
		"it answers once, then no more":      {"e2", []says{running, {vaneyoke.RunStateUnknown, 0}}, askedPause, 0},
		"it works, with a replica":           {"e2", []says{running}, 3 * askedPause, 2 * askedPause},
		"it works, without a replica":        {"", []says{running}, askedAnew + askedPause, askedAnew},
		"its account is older than the last": {"", []says{{vaneyoke.RunStateRunning, 1}}, askedAnew + askedPause, askedAnew},
		"it does not know the run":           {"", []says{{vaneyoke.RunStateNone, 0}}, 2 * askedPause, askedPause},
		"it has put the run back":            {"e2", []says{{vaneyoke.RunStateQueued, 0}}, 2 * askedPause, askedPause},
		"it has put it back, no replica":     {"", []says{{vaneyoke.RunStateQueued, 0}}, askedAnew + askedPause, askedAnew},
		"pieces are on their way":            {"e2", []says{{vaneyoke.RunStateRunning, 3}, running}, 3 * askedPause, 2 * askedPause},
		"pieces went into a dead connection": {"e2", []says{{vaneyoke.RunStateRunning, 3}, {vaneyoke.RunStateRunning, 9}}, askedPause, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := begun(t, tc.replica)
			last := o.now
			for n := 0; ; n++ {
				o.now = o.state.Deadline()
				effects := o.handle(generation.Tick{})
				must.EqOp(t, "e1", find[generation.Ask](t, effects).Upstream) // never given up unasked
				answer := tc.answers[min(n, len(tc.answers)-1)]
				effects = o.handle(generation.Asked{Attempt: o.last, Work: answer.work, Made: answer.made})
				if has[generation.Cancel](effects) {
					silent := o.now.Sub(last)
					must.Between(t, tc.early, silent, tc.lost)
					must.EqOp(t, tc.replica, find[generation.Place](t, effects).Prefer)
					return
				}
			}
		})
	}
}

// TestPieceEndsTheSuspicion has a piece come while the engine is asked, and counts questions anew after it.
func TestPieceEndsTheSuspicion(t *testing.T) {
	o := begun(t, "e2")
	o.now = o.state.Deadline()
	find[generation.Ask](t, o.handle(generation.Tick{}))
	o.handle(generation.Asked{Attempt: o.last, Work: vaneyoke.RunStateRunning, Made: 3})
	o.piece(2)
	must.SliceEmpty(t, o.handle(generation.Asked{Attempt: o.last, Work: vaneyoke.RunStateUnknown}))
	o.now = o.state.Deadline()
	find[generation.Ask](t, o.handle(generation.Tick{}))
	must.SliceEmpty(t, o.handle(generation.Asked{Attempt: o.last, Work: vaneyoke.RunStateRunning, Made: 4})) // the first in a row
}

// TestSlowStreamIsAskedAboutSeldom has pieces come evenly, further apart than a silence that calls for a question at first.
func TestSlowStreamIsAskedAboutSeldom(t *testing.T) {
	o := begun(t, "e2")
	const gap = 400 * time.Millisecond
	asked := 0
	const pieces, learned = 22, 14 // after so many it is known that its pieces are far apart
	for n := range pieces {
		end := o.now.Add(gap)
		for o.state.Deadline().Before(end) {
			o.now = o.state.Deadline()
			find[generation.Ask](t, o.handle(generation.Tick{}))
			o.handle(generation.Asked{Attempt: o.last, Work: vaneyoke.RunStateRunning, Made: vaneyoke.Tokens(n + 2)})
			if n > learned {
				asked++
			}
		}
		o.now = end
		o.piece(vaneyoke.Tokens(n + 2))
	}
	must.Zero(t, asked)
	must.EqOp(t, pieces+2, o.state.Transcript().Len())
}
