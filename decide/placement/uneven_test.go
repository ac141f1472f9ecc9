package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/placement"
)

const unevenEngines = 48

// threeSpeeds gives a third of the engines of each data centre 0.6, 1 and 1.6 of the speed.
func threeSpeeds(e *outageEngine, _ time.Duration) float64 {
	return []float64{0.6, 1, 1.6}[e.number()/3%3]
}

// slowHalf makes half of the engines three times slower for seven seconds.
func slowHalf(e *outageEngine, now time.Duration) float64 {
	if isSurge(now) && e.number()%2 == 0 {
		return 1.0 / 3
	}
	return 1
}

func isSurge(now time.Duration) bool { return now >= 10*time.Second && now < 17*time.Second }

// surge triples a rate for seven seconds.
func surge(rate float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if isSurge(at) {
			return 3 * rate
		}
		return rate
	}
}

// TestEnginesOfUnequalSpeedAreUsedPoorly has engines at 0.6, 1 and 1.6 of the speed get 30 requests a second: nodes that spread by memory, work and
// speed serve at least nine tenths of what a policy that knows all serves in time, the others less. At 20 a second, knowing the speeds shortens the
// time to the first token.
func TestEnginesOfUnequalSpeedAreUsedPoorly(t *testing.T) {
	t.Parallel()
	play := func(name string, rate float64, chooser outageChooser) unevenResult {
		sim := newUnevenSim(1, rate, chooser)
		sim.speed = threeSpeeds
		return playUneven(t, name, sim)
	}
	bound := play("all known", 30, allKnowing{})
	on, off := play("on", 30, newUnevenChooser(placement.SpreadOn)), play("off", 30, newUnevenChooser(placement.SpreadOff))
	must.Greater(t, 0.9*bound.inTime, on.inTime)
	must.Less(t, 0.9*bound.inTime, off.inTime)
	unseen := newUnevenChooser(placement.SpreadOn)
	unseen.ignoresPace = true
	seenAt20, unseenAt20 := play("on, 20 a second", 20, newUnevenChooser(placement.SpreadOn)), play("speeds not seen, 20 a second", 20, unseen)
	must.Less(t, unseenAt20.firstToken*95/100, seenAt20.firstToken)
}

// TestRunsAreDisplacedWhileHalfOfTheEnginesAreSlow has half of the engines be three times slower for seven seconds at three times the traffic: at
// most a fifth as many runs are displaced as without the spread, and as many requests are served, in time and at all.
func TestRunsAreDisplacedWhileHalfOfTheEnginesAreSlow(t *testing.T) {
	t.Parallel()
	play := func(name string, spread placement.Spread) unevenResult {
		sim := newUnevenSim(1, 20, newUnevenChooser(spread))
		sim.speed, sim.arrivalRate = slowHalf, surge(20)
		return playUneven(t, name, sim)
	}
	on, off := play("on", placement.SpreadOn), play("off", placement.SpreadOff)
	must.LessEq(t, off.displaced/5, on.displaced)
	must.GreaterEq(t, off.inTime, on.inTime)
	must.GreaterEq(t, off.served, on.served)
}

// TestStaleReportsOverloadOneEngine has 60 nodes choose by reports of 200 ms ago while memory is short: the busiest engine gets at most 1.5 times
// the mean, and more without the spread.
func TestStaleReportsOverloadOneEngine(t *testing.T) {
	t.Parallel()
	play := func(name string, spread placement.Spread) unevenResult {
		return playUneven(t, name, newUnevenSim(1, 38, newUnevenChooser(spread)))
	}
	on, off := play("on", placement.SpreadOn), play("off", placement.SpreadOff)
	must.LessEq(t, 1.5, on.busiest)
	must.Greater(t, 1.5, off.busiest)
	must.Greater(t, off.inTime, on.inTime)
}

// TestReplicasAreMissingWhenADataCentreFalls has a data centre fall every six seconds: where memory is free, as many requests are served in time as
// with replicas for all, and where it is short, more.
func TestReplicasAreMissingWhenADataCentreFalls(t *testing.T) {
	t.Parallel()
	for rate, leastGain := range map[float64]float64{20: -0.02, 30: 0.03} {
		play := func(name string, spread placement.Spread) (sum unevenResult) {
			for seed := range uint64(3) {
				sim := newUnevenSim(seed, rate, newUnevenChooser(spread))
				sim.outages = outages
				r := playUneven(t, name, sim)
				sum.inTime += r.inTime / 3
				sum.displaced += r.displaced
			}
			return sum
		}
		on, off := play("on", placement.SpreadOn), play("off", placement.SpreadOff)
		must.Greater(t, off.inTime+leastGain, on.inTime)
		must.Less(t, off.displaced/2, on.displaced)
	}
}

// TestLostMessagesUndoTheSpread loses a third of the reports and of the gossip during the surge.
func TestLostMessagesUndoTheSpread(t *testing.T) {
	t.Parallel()
	play := func(name string, spread placement.Spread) unevenResult {
		chooser := newUnevenChooser(spread)
		chooser.reportLoss, chooser.gossipLoss = 1.0/3, 1.0/3
		sim := newUnevenSim(1, 20, chooser)
		sim.speed, sim.arrivalRate = slowHalf, surge(20)
		return playUneven(t, name, sim)
	}
	on, off := play("on", placement.SpreadOn), play("off", placement.SpreadOff)
	must.LessEq(t, off.displaced/4, on.displaced)
	must.GreaterEq(t, off.inTime, on.inTime)
}
