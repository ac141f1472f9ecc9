package pacing_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	worldSeeds = 5
	shortWait  = 8 * time.Second  // leaves time for few returns
	longWait   = 60 * time.Second // leaves time for all work to be done
	peakBound  = 0.5              // by which the returns of a bin exceed what drains in it at most
	repeatGain = 0.02             // by which callers that repeat at once and then wait are served more often at most
	fixedLoss  = 0.1              // by which fairness suffers at least with a fixed Retry-After
)

// TestCallerThatRepeatsAtOnceIsServedMoreOften has a third of the callers repeat four times at once instead of waiting, and then leave. With a
// fixed Retry-After, those that wait are served less often.
func TestCallerThatRepeatsAtOnceIsServedMoreOften(t *testing.T) {
	for seed := range uint64(worldSeeds) {
		paced, fixed := run(scenario{paced: true, wait: shortWait, seed: seed}), run(scenario{wait: shortWait, seed: seed})
		t.Logf("seed %d: paced %+v, fixed %+v", seed, paced, fixed)
		must.GreaterEq(t, paced.repeating, paced.patient)
		must.Less(t, paced.patient-fixedLoss, fixed.patient, must.Sprint("the world is too easy to show the failure"))
	}
}

// TestCallerThatRepeatsAtOnceAndThenWaitsIsServedMoreOften has those callers wait as told after their last repeat. They ask other nodes, too,
// which cannot tell them from first comers. With a fixed Retry-After, they are served more often than those that wait.
func TestCallerThatRepeatsAtOnceAndThenWaitsIsServedMoreOften(t *testing.T) {
	for seed := range uint64(worldSeeds) {
		paced := run(scenario{paced: true, persists: true, wait: shortWait, seed: seed})
		fixed := run(scenario{persists: true, wait: shortWait, seed: seed})
		t.Logf("seed %d: paced %+v, fixed %+v", seed, paced, fixed)
		must.LessEq(t, paced.patient+repeatGain, paced.repeating)
		must.Greater(t, fixed.patient+fixedLoss, fixed.repeating, must.Sprint("the world is too easy to show the failure"))
	}
}

// TestRejectedCallersComeBackInABurst checks that no more callers come back at once than can be drained, and that all that wait are served.
func TestRejectedCallersComeBackInABurst(t *testing.T) {
	for seed := range uint64(worldSeeds) {
		paced, fixed := run(scenario{paced: true, wait: longWait, seed: seed}), run(scenario{wait: longWait, seed: seed})
		t.Logf("seed %d: paced %+v, fixed %+v", seed, paced, fixed)
		must.LessEq(t, 1+peakBound, paced.peak)
		must.EqOp(t, 1, paced.patient)
		must.Greater(t, 1+peakBound, fixed.peak, must.Sprint("the world is too easy to show the failure"))
	}
}

// TestFleetDoesNotRecoverAfterLoad checks that the fleet is back to normal within afterLoad. How soon it can be depends on the wait of the
// callers: what they have asked for beyond the drain is either done or given up by then.
func TestFleetDoesNotRecoverAfterLoad(t *testing.T) {
	for seed := range uint64(worldSeeds) {
		paced := run(scenario{paced: true, wait: shortWait, seed: seed})
		must.LessEq(t, afterLoad, paced.lastReturn)
		must.LessEq(t, afterLoad, paced.lastRejected)
	}
}
