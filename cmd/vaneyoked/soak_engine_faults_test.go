package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	minSlowDelay = 100 * time.Millisecond
	maxSlowDelay = 400 * time.Millisecond
	baseDelay    = 30 * time.Millisecond // of a short call without slowness
	maxSlowTime  = 4 * time.Second       // for which engines stay slow
	maxFaultGap  = 500 * time.Millisecond
	hangInterval = 50 * time.Millisecond
)

// disruptEngines slows engines down, makes them fail or hang, and changes the configuration, until ctx ends.
func (s *stopSoak) disruptEngines(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, time.Duration(rng.Int64N(int64(maxFaultGap)))) {
		switch rng.IntN(8) {
		case 0, 1, 2:
			s.setDelay(minSlowDelay+time.Duration(rng.Int64N(int64(maxSlowDelay-minSlowDelay))), rng.IntN(4) == 0)
			sleepContext(ctx, time.Duration(rng.Int64N(int64(maxSlowTime))))
			s.resetDelays()
		case 3, 4:
			fail := platformtest.Fault{Status: http.StatusInternalServerError}
			s.randomEngine(rng).Spoil(fail, fail, fail)
		case 5:
			s.randomEngine(rng).Spoil(s.randomSilence(rng))
		case 6:
			s.randomEngine(rng).Spoil([]platformtest.Fault{{Reset: true}, {BreakAt: 5, HalfEvent: true}, {Decline: 503}}[rng.IntN(3)])
		case 7:
			s.configure()
		}
	}
}

// hangEngines makes engines hang on some requests until ctx ends.
func (s *stopSoak) hangEngines(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, hangInterval) {
		s.randomEngine(rng).Spoil(platformtest.Fault{Hang: true})
	}
}

func (s *stopSoak) randomSilence(rng *rand.Rand) platformtest.Fault {
	if rng.IntN(2) == 0 {
		return platformtest.Fault{Hang: true}
	}
	return platformtest.Fault{SilentAt: 1 + rng.IntN(platformtest.Events)}
}

// setDelay sets the delay before each answer of the engines for short calls, or of all engines.
func (s *stopSoak) setDelay(delay time.Duration, all bool) {
	for _, e := range s.engines {
		if all || e.Service == "shop" {
			e.SpoilAll(platformtest.Fault{Delay: delay})
		}
	}
}

// resetDelays gives all engines their normal delays.
func (s *stopSoak) resetDelays() {
	s.setDelay(0, true)
	s.setDelay(baseDelay, false)
}

// clearFaults removes all faults of engines.
func (s *stopSoak) clearFaults() {
	s.resetDelays()
	for _, e := range s.engines {
		e.Spoil()
	}
}

// sleepContext waits for d, and returns false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// becomesReady waits for a node to be ready, and reports whether it is within maxWait.
func becomesReady(n *soakNode) bool {
	for start := time.Now(); time.Since(start) < maxWait; time.Sleep(10 * time.Millisecond) {
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
