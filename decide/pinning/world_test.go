package pinning_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
)

// Guards against callers who come back after kills, losses, joins and beside earlier builds, and are sent to another version, or refused though
// enough nodes live on that were told.
func TestStreamsWhoseNodesAreLost(t *testing.T) {
	cases := map[string]struct {
		disrupt func(w *world)
		known   float64 // least share of the streams that go on
	}{
		"one node after the other": {func(w *world) {
			for i := range 5 {
				w.kill(w.nodes[i:i+1], time.Second)
				w.run(time.Second)
			}
		}, 1},
		"a tenth, one in twenty datagrams lost": {func(w *world) {
			w.loss = 0.05
			w.run(4 * time.Second)
			w.kill(w.share(0.1), time.Second)
		}, 0.99},
		"a data centre": {func(w *world) {
			var fallen []*worldNode
			for _, n := range w.nodes {
				if n.zone == "zone-1" {
					fallen = append(fallen, n)
				}
			}
			w.kill(fallen, 20*time.Second)
		}, 0.99},
		"six in ten at once": {func(w *world) { w.kill(w.share(0.6), time.Second) }, 0.8},
		"six in ten, and the others five seconds later": {func(w *world) {
			first := w.share(0.6)
			w.kill(first, time.Second)
			w.run(5 * time.Second)
			var others []*worldNode
			for _, n := range w.nodes {
				if n.lives == 1 {
					others = append(others, n)
				}
			}
			w.kill(others, time.Second)
		}, 0.5},
		"a third frozen, a tenth killed": {func(w *world) {
			for _, n := range w.share(0.33) {
				n.frozen = w.now.Add(3 * time.Second)
			}
			w.run(time.Second)
			w.kill(w.share(0.1), time.Second)
		}, 0.95},
		"as many nodes join, a tenth is killed": {func(w *world) {
			joining := len(w.nodes)
			for i := range joining {
				w.add(joining + i)
			}
			w.publish()
			w.run(time.Second)
			w.kill(w.share(0.1), time.Second)
		}, 0.9},
	}
	for name, tc := range cases {
		for _, nodes := range []int{7, 90, 410} {
			t.Run(fmt.Sprint(name, ", ", nodes, " nodes"), func(t *testing.T) {
				t.Parallel()
				w := newWorld(uint64(nodes), nodes)
				w.run(settles)
				w.traffic(min(streamsPerNode, maxStreamRate/float64(nodes)), 20*time.Second)
				w.run(5 * time.Second)
				tc.disrupt(w)
				w.run(10 * time.Second)
				t.Logf("%d of %d streams go on, %d at another version, decided after %s on the mean", w.known, w.resumed, w.wrong, w.waited/time.Duration(max(w.resumed, 1)))
				must.EqOp(t, 0, w.wrong)
				must.GreaterEq(t, tc.known*float64(w.resumed)-1, float64(w.known))
			})
		}
	}
}

// Guards against streams that are refused in calm times because nodes run the build before, which keeps no records.
func TestStreamsBesideEarlierBuilds(t *testing.T) {
	w := newWorld(5, 90)
	for _, n := range w.nodes[:45] {
		n.old = true
	}
	w.publish()
	w.run(settles)
	w.traffic(streamsPerNode, 20*time.Second)
	w.run(5 * time.Second)
	before := 0
	for _, st := range w.streams {
		if st.node.old {
			st.ended = true // the build before tells nobody
			before++
		}
	}
	w.kill(w.nodes[45:55], time.Second)
	w.run(5 * time.Second)
	t.Logf("%d of %d streams go on, %d at another version; %d were begun by the build before", w.known, w.resumed, w.wrong, before)
	must.EqOp(t, 0, w.wrong)
	must.EqOp(t, w.resumed, w.known)
}

// Guards against streams of a version that the node at which their callers come back has not heard of yet.
func TestStreamsOfAVersionThatIsNew(t *testing.T) {
	for _, nodes := range []int{7, 90, 410} {
		w := newWorld(uint64(nodes), nodes)
		w.run(settles)
		w.versions = []vaneyoke.SoftwareVersion{"v1"}
		w.traffic(min(streamsPerNode, maxStreamRate/float64(nodes)), 20*time.Second)
		w.run(5 * time.Second)
		w.versions = append(w.versions, "v2")
		for _, n := range w.nodes {
			n.late = "v2"
			w.after(time.Duration(w.rng.Int64N(int64(2*time.Second))), func() { n.late = "" })
		}
		for range 6 {
			w.run(300 * time.Millisecond)
			w.kill(w.share(max(0.1, 1/float64(nodes))), 5*time.Second)
		}
		w.run(5 * time.Second)
		t.Logf("%d nodes: %d of %d streams go on, %d at another version", nodes, w.known, w.resumed, w.wrong)
		must.EqOp(t, 0, w.wrong)
		must.GreaterEq(t, 0.95*float64(w.resumed)-1, float64(w.known))
	}
}

// Guards against records whose cost grows with the fleet.
func TestCostOfRecords(t *testing.T) {
	for _, nodes := range []int{7, 90, 410, 1043} {
		w := newWorld(1, nodes)
		w.run(settles)
		w.datagrams, w.bytes = 0, 0
		rate := min(streamsPerNode, maxStreamRate/float64(nodes))
		w.traffic(rate, 10*time.Second)
		w.run(10 * time.Second)
		streams := float64(len(w.streams))
		t.Logf("%d nodes: %.1f datagrams and %.0f bytes a stream, %.0f bytes a second and node sent", nodes, float64(w.datagrams)/streams, float64(w.bytes)/streams, float64(w.bytes)/10/float64(nodes))
		must.LessEq(t, 13, float64(w.datagrams)/streams)
		must.LessEq(t, 3000, float64(w.bytes)/10/float64(nodes))
	}
}
