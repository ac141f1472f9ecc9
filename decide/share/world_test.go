package share_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

const (
	step        = 5 * time.Millisecond
	followDelay = time.Second // most time until a node has noticed a change of the tree
)

// fleet is a tree of nodes on a virtual clock, which send each other summaries over a network that loses and delays them.
type fleet struct {
	rng      *rand.Rand
	now      time.Time
	nodes    []*node
	index    map[vaneyoke.VMID]*node
	inFlight datagrams
	later    []timed
	loss     float64
	maxDelay time.Duration
}

// node is a member of the fleet.
type node struct {
	member  feed.Member
	state   *share.State
	demands []share.Demand
	totals  share.Totals
	passive bool
	dead    bool
	cutOff  bool
	frozen  []datagram // received while the node is frozen; nil if it is not
	isFroze bool
	parent  vaneyoke.VMID
	kids    []vaneyoke.VMID

	sent, bytes, drops int
	largest            int
}

type datagram struct {
	at   time.Time
	to   *node
	data []byte
}

type timed struct {
	at time.Time
	do func()
}

// datagrams is a heap by arrival.
type datagrams []datagram

func (d datagrams) Len() int           { return len(d) }
func (d datagrams) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d datagrams) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *datagrams) Push(x any)        { *d = append(*d, x.(datagram)) }
func (d *datagrams) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// newFleet returns a fleet in data centres of up to 350 nodes, whose tree is that of the tables.
func newFleet(seed uint64, count int, loss float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, uint64(count))), now: time.Unix(1000, 0), index: map[vaneyoke.VMID]*node{}, loss: loss, maxDelay: 30 * time.Millisecond}
	for i := range count {
		m := feed.Member{VM: vaneyoke.VMID(fmt.Sprintf("edge-raqqada-hall-%d", i)), DataCentre: vaneyoke.DataCentreID(fmt.Sprint("hall-", i/350))}
		n := &node{member: m, state: share.New(m.VM, 1_796_260_312_802, rand.New(rand.NewPCG(seed, uint64(i))))}
		f.nodes = append(f.nodes, n)
		f.index[m.VM] = n
	}
	f.rebuild(0)
	return f
}

// rebuild makes the tree follow the nodes that are alive; each node notices within maxDelay.
func (f *fleet) rebuild(maxDelay time.Duration) {
	var members []feed.Member
	for _, n := range f.nodes {
		if !n.dead {
			members = append(members, n.member)
		}
	}
	tree := feed.NewTree(members)
	kids := map[vaneyoke.VMID][]vaneyoke.VMID{}
	parents := map[vaneyoke.VMID]vaneyoke.VMID{}
	for _, m := range members {
		if candidates := tree.Candidates(m, 1); len(candidates) > 0 {
			parents[m.VM] = candidates[0].VM
			kids[candidates[0].VM] = append(kids[candidates[0].VM], m.VM)
		}
	}
	for _, n := range f.nodes {
		f.after(time.Duration(f.rng.Int64N(int64(maxDelay)+1)), func() {
			n.parent, n.kids = parents[n.member.VM], kids[n.member.VM]
			f.handle(n, share.TreeUpdated{Parent: n.parent, Children: n.kids})
		})
	}
}

func (f *fleet) after(d time.Duration, do func()) { f.later = append(f.later, timed{f.now.Add(d), do}) }

func (f *fleet) handle(n *node, ev share.Event) {
	if n.dead || n.isFroze {
		return
	}
	for _, effect := range n.state.Handle(f.now, ev) {
		switch e := effect.(type) {
		case share.SendSummary:
			f.send(n, e)
		case share.UpdateTotals:
			n.totals = e.Totals
		case share.SummaryDropped:
			n.drops++
		}
	}
}

func (f *fleet) send(n *node, e share.SendSummary) {
	data := share.Encode(e.Summary)
	n.sent++
	n.bytes += len(data) + 1
	n.largest = max(n.largest, len(data))
	to := f.index[e.To]
	if f.rng.Float64() < f.loss || n.cutOff || to.cutOff || to.dead {
		return
	}
	heap.Push(&f.inFlight, datagram{f.now.Add(time.Duration(f.rng.Int64N(int64(f.maxDelay)))), to, data})
}

func (f *fleet) deliver(d datagram) {
	if d.to.isFroze {
		d.to.frozen = append(d.to.frozen, d)
		return
	}
	if s, err := share.Decode(d.data); err == nil {
		f.handle(d.to, share.SummaryReceived{Summary: s})
	}
}

// awake ends a freeze: the node gets all datagrams that its socket has buffered.
func (f *fleet) awake(n *node) {
	n.isFroze = false
	for _, d := range n.frozen {
		f.deliver(d)
	}
	n.frozen = nil
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		var later []timed
		for _, t := range f.later {
			if t.at.After(f.now) {
				later = append(later, t)
			} else {
				t.do()
			}
		}
		f.later = later
		for len(f.inFlight) > 0 && !f.inFlight[0].at.After(f.now) {
			f.deliver(heap.Pop(&f.inFlight).(datagram))
		}
		for _, n := range f.nodes {
			if n.dead || n.isFroze || f.now.Before(n.state.NextTick()) {
				continue
			}
			if !n.passive && n.state.CountDue(f.now) {
				f.handle(n, share.Counted{Demands: n.demands})
			}
			f.handle(n, share.Tick{})
		}
	}
}

// setDemands gives each node a demand of a service at three urgencies, by six of 200 workspaces; one in twenty requests waits.
func (f *fleet) setDemands(scale float64) {
	for _, n := range f.nodes {
		n.demands = nil
		for range 6 {
			tokens := vaneyoke.Tokens(scale * (400 + 400*f.rng.Float64()))
			n.demands = append(n.demands, share.Demand{
				Service: "conversation", Workspace: vaneyoke.WorkspaceID(fmt.Sprint("workspace-", f.rng.IntN(200))), Urgency: share.Urgency(f.rng.IntN(3)),
				Flow: share.Flow{Offered: tokens, Admitted: tokens * 19 / 20, Waiting: tokens / 20},
			})
		}
	}
}

// truth returns the tokens that are offered at all nodes that are alive.
func (f *fleet) truth() (sum float64) {
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		for _, d := range n.demands {
			sum += float64(d.Flow.Offered)
		}
	}
	return sum
}

// errors returns by how much the totals of each node that is alive differ from the truth, as a share of it, sorted.
func (f *fleet) errors() (all []float64) {
	truth := f.truth()
	for _, n := range f.nodes {
		if n.dead || n.isFroze || n.cutOff {
			continue
		}
		var sum float64
		for _, flow := range n.totals.Services["conversation"].Urgencies {
			sum += float64(flow.Offered)
		}
		all = append(all, math.Abs(sum/truth-1))
	}
	slices.Sort(all)
	return all
}

func (f *fleet) root() *node {
	for _, n := range f.nodes {
		if !n.dead && n.parent == "" {
			return n
		}
	}
	return nil
}

// resetCounts starts the counts of messages and bytes anew.
func (f *fleet) resetCounts() {
	for _, n := range f.nodes {
		n.sent, n.bytes = 0, 0
	}
}

// rates is what the nodes of a fleet send per second.
type rates struct{ meanMessages, mostMessages, meanBytes, mostBytes, largest float64 }

func (f *fleet) rates(over time.Duration) (r rates) {
	for _, n := range f.nodes {
		messages, bytes := float64(n.sent)/over.Seconds(), float64(n.bytes)/over.Seconds()
		r.meanMessages += messages / float64(len(f.nodes))
		r.meanBytes += bytes / float64(len(f.nodes))
		r.mostMessages, r.mostBytes, r.largest = max(r.mostMessages, messages), max(r.mostBytes, bytes), max(r.largest, float64(n.largest))
	}
	return r
}

func (r rates) String() string {
	return fmt.Sprintf("messages a second: mean %.1f, most %.1f; bytes a second: mean %.0f, most %.0f; largest summary %.0f bytes", r.meanMessages, r.mostMessages, r.meanBytes, r.mostBytes, r.largest)
}

func (r rates) check(t *testing.T) {
	t.Helper()
	must.LessEq(t, 20, r.mostMessages)
	must.LessEq(t, 2000, r.meanBytes)
	must.LessEq(t, share.MaxBytes, int(r.largest))
}

func startedFleet(count int) *fleet {
	f := newFleet(7, count, 0)
	f.setDemands(1)
	f.advance(4 * time.Second)
	return f
}

// mustAgree checks that all nodes that are alive include the demand of a number of nodes.
func (f *fleet) mustAgree(t *testing.T, nodes int) {
	t.Helper()
	for _, n := range f.nodes {
		if !n.dead {
			must.EqOp(t, nodes, n.totals.Nodes, must.Sprint(n.member.VM))
		}
	}
}

// nodeWithChildren returns a node that has a parent and children.
func (f *fleet) nodeWithChildren() *node {
	f.advance(step)
	for _, n := range f.nodes {
		if n.parent != "" && len(n.kids) > 0 {
			return n
		}
	}
	return nil
}

// subtree returns a node and all that follow it, directly or not.
func (f *fleet) subtree(n *node) []*node {
	all := []*node{n}
	for _, vm := range n.kids {
		all = append(all, f.subtree(f.index[vm])...)
	}
	return all
}
