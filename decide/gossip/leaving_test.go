package gossip_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
)

// countLeaving has a number of nodes get an answer of an upstream that shuts down every 100 ms for 4 s, and returns the most sightings that a
// node was sent.
func countLeaving(nodes int) int {
	f := newFleet(nodes, services(1))
	received := make([]int, nodes)
	for since := time.Duration(0); since < 6*time.Second; since += step {
		for _, d := range f.inFlight {
			received[d.to] += len(d.sightings)
		}
		f.advance()
		if since%(100*time.Millisecond) != 0 || since > 4*time.Second {
			continue
		}
		for i := range f.nodes {
			f.handle(i, gossip.Observed{Upstream: "u0", Kind: gossip.KindLeaving, Run: gossip.Run{Incarnation: 5}})
		}
	}
	return slices.Max(received)
}

// TestTrafficAboutShutdownsDoesNotGrowWithTheFleet has all nodes be told by the same upstream. Each one reported it three times a second to all
// the others, so that a node of a fleet of 60 got 826 sightings in 4 s.
func TestTrafficAboutShutdownsDoesNotGrowWithTheFleet(t *testing.T) {
	for _, nodes := range []int{3, 60, 400} {
		most := countLeaving(nodes)
		t.Logf("%d nodes: at most %d sightings", nodes, most)
		must.LessEq(t, 100, most)
	}
}

// TestShutdownReachesAllNodes has a single node, or two, be told by an upstream while one datagram in twenty is lost.
func TestShutdownReachesAllNodes(t *testing.T) {
	for _, tellers := range [][]int{{7}, {7, 301}} {
		f := newFleet(400, services(1))
		f.lossRate = 0.05
		heard := make([]bool, 400)
		f.applied = func(i int, s gossip.Sighting) {
			heard[i] = heard[i] || s.Kind == gossip.KindLeaving && s.Incarnation == 5
		}
		for since := time.Duration(0); since < 4*time.Second; since += step {
			f.advance()
			for _, i := range tellers {
				f.handle(i, gossip.Observed{Upstream: "u0", Kind: gossip.KindLeaving, Run: gossip.Run{Incarnation: 5}})
			}
		}
		for i := range heard {
			must.True(t, heard[i] || i == tellers[0] || i == tellers[len(tellers)-1], must.Sprint(tellers, i))
		}
	}
}

// TestNodeWithoutNeighboursForgets has a node without neighbours lose requests for a quarter of an hour: what it had reported to nobody stayed
// in memory, an entry for each report.
func TestNodeWithoutNeighboursForgets(t *testing.T) {
	s := gossip.New("vm", 0)
	now := time.Unix(1000, 0)
	for i := range 9000 {
		now = now.Add(100 * time.Millisecond)
		s.Handle(now, gossip.Observed{Upstream: "answers", Kind: gossip.KindLeaving})
		s.Handle(now, gossip.Observed{Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i)), Kind: gossip.KindLost})
	}
	must.LessEq(t, 500, s.Entries())
}
