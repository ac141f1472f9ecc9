package generation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// opaqueAnswer is an answer of opaque chunks on a simulated clock.
type opaqueAnswer struct {
	t     *testing.T
	now   time.Time
	state *generation.State
	last  vaneyoke.Attempt // the latest one placed
}

func newOpaqueAnswer(t *testing.T, change func(*generation.Config)) *opaqueAnswer {
	o := &opaqueAnswer{t: t, now: time.Unix(1000, 0)}
	config := generation.DefaultConfig()
	config.Opaque = true
	config.MaxAttempts = 3
	config.Deadline = o.now.Add(10 * time.Second)
	config.MaxWait = 10 * time.Second
	config.MaxPlacementWait = 500 * time.Millisecond
	config.ProbeEvery = 200 * time.Millisecond
	config.Silence.Patience = 1
	if change != nil {
		change(&config)
	}
	o.state = generation.New(config, rand.New(rand.NewPCG(1, 2)))
	return o
}

func (o *opaqueAnswer) handle(ev generation.Event) []generation.Effect {
	o.now = o.now.Add(time.Millisecond)
	return append([]generation.Effect(nil), o.state.Handle(o.now, ev)...)
}

// place answers a Place with an upstream, and returns the resulting Start.
func (o *opaqueAnswer) place(effects []generation.Effect, upstream, replica vaneyoke.UpstreamID) generation.Start {
	o.t.Helper()
	o.last = find[generation.Place](o.t, effects).Attempt
	wanted := find[generation.Place](o.t, effects).Prefer
	started := o.handle(generation.Placed{
		Attempt: o.last, Upstream: upstream, Replica: replica, HoldsReplica: wanted != "" && wanted == upstream,
	})
	start := find[generation.Start](o.t, started)
	o.state.Handle(o.now, generation.Sent{Attempt: o.last})
	return start
}

func (o *opaqueAnswer) chunk(at vaneyoke.Tokens) { o.chunkOf(o.last, at) }

func (o *opaqueAnswer) chunkOf(attempt vaneyoke.Attempt, at vaneyoke.Tokens) []generation.Effect {
	batch := vaneyoke.Batch{First: at, IDs: []vaneyoke.TokenID{0}, Text: []byte("x")}
	return o.handle(&generation.Received{Attempt: attempt, Batch: batch})
}

func (o *opaqueAnswer) lose(cause generation.Cause) []generation.Effect {
	return o.handle(generation.Lost{Attempt: o.last, Cause: cause})
}

func find[E generation.Effect](t *testing.T, effects []generation.Effect) E {
	t.Helper()
	for _, e := range effects {
		if found, ok := e.(E); ok {
			return found
		}
	}
	var none E
	t.Fatalf("no %T among %#v", none, effects)
	return none
}

func has[E generation.Effect](effects []generation.Effect) bool {
	for _, e := range effects {
		if _, ok := e.(E); ok {
			return true
		}
	}
	return false
}

// TestReplicaIsUsedOnce checks that a lost run continues from its replica, and that a second prefill follows if the replica is gone.
func TestReplicaIsUsedOnce(t *testing.T) {
	o := newOpaqueAnswer(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "e2")
	o.chunk(0)
	o.chunk(1)
	lost := o.lose(generation.CauseClosed)
	must.False(t, has[generation.Resume](lost)) // no engine sends an opaque stream again
	must.EqOp(t, "e2", find[generation.Place](t, lost).Prefer)
	start := o.place(lost, "e2", "e3")
	must.True(t, start.FromReplica)
	must.EqOp(t, 2, start.From)
	must.Len(t, 0, start.Prefix)
	lost = o.lose(generation.CauseDeclined) // e2 has no replica after all
	must.EqOp(t, "", find[generation.Place](t, lost).Prefer)
	must.False(t, o.place(lost, "e4", "e5").FromReplica)
}

func TestReplicaOfRunWithoutChunksIsNotUsed(t *testing.T) {
	o := newOpaqueAnswer(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "e2")
	must.EqOp(t, "", find[generation.Place](t, o.lose(generation.CauseClosed)).Prefer)
}

// TestAttemptsAreBounded checks which losses count against MaxAttempts.
func TestAttemptsAreBounded(t *testing.T) {
	cases := map[string]struct {
		cause generation.Cause
		most  int // attempts before the answer fails, at most 6
		code  vaneyoke.Code
	}{
		"may have run": {generation.CauseClosed, 3, vaneyoke.CodeUpstream},
		"failed":       {generation.CauseFailed, 3, vaneyoke.CodeUpstream},
		"declined":     {generation.CauseDeclined, 3, vaneyoke.CodeNoUpstream},
		"gone":         {generation.CauseGone, 6, vaneyoke.CodeOK},
		"not sent":     {generation.CauseNotSent, 6, vaneyoke.CodeOK},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := newOpaqueAnswer(t, nil)
			effects := o.handle(generation.Admitted{})
			for n := 1; n <= 6; n++ {
				o.place(effects, "e1", "")
				effects = o.lose(tc.cause)
				if n == tc.most && tc.code != vaneyoke.CodeOK {
					must.EqOp(t, tc.code, find[generation.Fail](t, effects).Code)
					return
				}
				must.True(t, has[generation.Place](effects))
			}
			must.EqOp(t, vaneyoke.CodeOK, tc.code)
		})
	}
}

// TestRetryIsMarkedAfterRequestArrived checks that an attempt counts as a retry only if an earlier one may have reached an upstream.
func TestRetryIsMarkedAfterRequestArrived(t *testing.T) {
	o := newOpaqueAnswer(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	effects := o.lose(generation.CauseNotSent)
	must.False(t, find[generation.Place](t, effects).Retry)
	o.place(effects, "e2", "")
	must.True(t, find[generation.Place](t, o.lose(generation.CauseDeclined)).Retry)
}

// TestProbeFindsDeadUpstream checks that an upstream that answers probes is waited for and one that does not is given up.
func TestProbeFindsDeadUpstream(t *testing.T) {
	o := newOpaqueAnswer(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	for range 3 {
		o.now = o.state.NextTick()
		probe := find[generation.Probe](t, o.handle(generation.Tick{}))
		must.EqOp(t, "e1", probe.Upstream)
		must.Len(t, 0, o.handle(generation.Probed{Attempt: o.last, Alive: true}))
	}
	o.now = o.state.NextTick()
	find[generation.Probe](t, o.handle(generation.Tick{}))
	effects := o.handle(generation.Probed{Attempt: o.last, Alive: false})
	must.EqOp(t, generation.CauseUnreachable, o.replace(effects))
}

// TestOverdueFirstChunkIsQueried has the first chunk of a run be overdue: an upstream that reports working on the run gets the same time
// again, twice; one that does not is given up at once. A report without a query, or after the first chunk, has no effect.
func TestOverdueFirstChunkIsQueried(t *testing.T) {
	const patience = 600 * time.Millisecond
	start := func() *opaqueAnswer {
		o := newOpaqueAnswer(t, func(c *generation.Config) {
			c.MaxRunQueries, c.ProbeEvery, c.Silence.FirstToken = 2, 0, patience
		})
		o.place(o.handle(generation.Admitted{}), "e1", "")
		return o
	}
	o := start()
	sent := o.now
	for n := range 2 {
		o.now = o.state.NextTick()
		must.EqOp(t, time.Duration(n+1)*patience, o.now.Sub(sent))
		must.EqOp(t, "e1", find[generation.QueryRun](t, o.handle(generation.Tick{})).Upstream)
		must.Len(t, 0, o.handle(generation.RunReported{Attempt: o.last, State: vaneyoke.RunStateRunning}))
	}
	o.now = o.state.NextTick()
	must.EqOp(t, 3*patience, o.now.Sub(sent))
	must.EqOp(t, generation.CauseSilent, o.replace(o.handle(generation.Tick{})))

	o = start()
	o.now = o.state.NextTick()
	find[generation.QueryRun](t, o.handle(generation.Tick{}))
	effects := o.handle(generation.RunReported{Attempt: o.last, State: vaneyoke.RunStateUnknown})
	must.EqOp(t, generation.CauseSilent, o.replace(effects))

	o = start()
	must.Len(t, 0, o.handle(generation.RunReported{Attempt: o.last, State: vaneyoke.RunStateUnknown})) // without a query
	o.now = o.state.NextTick()
	find[generation.QueryRun](t, o.handle(generation.Tick{}))
	o.chunk(0)
	must.Len(t, 0, o.handle(generation.RunReported{Attempt: o.last, State: vaneyoke.RunStateUnknown}))
}

func TestLateProbeDoesNotEndStreamingRun(t *testing.T) {
	o := newOpaqueAnswer(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.now = o.state.NextTick()
	find[generation.Probe](t, o.handle(generation.Tick{}))
	o.chunk(0)
	must.Len(t, 0, o.handle(generation.Probed{Attempt: o.last, Alive: false}))
}

// TestDeadlineFailureCodes checks that the code of a request whose deadline passed says whether it may have run.
func TestDeadlineFailureCodes(t *testing.T) {
	cases := map[string]struct {
		events func(o *opaqueAnswer)
		code   vaneyoke.Code
	}{
		"not placed": {func(*opaqueAnswer) {}, vaneyoke.CodeWaitExceeded},
		"connecting": {func(o *opaqueAnswer) { o.handle(generation.Placed{Attempt: 1, Upstream: "e1"}) }, vaneyoke.CodeWaitExceeded},
		"sent": {func(o *opaqueAnswer) {
			o.handle(generation.Placed{Attempt: 1, Upstream: "e1"})
			o.handle(generation.Sent{Attempt: 1})
		}, vaneyoke.CodeTimedOut},
		"begun": {func(o *opaqueAnswer) {
			o.handle(generation.Placed{Attempt: 1, Upstream: "e1"})
			o.last = 1
			o.chunk(0)
		}, vaneyoke.CodeInterrupted},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := newOpaqueAnswer(t, nil)
			o.handle(generation.Admitted{})
			tc.events(o)
			o.now = time.Unix(1010, 0)
			must.EqOp(t, tc.code, find[generation.Fail](t, o.handle(generation.Tick{})).Code)
		})
	}
}

// TestPlacementWaitIsBounded checks that a request that no upstream accepts fails within MaxPlacementWait.
func TestPlacementWaitIsBounded(t *testing.T) {
	o := newOpaqueAnswer(t, nil)
	effects := o.handle(generation.Admitted{})
	start := o.now
	for has[generation.Place](effects) {
		place := find[generation.Place](t, effects)
		o.now = o.now.Add(place.Delay)
		effects = o.handle(generation.NotPlaced{Attempt: place.Attempt, Code: vaneyoke.CodeUnknownModel, RetryAfter: time.Second})
	}
	fail := find[generation.Fail](t, effects)
	must.EqOp(t, vaneyoke.CodeUnknownModel, fail.Code)
	must.EqOp(t, time.Second, fail.RetryAfter)
	must.LessEq(t, 510*time.Millisecond, o.now.Sub(start))
}

// TestNonRepeatableRequestRunsOnce checks that no second run follows one that may have run, and that silence does not end a run early.
func TestNonRepeatableRequestRunsOnce(t *testing.T) {
	o := newOpaqueAnswer(t, func(c *generation.Config) {
		c.Repeatable = false
		c.ProbeEvery = 0
		c.Silence.FirstToken = c.MaxWait
	})
	o.place(o.handle(generation.Admitted{}), "e1", "")
	must.Greater(t, 9*time.Second, o.state.NextTick().Sub(o.now))
	must.EqOp(t, vaneyoke.CodeMayHaveRun, find[generation.Fail](t, o.lose(generation.CauseClosed)).Code)
}

// TestBusyUpstreamIsNotTakenForDead has the first chunk come much later than expected, as on an upstream that was fast before: while it
// answers probes, it must keep the full time for the first token.
func TestBusyUpstreamIsNotTakenForDead(t *testing.T) {
	o := newOpaqueAnswer(t, func(c *generation.Config) { c.Silence.FirstToken = 4 * time.Second })
	place := find[generation.Place](t, o.handle(generation.Admitted{}))
	o.last = place.Attempt
	o.handle(generation.Placed{Attempt: o.last, Upstream: "e1", ExpectedTTFT: 20 * time.Millisecond})
	o.handle(generation.Sent{Attempt: o.last})
	placed := o.now
	for {
		o.now = o.state.NextTick()
		effects := o.handle(generation.Tick{})
		if has[generation.Suspect](effects) {
			must.EqOp(t, generation.CauseSilent, o.replace(effects))
			break
		}
		must.False(t, has[generation.Cancel](effects))
		find[generation.Probe](t, effects)
		o.handle(generation.Probed{Attempt: o.last, Alive: true})
	}
	must.GreaterEq(t, 4*time.Second, o.now.Sub(placed))
}

// TestSlowConnectFailureIsRetried has connecting to an upstream fail after longer than MaxPlacementWait: another upstream is tried all the same.
func TestSlowConnectFailureIsRetried(t *testing.T) {
	o := newOpaqueAnswer(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.now = o.now.Add(time.Second)
	o.place(o.lose(generation.CauseNotSent), "e2", "")
	o.chunk(0)
}

// TestNodeStoppingFailureCodes stops the node during an answer: the code promises that nothing was run only if no upstream can have run it.
func TestNodeStoppingFailureCodes(t *testing.T) {
	cases := map[string]struct {
		before func(*opaqueAnswer)
		code   vaneyoke.Code
	}{
		"before it is placed": {func(o *opaqueAnswer) { o.handle(generation.Admitted{}) }, vaneyoke.CodeStopping},
		"sent":                {func(o *opaqueAnswer) { o.place(o.handle(generation.Admitted{}), "e1", "") }, vaneyoke.CodeMayHaveRun},
		"declined": {func(o *opaqueAnswer) {
			o.place(o.handle(generation.Admitted{}), "e1", "")
			o.lose(generation.CauseDeclined)
		}, vaneyoke.CodeStopping},
		"begun": {func(o *opaqueAnswer) {
			o.place(o.handle(generation.Admitted{}), "e1", "")
			o.chunk(0)
		}, vaneyoke.CodeInterrupted},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := newOpaqueAnswer(t, nil)
			tc.before(o)
			must.EqOp(t, tc.code, find[generation.Fail](t, o.handle(generation.NodeStopping{})).Code)
			must.SliceEmpty(t, o.handle(generation.Tick{}))
		})
	}
}

// silentFor advances the clock without a chunk, and returns the effects of all ticks.
func (o *opaqueAnswer) silentFor(d time.Duration) []generation.Effect {
	var all []generation.Effect
	for end := o.now.Add(d); !o.state.Ended(); {
		due := o.state.NextTick()
		if due.IsZero() || due.After(end) {
			o.now = end
			break
		}
		if due.After(o.now) {
			o.now = due
		}
		all = append(all, o.handle(generation.Tick{})...)
	}
	return all
}

// TestLastAttemptsAreNotGivenUpForSilence has a stream's engines fall silent in turn: the last allowed attempt is waited for until the
// deadline, and the one before it as long as its engine reports working on the run.
func TestLastAttemptsAreNotGivenUpForSilence(t *testing.T) {
	begin := func(t *testing.T) *opaqueAnswer {
		o := newOpaqueAnswer(t, func(c *generation.Config) {
			c.ProbeEvery, c.KeepLastAttempt = 0, true
			c.Silence = generation.Silence{FirstToken: time.Second, Floor: 300 * time.Millisecond, Ceiling: 600 * time.Millisecond, Patience: 1}
		})
		o.place(o.handle(generation.Admitted{}), "e1", "")
		o.chunk(0)
		o.chunk(1)
		lost := o.silentFor(700 * time.Millisecond)
		must.EqOp(t, generation.CauseSilent, find[generation.Suspect](t, lost).Cause) // two attempts are left
		o.place(lost, "e2", "")
		o.chunk(2)
		o.chunk(3)
		return o
	}
	t.Run("engine works on it", func(t *testing.T) {
		o := begin(t)
		for range 5 {
			effects := o.silentFor(700 * time.Millisecond)
			must.True(t, has[generation.QueryRun](effects))
			must.False(t, has[generation.Cancel](effects) || has[generation.Suspect](effects))
			o.handle(generation.RunReported{Attempt: o.last, State: vaneyoke.RunStateRunning})
		}
		o.chunk(4)
		must.EqOp(t, 5, o.state.Transcript().Len())
	})
	t.Run("engine does not work on it", func(t *testing.T) {
		o := begin(t)
		o.silentFor(700 * time.Millisecond)
		lost := o.handle(generation.RunReported{Attempt: o.last, State: vaneyoke.RunStateUnknown})
		o.place(lost, "e3", "")
		o.chunk(4)
		kept := o.silentFor(5 * time.Second)
		must.False(t, has[generation.Cancel](kept) || has[generation.Suspect](kept))
		o.chunk(5)
		must.EqOp(t, 6, o.state.Transcript().Len())
		must.EqOp(t, vaneyoke.CodeInterrupted, find[generation.Fail](t, o.silentFor(10*time.Second)).Code)
	})
	t.Run("chunk arrives before the report", func(t *testing.T) {
		o := begin(t)
		o.silentFor(700 * time.Millisecond)
		o.chunk(4)
		must.SliceEmpty(t, o.handle(generation.RunReported{Attempt: o.last, State: vaneyoke.RunStateUnknown}))
	})
}
