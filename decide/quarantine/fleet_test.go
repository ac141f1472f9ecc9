package quarantine_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const simulatedTime = 24 * time.Second

var seeds = flag.Uint64("worlds", 1, "simulations of each scenario")

// repeat returns a scenario that injects a fault at a given time and at every interval after it.
func repeat(from, interval time.Duration, inject func(sim *simulation, round int)) func(sim *simulation) {
	return func(sim *simulation) {
		if elapsed := sim.elapsed(); elapsed >= from && (elapsed-from)%interval == 0 {
			inject(sim, int((elapsed-from)/interval))
		}
	}
}

// everyThird returns every third node, beginning with the given one.
func everyThird(sim *simulation, from int) (all []int) {
	for i := from % 3; i < len(sim.nodes); i += 3 {
		all = append(all, i)
	}
	return all
}

func allNodes(sim *simulation) (all []int) {
	for i := range sim.nodes {
		all = append(all, i)
	}
	return all
}

var scenarios = map[string]func(sim *simulation){
	"none":                                  func(*simulation) {},
	"all nodes restart":                     repeat(time.Second, 5*time.Second, func(sim *simulation, _ int) { sim.restartNodes(allNodes(sim)...) }),
	"a third of the nodes restarts in turn": repeat(time.Second, 1500*time.Millisecond, func(sim *simulation, round int) { sim.restartNodes(everyThird(sim, round)...) }),
	"a third of the nodes is frozen":        repeat(time.Second, 4*time.Second, func(sim *simulation, round int) { sim.freeze(3*time.Second, everyThird(sim, round)...) }),
	"a third of the nodes is partitioned": repeat(time.Second, 3*time.Second, func(sim *simulation, round int) {
		sim.setPartitioned(false, everyThird(sim, round+1)...)
		sim.setPartitioned(round < 5, everyThird(sim, round+2)...)
	}),
	"nodes are added": repeat(2*time.Second, 2*time.Second, func(sim *simulation, _ int) { sim.addNode() }),
	"the store is unavailable": repeat(step, 4*time.Second, func(sim *simulation, round int) {
		sim.setStoreDown(round%2 == 0 && round < 4)
	}),
	"the store is unavailable and all nodes restart": func(sim *simulation) {
		sim.setStoreDown(sim.elapsed() > 3*time.Second && sim.elapsed() < 8*time.Second)
		repeat(5*time.Second, time.Hour, func(sim *simulation, _ int) { sim.restartNodes(allNodes(sim)...) })(sim)
	},
	"the store is unavailable and the reader restarts": func(sim *simulation) {
		sim.setStoreDown(sim.elapsed() < 6*time.Second)
		repeat(5*time.Second, 2*time.Second, func(sim *simulation, _ int) { sim.restartNodes(sim.reader) })(sim)
	},
	"upstreams crash for other reasons": repeat(time.Second, 2*time.Second, func(sim *simulation, round int) {
		for i := range sim.upstreams {
			if i%3 == round%3 && !sim.now.Before(sim.upstreams[i].upAt) {
				sim.restartUpstream(i)
			}
		}
	}),
}

// TestCrashingContentIsBlocked sends a request that crashes every upstream which begins to run it to random nodes again and again, with fleets of
// four sizes and under faults. Once three seconds have passed since the third crash, nodes that were undisturbed for three seconds send it at most
// three times in all. No bystander request is blocked, and neither datagrams nor writes grow with the number of nodes.
func TestCrashingContentIsBlocked(t *testing.T) {
	for _, nodes := range []int{1, 7, 90, 1043} {
		for name, inject := range scenarios {
			for _, kind := range []string{"new ids", "same ids", "same ids without incarnation"} {
				if nodes == 1043 && kind != "same ids" {
					continue
				}
				t.Run(fmt.Sprintf("%d/%s/%s", nodes, name, kind), func(t *testing.T) {
					t.Parallel()
					for seed := range *seeds {
						sim := newSimulation(seed, nodes, func(sim *simulation) {
							sim.sameIDs, sim.hidesIncarnation = kind != "new ids", kind == "same ids without incarnation"
						})
						sim.run(simulatedTime, func() { inject(sim) })
						if seed == 0 {
							t.Logf("%d sends, %d crashes, %d late sends; %d bystander requests lost, %d datagrams (at most %d by one node), %d writes",
								sim.sent, len(sim.crashes), sim.lateSends, sim.bystanders, sim.datagrams, sim.maxPerNode, sim.writes)
						}
						must.LessEq(t, 3, sim.lateSends, must.Sprint("seed ", seed))
						must.SliceEmpty(t, sim.wronglyBlocked, must.Sprint("seed ", seed))
						must.GreaterEq(t, 3, len(sim.crashes))
					}
				})
			}
		}
	}
}

// TestCostWithoutFaults measures what such a request costs a fleet: a few upstreams, some datagrams per node and a few writes.
func TestCostWithoutFaults(t *testing.T) {
	for _, nodes := range []int{7, 90, 1043} {
		for seed := range 2 * *seeds {
			sim := newSimulation(seed, nodes, nil)
			sim.run(simulatedTime, nil)
			t.Logf("%d nodes: %d crashes, %d sends, %d datagrams (at most %d by one node), %d writes", nodes, len(sim.crashes), sim.sent, sim.datagrams, sim.maxPerNode, sim.writes)
			must.LessEq(t, 12, len(sim.crashes))
			must.LessEq(t, 40, sim.writes)
			must.LessEq(t, 5*(1+2*sim.bystandersPerCrash)*len(sim.crashes), sim.maxPerNode) // five neighbours; for each crash the poison, the bystanders, and the completion of these
		}
	}
}
