package generation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// opaque is an answer of opaque pieces on a clock of its own.
type opaque struct {
	t     *testing.T
	now   time.Time
	state *generation.State
	last  vaneyoke.Attempt // placed last
}

func newOpaque(t *testing.T, change func(*generation.Config)) *opaque {
	o := &opaque{t: t, now: time.Unix(1000, 0)}
	config := generation.DefaultConfig()
	config.Opaque = true
	config.MaxAttempts = 3
	config.Deadline = o.now.Add(10 * time.Second)
	config.MaxWait = 10 * time.Second
	config.MaxUnsent = 500 * time.Millisecond
	config.ProbeEvery = 200 * time.Millisecond
	config.Silence.Patience = 1
	if change != nil {
		change(&config)
	}
	o.state = generation.New(config, rand.New(rand.NewPCG(1, 2)))
	return o
}

func (o *opaque) handle(ev generation.Event) []generation.Effect {
	o.now = o.now.Add(time.Millisecond)
	return append([]generation.Effect(nil), o.state.Handle(o.now, ev)...)
}

// place answers the last Place with an upstream, and returns what is started.
func (o *opaque) place(effects []generation.Effect, upstream, replica vaneyoke.UpstreamID) generation.Start {
	o.t.Helper()
	o.last = find[generation.Place](o.t, effects).Attempt
	wanted := find[generation.Place](o.t, effects).Prefer
	started := o.handle(generation.Placed{
		Attempt: o.last, Upstream: upstream, Replica: replica, HoldsReplica: wanted != "" && wanted == upstream,
	})
	return find[generation.Start](o.t, started)
}

func (o *opaque) piece(at vaneyoke.Tokens) {
	batch := vaneyoke.Batch{First: at, IDs: []vaneyoke.TokenID{0}, Text: []byte("x")}
	o.handle(&generation.Received{Attempt: o.last, Batch: batch})
}

func (o *opaque) lose(cause generation.Cause) []generation.Effect {
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

// TestReplicaIsUsedOnce goes on from the replica of a run that had begun, and reads anew where there is none.
func TestReplicaIsUsedOnce(t *testing.T) {
	o := newOpaque(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "e2")
	o.piece(0)
	o.piece(1)
	lost := o.lose(generation.CauseClosed)
	must.False(t, has[generation.Resume](lost)) // no engine gives an opaque stream again
	must.EqOp(t, "e2", find[generation.Place](t, lost).Prefer)
	start := o.place(lost, "e2", "e3")
	must.True(t, start.FromReplica)
	must.EqOp(t, 2, start.From)
	must.Len(t, 0, start.Prefix)
	lost = o.lose(generation.CauseDeclined) // e2 has no replica after all
	must.EqOp(t, "", find[generation.Place](t, lost).Prefer)
	must.False(t, o.place(lost, "e4", "e5").FromReplica)
}

func TestReplicaOfARunWithoutAPieceIsNotUsed(t *testing.T) {
	o := newOpaque(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "e2")
	must.EqOp(t, "", find[generation.Place](t, o.lose(generation.CauseClosed)).Prefer)
}

// TestAttemptsAreBounded counts what counts as an attempt.
func TestAttemptsAreBounded(t *testing.T) {
	cases := map[string]struct {
		cause generation.Cause
		most  int // attempts before the answer is given up, at most 6
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
			o := newOpaque(t, nil)
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

// TestRetryCountsWhatArrived tells retries that upstreams see from those that none saw.
func TestRetryCountsWhatArrived(t *testing.T) {
	o := newOpaque(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	effects := o.lose(generation.CauseNotSent)
	must.False(t, find[generation.Place](t, effects).Retry)
	o.place(effects, "e2", "")
	must.True(t, find[generation.Place](t, o.lose(generation.CauseDeclined)).Retry)
}

// TestProbe tells a dead upstream from a busy one.
func TestProbe(t *testing.T) {
	o := newOpaque(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	for range 3 {
		o.now = o.state.Deadline()
		probe := find[generation.Probe](t, o.handle(generation.Tick{}))
		must.EqOp(t, "e1", probe.Upstream)
		must.Len(t, 0, o.handle(generation.Probed{Attempt: o.last, Alive: true}))
	}
	o.now = o.state.Deadline()
	find[generation.Probe](t, o.handle(generation.Tick{}))
	effects := o.handle(generation.Probed{Attempt: o.last, Alive: false})
	must.EqOp(t, generation.CauseUnreachable, find[generation.Cancel](t, effects).Cause)
	must.True(t, has[generation.Place](effects))
}

// TestSilentUpstreamIsAskedBeforeItIsGivenUp has an upstream give no first piece in time: one that works on the run is
// waited for as long again, twice; one that does not is given up at once, and an answer that comes late says nothing.
func TestSilentUpstreamIsAskedBeforeItIsGivenUp(t *testing.T) {
	const patience = 600 * time.Millisecond
	start := func() *opaque {
		o := newOpaque(t, func(c *generation.Config) {
			c.AskSilent, c.ProbeEvery, c.Silence.FirstToken = 2, 0, patience
		})
		o.place(o.handle(generation.Admitted{}), "e1", "")
		return o
	}
	o := start()
	sent := o.now
	for n := range 2 {
		o.now = o.state.Deadline()
		must.EqOp(t, time.Duration(n+1)*patience, o.now.Sub(sent))
		must.EqOp(t, "e1", find[generation.Ask](t, o.handle(generation.Tick{})).Upstream)
		must.Len(t, 0, o.handle(generation.Asked{Attempt: o.last, Work: vaneyoke.RunStateRunning}))
	}
	o.now = o.state.Deadline()
	must.EqOp(t, 3*patience, o.now.Sub(sent))
	must.EqOp(t, generation.CauseSilent, find[generation.Cancel](t, o.handle(generation.Tick{})).Cause)

	o = start()
	o.now = o.state.Deadline()
	find[generation.Ask](t, o.handle(generation.Tick{}))
	effects := o.handle(generation.Asked{Attempt: o.last, Work: vaneyoke.RunStateUnknown})
	must.EqOp(t, generation.CauseSilent, find[generation.Cancel](t, effects).Cause)
	must.True(t, has[generation.Place](effects))

	o = start()
	must.Len(t, 0, o.handle(generation.Asked{Attempt: o.last, Work: vaneyoke.RunStateUnknown})) // nobody asked
	o.now = o.state.Deadline()
	find[generation.Ask](t, o.handle(generation.Tick{}))
	o.piece(0)
	must.Len(t, 0, o.handle(generation.Asked{Attempt: o.last, Work: vaneyoke.RunStateUnknown}))
}

func TestLateProbeDoesNotEndARunThatHasBegun(t *testing.T) {
	o := newOpaque(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.now = o.state.Deadline()
	find[generation.Probe](t, o.handle(generation.Tick{}))
	o.piece(0)
	must.Len(t, 0, o.handle(generation.Probed{Attempt: o.last, Alive: false}))
}

// TestEndsOfTheWait tells truly what became of a request whose time is over.
func TestEndsOfTheWait(t *testing.T) {
	cases := map[string]struct {
		events func(o *opaque)
		code   vaneyoke.Code
	}{
		"not placed": {func(*opaque) {}, vaneyoke.CodeWaitExceeded},
		"sent":       {func(o *opaque) { o.handle(generation.Placed{Attempt: 1, Upstream: "e1"}) }, vaneyoke.CodeTimedOut},
		"begun": {func(o *opaque) {
			o.handle(generation.Placed{Attempt: 1, Upstream: "e1"})
			o.last = 1
			o.piece(0)
		}, vaneyoke.CodeInterrupted},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := newOpaque(t, nil)
			o.handle(generation.Admitted{})
			tc.events(o)
			o.now = time.Unix(1010, 0)
			must.EqOp(t, tc.code, find[generation.Fail](t, o.handle(generation.Tick{})).Code)
		})
	}
}

// TestNobodyIsKeptWaitingForAnUpstream refuses soon where nothing takes the request.
func TestNobodyIsKeptWaitingForAnUpstream(t *testing.T) {
	o := newOpaque(t, nil)
	effects := o.handle(generation.Admitted{})
	began := o.now
	for has[generation.Place](effects) {
		place := find[generation.Place](t, effects)
		o.now = o.now.Add(place.After)
		effects = o.handle(generation.NotPlaced{Attempt: place.Attempt, Code: vaneyoke.CodeUnknownModel, RetryAfter: time.Second})
	}
	fail := find[generation.Fail](t, effects)
	must.EqOp(t, vaneyoke.CodeUnknownModel, fail.Code)
	must.EqOp(t, time.Second, fail.RetryAfter)
	must.LessEq(t, 510*time.Millisecond, o.now.Sub(began))
}

// TestOnceRunsOnce never starts a second run where the first may have run, and never gives up on its silence.
func TestOnceRunsOnce(t *testing.T) {
	o := newOpaque(t, func(c *generation.Config) {
		c.Repeatable = false
		c.ProbeEvery = 0
		c.Silence.FirstToken = c.MaxWait
	})
	o.place(o.handle(generation.Admitted{}), "e1", "")
	must.Greater(t, 9*time.Second, o.state.Deadline().Sub(o.now))
	must.EqOp(t, vaneyoke.CodeMayHaveRun, find[generation.Fail](t, o.lose(generation.CauseClosed)).Code)
}

// TestBusyUpstreamIsNotTakenForADeadOne expects a first piece soon, as after fast ones, and gets it late.
func TestBusyUpstreamIsNotTakenForADeadOne(t *testing.T) {
	o := newOpaque(t, func(c *generation.Config) { c.Silence.FirstToken = 4 * time.Second })
	place := find[generation.Place](t, o.handle(generation.Admitted{}))
	o.last = place.Attempt
	o.handle(generation.Placed{Attempt: o.last, Upstream: "e1", Expect: 20 * time.Millisecond})
	placed := o.now
	for {
		o.now = o.state.Deadline()
		effects := o.handle(generation.Tick{})
		if has[generation.Cancel](effects) {
			break
		}
		find[generation.Probe](t, effects)
		o.handle(generation.Probed{Attempt: o.last, Alive: true})
	}
	must.GreaterEq(t, 4*time.Second, o.now.Sub(placed))
}

// TestAnotherUpstreamIsTriedAtOnce loses a connection that came not about in longer than an upstream may be looked for.
func TestAnotherUpstreamIsTriedAtOnce(t *testing.T) {
	o := newOpaque(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.now = o.now.Add(time.Second)
	o.place(o.lose(generation.CauseNotSent), "e2", "")
	o.piece(0)
}

// TestInterruptedAnswerSaysWhatIsKnown ends an answer with its node: it is told as not run only where no upstream can have run it.
func TestInterruptedAnswerSaysWhatIsKnown(t *testing.T) {
	cases := map[string]struct {
		before func(*opaque)
		code   vaneyoke.Code
	}{
		"before it is placed": {func(o *opaque) { o.handle(generation.Admitted{}) }, vaneyoke.CodeStopping},
		"sent":                {func(o *opaque) { o.place(o.handle(generation.Admitted{}), "e1", "") }, vaneyoke.CodeMayHaveRun},
		"declined": {func(o *opaque) {
			o.place(o.handle(generation.Admitted{}), "e1", "")
			o.lose(generation.CauseDeclined)
		}, vaneyoke.CodeStopping},
		"begun": {func(o *opaque) {
			o.place(o.handle(generation.Admitted{}), "e1", "")
			o.piece(0)
		}, vaneyoke.CodeInterrupted},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := newOpaque(t, nil)
			tc.before(o)
			must.EqOp(t, tc.code, find[generation.Fail](t, o.handle(generation.Interrupted{})).Code)
			must.SliceEmpty(t, o.handle(generation.Tick{}))
		})
	}
}

// silentFor has time pass without a piece, and returns what was asked for meanwhile.
func (o *opaque) silentFor(d time.Duration) []generation.Effect {
	var all []generation.Effect
	for end := o.now.Add(d); !o.state.Ended(); {
		due := o.state.Deadline()
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

// TestLastAttemptsAreNotGivenUpForSilence has a stream's engines fall silent in turn: the last attempt that is allowed is waited
// for until the caller's time is over, and the one before it while its engine works on the run.
func TestLastAttemptsAreNotGivenUpForSilence(t *testing.T) {
	begin := func(t *testing.T) *opaque {
		o := newOpaque(t, func(c *generation.Config) {
			c.ProbeEvery, c.LastWaits = 0, true
			c.Silence = generation.Silence{FirstToken: time.Second, Floor: 300 * time.Millisecond, Ceiling: 600 * time.Millisecond, Patience: 1}
		})
		o.place(o.handle(generation.Admitted{}), "e1", "")
		o.piece(0)
		o.piece(1)
		lost := o.silentFor(700 * time.Millisecond)
		must.True(t, has[generation.Cancel](lost)) // two attempts are left
		o.place(lost, "e2", "")
		o.piece(2)
		o.piece(3)
		return o
	}
	t.Run("its engine works on it", func(t *testing.T) {
		o := begin(t)
		for range 5 {
			effects := o.silentFor(700 * time.Millisecond)
			must.True(t, has[generation.Ask](effects))
			must.False(t, has[generation.Cancel](effects))
			o.handle(generation.Asked{Attempt: o.last, Work: vaneyoke.RunStateRunning})
		}
		o.piece(4)
		must.EqOp(t, 5, o.state.Transcript().Len())
	})
	t.Run("its engine does not", func(t *testing.T) {
		o := begin(t)
		o.silentFor(700 * time.Millisecond)
		lost := o.handle(generation.Asked{Attempt: o.last, Work: vaneyoke.RunStateUnknown})
		o.place(lost, "e3", "")
		o.piece(4)
		must.False(t, has[generation.Cancel](o.silentFor(5*time.Second)))
		o.piece(5)
		must.EqOp(t, 6, o.state.Transcript().Len())
		must.EqOp(t, vaneyoke.CodeInterrupted, find[generation.Fail](t, o.silentFor(10*time.Second)).Code)
	})
	t.Run("it goes on before it is known", func(t *testing.T) {
		o := begin(t)
		o.silentFor(700 * time.Millisecond)
		o.piece(4)
		must.SliceEmpty(t, o.handle(generation.Asked{Attempt: o.last, Work: vaneyoke.RunStateUnknown}))
	})
}
