package generation_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// pausedUpstreams plays upstreams that all send nothing for a while, do not answer queries either, and a placement that refuses each further attempt.
type pausedUpstreams struct {
	refusal    vaneyoke.Code
	retryAfter time.Duration
}

// play advances the clock, answers what the state machine asks for, and returns all effects.
func (p pausedUpstreams) play(o *opaqueAnswer, pause time.Duration) []generation.Effect {
	end := o.now.Add(pause)
	var all, pending []generation.Effect
	for !o.state.Ended() && o.now.Before(end) {
		if len(pending) == 0 {
			due := o.state.NextTick()
			if due.IsZero() || due.After(end) {
				o.now = end
				return all
			}
			o.now = latest(o.now, due)
			pending = o.handle(generation.Tick{})
			all = append(all, pending...)
			continue
		}
		effect := pending[0]
		pending = pending[1:]
		answered := p.answer(o, effect)
		all = append(all, answered...)
		pending = append(pending, answered...)
	}
	return all
}

func (p pausedUpstreams) answer(o *opaqueAnswer, effect generation.Effect) []generation.Effect {
	switch e := effect.(type) {
	case generation.QueryRun:
		return o.handle(generation.RunReported{Attempt: e.Attempt, State: vaneyoke.RunStateUnknown})
	case generation.Probe:
		return o.handle(generation.Probed{Attempt: e.Attempt, Alive: false})
	case generation.Place:
		o.now = o.now.Add(e.Delay)
		return o.handle(generation.NotPlaced{Attempt: e.Attempt, Code: p.refusal, RetryAfter: p.retryAfter})
	default:
		return nil
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// replace places the attempt that is to replace the latest one, which ends with it and not before, and returns why it was replaced.
func (o *opaqueAnswer) replace(effects []generation.Effect) generation.Cause {
	o.t.Helper()
	suspect, replaced := find[generation.Suspect](o.t, effects), o.last
	must.EqOp(o.t, replaced, suspect.Attempt)
	must.False(o.t, has[generation.Cancel](effects))
	o.last = find[generation.Place](o.t, effects).Attempt
	placed := o.handle(generation.Placed{Attempt: o.last, Upstream: "e9"})
	must.EqOp(o.t, o.last, find[generation.Start](o.t, placed).Attempt)
	must.False(o.t, has[generation.Cancel](placed), must.Sprint("the replaced run is ended before the other is connected"))
	must.SliceEmpty(o.t, o.handle(generation.Sent{Attempt: o.last}))
	must.False(o.t, has[generation.Cancel](o.silentFor(handoverOverlap-10*time.Millisecond)))
	cancelled := find[generation.Cancel](o.t, o.silentFor(10*time.Millisecond))
	must.EqOp(o.t, replaced, cancelled.Attempt)
	must.EqOp(o.t, suspect.Cause, cancelled.Cause)
	return suspect.Cause
}

// handoverOverlap is how long a run may go on beside the one that replaces it; upstreams allow 400 ms.
const handoverOverlap = 200 * time.Millisecond

// refusals are the reasons for which a further attempt may not be placed.
var refusals = map[string]pausedUpstreams{
	"no upstream is live":            {vaneyoke.CodeNoUpstream, 2 * time.Second},
	"no upstream is listed":          {vaneyoke.CodeUnknownModel, 0},
	"the retry budget is spent":      {vaneyoke.CodeRetryExhausted, 2 * time.Second},
	"limits are reached":             {vaneyoke.CodeWithheld, 100 * time.Millisecond},
	"limits are reached for long":    {vaneyoke.CodeWithheld, 8 * time.Second},
	"upstreams push back":            {vaneyoke.CodePushedBack, 100 * time.Millisecond},
	"upstreams push back for long":   {vaneyoke.CodePushedBack, 8 * time.Second},
	"others go first":                {vaneyoke.CodeOverloaded, 8 * time.Second},
	"the software version is gone":   {vaneyoke.CodeVersionGone, 0},
	"the content ends its upstreams": {vaneyoke.CodeQuarantined, time.Hour},
}

// Guards against a stream that is broken off although its upstream only pauses, as no other upstream takes it.
func TestStreamOfAPausedUpstreamIsBrokenOff(t *testing.T) {
	for name, upstreams := range refusals {
		for replicaName, replica := range map[string]vaneyoke.UpstreamID{"with a replica": "e2", "without a replica": ""} {
			t.Run(name+", "+replicaName, func(t *testing.T) {
				o := newSilentStream(t, replica)
				effects := upstreams.play(o, 1200*time.Millisecond)
				must.True(t, has[generation.Place](effects))
				must.False(t, has[generation.Fail](effects))
				must.False(t, has[generation.Cancel](effects))
				o.chunkOf(1, 2)
				must.EqOp(t, 3, o.state.Transcript().Len())
				must.True(t, has[generation.Finish](o.handle(generation.Ended{Attempt: 1, Reason: vaneyoke.FinishStop})))
			})
		}
	}
}

// Guards against a stream that is broken off while its upstream pauses because the replacement was refused again and again.
func TestRefusedReplacementsUseUpTheLossesOfAnAnswer(t *testing.T) {
	o := newSilentStream(t, "")
	effects := pausedUpstreams{refusal: vaneyoke.CodeRetryExhausted}.play(o, 8*time.Second)
	must.False(t, has[generation.Fail](effects))
	o.chunkOf(1, 2)
	lost := o.handle(generation.Lost{Attempt: 1, Cause: generation.CauseClosed})
	must.True(t, has[generation.Place](lost)) // a refusal that came before the chunk does not count
}

// Guards against a node that spends its time and its upstreams' on the replacement of runs while nobody takes them over.
func TestReplacementsAreAskedForWithoutAPause(t *testing.T) {
	const silence = 8 * time.Second
	for name, upstreams := range refusals {
		t.Run(name, func(t *testing.T) {
			for _, begun := range []bool{true, false} {
				o := newSilentStream(t, "")
				if !begun {
					o = newOpaqueAnswer(t, func(c *generation.Config) {
						c.MaxRunQueries, c.ProbeEvery, c.Silence.FirstToken = 8, 0, firstTokenLimit
					})
					o.place(o.handle(generation.Admitted{}), "e1", "")
				}
				queries, places := 0, 0
				for _, effect := range upstreams.play(o, silence) {
					switch effect.(type) {
					case generation.QueryRun:
						queries++
					case generation.Place:
						places++
					}
				}
				must.LessEq(t, 2, queries)
				must.LessEq(t, int(silence/(eventIntervalGoal/3)*2)+4, places) // as often as the run's own silence limit passes, less the jitter, after some at once
			}
		})
	}
}

// Guards against a request that fails because its upstream accepts no connection for a moment and no other upstream takes it.
func TestRequestOfAPausedUpstreamFails(t *testing.T) {
	for name, upstreams := range refusals {
		t.Run(name, func(t *testing.T) {
			o := newOpaqueAnswer(t, func(c *generation.Config) { c.ProbeEvery = 400 * time.Millisecond })
			o.place(o.handle(generation.Admitted{}), "e1", "")
			effects := upstreams.play(o, 1200*time.Millisecond)
			must.True(t, has[generation.Place](effects))
			must.False(t, has[generation.Fail](effects))
			o.chunkOf(1, 0)
			must.True(t, has[generation.Finish](o.handle(generation.Ended{Attempt: 1, Reason: vaneyoke.FinishStop})))
		})
	}
}

// Guards against a call that fails before its time is over because its last upstream is silent.
func TestCallOfAPausedUpstreamFailsEarly(t *testing.T) {
	o := newOpaqueAnswer(t, func(c *generation.Config) {
		c.MaxAttempts, c.ProbeEvery = 1, 0
		c.Silence.FirstToken, c.Silence.Floor = 450*time.Millisecond, 450*time.Millisecond
	})
	o.place(o.handle(generation.Admitted{}), "e1", "")
	must.False(t, has[generation.Fail](pausedUpstreams{refusal: vaneyoke.CodeNoUpstream}.play(o, 1200*time.Millisecond)))
	o.chunkOf(1, 0)
	must.EqOp(t, 1, o.state.Transcript().Len())
}

// Guards against a call that fails because the last upstream that may get it accepts no connection for a moment, and against one that waits for a dead
// upstream until its time is over.
func TestLastUpstreamIsGivenUpTooEarlyOrTooLate(t *testing.T) {
	begin := func(t *testing.T) *opaqueAnswer {
		o := newOpaqueAnswer(t, func(c *generation.Config) { c.MaxAttempts, c.ProbeEvery = 1, 75*time.Millisecond })
		o.place(o.handle(generation.Admitted{}), "e1", "")
		return o
	}
	unreachable := pausedUpstreams{refusal: vaneyoke.CodeNoUpstream}
	t.Run("it pauses", func(t *testing.T) {
		o := begin(t)
		must.False(t, has[generation.Fail](unreachable.play(o, 1200*time.Millisecond)))
		o.chunkOf(1, 0)
		must.EqOp(t, 1, o.state.Transcript().Len())
	})
	t.Run("it is reached in between", func(t *testing.T) {
		o := begin(t)
		must.False(t, has[generation.Fail](unreachable.play(o, 1200*time.Millisecond)))
		o.handle(generation.Probed{Attempt: 1, Alive: true})
		must.False(t, has[generation.Fail](unreachable.play(o, 1200*time.Millisecond)))
	})
	t.Run("it is dead", func(t *testing.T) {
		o := begin(t)
		began := o.now
		fail := find[generation.Fail](t, unreachable.play(o, 9*time.Second))
		must.EqOp(t, vaneyoke.CodeUpstream, fail.Code)
		must.Less(t, 2*time.Second, o.now.Sub(began))
	})
}

// silentUntilPlaced has a stream fall silent until another attempt is asked for.
func silentUntilPlaced(t *testing.T) (*opaqueAnswer, generation.Place) {
	o := newSilentStream(t, "e2")
	return o, find[generation.Place](t, placeAgain(o))
}

// placeAgain advances the clock until another attempt is asked for, while the upstream does not answer queries.
func placeAgain(o *opaqueAnswer) []generation.Effect {
	for {
		o.now = o.state.NextTick()
		effects := o.handle(generation.Tick{})
		if has[generation.QueryRun](effects) {
			effects = o.handle(generation.RunReported{Attempt: 1, State: vaneyoke.RunStateUnknown})
		}
		if has[generation.Place](effects) {
			must.False(o.t, has[generation.Cancel](effects))
			return effects
		}
	}
}

// Guards against a second run beside one that goes on, and against two runs of one answer.
func TestSilentRunAndItsReplacementRunBesideEachOther(t *testing.T) {
	t.Run("it goes on before the replacement is placed", func(t *testing.T) {
		o, place := silentUntilPlaced(t)
		cancelled := find[generation.Cancel](t, o.chunkOf(1, 2))
		must.EqOp(t, place.Attempt, cancelled.Attempt)
		must.EqOp(t, 0, cancelled.Cause)
		must.SliceEmpty(t, o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e2", HoldsReplica: true}))
		o.chunkOf(1, 3)
		must.EqOp(t, 4, o.state.Transcript().Len())
	})
	t.Run("the replacement is placed", func(t *testing.T) {
		o, place := silentUntilPlaced(t)
		placed := o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e2", HoldsReplica: true})
		must.True(t, find[generation.Start](t, placed).FromReplica)
		must.False(t, has[generation.Cancel](placed))
		o.handle(generation.Sent{Attempt: place.Attempt})
		cancelled := find[generation.Cancel](t, o.silentFor(handoverOverlap))
		must.EqOp(t, 1, cancelled.Attempt)
		must.EqOp(t, generation.CauseSilent, cancelled.Cause)
		must.True(t, cancelled.Stop)
		o.chunkOf(1, 2) // too late
		must.EqOp(t, 2, o.state.Transcript().Len())
	})
	t.Run("it goes on before the replacement is connected", func(t *testing.T) {
		o, place := silentUntilPlaced(t)
		o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e2", HoldsReplica: true})
		must.EqOp(t, place.Attempt, find[generation.Cancel](t, o.chunkOf(1, 2)).Attempt)
		must.SliceEmpty(t, o.handle(generation.Sent{Attempt: place.Attempt}))
		o.chunkOf(1, 3)
		must.EqOp(t, 4, o.state.Transcript().Len())
	})
	t.Run("it goes on after the replacement was sent", func(t *testing.T) {
		o, place := silentUntilPlaced(t)
		o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e2", HoldsReplica: true})
		o.handle(generation.Sent{Attempt: place.Attempt})
		cancelled := find[generation.Cancel](t, o.chunkOf(1, 2))
		must.EqOp(t, place.Attempt, cancelled.Attempt)
		must.True(t, cancelled.Stop)
		o.chunkOf(place.Attempt, 2) // too late
		must.False(t, has[generation.Cancel](o.silentFor(handoverOverlap)))
		o.chunkOf(1, 3)
		must.EqOp(t, 4, o.state.Transcript().Len())
	})
	t.Run("the replacement answers at once", func(t *testing.T) {
		o, place := silentUntilPlaced(t)
		o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e2", HoldsReplica: true})
		o.handle(generation.Sent{Attempt: place.Attempt})
		cancelled := find[generation.Cancel](t, o.chunkOf(place.Attempt, 2))
		must.EqOp(t, 1, cancelled.Attempt)
		must.EqOp(t, generation.CauseSilent, cancelled.Cause)
		o.chunkOf(1, 2) // too late
		must.EqOp(t, 3, o.state.Transcript().Len())
	})
	for _, cause := range []generation.Cause{generation.CauseDeclined, generation.CauseClosed, generation.CauseFailed, generation.CauseMalformed} {
		t.Run("the replacement is "+cause.String(), func(t *testing.T) {
			o, place := silentUntilPlaced(t)
			o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e2", HoldsReplica: true})
			o.handle(generation.Sent{Attempt: place.Attempt})
			lost := o.handle(generation.Lost{Attempt: place.Attempt, Cause: cause})
			must.EqOp(t, place.Attempt, find[generation.Cancel](t, lost).Attempt)
			must.False(t, has[generation.Fail](lost))
			must.False(t, has[generation.Cancel](o.silentFor(handoverOverlap/10)))
			o.chunkOf(1, 2)
			must.EqOp(t, 3, o.state.Transcript().Len())
		})
	}
	t.Run("the replacement does not reach its upstream", func(t *testing.T) {
		o, place := silentUntilPlaced(t)
		for range 4 { // more often than attempts are allowed, which count only if they are sent
			o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e3"})
			lost := o.handle(generation.Lost{Attempt: place.Attempt, Cause: generation.CauseNotSent})
			must.EqOp(t, place.Attempt, find[generation.Cancel](t, lost).Attempt)
			must.False(t, has[generation.Fail](lost))
			place = find[generation.Place](t, placeAgain(o))
		}
		o.chunkOf(1, 2)
		must.EqOp(t, 3, o.state.Transcript().Len())
	})
	t.Run("it has not been sent", func(t *testing.T) {
		o := newOpaqueAnswer(t, func(c *generation.Config) { c.ProbeEvery, c.MaxAttempts, c.Silence.FirstToken = 0, 1, time.Second })
		first := find[generation.Place](t, o.handle(generation.Admitted{}))
		o.handle(generation.Placed{Attempt: first.Attempt, Upstream: "e1"})
		for range 3 {
			must.SliceEmpty(t, o.silentFor(900*time.Millisecond))
		}
		fail := find[generation.Fail](t, o.silentFor(10*time.Second))
		must.True(t, fail.Code.Info().NotRun, must.Sprint("code ", fail.Code))
	})
	t.Run("the replica that the replacement was to continue from is gone", func(t *testing.T) {
		o, place := silentUntilPlaced(t)
		must.EqOp(t, "e2", place.Prefer)
		o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e2", HoldsReplica: true})
		o.handle(generation.Sent{Attempt: place.Attempt})
		o.handle(generation.Lost{Attempt: place.Attempt, Cause: generation.CauseDeclined})
		must.EqOp(t, "", find[generation.Place](t, placeAgain(o)).Prefer)
	})
	t.Run("the replacement is placed on the same upstream", func(t *testing.T) {
		o, place := silentUntilPlaced(t)
		must.True(t, has[generation.Start](o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e1"})))
		o.handle(generation.Sent{Attempt: place.Attempt})
		must.EqOp(t, 1, find[generation.Cancel](t, o.silentFor(handoverOverlap)).Attempt) // its connection may be dead
	})
	t.Run("it is lost before the replacement is placed", func(t *testing.T) {
		o, place := silentUntilPlaced(t)
		effects := o.handle(generation.Lost{Attempt: 1, Cause: generation.CauseClosed})
		must.False(t, has[generation.Place](effects)) // one is on its way
		must.True(t, has[generation.Start](o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e2", HoldsReplica: true})))
	})
	t.Run("it is lost after the replacement was refused", func(t *testing.T) {
		o, place := silentUntilPlaced(t)
		must.SliceEmpty(t, o.handle(generation.NotPlaced{Attempt: place.Attempt, Code: vaneyoke.CodeVersionGone}))
		again := find[generation.Place](t, o.handle(generation.Lost{Attempt: 1, Cause: generation.CauseClosed}))
		must.EqOp(t, "e2", again.Prefer)
		must.EqOp(t, vaneyoke.CodeInterrupted, find[generation.Fail](t, o.handle(generation.NotPlaced{Attempt: again.Attempt, Code: vaneyoke.CodeVersionGone})).Code)
	})
}

// Guards against a stream that is broken off before its deadline because its upstream was given slightly less time.
func TestStreamIsBrokenOffJustBeforeItsDeadline(t *testing.T) {
	o := newOpaqueAnswer(t, nil)
	deadline := o.now.Add(10 * time.Second)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.chunk(0)
	o.now = deadline.Add(-31 * time.Millisecond)
	place := find[generation.Place](t, o.lose(generation.CauseClosed))
	must.SliceEmpty(t, o.handle(generation.NotPlaced{Attempt: place.Attempt, Code: vaneyoke.CodeVersionGone}))
	must.EqOp(t, deadline, o.state.NextTick())
	o.now = deadline
	must.EqOp(t, vaneyoke.CodeInterrupted, find[generation.Fail](t, o.handle(generation.Tick{})).Code)
}
