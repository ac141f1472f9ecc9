package feed_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke/decide/feed"
)

func excludeNone(*node) bool { return false }

// sizes are the fleet sizes for which the same bounds hold, and outageSizes those of the outage tests.
var (
	sizes       = []int{7, 60, 300}
	outageSizes = append(sizes, 1043)
)

// TestSteadyStateHasOneReader checks that one node reads the store and no node has many followers, whatever the fleet's size.
func TestSteadyStateHasOneReader(t *testing.T) {
	for _, size := range sizes {
		sim := newSimulation(1, size, 5)
		sim.startAll()
		took, ok := sim.untilFresh(5*time.Second, excludeNone)
		must.True(t, ok)
		sim.run(15 * time.Second)
		calls, asks, offers := sim.calls, sim.asks, sim.offers
		sim.run(20 * time.Second)
		t.Log(size, "nodes: fresh after", took, "calls at the start", calls, "later", sim.calls-calls, "asks", sim.asks-asks, "offers", sim.offers-offers)
		must.Len(t, 1, sim.readers())
		must.Less(t, 25, sim.calls-calls)
		must.EqOp(t, 0, sim.asks-asks)
		must.EqOp(t, 0, sim.offers-offers)
		for _, n := range sim.nodes {
			must.LessEq(t, 10, len(n.streams))
		}
	}
}

// TestStoreOutageWithPowerLoss takes the store down while most nodes lose power: the store calls are bounded by the number of
// killed nodes and data centres, nodes that come back soon have the tables of those that stayed, and all nodes are fresh soon
// after the store's return.
func TestStoreOutageWithPowerLoss(t *testing.T) {
	const centres, length = 5, 8 * time.Second
	for _, size := range outageSizes {
		sim := newSimulation(2, size, centres)
		sim.startAll()
		sim.run(10 * time.Second)
		sim.storeDown = true
		sim.run(time.Second)
		before := sim.calls
		killed := 0
		for _, n := range sim.nodes {
			if sim.rng.Float64() < 0.6 {
				killed++
				n.stop(true)
				sim.after(time.Second+time.Duration(sim.rng.Int64N(int64(200*time.Millisecond))), n.start)
			}
		}
		sim.run(2200 * time.Millisecond)
		waiting := 0
		for _, n := range sim.nodes {
			if n.heldAt.IsZero() {
				waiting++
			}
		}
		sim.run(length - 3200*time.Millisecond)
		calls := sim.calls - before
		sim.storeDown = false
		took, ok := sim.untilFresh(5*time.Second, excludeNone)
		t.Log(size, "nodes,", killed, "killed:", calls, "calls,", waiting, "without tables a second after their return; fresh", took, "after the store's")
		must.True(t, ok)
		must.LessEq(t, killed/50, waiting)
		must.LessEq(t, 2*killed+40*centres, calls)
		must.LessEq(t, 2*time.Second, took)
		sim.run(15 * time.Second)
		must.Len(t, 1, sim.readers())
	}
}

// TestAllStartDuringStoreOutage kills all nodes in an outage, so that no node is left to offer tables: all are fresh soon after
// the store's return.
func TestAllStartDuringStoreOutage(t *testing.T) {
	for i, size := range slices.Concat(sizes, sizes) {
		sim := newSimulation(6, size, 5)
		sim.slowErrors = i >= len(sizes)
		sim.startAll()
		sim.run(10 * time.Second)
		sim.storeDown = true
		for _, n := range sim.nodes {
			n.stop(true)
		}
		sim.run(time.Second)
		before := sim.calls
		sim.startAll()
		sim.run(4 * time.Second)
		calls := sim.calls - before
		sim.storeDown = false
		took, ok := sim.untilFresh(5*time.Second, excludeNone)
		t.Log(size, "nodes, slow errors", sim.slowErrors, ": fresh", took, "after the store's return,", calls, "calls before")
		must.True(t, ok)
		must.LessEq(t, 3*time.Second, took)
		must.LessEq(t, 8*size, calls)
	}
}

// TestOnlyMemberListFails has a store that does not return the list of members to a new node: the node then reads all other
// tables itself.
func TestOnlyMemberListFails(t *testing.T) {
	now := time.Unix(1000, 0)
	s := feed.New(feed.Member{VM: "a"}, feed.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	must.Eq(t, []feed.Effect{feed.SetReadMode{Mode: feed.ReadMembers}}, s.Handle(now, feed.Started{}))
	must.SliceEmpty(t, s.Handle(now.Add(100*time.Millisecond), feed.StoreFailed{}))
	now = s.NextTick(now)
	for range 3 {
		if effects := s.Handle(now, feed.Tick{}); len(effects) > 0 {
			must.Eq(t, []feed.Effect{feed.SetReadMode{Mode: feed.ReadAll}}, effects)
		}
		now = s.NextTick(now)
	}
	must.EqOp(t, feed.ReadAll, s.ReadMode())
	s.Handle(now, feed.StoreRead{Status: feed.TableStatus{Complete: true, Reader: "a"}})
	must.True(t, s.Fresh(now))
	must.EqOp(t, feed.ReadAll, s.ReadMode())
}

// TestStoreCallsInLongOutage checks that the store calls of a long outage do not grow with the number of nodes.
func TestStoreCallsInLongOutage(t *testing.T) {
	const centres = 5
	for _, size := range outageSizes {
		sim := newSimulation(3, size, centres)
		sim.startAll()
		sim.run(10 * time.Second)
		sim.storeDown = true
		before := sim.calls
		sim.run(30 * time.Second)
		t.Log(size, "nodes:", sim.calls-before, "calls in half a minute")
		must.LessEq(t, 30*centres*5, sim.calls-before)
	}
}

// maxAge advances the clock and returns the greatest age of any node's tables meanwhile.
func (sim *simulation) maxAge(during time.Duration) (oldest time.Duration) {
	const step = 10 * time.Millisecond
	for began := sim.now; sim.now.Sub(began) < during; sim.run(step) {
		for _, n := range sim.nodes {
			if n.up {
				oldest = max(oldest, n.state.Status(sim.now).Age)
			}
		}
	}
	return oldest
}

// TestReadersCutOff cuts nodes off from the store that read it, or that would take over: the others have to find another way
// within a bound, and those that are cut off take their tables from others.
func TestReadersCutOff(t *testing.T) {
	const centres = 5
	cases := map[string]func(sim *simulation, i int, n *node) bool{
		"the reader": func(_ *simulation, _ int, n *node) bool { return n.readMode == feed.ReadAll },
		"a third":    func(_ *simulation, i int, _ *node) bool { return i%3 == 0 },
		"most that have followers": func(sim *simulation, _ int, n *node) bool {
			return n.state.FollowerCount() > 0 && sim.rng.Float64() < 0.9
		},
	}
	for name, cut := range cases {
		for i, size := range slices.Concat(sizes, sizes) {
			sim := newSimulation(4, size, centres)
			sim.slowErrors = i >= len(sizes)
			sim.startAll()
			sim.run(10 * time.Second)
			for i, n := range sim.nodes {
				n.cutOff = cut(sim, i, n)
			}
			oldest := sim.maxAge(10 * time.Second)
			t.Log(name, size, "nodes, slow errors", sim.slowErrors, ": oldest tables", oldest)
			must.LessEq(t, 3*time.Second, oldest, must.Sprint(name, size))
		}
	}
}

// TestRecoversFromRandomFaults plays random crashes, power losses, cut-off nodes and outages: once all faults are over, all
// nodes are fresh soon, one node reads the store, and no node has more than a few followers.
func TestRecoversFromRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const centres = 3
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 40).Draw(t, "nodes"), centres)
		sim.startAll()
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			n := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"kill", "power", "cut", "heal", "start", "outage", "back", "herd", "reader"}).Draw(t, "step") {
			case "kill":
				n.stop(false)
			case "power":
				n.stop(true)
			case "cut":
				n.cutOff = true
			case "heal":
				n.cutOff = false
			case "start":
				n.start()
			case "outage":
				sim.storeDown = true
			case "back":
				sim.storeDown = false
			case "herd":
				for _, other := range sim.nodes {
					if sim.rng.Float64() < 0.6 {
						other.stop(sim.rng.Float64() < 0.5)
					}
				}
			case "reader":
				for _, reader := range sim.readers() {
					reader.stop(false)
				}
			}
			sim.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		sim.storeDown = false
		for _, n := range sim.nodes {
			n.cutOff = false
			n.start()
		}
		_, ok := sim.untilFresh(3*time.Second, excludeNone)
		must.True(t, ok)
		sim.run(15 * time.Second)
		must.Len(t, 1, sim.readers())
		for _, n := range sim.nodes {
			must.LessEq(t, fanOut+centres, len(n.streams))
		}
		_, ok = sim.untilFresh(0, excludeNone)
		must.True(t, ok)
	})
}

// fanOut is how many nodes of a data centre may permanently follow the same node.
const fanOut = 4

// TestAllKilled kills all nodes at once: they are fresh soon after they restart, with few store calls.
func TestAllKilled(t *testing.T) {
	for _, size := range sizes {
		sim := newSimulation(5, size, 5)
		sim.startAll()
		sim.run(10 * time.Second)
		for _, n := range sim.nodes {
			n.stop(false)
		}
		sim.run(500 * time.Millisecond)
		before := sim.calls
		sim.startAll()
		sim.run(300 * time.Millisecond)
		took, ok := sim.untilFresh(5*time.Second, excludeNone)
		t.Log(size, "nodes: fresh", took, "after the last start,", sim.calls-before, "calls")
		must.True(t, ok)
		must.LessEq(t, time.Second, took)
		must.LessEq(t, 2*size+60, sim.calls-before)
	}
}
