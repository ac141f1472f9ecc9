package overlay_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/overlay"
)

// world is a fleet on a clock of its own, whose nodes connect to upstreams directly or through one another.
type world struct {
	rng       *rand.Rand
	now       time.Time
	nodes     []*fakeNode
	upstreams []string
	down      map[string]bool // upstreams that accept no connections
}

type fakeNode struct {
	state     *overlay.State
	isCut     func(address string) bool // nil for none
	helps     int                       // connections that it made for others
	asked     int                       // requests for detours that it sent
	dialled   int                       // connection attempts that it made for others
	connected int                       // own connections
	failed    int
}

const (
	perSecond     = 5 // requests at each node
	dialTimeout   = 120 * time.Millisecond
	helperTimeout = 60 * time.Millisecond
)

func newWorld(nodes, upstreams int) *world {
	w := &world{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), down: map[string]bool{}}
	candidates := make([]overlay.Candidate, nodes)
	for i := range nodes {
		candidates[i] = overlay.Candidate{VM: vaneyoke.VMID(fmt.Sprint(i)), DataCentre: vaneyoke.DataCentreID(fmt.Sprint(i % dataCentres))}
	}
	for i := range nodes {
		n := &fakeNode{state: overlay.New(candidates[i].DataCentre, rand.New(rand.NewPCG(uint64(i), 3)))}
		n.state.SetCandidates(append(append([]overlay.Candidate{}, candidates[:i]...), candidates[i+1:]...))
		w.nodes = append(w.nodes, n)
	}
	for i := range upstreams {
		w.upstreams = append(w.upstreams, fmt.Sprint("upstream-", i))
	}
	return w
}

func (w *world) reaches(n *fakeNode, address string) bool {
	return !w.down[address] && (n.isCut == nil || !n.isCut(address))
}

// connect plays one connection of a node, and reports whether it was made.
func (w *world) connect(n *fakeNode, address string) bool {
	plan := n.state.Plan(w.now, address)
	if plan.Probe && w.tryDirect(n, address) {
		return true
	}
	directFailed := false
	for _, way := range plan.Ways {
		if !n.state.MayTry(w.now, address, way) {
			continue
		}
		if way.IsDirect() {
			if w.reaches(n, address) {
				return w.tryDirect(n, address)
			}
			directFailed = true // known later than what the helpers answer
			continue
		}
		if w.tryDetour(n, address, way.Helper) {
			if directFailed {
				n.state.DirectFailed(w.now.Add(dialTimeout), address)
			}
			return true
		}
	}
	n.state.NoneConnected(w.now.Add(dialTimeout), address)
	return w.tryDirect(n, address)
}

func (w *world) tryDirect(n *fakeNode, address string) bool {
	if w.reaches(n, address) {
		n.state.DirectConnected(w.now, address)
		return true
	}
	n.state.DirectFailed(w.now.Add(dialTimeout), address)
	return false
}

func (w *world) tryDetour(n *fakeNode, address string, vm vaneyoke.VMID) bool {
	var index int
	_, _ = fmt.Sscan(string(vm), &index)
	helper := w.nodes[index]
	n.asked++
	help := helper.state.Help(w.now, address)
	if help == overlay.HelpConnects {
		helper.dialled++
		if w.tryDirect(helper, address) {
			helper.helps++
			n.state.DetourConnected(w.now, address, vm)
			return true
		}
		help = helper.state.HelpAfterMiss(w.now.Add(helperTimeout))
	}
	refusal := overlay.RefusalNoPath
	if help == overlay.HelpMissed {
		refusal = overlay.RefusalMissed
	}
	n.state.DetourRefused(w.now, address, vm, refusal)
	return false
}

// run has each node connect to random upstreams, up to three times for each request, and counts requests by whether one succeeded.
func (w *world) run(duration time.Duration) {
	interval := time.Second / time.Duration(perSecond*len(w.nodes))
	for end := w.now.Add(duration); w.now.Before(end); w.now = w.now.Add(interval) {
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		const attempts = 3
		isConnected := false
		for range attempts {
			if isConnected = w.connect(n, w.upstreams[w.rng.IntN(len(w.upstreams))]); isConnected {
				break
			}
		}
		if isConnected {
			n.connected++
		} else {
			n.failed++
		}
	}
}

func (w *world) resetCounts() {
	for _, n := range w.nodes {
		n.helps, n.asked, n.dialled, n.connected, n.failed = 0, 0, 0, 0, 0
	}
}

// fewestHelpers returns the number of nodes without a partition in the data centre with the fewest, but some, of them; all nodes of a data centre
// if there are none.
func (w *world) fewestHelpers() int {
	counts := make([]int, dataCentres)
	for i, n := range w.nodes {
		if n.isCut == nil {
			counts[i%dataCentres]++
		}
	}
	fewest := len(w.nodes) / dataCentres
	for _, count := range counts {
		if count > 0 {
			fewest = min(fewest, count)
		}
	}
	return fewest
}

const dataCentres = 4

// partitions that the fleets below suffer; each says which node is cut from which upstreams.
var partitions = map[string]func(w *world, node int) func(address string) bool{
	"a node":              func(_ *world, node int) func(string) bool { return everything(node == 0) },
	"a data centre":       func(_ *world, node int) func(string) bool { return everything(node%4 == 1) },
	"three of four nodes": func(_ *world, node int) func(string) bool { return everything(node/4%4 != 1) },
	"three data centres":  func(_ *world, node int) func(string) bool { return everything(node%4 != 1) },
	"a service, half": func(_ *world, node int) func(string) bool {
		return when(node%2 == 0, func(a string) bool { return a < "upstream-3" })
	},
	"each another upstream": func(w *world, node int) func(string) bool {
		return func(a string) bool { return a == w.upstreams[node%len(w.upstreams)] }
	},
	"half of the paths": func(_ *world, node int) func(string) bool {
		return func(a string) bool { return (len(a)*7+int(a[len(a)-1])+node)%2 == 0 }
	},
	"nine of ten in a centre": func(_ *world, node int) func(string) bool { return everything(node%4 == 1 && node%40 != 1) },
}

func everything(isCut bool) func(string) bool { return when(isCut, func(string) bool { return true }) }

func when(applies bool, isCut func(string) bool) func(string) bool {
	if !applies {
		return nil
	}
	return isCut
}

// TestNodesWithoutPathsAreServed plays partitions in fleets of 8 to 1,043 nodes: requests at all nodes are served soon, helpers are spread, what a node
// asks does not grow with the fleet, and its own paths are used again once they work.
func TestNodesWithoutPathsAreServed(t *testing.T) {
	for _, size := range []int{8, 90, 410, 1043} {
		for name, cut := range partitions {
			t.Run(fmt.Sprint(size, " nodes, ", name), func(t *testing.T) {
				t.Parallel()
				w := newWorld(size, 27)
				w.run(2 * time.Second)
				for i, n := range w.nodes {
					n.isCut = cut(w, i)
				}
				w.run(2 * time.Second)
				w.resetCounts()
				const lasts = 8 * time.Second
				w.run(lasts)
				var connected, failed, helps, mostHelps, mostAsked int
				for _, n := range w.nodes {
					connected, failed, helps = connected+n.connected, failed+n.failed, helps+n.helps
					mostHelps, mostAsked = max(mostHelps, n.helps), max(mostAsked, n.asked)
				}
				t.Logf("%d connected, %d failed, %d detours, %d at most at a node, %d asked for at most by a node", connected, failed, helps, mostHelps, mostAsked)
				must.LessEq(t, 2+connected/50, failed)
				must.LessEq(t, 40+4*helps/w.fewestHelpers(), mostHelps)
				must.LessEq(t, int(lasts/time.Second)*perSecond*3, mostAsked)
				for _, n := range w.nodes {
					n.isCut = nil
				}
				w.run(5 * time.Second)
				w.resetCounts()
				w.run(2 * time.Second)
				helps = 0
				for _, n := range w.nodes {
					helps += n.helps
				}
				must.LessEq(t, 2+size*perSecond*2/10, helps, must.Sprint("detours after the partition"))
			})
		}
	}
}

// TestOutageOfUpstreamsIsNotTriedByAll stops many or all upstreams: what nodes ask of one another and what they send there for one another stay bounded.
func TestOutageOfUpstreamsIsNotTriedByAll(t *testing.T) {
	const lasts = 10 * time.Second
	for _, size := range []int{8, 410} {
		for name, share := range map[string]int{"all": 1, "every other one": 2, "every tenth": 10} {
			t.Run(fmt.Sprint(size, " nodes, ", name), func(t *testing.T) {
				w := newWorld(size, 30)
				w.run(2 * time.Second)
				for i, address := range w.upstreams {
					w.down[address] = i%share == 0
				}
				w.resetCounts()
				w.run(lasts)
				asked, dialled := 0, 0
				for _, n := range w.nodes {
					asked, dialled = asked+n.asked, dialled+n.dialled
				}
				seconds := int(lasts / time.Second)
				t.Logf("a node asked %.2f times a second, and %.2f connections were attempted for it", float64(asked)/float64(size*seconds), float64(dialled)/float64(size*seconds))
				must.LessEq(t, size*seconds*3*perSecond, asked)
				must.LessEq(t, size*seconds*perSecond, dialled)
			})
		}
	}
}
