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

func none(*node) bool { return false }

// sizes are the numbers of nodes that the bounds hold for alike, and outageSizes those at which outages are played.
var (
	sizes       = []int{7, 60, 300}
	outageSizes = append(sizes, 1043)
)

// TestQuietFleet has one node read the store and no node be followed by many, whatever the size.
func TestQuietFleet(t *testing.T) {
	for _, size := range sizes {
		w := newWorld(1, size, 5)
		w.startAll()
		took, ok := w.untilFresh(5*time.Second, none)
		must.True(t, ok)
		w.run(15 * time.Second)
		calls, asks, offers := w.calls, w.asks, w.offers
		w.run(20 * time.Second)
		t.Log(size, "nodes: fresh after", took, "calls at the start", calls, "later", w.calls-calls, "asks", w.asks-asks, "offers", w.offers-offers)
		must.Len(t, 1, w.readers())
		must.Less(t, 25, w.calls-calls)
		must.EqOp(t, 0, w.asks-asks)
		must.EqOp(t, 0, w.offers-offers)
		for _, n := range w.nodes {
			must.LessEq(t, 10, len(n.streams))
		}
	}
}

// TestOutage has the store away for a while, in which most nodes lose power: the calls to it are bounded by data centres, nodes
// that come back soon hold the tables of those that stayed, and the store's return is soon known.
func TestOutage(t *testing.T) {
	const centres, length = 5, 8 * time.Second
	for _, size := range outageSizes {
		w := newWorld(2, size, centres)
		w.startAll()
		w.run(10 * time.Second)
		w.storeDown = true
		w.run(time.Second)
		before := w.calls
		killed := 0
		for _, n := range w.nodes {
			if w.rng.Float64() < 0.6 {
				killed++
				n.stop(true)
				w.after(time.Second+time.Duration(w.rng.Int64N(int64(200*time.Millisecond))), n.start)
			}
		}
		w.run(2200 * time.Millisecond)
		waiting := 0
		for _, n := range w.nodes {
			if n.heldAt.IsZero() {
				waiting++
			}
		}
		w.run(length - 3200*time.Millisecond)
		calls := w.calls - before
		w.storeDown = false
		took, ok := w.untilFresh(5*time.Second, none)
		t.Log(size, "nodes,", killed, "killed:", calls, "calls,", waiting, "without tables a second after their return; fresh", took, "after the store's")
		must.True(t, ok)
		must.LessEq(t, killed/50, waiting)
		must.LessEq(t, 2*killed+40*centres, calls)
		must.LessEq(t, 2*time.Second, took)
		w.run(15 * time.Second)
		must.Len(t, 1, w.readers())
	}
}

// TestAllStartWhileTheStoreIsAway kills all nodes in an outage, so that nobody is left to offer anything: they serve soon after the store's return.
func TestAllStartWhileTheStoreIsAway(t *testing.T) {
	for i, size := range slices.Concat(sizes, sizes) {
		w := newWorld(6, size, 5)
		w.silent = i >= len(sizes)
		w.startAll()
		w.run(10 * time.Second)
		w.storeDown = true
		for _, n := range w.nodes {
			n.stop(true)
		}
		w.run(time.Second)
		before := w.calls
		w.startAll()
		w.run(4 * time.Second)
		calls := w.calls - before
		w.storeDown = false
		took, ok := w.untilFresh(5*time.Second, none)
		t.Log(size, "nodes, silent", w.silent, ": fresh", took, "after the store's return,", calls, "calls before")
		must.True(t, ok)
		must.LessEq(t, 3*time.Second, took)
		must.LessEq(t, 8*size, calls)
	}
}

// TestMembersAloneFail has a store that does not tell a new node the members: it reads all else by itself.
func TestMembersAloneFail(t *testing.T) {
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

// TestLongOutage holds that the calls of a long outage do not grow with the nodes.
func TestLongOutage(t *testing.T) {
	const centres = 5
	for _, size := range outageSizes {
		w := newWorld(3, size, centres)
		w.startAll()
		w.run(10 * time.Second)
		w.storeDown = true
		before := w.calls
		w.run(30 * time.Second)
		t.Log(size, "nodes:", w.calls-before, "calls in half a minute")
		must.LessEq(t, 30*centres*5, w.calls-before)
	}
}

// oldest lets time pass and returns the greatest age of any node's tables meanwhile.
func (w *world) oldest(during time.Duration) (oldest time.Duration) {
	const step = 10 * time.Millisecond
	for began := w.now; w.now.Sub(began) < during; w.run(step) {
		for _, n := range w.nodes {
			if n.up {
				oldest = max(oldest, n.state.Status(w.now).Age)
			}
		}
	}
	return oldest
}

// TestReadersCutOff cuts nodes from the store that read it, or that would in their place: the rest have to find another way
// within a bound, and those that are cut off take their tables from others.
func TestReadersCutOff(t *testing.T) {
	const centres = 5
	cases := map[string]func(w *world, i int, n *node) bool{
		"the reader":               func(_ *world, _ int, n *node) bool { return n.reading == feed.ReadAll },
		"a third":                  func(_ *world, i int, _ *node) bool { return i%3 == 0 },
		"most that have followers": func(w *world, _ int, n *node) bool { return n.state.FollowerCount() > 0 && w.rng.Float64() < 0.9 },
	}
	for name, cut := range cases {
		for i, size := range slices.Concat(sizes, sizes) {
			w := newWorld(4, size, centres)
			w.silent = i >= len(sizes)
			w.startAll()
			w.run(10 * time.Second)
			for i, n := range w.nodes {
				n.cut = cut(w, i, n)
			}
			oldest := w.oldest(10 * time.Second)
			t.Log(name, size, "nodes, silent", w.silent, ": oldest tables", oldest)
			must.LessEq(t, 3*time.Second, oldest, must.Sprint(name, size))
		}
	}
}

// TestAnyTroubleEnds plays random deaths, losses of power, cuts and outages among some nodes: once all is well, the tables of all are fresh
// soon, one node reads the store, and no more than a few follow any.
func TestAnyTroubleEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const centres = 3
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 40).Draw(t, "nodes"), centres)
		w.startAll()
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"kill", "power", "cut", "heal", "start", "outage", "back", "herd", "reader"}).Draw(t, "step") {
			case "kill":
				n.stop(false)
			case "power":
				n.stop(true)
			case "cut":
				n.cut = true
			case "heal":
				n.cut = false
			case "start":
				n.start()
			case "outage":
				w.storeDown = true
			case "back":
				w.storeDown = false
			case "herd":
				for _, other := range w.nodes {
					if w.rng.Float64() < 0.6 {
						other.stop(w.rng.Float64() < 0.5)
					}
				}
			case "reader":
				for _, reader := range w.readers() {
					reader.stop(false)
				}
			}
			w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		w.storeDown = false
		for _, n := range w.nodes {
			n.cut = false
			n.start()
		}
		_, ok := w.untilFresh(3*time.Second, none)
		must.True(t, ok)
		w.run(15 * time.Second)
		must.Len(t, 1, w.readers())
		for _, n := range w.nodes {
			must.LessEq(t, fanOut+centres, len(n.streams))
		}
		_, ok = w.untilFresh(0, none)
		must.True(t, ok)
	})
}

// fanOut is how many nodes of a data centre may follow one for good.
const fanOut = 4

// TestAllKilled kills all nodes at once.
func TestAllKilled(t *testing.T) {
	for _, size := range sizes {
		w := newWorld(5, size, 5)
		w.startAll()
		w.run(10 * time.Second)
		for _, n := range w.nodes {
			n.stop(false)
		}
		w.run(500 * time.Millisecond)
		before := w.calls
		w.startAll()
		w.run(300 * time.Millisecond)
		took, ok := w.untilFresh(5*time.Second, none)
		t.Log(size, "nodes: fresh", took, "after the last start,", w.calls-before, "calls")
		must.True(t, ok)
		must.LessEq(t, time.Second, took)
		must.LessEq(t, 2*size+60, w.calls-before)
	}
}
