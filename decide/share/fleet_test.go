package share_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

// TestTotalsAreWrong has fleets of up to 1,043 nodes on a network that loses one message in ten. Three seconds after the demand has changed, and
// after another node has become the root, the totals of all nodes must be within a tenth of the truth; messages and bytes of a node must not grow
// with the fleet.
func TestTotalsAreWrong(t *testing.T) {
	for _, count := range []int{1, 60, 410, 1043} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			within, samples := 0, 0
			for seed := uint64(1); seed <= 3; seed++ {
				f := newFleet(seed, count, 0.1)
				f.setDemands(1)
				f.advance(5 * time.Second)
				f.setDemands(3)
				f.advance(3 * time.Second)
				changed := f.errors()
				f.resetCounts()
				for range 40 {
					f.advance(250 * time.Millisecond)
					for _, e := range f.errors() {
						samples++
						if e <= 0.1 {
							within++
						}
					}
				}
				r := f.rates(10 * time.Second)
				t.Logf("seed %d: 3 s after a change off by %.3f at most (median %.3f); %s", seed, changed[count-1], changed[count/2], r)
				must.LessEq(t, 0.1, changed[count-1])
				r.check(t)
				if count == 1 {
					continue
				}
				f.root().dead = true
				f.rebuild(followDelay)
				f.advance(followDelay + 3*time.Second)
				replaced := f.errors()
				t.Logf("seed %d: 3 s after another node became the root off by %.3f at most (median %.3f)", seed, replaced[len(replaced)-1], replaced[len(replaced)/2])
				must.LessEq(t, 0.1, replaced[len(replaced)-1])
			}
			t.Logf("within a tenth in %.4f of %d samples", float64(within)/float64(samples), samples)
			must.GreaterEq(t, 0.98, float64(within)/float64(samples))
		})
	}
}

// TestTrafficGrowsWithTheFleet measures what the nodes send on a network that loses nothing.
func TestTrafficGrowsWithTheFleet(t *testing.T) {
	for _, count := range []int{1, 60, 410, 1043} {
		f := newFleet(1, count, 0)
		f.maxDelay = 2 * time.Millisecond
		f.setDemands(1)
		f.advance(5 * time.Second)
		f.resetCounts()
		f.advance(5 * time.Second)
		r := f.rates(5 * time.Second)
		t.Logf("%d nodes: %s", count, r)
		r.check(t)
		must.LessEq(t, 2000, r.mostBytes)
	}
}

// TestOveruseIsSeenByNoNode has one workspace ask for twelve times as much as any other, spread over 60 nodes; each other one is spread over five.
// At each node all workspaces ask for the same, so that a node alone sees nothing unusual.
func TestOveruseIsSeenByNoNode(t *testing.T) {
	const (
		perNode = 8
		spread  = 5
		tokens  = 200
		heavy   = vaneyoke.WorkspaceID("heavy")
	)
	f := newFleet(1, 60, 0.1)
	for i, n := range f.nodes {
		demand := func(workspace vaneyoke.WorkspaceID) {
			n.demands = append(n.demands, share.Demand{Service: "conversation", Workspace: workspace, Urgency: 1, Flow: share.Flow{Offered: tokens, Admitted: tokens / 2, Waiting: tokens / 2}})
		}
		demand(heavy)
		for k := range perNode {
			demand(vaneyoke.WorkspaceID(fmt.Sprintf("workspace-%d-%d", i/spread, k)))
		}
	}
	for _, n := range f.nodes {
		alone := share.New("alone", 1, rand.New(rand.NewPCG(1, 1)))
		alone.Handle(f.now, share.Counted{Demands: n.demands})
		effects := alone.Handle(alone.NextTick(), share.Tick{})
		must.Len(t, 1, effects)
		must.EqOp(t, 1, effects[0].(share.UpdateTotals).Totals.Overuse("conversation", heavy))
	}
	f.advance(4 * time.Second)
	least, most := math.Inf(1), 0.
	for _, n := range f.nodes {
		overuse := n.totals.Overuse("conversation", heavy)
		least, most = min(least, overuse), max(most, overuse)
		must.EqOp(t, 60, n.totals.Nodes)
		must.InDelta(t, 12*perNode, n.totals.Services["conversation"].Active-1, 12)
		for _, d := range n.demands[1:] {
			must.EqOp(t, 1, n.totals.Overuse("conversation", d.Workspace), must.Sprint(d.Workspace))
		}
	}
	t.Logf("overuse seen by the nodes: %.2f to %.2f", least, most)
	must.GreaterEq(t, 4, least)
}

// TestNodeFails has nodes killed, cut off and frozen: the others must have right totals soon, and so must the node itself when it is back.
func TestNodeFails(t *testing.T) {
	t.Run("killed, while the tree stays as it is", func(t *testing.T) {
		f := startedFleet(60)
		lost := f.subtree(f.nodeWithChildren())
		lost[0].dead = true
		f.advance(3 * time.Second)
		for _, n := range f.nodes {
			switch {
			case n.dead:
			case slices.Contains(lost, n):
				must.LessEq(t, len(lost), n.totals.Nodes)
			default:
				must.EqOp(t, 60-len(lost), n.totals.Nodes)
			}
			must.True(t, n.dead || n.totals.Fresh(f.now))
		}
		f.rebuild(followDelay)
		f.advance(followDelay + 3*time.Second)
		f.mustAgree(t, 59)
	})
	t.Run("cut off", func(t *testing.T) {
		f := startedFleet(60)
		n := f.nodeWithChildren()
		n.cutOff = true
		f.advance(2*time.Second + interval + 100*time.Millisecond)
		must.EqOp(t, 1, n.totals.Nodes)
		must.True(t, n.totals.Fresh(f.now))
		n.cutOff = false
		f.advance(3 * time.Second)
		f.mustAgree(t, 60)
	})
	t.Run("frozen and awake", func(t *testing.T) {
		f := startedFleet(60)
		n := f.nodeWithChildren()
		n.isFroze = true
		f.advance(7 * time.Second)
		must.False(t, n.totals.Fresh(f.now))
		n.sent = 0
		f.awake(n)
		must.LessEq(t, 5*len(n.kids)+5, n.sent)
		f.advance(3 * time.Second)
		f.mustAgree(t, 60)
	})
	t.Run("restarted", func(t *testing.T) {
		f := startedFleet(60)
		n := f.nodeWithChildren()
		n.state = share.New(n.member.VM, 1_796_260_312_802+60_000, rand.New(rand.NewPCG(9, 9)))
		f.handle(n, share.TreeUpdated{Parent: n.parent, Children: n.kids})
		f.advance(3 * time.Second)
		f.mustAgree(t, 60)
	})
	t.Run("passive nodes between active ones", func(t *testing.T) {
		f := newFleet(7, 60, 0)
		f.setDemands(1)
		n := f.nodeWithChildren()
		n.passive, f.root().passive = true, true
		f.advance(4 * time.Second)
		f.mustAgree(t, 58)
	})
	t.Run("all passive", func(t *testing.T) {
		f := newFleet(7, 60, 0)
		for _, n := range f.nodes {
			n.passive = true
		}
		f.advance(10 * time.Second)
		must.Zero(t, f.rates(time.Second).mostMessages)
	})
}

// TestTreeHasALoop has three nodes follow one another in a circle, as nodes may whose tables are old: the sums must not grow.
func TestTreeHasALoop(t *testing.T) {
	f := startedFleet(3)
	for i, n := range f.nodes {
		n.parent, n.kids = f.nodes[(i+1)%3].member.VM, []vaneyoke.VMID{f.nodes[(i+2)%3].member.VM}
		f.handle(n, share.TreeUpdated{Parent: n.parent, Children: n.kids})
	}
	for range 200 {
		f.advance(100 * time.Millisecond)
		for _, n := range f.nodes {
			must.LessEq(t, 6, n.totals.Nodes) // the circle may be counted twice until its totals come back
			must.True(t, n.totals.Fresh(f.now))
		}
	}
	f.rebuild(0)
	f.advance(5 * time.Second)
	f.mustAgree(t, 3)
}
