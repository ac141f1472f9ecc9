package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

// extraRequests is the number of requests beyond the exposure that a bad version may get.
const extraRequests = 50

var versions = map[string]struct {
	version
	isBad bool
}{
	"good":               {version{}, false},
	"fails at once":      {version{behaviour: behaviour{failureRate: 0.5}}, true},
	"fails a third":      {version{behaviour: behaviour{failureRate: 0.35}}, true},
	"slow":               {version{behaviour: behaviour{slowdown: 5}}, true},
	"fails later":        {version{behaviour: behaviour{failureRate: 0.5}, badAfter: 8 * time.Second}, true},
	"slow later":         {version{behaviour: behaviour{slowdown: 5}, badAfter: 8 * time.Second}, true},
	"fails under load":   {version{behaviour: behaviour{failureRate: 0.5}, badAboveLoad: 8}, true},
	"fails on one route": {version{behaviour: behaviour{failureRate: 0.6}, badRoutes: map[vaneyoke.RouteID]bool{"r1": true}}, true},
	"slow on one route":  {version{behaviour: behaviour{slowdown: 5}, badRoutes: map[vaneyoke.RouteID]bool{"r0": true}}, true},
}

// faults maps names of faults to functions that inject them; they are called at each step.
var faults = map[string]func(sim *simulation){
	"none": func(*simulation) {},
	"reader killed again and again": func(sim *simulation) {
		if sim.elapsed()%(3*time.Second) == 0 {
			sim.kill(time.Second, sim.reader())
		}
	},
	"a third partitioned": func(sim *simulation) {
		for i, n := range sim.nodes {
			n.partitioned = i%3 == 1 && sim.elapsed() > 2*time.Second && sim.elapsed() < 7*time.Second
		}
	},
	"store down for a while":       func(sim *simulation) { sim.storeDown = sim.elapsed() > 3*time.Second && sim.elapsed() < 8*time.Second },
	"store down when it turns bad": func(sim *simulation) { sim.storeDown = sim.elapsed() > 7*time.Second && sim.elapsed() < 14*time.Second },
	"all killed": func(sim *simulation) {
		if sim.elapsed() == 6*time.Second {
			for i := range sim.nodes {
				sim.kill(500*time.Millisecond, i)
			}
		}
	},
}

// TestRollOuts simulates versions with faults on fleets of three sizes. A bad version must never get more than its share of all requests,
// must get none later than 5 s after its 50th bad answer, and must be reverted. A good one must be completed in time. No stage may follow a
// final one, and nothing may run at the old upstreams when they are stopped.
func TestRollOuts(t *testing.T) {
	for _, nodes := range []int{6, 90, 1043} {
		for name, v := range versions {
			for fault, inject := range faults {
				if nodes == 1043 && (fault != "none" && fault != "reader killed again and again") {
					continue
				}
				t.Run(fmt.Sprintf("%d/%s/%s", nodes, name, fault), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(4) {
						sim := newSimulation(seed, nodes, func(sim *simulation) { sim.target = v.version })
						sim.run(sim.within+3*time.Second, func() { inject(sim) })
						checkSimulation(t, sim, v.isBad, fmt.Sprintf("seed %d", seed))
					}
				})
			}
		}
	}
}

func checkSimulation(t *testing.T, sim *simulation, isBad bool, seed string) {
	t.Helper()
	for i, stage := range sim.written {
		if i > 0 {
			must.False(t, sim.written[i-1].Final(), must.Sprint(seed, sim.written))
			must.Greater(t, sim.written[i-1], stage, must.Sprint(seed, sim.written))
		}
	}
	last := sim.written[len(sim.written)-1]
	if !isBad {
		must.EqOp(t, rollout.StageCompleted, last, must.Sprint(seed, sim.written, sim.row))
		must.EqOp(t, 0, sim.interrupted, must.Sprint(seed))
		return
	}
	must.EqOp(t, rollout.StageReverted, last, must.Sprint(seed, sim.written, sim.row))
	must.LessEq(t, exposure*float64(sim.requests)+extraRequests, float64(sim.targetRequests), must.Sprint(seed, sim.written))
	must.EqOp(t, 0, sim.lateRequests, must.Sprint(seed))
}

// TestRevertsWithTooFewAnswers orders a rollout on a service with a request every few seconds. By the deadline nothing shows that the version
// is good, so the old upstreams must be kept.
func TestRevertsWithTooFewAnswers(t *testing.T) {
	for _, nodes := range []int{1, 6, 90} {
		for seed := range uint64(10) {
			sim := newSimulation(seed, nodes, func(sim *simulation) { sim.rate = 0.3 })
			sim.run(sim.within+3*time.Second, nil)
			must.EqOp(t, rollout.StageReverted, sim.written[len(sim.written)-1], must.Sprint(nodes, " ", seed, sim.written))
			must.EqOp(t, rollout.ReasonTooFew, sim.row.Reason)
		}
	}
}

// TestShortDeadlineWithLongStreams orders a rollout within 12 s at 46 requests per second on 90 nodes, whose requests run for 1 s.
func TestShortDeadlineWithLongStreams(t *testing.T) {
	completed, reverted := 0, 0
	for seed := range uint64(20) {
		for _, isBad := range []bool{false, true} {
			sim := newSimulation(seed, 90, func(sim *simulation) {
				sim.rate, sim.requestTime, sim.within, sim.upstreams = 46, time.Second, 12*time.Second, 180
				if isBad {
					sim.target.behaviour = behaviour{failureRate: 0.4}
				}
			})
			sim.run(sim.within+time.Second, nil)
			switch last := sim.written[len(sim.written)-1]; {
			case isBad:
				checkSimulation(t, sim, true, fmt.Sprintf("seed %d", seed))
				reverted++
			case last == rollout.StageCompleted:
				completed++
			}
		}
	}
	t.Logf("%d of 20 good versions completed, %d of 20 bad versions reverted", completed, reverted)
	must.GreaterEq(t, 18, completed)
}
