package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	slowLeast  = 100 * time.Millisecond
	slowMost   = 400 * time.Millisecond
	usualTime  = 30 * time.Millisecond // of a short call when nothing is slow
	slowFor    = 4 * time.Second       // longest time for which engines stay slow
	troubleGap = 500 * time.Millisecond
	hushEvery  = 50 * time.Millisecond
)

// trouble has engines slow, failing or silent, and the configuration changed, until ctx ends.
func (s *stopSoak) trouble(ctx context.Context, rng *rand.Rand) {
	for wait(ctx, time.Duration(rng.Int64N(int64(troubleGap)))) {
		switch rng.IntN(8) {
		case 0, 1, 2:
			s.slow(slowLeast+time.Duration(rng.Int64N(int64(slowMost-slowLeast))), rng.IntN(4) == 0)
			wait(ctx, time.Duration(rng.Int64N(int64(slowFor))))
			s.usual()
		case 3, 4:
			fail := platformtest.Fault{Status: http.StatusInternalServerError}
			s.engine(rng).Spoil(fail, fail, fail)
		case 5:
			s.engine(rng).Spoil(s.silence(rng))
		case 6:
			s.engine(rng).Spoil([]platformtest.Fault{{Reset: true}, {BreakAt: 5, HalfEvent: true}, {Decline: 503}}[rng.IntN(3)])
		case 7:
			s.configure()
		}
	}
}

// hush has engines never answer some requests until ctx ends.
func (s *stopSoak) hush(ctx context.Context, rng *rand.Rand) {
	for wait(ctx, hushEvery) {
		s.engine(rng).Spoil(platformtest.Fault{Hang: true})
	}
}

func (s *stopSoak) silence(rng *rand.Rand) platformtest.Fault {
	if rng.IntN(2) == 0 {
		return platformtest.Fault{Hang: true}
	}
	return platformtest.Fault{SilentAt: 1 + rng.IntN(platformtest.Events)}
}

// slow has the engines of short calls, or all, take a while before each answer.
func (s *stopSoak) slow(delay time.Duration, all bool) {
	for _, e := range s.engines {
		if all || e.Service == "shop" {
			e.SpoilAll(platformtest.Fault{Delay: delay})
		}
	}
}

// usual ends slowness.
func (s *stopSoak) usual() {
	s.slow(0, true)
	s.slow(usualTime, false)
}

// calm ends all faults of engines.
func (s *stopSoak) calm() {
	s.usual()
	for _, e := range s.engines {
		e.Spoil()
	}
}

// wait waits for a while, and reports whether ctx still runs.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// ready waits for a node to be ready, and reports whether it is.
func ready(n *soakNode) bool {
	for start := time.Now(); time.Since(start) < patient; time.Sleep(10 * time.Millisecond) {
		res, err := http.Get(n.readyURL())
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
