package generation_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// usualForecast is that of an answer of 100 chunks that takes 1 s to its first chunk and 3 s from then.
var usualForecast = generation.Forecast{FirstChunk: time.Second, ChunkGap: 30 * time.Millisecond, Chunks: 100}

// newUsefulAnswer returns an answer with 10 s before its deadline that begins only useful attempts.
func newUsefulAnswer(t *testing.T, change func(*generation.Config)) *opaqueAnswer {
	return newOpaqueAnswer(t, func(c *generation.Config) {
		c.UsefulOnly = true
		c.MaxRunQueries, c.EventIntervalGoal = 0, eventIntervalGoal
		if change != nil {
			change(c)
		}
	})
}

// chunks has the latest attempt send the first chunks of the answer.
func (o *opaqueAnswer) chunks(n vaneyoke.Tokens, gap time.Duration) {
	for at := range n {
		o.now = o.now.Add(gap - time.Millisecond)
		o.chunk(at)
	}
}

// isRefused reports whether an attempt was not begun.
func isRefused(effects []generation.Effect) bool {
	return slices.ContainsFunc(effects, func(e generation.Effect) bool {
		notBegun, ok := e.(generation.NotBegun)
		return ok && notBegun.Reason != generation.ReasonReplicaUseless
	})
}

// TestUselessAttemptsAreBegun loses the first attempt at different times before the deadline and checks whether another one follows.
func TestUselessAttemptsAreBegun(t *testing.T) {
	first := generation.Forecast{FirstChunk: time.Second}
	cases := map[string]struct {
		forecast  generation.Forecast
		off       bool // whether the rule is off
		chunks    vaneyoke.Tokens
		gap       time.Duration // between the chunks; 0 for that of usualForecast
		cause     generation.Cause
		replica   vaneyoke.UpstreamID
		remaining time.Duration
		begun     bool
		code      vaneyoke.Code // if it is not begun
	}{
		"in time":                       {forecast: usualForecast, cause: generation.CauseClosed, remaining: 3300 * time.Millisecond, begun: true},
		"answer late":                   {forecast: usualForecast, cause: generation.CauseClosed, remaining: 3100 * time.Millisecond, code: vaneyoke.CodeTimedOut},
		"first chunk in time":           {forecast: first, cause: generation.CauseClosed, remaining: 900 * time.Millisecond, begun: true},
		"first chunk late":              {forecast: first, cause: generation.CauseClosed, remaining: 700 * time.Millisecond, code: vaneyoke.CodeTimedOut},
		"declined":                      {forecast: first, cause: generation.CauseDeclined, remaining: 300 * time.Millisecond, code: vaneyoke.CodeWaitExceeded},
		"never sent":                    {forecast: first, cause: generation.CauseNotSent, remaining: 300 * time.Millisecond, code: vaneyoke.CodeWaitExceeded},
		"failed":                        {forecast: first, cause: generation.CauseFailed, remaining: 300 * time.Millisecond, code: vaneyoke.CodeTimedOut},
		"rule is off":                   {forecast: usualForecast, off: true, cause: generation.CauseClosed, remaining: 300 * time.Millisecond, begun: true},
		"nothing known":                 {cause: generation.CauseClosed, remaining: 50 * time.Millisecond, begun: true},
		"pace not known":                {forecast: generation.Forecast{FirstChunk: time.Second, Chunks: 100}, cause: generation.CauseClosed, remaining: 1500 * time.Millisecond, begun: true},
		"length not known":              {forecast: generation.Forecast{FirstChunk: time.Second, ChunkGap: time.Second}, cause: generation.CauseClosed, remaining: 1500 * time.Millisecond, begun: true},
		"continuation in time":          {forecast: usualForecast, chunks: 50, cause: generation.CauseClosed, remaining: 2100 * time.Millisecond, begun: true},
		"continuation late":             {forecast: usualForecast, chunks: 50, cause: generation.CauseClosed, remaining: 1900 * time.Millisecond, code: vaneyoke.CodeInterrupted},
		"from a replica in time":        {forecast: usualForecast, chunks: 50, cause: generation.CauseClosed, replica: "e2", remaining: 1300 * time.Millisecond, begun: true},
		"from a replica late":           {forecast: usualForecast, chunks: 50, cause: generation.CauseClosed, replica: "e2", remaining: 1100 * time.Millisecond, code: vaneyoke.CodeInterrupted},
		"nearly whole":                  {forecast: usualForecast, chunks: 90, cause: generation.CauseClosed, remaining: 50 * time.Millisecond, begun: true},
		"longer than forecast":          {forecast: usualForecast, chunks: 120, cause: generation.CauseClosed, remaining: 50 * time.Millisecond, begun: true},
		"pace of the answer is quicker": {forecast: generation.Forecast{ChunkGap: time.Second, Chunks: 100}, chunks: 50, gap: 10 * time.Millisecond, cause: generation.CauseClosed, remaining: 500 * time.Millisecond, begun: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := newUsefulAnswer(t, func(c *generation.Config) { c.UsefulOnly = !tc.off })
			deadline := o.now.Add(10 * time.Second)
			o.place(o.handle(generation.Admitted{}), "e1", tc.replica)
			o.chunks(tc.chunks, cmp.Or(tc.gap, usualForecast.ChunkGap))
			o.now = deadline.Add(-tc.remaining)
			o.handle(tc.forecast)
			lost := o.lose(tc.cause)
			must.EqOp(t, tc.begun, has[generation.Place](lost))
			must.EqOp(t, !tc.begun, isRefused(lost))
			if !tc.begun {
				must.EqOp(t, tc.code, find[generation.Fail](t, lost).Code)
				notBegun := find[generation.NotBegun](t, lost)
				must.EqOp(t, 2, notBegun.Attempt)
				must.EqOp(t, tc.replica != "", notBegun.FromReplica)
				return
			}
			must.True(t, has[generation.Start](o.handle(generation.Placed{Attempt: 2, Upstream: "e2", HoldsReplica: tc.replica != ""})))
		})
	}
}

func TestFirstAttemptIsRefused(t *testing.T) {
	o := newUsefulAnswer(t, nil)
	o.handle(generation.Forecast{FirstChunk: time.Minute, ChunkGap: time.Minute, Chunks: 100})
	placed := o.handle(generation.Admitted{})
	must.False(t, has[generation.Fail](placed))
	must.False(t, find[generation.Place](t, placed).Replicate)
	again := o.handle(generation.NotPlaced{Attempt: 1, Code: vaneyoke.CodeNoUpstream})
	must.False(t, isRefused(again))
	must.True(t, has[generation.Start](o.handle(generation.Placed{Attempt: 2, Upstream: "e1"})))
}

// TestUselessAttemptIsBegunAfterALongPlacement checks an attempt again when it is placed: its replica may be gone, and time has passed.
func TestUselessAttemptIsBegunAfterALongPlacement(t *testing.T) {
	cases := map[string]struct {
		replica vaneyoke.UpstreamID
		waited  time.Duration
		begun   bool
	}{
		"at once":         {"", 0, true},
		"late":            {"", 2 * time.Second, false},
		"with a replica":  {"e2", 1600 * time.Millisecond, true},
		"replica is gone": {"e9", 1600 * time.Millisecond, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := newUsefulAnswer(t, nil)
			deadline := o.now.Add(10 * time.Second)
			o.place(o.handle(generation.Admitted{}), "e1", tc.replica)
			o.chunks(50, usualForecast.ChunkGap)
			o.now = deadline.Add(-3 * time.Second)
			o.handle(usualForecast)
			place := find[generation.Place](t, o.lose(generation.CauseClosed))
			o.now = o.now.Add(tc.waited)
			placed := o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e2", HoldsReplica: tc.replica == "e2"})
			must.EqOp(t, tc.begun, has[generation.Start](placed))
			if !tc.begun {
				must.EqOp(t, vaneyoke.CodeInterrupted, find[generation.Fail](t, placed).Code)
				must.False(t, find[generation.Cancel](t, placed).Stop)
			}
		})
	}
}

func TestUselessReplicaIsKept(t *testing.T) {
	cases := map[string]struct {
		forecast generation.Forecast
		timeLeft time.Duration
		off      bool
		kept     bool
	}{
		"in time":                {usualForecast, 10 * time.Second, false, true},
		"nothing known":          {generation.Forecast{}, 50 * time.Millisecond, false, true},
		"caller has no time":     {usualForecast, 3 * time.Second, false, false},
		"rule is off":            {usualForecast, 3 * time.Second, true, true},
		"ends before it is used": {generation.Forecast{FirstChunk: time.Second, ChunkGap: 20 * time.Millisecond, Chunks: 4}, 10 * time.Second, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := newUsefulAnswer(t, func(c *generation.Config) {
				c.UsefulOnly = !tc.off
				c.Deadline = c.Deadline.Add(tc.timeLeft - 10*time.Second)
			})
			o.handle(tc.forecast)
			effects := o.handle(generation.Admitted{})
			must.EqOp(t, tc.kept, find[generation.Place](t, effects).Replicate)
			must.EqOp(t, !tc.kept, has[generation.NotBegun](effects))
		})
	}
}

// TestSilentRunIsGivenUpForNothing lets a run fall silent when no other attempt could end in time: it is kept, and may still complete.
func TestSilentRunIsGivenUpForNothing(t *testing.T) {
	o := newUsefulAnswer(t, nil)
	deadline := o.now.Add(10 * time.Second)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.chunks(50, usualForecast.ChunkGap)
	o.now = deadline.Add(-1900 * time.Millisecond)
	o.handle(usualForecast)
	silent := o.handle(generation.Tick{})
	must.True(t, isRefused(silent))
	must.False(t, has[generation.Cancel](silent) || has[generation.Suspect](silent) || has[generation.Place](silent))
	must.False(t, has[generation.NotBegun](o.handle(generation.Tick{})))
	for at := range vaneyoke.Tokens(50) {
		o.chunk(50 + at)
	}
	must.True(t, has[generation.Finish](o.handle(generation.Ended{Attempt: 1, Reason: vaneyoke.FinishStop})))
}

func TestDeadUpstreamIsKeptForItsSilentRun(t *testing.T) {
	o := newUsefulAnswer(t, nil)
	deadline := o.now.Add(10 * time.Second)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.now = deadline.Add(-3100 * time.Millisecond)
	o.handle(usualForecast)
	o.handle(generation.Tick{})
	fail := find[generation.Fail](t, o.handle(generation.Probed{Attempt: 1, Alive: false}))
	must.EqOp(t, vaneyoke.CodeTimedOut, fail.Code)
}

// TestUselessRunIsLeftToItsDeadline checks that a run without a chunk ends, and is told to its engine, as soon as its chunks cannot come in time. A
// stream that has begun goes on, since its caller still gets a part of the answer.
func TestUselessRunIsLeftToItsDeadline(t *testing.T) {
	for name, chunks := range map[string]vaneyoke.Tokens{"before the first chunk": 0, "in the stream": 20} {
		t.Run(name, func(t *testing.T) {
			o := newUsefulAnswer(t, func(c *generation.Config) {
				c.Silence.FirstToken, c.Silence.Floor, c.Silence.Ceiling = c.MaxWait, c.MaxWait, c.MaxWait
			})
			deadline := o.now.Add(10 * time.Second)
			o.handle(usualForecast)
			o.place(o.handle(generation.Admitted{}), "e1", "")
			o.chunks(chunks, usualForecast.ChunkGap)
			o.handle(generation.Probed{Attempt: 1, Alive: true})
			missing := time.Duration(100-chunks) * usualForecast.ChunkGap * 8 / 10
			o.now = deadline.Add(-missing - 10*time.Millisecond)
			must.False(t, has[generation.Fail](o.handle(generation.Tick{})))
			o.now = deadline.Add(-missing)
			ended := o.handle(generation.Tick{})
			must.EqOp(t, chunks == 0, has[generation.GivenUp](ended))
			must.EqOp(t, chunks == 0, has[generation.Fail](ended))
			if chunks == 0 {
				must.True(t, find[generation.Cancel](t, ended).Stop)
			}
		})
	}
}

// TestForecastsMatterWithoutTheRule plays random events twice: with the rule off, forecasts change no effect.
func TestForecastsMatterWithoutTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		config := generation.DefaultConfig()
		config.Opaque, config.MaxAttempts, config.Deadline, config.MaxWait = true, 4, now.Add(10*time.Second), 10*time.Second
		config.ProbeEvery, config.EventIntervalGoal = 200*time.Millisecond, 700*time.Millisecond
		plain := generation.New(config, rand.New(rand.NewPCG(1, 2)))
		forecast := generation.New(config, rand.New(rand.NewPCG(1, 2)))
		play := func(ev generation.Event) {
			forecast.Handle(now, drawForecast(t))
			must.Eq(t, slices.Clone(plain.Handle(now, ev)), forecast.Handle(now, ev))
			must.Eq(t, plain.NextTick(), forecast.NextTick())
		}
		play(generation.Admitted{})
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			attempt := plain.LatestAttempt()
			play(rapid.SampledFrom([]generation.Event{
				generation.Placed{Attempt: attempt, Upstream: "e1", Replica: "e2", HoldsReplica: true},
				generation.Lost{Attempt: attempt, Cause: generation.CauseClosed},
				generation.Lost{Attempt: attempt, Cause: generation.CauseDeclined},
				generation.NotPlaced{Attempt: attempt, Code: vaneyoke.CodeNoUpstream},
				&generation.Received{Attempt: attempt, Batch: vaneyoke.Batch{First: plain.Transcript().Len(), IDs: []vaneyoke.TokenID{0}, Text: []byte("x")}},
				generation.Probed{Attempt: attempt, Alive: true},
				generation.Tick{},
			}).Draw(t, "event"))
		}
	})
}

func drawForecast(t *rapid.T) generation.Forecast {
	return generation.Forecast{
		FirstChunk: time.Duration(rapid.IntRange(0, 9000).Draw(t, "first")) * time.Millisecond,
		ChunkGap:   time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond,
		Chunks:     vaneyoke.Tokens(rapid.IntRange(0, 30).Draw(t, "chunks")),
	}
}
