package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/retry"
)

var start = time.Unix(1000, 0)

func TestBreaker(t *testing.T) {
	fail := func(b *retry.Breaker, now time.Time) { b.Failed(now) }
	sent := func(b *retry.Breaker, now time.Time) { b.Sent(now) }
	good := func(b *retry.Breaker, _ time.Time) { b.Succeeded() }
	drop := func(b *retry.Breaker, _ time.Time) { b.Dropped() }
	type step struct {
		after time.Duration
		act   func(*retry.Breaker, time.Time)
		open  bool // whether work is held back after the step
	}
	cases := map[string][]step{
		"opens after three":         {{0, fail, false}, {0, fail, false}, {0, fail, true}},
		"a success between":         {{0, fail, false}, {0, fail, false}, {0, good, false}, {0, fail, false}},
		"one trial at a time":       {{0, fail, false}, {0, fail, false}, {0, fail, true}, {time.Second, sent, true}},
		"trial succeeds":            {{0, fail, false}, {0, fail, false}, {0, fail, true}, {time.Second, sent, true}, {0, good, false}},
		"trial fails, longer pause": {{0, fail, false}, {0, fail, false}, {0, fail, true}, {time.Second, sent, true}, {0, fail, true}, {900 * time.Millisecond, drop, true}, {200 * time.Millisecond, drop, false}},
		"late failures do not add":  {{0, fail, false}, {0, fail, false}, {0, fail, true}, {0, fail, true}, {600 * time.Millisecond, drop, false}},
		"trial ends without a word": {{0, fail, false}, {0, fail, false}, {0, fail, true}, {time.Second, sent, true}, {0, drop, false}},
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

// TestBudgetBoundsAStorm loses a hall: each request wants to be tried again, ten times as often as requests come.
func TestBudgetBoundsAStorm(t *testing.T) {
	const requests, seconds = 100, 60
	b := retry.NewBudget(retry.DefaultBudgetConfig())
	retries, now := 0, start
	for range requests * seconds {
		now = now.Add(time.Second / requests)
		b.Admit()
		for range 10 {
			if b.Take(now) {
				retries++
			}
		}
	}
	// A fifth of the requests, ten a second and what was saved up.
	must.LessEq(t, requests*seconds/5+10*seconds+500+1, retries)
	must.Greater(t, requests*seconds/5, retries)
}
