package generation_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

const (
	eventIntervalGoal   = 700 * time.Millisecond
	firstTokenLimit     = time.Second                             // before the first chunk
	stallLimitNoReplica = 2*eventIntervalGoal + 2*firstTokenLimit // of a run that would need a second prefill elsewhere
)

// newSilentStream returns a stream that fell silent after two chunks, 30 ms apart.
func newSilentStream(t *testing.T, replica vaneyoke.UpstreamID) *opaqueAnswer {
	o := newOpaqueAnswer(t, func(c *generation.Config) {
		c.MaxRunQueries, c.ProbeEvery, c.KeepLastAttempt, c.EventIntervalGoal = 2, 0, true, eventIntervalGoal
		c.Silence = generation.Silence{
			FirstToken: firstTokenLimit, Floor: eventIntervalGoal / 6, Ceiling: eventIntervalGoal / 3, Deviations: 8, MinMeanGaps: 1.5, Patience: 1,
		}
	})
	o.place(o.handle(generation.Admitted{}), "e1", replica)
	o.chunk(0)
	o.now = o.now.Add(30 * time.Millisecond)
	o.chunk(1)
	return o
}

// TestSilentStreamIsQueriedBeforeItIsGivenUp checks that a stream that falls silent is given up neither without a query of its upstream
// nor, depending on the reports, too early or too late.
func TestSilentStreamIsQueriedBeforeItIsGivenUp(t *testing.T) {
	type report struct {
		state    vaneyoke.RunState
		produced vaneyoke.Tokens
	}
	running := report{vaneyoke.RunStateRunning, 2}
	cases := map[string]struct {
		replica    vaneyoke.UpstreamID
		reports    []report      // in order, the last one for all further queries
		maxSilence time.Duration // the run is given up within this silence
		minSilence time.Duration // and not before this one
	}{
		"no report":                        {"e2", []report{{vaneyoke.RunStateUnknown, 0}}, eventIntervalGoal / 2, 0},
		"no report, no replica":            {"", []report{{vaneyoke.RunStateUnknown, 0}}, eventIntervalGoal / 2, 0},
		"one report, then none":            {"e2", []report{running, {vaneyoke.RunStateUnknown, 0}}, eventIntervalGoal, 0},
		"running, with a replica":          {"e2", []report{running}, 3 * eventIntervalGoal, 2 * eventIntervalGoal},
		"running, without a replica":       {"", []report{running}, stallLimitNoReplica + eventIntervalGoal, stallLimitNoReplica},
		"report older than the last chunk": {"", []report{{vaneyoke.RunStateRunning, 1}}, stallLimitNoReplica + eventIntervalGoal, stallLimitNoReplica},
		"run unknown to the upstream":      {"", []report{{vaneyoke.RunStateNone, 0}}, 2 * eventIntervalGoal, eventIntervalGoal},
		"run requeued, with a replica":     {"e2", []report{{vaneyoke.RunStateQueued, 0}}, 2 * eventIntervalGoal, eventIntervalGoal},
		"run requeued, no replica":         {"", []report{{vaneyoke.RunStateQueued, 0}}, stallLimitNoReplica + eventIntervalGoal, stallLimitNoReplica},
		"chunks in flight":                 {"e2", []report{{vaneyoke.RunStateRunning, 3}, running}, 3 * eventIntervalGoal, 2 * eventIntervalGoal},
		"chunks lost in a dead connection": {"e2", []report{{vaneyoke.RunStateRunning, 3}, {vaneyoke.RunStateRunning, 9}}, eventIntervalGoal, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := newSilentStream(t, tc.replica)
			last := o.now
			for n := 0; ; n++ {
				o.now = o.state.NextTick()
				effects := o.handle(generation.Tick{})
				must.EqOp(t, "e1", find[generation.QueryRun](t, effects).Upstream) // never given up without a query
				reported := tc.reports[min(n, len(tc.reports)-1)]
				effects = o.handle(generation.RunReported{Attempt: o.last, State: reported.state, Produced: reported.produced})
				must.False(t, has[generation.Cancel](effects))
				if has[generation.Suspect](effects) {
					silent := o.now.Sub(last)
					must.Between(t, tc.minSilence, silent, tc.maxSilence)
					must.EqOp(t, tc.replica, find[generation.Place](t, effects).Prefer)
					must.EqOp(t, generation.CauseSilent, o.replace(effects))
					return
				}
			}
		})
	}
}

// TestChunkResetsQueries has a chunk arrive while a query is in flight: the late report must not end the run, and the count of reports that
// the upstream is ahead starts again.
func TestChunkResetsQueries(t *testing.T) {
	o := newSilentStream(t, "e2")
	o.now = o.state.NextTick()
	find[generation.QueryRun](t, o.handle(generation.Tick{}))
	o.handle(generation.RunReported{Attempt: o.last, State: vaneyoke.RunStateRunning, Produced: 3})
	o.chunk(2)
	must.SliceEmpty(t, o.handle(generation.RunReported{Attempt: o.last, State: vaneyoke.RunStateUnknown}))
	o.now = o.state.NextTick()
	find[generation.QueryRun](t, o.handle(generation.Tick{}))
	must.SliceEmpty(t, o.handle(generation.RunReported{Attempt: o.last, State: vaneyoke.RunStateRunning, Produced: 4})) // the first report of this kind since the chunk
}

// TestSteadySlowStreamIsNotQueried sends chunks at an even interval beyond the initial silence limit: once the mean gap has adapted, no
// silence between them may trigger a query.
func TestSteadySlowStreamIsNotQueried(t *testing.T) {
	o := newSilentStream(t, "e2")
	const gap = 400 * time.Millisecond
	queries := 0
	const chunks, warmUp = 22, 14 // the mean gap has adapted after warmUp chunks
	for n := range chunks {
		end := o.now.Add(gap)
		for o.state.NextTick().Before(end) {
			o.now = o.state.NextTick()
			find[generation.QueryRun](t, o.handle(generation.Tick{}))
			o.handle(generation.RunReported{Attempt: o.last, State: vaneyoke.RunStateRunning, Produced: vaneyoke.Tokens(n + 2)})
			if n > warmUp {
				queries++
			}
		}
		o.now = end
		o.chunk(vaneyoke.Tokens(n + 2))
	}
	must.Zero(t, queries)
	must.EqOp(t, chunks+2, o.state.Transcript().Len())
}

// Guards against a node that was held up, and then queries the upstream of a silent run many times at once, or gives the run up before the answer.
func TestLateTickSendsManyQueries(t *testing.T) {
	for name, begun := range map[string]bool{"before the first event": false, "between two events": true} {
		t.Run(name, func(t *testing.T) {
			o := newSilentStream(t, "")
			if !begun {
				o = newOpaqueAnswer(t, func(c *generation.Config) {
					c.MaxRunQueries, c.ProbeEvery, c.Silence.FirstToken = 8, 0, firstTokenLimit
				})
				o.place(o.handle(generation.Admitted{}), "e1", "")
			}
			o.now = o.now.Add(5 * time.Second)
			queries := 0
			for range 20 { // each tick is 1 ms after the one before
				effects := o.handle(generation.Tick{})
				must.False(t, has[generation.Suspect](effects))
				if has[generation.QueryRun](effects) {
					queries++
				}
			}
			must.EqOp(t, 1, queries)
		})
	}
}
