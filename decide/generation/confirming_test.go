package generation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// Guards against whole streams that break off near their deadline, as the attempt that is to confirm their end is taken for one that makes the chunks which
// answers usually have.
func TestConfirmationCountsAsTheRestOfTheAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	config := generation.DefaultConfig()
	config.Opaque, config.Repeatable, config.UsefulOnly = true, true, true
	config.MaxAttempts, config.MaxWait, config.Deadline = 3, time.Hour, now.Add(5*time.Second)
	s := generation.New(config, rand.New(rand.NewPCG(1, 2)))
	forecast := generation.Forecast{FirstChunk: time.Second, ChunkGap: 100 * time.Millisecond, Chunks: 20}
	handle := func(ev generation.Event) []generation.Effect {
		s.Handle(now, forecast)
		return s.Handle(now, ev)
	}
	handle(generation.Admitted{})
	handle(generation.Placed{Attempt: 1, Upstream: "a"})
	handle(generation.Sent{Attempt: 1})
	now = now.Add(4200 * time.Millisecond)
	for i := range vaneyoke.Tokens(10) {
		handle(&generation.Received{Attempt: 1, Number: number(uint64(i + 1)), Batch: vaneyoke.Batch{First: i, IDs: []vaneyoke.TokenID{0}, Text: []byte("x")}})
	}
	effects := handle(generation.Ended{Attempt: 1, Reason: vaneyoke.FinishStop, Unconfirmed: true})
	must.False(t, s.Ended(), must.Sprintf("%#v", effects))
	handle(generation.Placed{Attempt: 2, Upstream: "a"})
	handle(generation.Sent{Attempt: 2})
	effects = handle(generation.Ended{Attempt: 2, Reason: vaneyoke.FinishStop, Unconfirmed: true})
	must.True(t, s.Ended())
	must.Eq(t, []generation.Effect{generation.Finish{Reason: vaneyoke.FinishStop, Usage: s.Transcript().Usage()}}, effects)
}

// silentRun plays a stream whose first run falls silent after seven events, until a second run was sent that is to replace it.
func silentRun(t *testing.T) (now time.Time, handle func(now time.Time, ev generation.Event) []generation.Effect, received func(attempt vaneyoke.Attempt, n int) *generation.Received) {
	t.Helper()
	now = time.Unix(1000, 0)
	config := generation.DefaultConfig()
	config.Opaque, config.Repeatable, config.ProbeEvery = true, true, 0
	config.MaxAttempts, config.MaxWait, config.Deadline = 9, time.Hour, now.Add(time.Hour)
	s := generation.New(config, rand.New(rand.NewPCG(1, 2)))
	handle = s.Handle
	received = func(attempt vaneyoke.Attempt, n int) *generation.Received {
		return &generation.Received{Attempt: attempt, Number: number(uint64(n)), Batch: vaneyoke.Batch{First: s.Transcript().Len(), IDs: []vaneyoke.TokenID{0}, Text: []byte("x")}}
	}
	handle(now, generation.Admitted{})
	handle(now, generation.Placed{Attempt: 1, Upstream: "a"})
	handle(now, generation.Sent{Attempt: 1})
	for i := range 7 {
		now = now.Add(10 * time.Millisecond)
		handle(now, received(1, i+1))
	}
	for range 100 {
		now = s.NextTick()
		for _, effect := range handle(now, generation.Tick{}) {
			if _, ok := effect.(generation.QueryRun); ok {
				handle(now, generation.RunReported{Attempt: 1, State: vaneyoke.RunStateUnknown})
			}
		}
		if s.LatestAttempt() == 2 {
			handle(now, generation.Placed{Attempt: 2, Upstream: "b"})
			handle(now, generation.Sent{Attempt: 2})
			return now, handle, received
		}
	}
	t.Fatal("nothing replaces the silent run")
	return now, nil, nil
}

// hasEffect reports whether one of the effects is of a type.
func hasEffect[E generation.Effect](effects []generation.Effect) bool {
	for _, effect := range effects {
		if _, ok := effect.(E); ok {
			return true
		}
	}
	return false
}

// Guards against a run that is ended, or is not the only one, because the one that was to replace it brought nothing that could follow.
func TestUselessReplacementEndsTheRunThatItWasToReplace(t *testing.T) {
	for name, end := range map[string]func(received func(vaneyoke.Attempt, int) *generation.Received) generation.Event{
		"it ends unconfirmed": func(func(vaneyoke.Attempt, int) *generation.Received) generation.Event {
			return generation.Ended{Attempt: 2, Reason: vaneyoke.FinishStop, Unconfirmed: true}
		},
		"it begins anew": func(received func(vaneyoke.Attempt, int) *generation.Received) generation.Event {
			return received(2, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			now, handle, received := silentRun(t)
			effects := handle(now, end(received))
			must.False(t, hasEffect[generation.Place](effects) || hasEffect[generation.Finish](effects) || hasEffect[generation.Fail](effects), must.Sprintf("%#v", effects))
			now = now.Add(250 * time.Millisecond) // longer than both runs would have worked on
			handle(now, generation.Tick{})
			must.True(t, hasEffect[generation.Deliver](handle(now, received(1, 8))))
			must.True(t, hasEffect[generation.Finish](handle(now, generation.Ended{Attempt: 1, Reason: vaneyoke.FinishStop})))
		})
	}
}

// Guards against a stream that is closed as whole at an unconfirmed end of a run that brought events, since another one had ended so before.
func TestSecondEndInDoubtConfirmsAnotherOne(t *testing.T) {
	now, handle, received := silentRun(t)
	handle(now, generation.Ended{Attempt: 1, Reason: vaneyoke.FinishStop, Unconfirmed: true})
	must.True(t, hasEffect[generation.Deliver](handle(now, received(2, 8))))
	must.True(t, hasEffect[generation.Place](handle(now, generation.Ended{Attempt: 2, Reason: vaneyoke.FinishStop, Unconfirmed: true})))
	handle(now, generation.Placed{Attempt: 3, Upstream: "c"})
	handle(now, generation.Sent{Attempt: 3})
	must.True(t, hasEffect[generation.Deliver](handle(now, received(3, 9))))
	must.True(t, hasEffect[generation.Place](handle(now, generation.Ended{Attempt: 3, Reason: vaneyoke.FinishStop, Unconfirmed: true})))
}

// Guards against an answer that may run once and is run again to confirm its end.
func TestEndOfAnAnswerThatRunsOnceIsConfirmed(t *testing.T) {
	now := time.Unix(1000, 0)
	config := generation.DefaultConfig()
	config.Opaque, config.Repeatable, config.MaxAttempts = true, false, 3
	s := generation.New(config, rand.New(rand.NewPCG(1, 2)))
	s.Handle(now, generation.Admitted{})
	s.Handle(now, generation.Placed{Attempt: 1, Upstream: "a"})
	s.Handle(now, generation.Sent{Attempt: 1})
	s.Handle(now, &generation.Received{Attempt: 1, Number: number(1), Batch: vaneyoke.Batch{IDs: []vaneyoke.TokenID{0}, Text: []byte("x")}})
	must.True(t, hasEffect[generation.Finish](s.Handle(now, generation.Ended{Attempt: 1, Reason: vaneyoke.FinishStop, Unconfirmed: true})))
}

// Guards against an attempt that is to confirm an end and is sent with a replica that the run before it has used up.
func TestConfirmationUsesAReplicaAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	config := generation.DefaultConfig()
	config.Opaque, config.Repeatable, config.MaxAttempts = true, true, 9
	s := generation.New(config, rand.New(rand.NewPCG(1, 2)))
	received := func(attempt vaneyoke.Attempt, n int) *generation.Received {
		return &generation.Received{Attempt: attempt, Number: number(uint64(n)), Batch: vaneyoke.Batch{First: s.Transcript().Len(), IDs: []vaneyoke.TokenID{0}, Text: []byte("x")}}
	}
	preferred := func(effects []generation.Effect) vaneyoke.UpstreamID {
		for _, effect := range effects {
			if place, ok := effect.(generation.Place); ok {
				return place.Prefer
			}
		}
		return "nothing is placed"
	}
	s.Handle(now, generation.Admitted{})
	s.Handle(now, generation.Placed{Attempt: 1, Upstream: "a", Replica: "b"})
	s.Handle(now, generation.Sent{Attempt: 1})
	s.Handle(now, received(1, 1))
	must.EqOp(t, "b", preferred(s.Handle(now, generation.Lost{Attempt: 1, Cause: generation.CauseClosed})))
	s.Handle(now, generation.Placed{Attempt: 2, Upstream: "b", HoldsReplica: true})
	s.Handle(now, generation.Sent{Attempt: 2})
	s.Handle(now, received(2, 2))
	must.EqOp(t, "", preferred(s.Handle(now, generation.Ended{Attempt: 2, Reason: vaneyoke.FinishStop, Unconfirmed: true})))
}
