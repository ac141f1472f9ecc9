package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/retry"
)

var start = time.Unix(1000, 0)

func TestBreaker(t *testing.T) {
	fail := func(b *retry.Breaker, now time.Time) { b.Failed(now) }
	send := func(b *retry.Breaker, now time.Time) { b.Sent(now) }
	succeed := func(b *retry.Breaker, _ time.Time) { b.Succeeded() }
	inconclusive := func(b *retry.Breaker, _ time.Time) { b.Inconclusive() }
	type step struct {
		after time.Duration
		act   func(*retry.Breaker, time.Time)
		open  bool // whether the breaker refuses requests after the step
	}
	cases := map[string][]step{
		"three failures open it":            {{0, fail, false}, {0, fail, false}, {0, fail, true}},
		"a success resets the count":        {{0, fail, false}, {0, fail, false}, {0, succeed, false}, {0, fail, false}},
		"one trial at a time":               {{0, fail, false}, {0, fail, false}, {0, fail, true}, {time.Second, send, true}},
		"trial succeeds":                    {{0, fail, false}, {0, fail, false}, {0, fail, true}, {time.Second, send, true}, {0, succeed, false}},
		"failed trial doubles the pause":    {{0, fail, false}, {0, fail, false}, {0, fail, true}, {time.Second, send, true}, {0, fail, true}, {900 * time.Millisecond, inconclusive, true}, {200 * time.Millisecond, inconclusive, false}},
		"late failures have no effect":      {{0, fail, false}, {0, fail, false}, {0, fail, true}, {0, fail, true}, {600 * time.Millisecond, inconclusive, false}},
		"inconclusive trial allows another": {{0, fail, false}, {0, fail, false}, {0, fail, true}, {time.Second, send, true}, {0, inconclusive, false}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			b := retry.NewBreaker(retry.DefaultBreakerConfig())
			now := start
			for i, s := range steps {
				now = now.Add(s.after)
				s.act(b, now)
				must.EqOp(t, s.open, !b.Allows(now), must.Sprintf("step %d", i))
			}
		})
	}
}

// TestBudgetBoundsRetryStorm simulates the loss of a data centre, where each admitted request attempts ten retries.
func TestBudgetBoundsRetryStorm(t *testing.T) {
	const requests, seconds = 100, 60
	b := retry.NewBudget(retry.DefaultBudgetConfig())
	retries, now := 0, start
	for range requests * seconds {
		now = now.Add(time.Second / requests)
		b.Admit(now)
		for range 10 {
			if b.Take(now) {
				retries++
			}
		}
	}
	// A fifth of the requests, ten retries a second and the initial burst.
	must.LessEq(t, requests*seconds/5+10*seconds+500+1, retries)
	must.Greater(t, requests*seconds/5, retries)
}

// TestWindowedBudget checks that the retries within any window stay within what the requests of the same window allow:
// with requests only, with requests and retries, while idle, and with retries only.
func TestWindowedBudget(t *testing.T) {
	const window = 10 * time.Second
	config := retry.BudgetConfig{Ratio: 0.5, Burst: 3, Window: window}
	b := retry.NewBudget(config)
	var admitted, taken []time.Time
	now := start
	for step := range 60_000 {
		now = now.Add(time.Millisecond)
		phase := step / 15_000 // requests only, requests and retries, idle, retries only
		if phase < 2 && step%100 == 0 {
			b.Admit(now)
			admitted = append(admitted, now)
		}
		if phase%2 == 1 && b.Take(now) {
			taken = append(taken, now)
		}
	}
	must.Positive(t, len(taken))
	within := func(times []time.Time, from, to time.Time) (n int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
		return n
	}
	const slack = 1 // whole slots are counted: up to half a second more of requests
	for _, at := range taken {
		requests := within(admitted, at.Add(-window-window/20), at)
		retries := within(taken, at.Add(-window), at.Add(time.Nanosecond))
		must.LessEq(t, config.Burst+config.Ratio*float64(requests)+slack, float64(retries))
	}
	// Retries use what the requests of the same phase allow: nothing was accumulated before.
	stormRetries := within(taken, start.Add(15*time.Second), start.Add(25*time.Second))
	must.GreaterEq(t, 45, stormRetries)
}

// TestWindowUsesMonotonicClock sets the wall clock forward and back while the monotonic clock runs normally. A window that
// used the wall clock would stop advancing or be emptied.
func TestWindowUsesMonotonicClock(t *testing.T) {
	began := time.Now()
	wallSet := shiftWallClock(began, time.Hour)
	must.EqOp(t, 0, wallSet.Sub(began))
	must.EqOp(t, 3600, wallSet.Unix()-began.Unix())
	b := retry.NewBudget(retry.BudgetConfig{Burst: 2, Window: 10 * time.Second})
	at := func(elapsed, wallShift time.Duration) time.Time { return shiftWallClock(began.Add(elapsed), wallShift) }
	must.True(t, b.Take(at(0, 0)))
	must.True(t, b.Take(at(time.Second, time.Hour)))
	must.False(t, b.Take(at(2*time.Second, time.Hour)))
	must.False(t, b.Take(at(3*time.Second, -time.Hour)))
	must.True(t, b.Take(at(12*time.Second, -time.Hour)))
}

// TestUnsentRetryCanBeTakenAgain checks that a retry which was taken and given back can be taken again, and that GiveBack without a
// Take adds nothing.
func TestUnsentRetryCanBeTakenAgain(t *testing.T) {
	for name, cfg := range map[string]retry.BudgetConfig{
		"accumulated retries": {Burst: 2},
		"window":              {Burst: 2, Window: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b := retry.NewBudget(cfg)
			now := start
			b.GiveBack(now)
			for range 2 {
				must.True(t, b.Take(now))
			}
			must.False(t, b.Take(now))
			now = now.Add(3 * time.Second)
			b.GiveBack(now)
			must.True(t, b.Take(now))
			must.False(t, b.Take(now))
		})
	}
}

// TestLeftMatchesSuccessfulTakes takes retries until none are left, and compares their number with what Left returned.
func TestLeftMatchesSuccessfulTakes(t *testing.T) {
	for name, window := range map[string]time.Duration{"accumulated retries": 0, "in a window": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			b := retry.NewBudget(retry.BudgetConfig{Ratio: 0.5, PerSecond: 1, Burst: 20, Window: window})
			now := start
			for range 10 {
				now = now.Add(time.Second)
				b.Admit(now)
				left, took := b.Left(now), 0
				for b.Take(now) {
					took++
				}
				must.EqOp(t, int(left), took)
				must.Less(t, 1.0, b.Left(now))
			}
		})
	}
}
