package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

const (
	service  = vaneyoke.ServiceID("s")
	step     = 50 * time.Millisecond
	tick     = 250 * time.Millisecond
	hopTime  = 50 * time.Millisecond // for a row to be passed down one level of the tree
	fanOut   = 4
	exposure = 0.1
)

// version describes how the upstreams of a version answer in the course of a rollout; it behaves like the baseline until its conditions hold.
type version struct {
	behaviour
	badAfter     time.Duration             // time since the order from which the behaviour applies
	badAboveLoad float64                   // requests per second and upstream from which it applies
	badRoutes    map[vaneyoke.RouteID]bool // routes on which it applies; nil for all
}

// simulation is a fleet that rolls a service out to another version, on simulated time.
type simulation struct {
	rng                 *rand.Rand
	now                 time.Time
	startedAt           time.Time
	nodes               []*node
	rate                float64 // requests per second
	routes              int
	baselineFailureRate float64 // share of the baseline's answers that fail
	target              version
	upstreams           int // of each version
	within              time.Duration
	requestTime         time.Duration // duration of requests

	row       *rollout.Row // the record in the store
	revision  vaneyoke.Revision
	storeDown bool
	written   []rollout.Stage

	requests, targetRequests, badAnswers int
	fiftiethBadAt                        time.Time   // time of the 50th bad answer
	lateRequests                         int         // requests to the target later than 5 s after that
	interrupted                          int         // requests in flight at old upstreams when completion was written
	recentTargetTimes                    []time.Time // times of the last second's requests to the target
	running                              []activeRequest
}

// activeRequest is a request in flight.
type activeRequest struct {
	node   int
	onOld  bool
	endsAt time.Time
	answer func()
}

// node is a simulated node.
type node struct {
	state        *rollout.State
	split        rollout.Split
	running      int       // requests in flight at old upstreams
	deadUntil    time.Time // end of the downtime
	partitioned  bool      // whether it can reach neither the store nor other nodes
	seenRevision vaneyoke.Revision
}

// newSimulation returns a fleet that has just learned of the order; set overrides the defaults.
func newSimulation(seed uint64, nodes int, set func(sim *simulation)) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), rate: 110, routes: 2, upstreams: 10, within: 20 * time.Second,
		requestTime: 100 * time.Millisecond, revision: 10,
	}
	sim.startedAt = sim.now
	set(sim)
	for range nodes {
		sim.nodes = append(sim.nodes, &node{})
	}
	for i := range sim.nodes {
		sim.startNode(i)
	}
	return sim
}

func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(sim.startedAt) }

// startNode starts a node with an empty state.
func (sim *simulation) startNode(i int) {
	n := sim.nodes[i]
	n.state = rollout.New(vaneyoke.VMID(fmt.Sprint("vm", i)), rollout.Config{Exposure: exposure, Hold: 2 * time.Second})
	n.split, n.running, n.seenRevision = rollout.Split{}, 0, 0
	sim.handle(i, rollout.OrdersUpdated{Orders: []rollout.Order{{Service: service, Target: "new", Within: sim.within, Revision: 10}}})
	sim.handle(i, rollout.UpstreamsUpdated{All: sim.allUpstreams()})
	if sim.row == nil {
		sim.handle(i, rollout.RecordsUpdated{})
	}
}

func (sim *simulation) allUpstreams() []vaneyoke.Upstream {
	var all []vaneyoke.Upstream
	for i := range 2 * sim.upstreams {
		u := vaneyoke.Upstream{ID: vaneyoke.UpstreamID(fmt.Sprint("old", i)), Service: service, Version: "old"}
		if i >= sim.upstreams {
			u = vaneyoke.Upstream{ID: vaneyoke.UpstreamID(fmt.Sprint("new", i)), Service: service, Version: "new"}
		}
		all = append(all, u)
	}
	return all
}

func (sim *simulation) handle(i int, ev rollout.Event) {
	n := sim.nodes[i]
	for _, effect := range slices.Clone(n.state.Handle(sim.now, ev)) {
		switch e := effect.(type) {
		case rollout.SetSplit:
			n.split = e.Split
		case rollout.Write:
			if !sim.storeDown && !n.partitioned {
				sim.write(e)
			}
		case rollout.ReadClock:
			if !sim.storeDown && !n.partitioned {
				sim.handle(i, rollout.ClockRead{At: vaneyoke.StoreTime(sim.elapsed())})
			}
		}
	}
}

// write applies a conditional write to the store.
func (sim *simulation) write(e rollout.Write) {
	had := vaneyoke.Revision(0)
	if sim.row != nil {
		had = sim.row.Revision
	}
	if e.Expect != had {
		return
	}
	sim.revision++
	sim.row = &rollout.Row{Record: e.Record, Revision: sim.revision}
	sim.written = append(sim.written, e.Record.Stage)
	if e.Record.Stage == rollout.StageCompleted {
		for _, r := range sim.running {
			if r.onOld {
				sim.interrupted++
			}
		}
	}
}

func (n *node) alive(now time.Time) bool { return !now.Before(n.deadUntil) }

// depthOf returns the depth of a node in the tree; the reader has 0.
func depthOf(i int) (depth int) {
	for ; i > 0; i = (i - 1) / fanOut {
		depth++
	}
	return depth
}

// parent returns the closest reachable ancestor of a node.
func (sim *simulation) parent(i int) (parent int, ok bool) {
	for i > 0 {
		i = (i - 1) / fanOut
		if n := sim.nodes[i]; n.alive(sim.now) && !n.partitioned {
			return i, true
		}
	}
	return 0, false
}

// reader returns the node that reads the store.
func (sim *simulation) reader() int {
	for i, n := range sim.nodes {
		if n.alive(sim.now) && !n.partitioned {
			return i
		}
	}
	return -1
}

// run advances the simulation, and calls each at every step.
func (sim *simulation) run(until time.Duration, each func()) {
	for sim.elapsed() < until {
		sim.now = sim.now.Add(step)
		if each != nil {
			each()
		}
		sim.finishRequests()
		sim.sendRequests()
		for i, n := range sim.nodes {
			if !n.alive(sim.now) {
				continue
			}
			sim.deliverRow(i)
			if (sim.elapsed()/step)%(tick/step) == time.Duration(i)%(tick/step) {
				sim.tickNode(i)
			}
		}
	}
}

// deliverRow delivers the newest row to a node, with a random delay that grows with its depth.
func (sim *simulation) deliverRow(i int) {
	n := sim.nodes[i]
	if sim.row == nil || n.partitioned || n.seenRevision == sim.row.Revision || (sim.storeDown && sim.reader() == i && n.seenRevision == 0 && i != 0) {
		return
	}
	if sim.rng.Float64() < float64(step)/float64(hopTime)/float64(1+depthOf(i)) {
		n.seenRevision = sim.row.Revision
		sim.handle(i, rollout.RecordsUpdated{Rows: []rollout.Row{*sim.row}})
	}
}

func (sim *simulation) tickNode(i int) {
	n := sim.nodes[i]
	running := map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int{service: {"old": n.running}}
	sim.handle(i, rollout.Tick{InFlightByVersion: running, ReadsStore: sim.reader() == i})
	parent, ok := sim.parent(i)
	if !ok || n.partitioned {
		return
	}
	sim.handle(parent, rollout.ReportReceived{From: vaneyoke.VMID(fmt.Sprint("vm", i)), Reports: n.state.Reports()})
	if stops := sim.nodes[parent].state.Stops(); len(stops) > 0 {
		sim.handle(i, rollout.StopsReceived{Stops: stops})
	}
}

// sendRequests sends the requests of a step.
func (sim *simulation) sendRequests() {
	for len(sim.recentTargetTimes) > 0 && sim.now.Sub(sim.recentTargetTimes[0]) > time.Second {
		sim.recentTargetTimes = sim.recentTargetTimes[1:]
	}
	for range sim.poisson(sim.rate * step.Seconds()) {
		i := sim.rng.IntN(len(sim.nodes))
		if n := sim.nodes[i]; n.alive(sim.now) {
			sim.sendRequest(i, n)
		}
	}
}

func (sim *simulation) poisson(mean float64) (n int) {
	for at := sim.rng.ExpFloat64(); at < mean; at += sim.rng.ExpFloat64() {
		n++
	}
	return n
}

func (sim *simulation) sendRequest(i int, n *node) {
	sim.requests++
	toTarget := !n.split.Blocked && n.split.Share > 0 && sim.rng.Float64() < n.split.Share
	route := vaneyoke.RouteID(fmt.Sprint("r", sim.rng.IntN(sim.routes)))
	b, u := behaviour{failureRate: sim.baselineFailureRate}, vaneyoke.Upstream{ID: "old0", Service: service, Version: "old"}
	if toTarget {
		sim.targetRequests++
		if !sim.fiftiethBadAt.IsZero() && sim.now.Sub(sim.fiftiethBadAt) > 5*time.Second {
			sim.lateRequests++
		}
		sim.recentTargetTimes = append(sim.recentTargetTimes, sim.now)
		u = vaneyoke.Upstream{ID: "new0", Service: service, Version: "new"}
		b = sim.targetBehaviour(route, n.split.Share)
	} else {
		n.running++
	}
	answer := b.randomAnswer(sim.rng, 40*time.Millisecond)
	state := n.state
	sim.running = append(sim.running, activeRequest{node: i, onOld: !toTarget, endsAt: sim.now.Add(sim.requestTime), answer: func() {
		if state != n.state {
			return // the node has restarted since
		}
		if !toTarget {
			n.running--
		}
		if toTarget && (answer.Kind == rollout.AnswerFailed || answer.Took > 100*time.Millisecond) {
			if sim.badAnswers++; sim.badAnswers == 50 {
				sim.fiftiethBadAt = sim.now
			}
		}
		sim.handle(i, rollout.Answered{Upstream: u, Route: route, Answer: answer})
	}})
}

// targetBehaviour returns the current behaviour of the target.
func (sim *simulation) targetBehaviour(route vaneyoke.RouteID, share float64) behaviour {
	canaryUpstreams := max(1, int(share*float64(sim.upstreams)+0.99))
	load := float64(len(sim.recentTargetTimes)) / float64(canaryUpstreams)
	if sim.elapsed() < sim.target.badAfter || load < sim.target.badAboveLoad || (sim.target.badRoutes != nil && !sim.target.badRoutes[route]) {
		return behaviour{failureRate: sim.baselineFailureRate}
	}
	return sim.target.behaviour
}

func (sim *simulation) finishRequests() {
	var left []activeRequest
	for _, r := range sim.running {
		if r.endsAt.After(sim.now) {
			left = append(left, r)
			continue
		}
		r.answer()
	}
	sim.running = left
}

// kill stops nodes for a while; they restart with an empty state.
func (sim *simulation) kill(pause time.Duration, nodes ...int) {
	for _, i := range nodes {
		sim.nodes[i].deadUntil = sim.now.Add(pause)
		sim.startNode(i)
	}
}
