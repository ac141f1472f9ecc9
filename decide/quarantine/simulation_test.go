package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/quarantine"
)

const (
	fanOut              = 4
	step                = 10 * time.Millisecond
	datagramDelay       = 4 * time.Millisecond   // of a datagram
	storeDelay          = 10 * time.Millisecond  // of a call to the store, and of a row at each level of the tree
	batchDelay          = 300 * time.Millisecond // before a reader forwards changed rows
	treeRebuildDelay    = time.Second            // until the tree is rebuilt after a node has stopped or was partitioned
	nodeRestartTime     = time.Second            // of a node
	initialLoadDelay    = 300 * time.Millisecond // until a starting node has loaded the store's rows
	settlingTime        = 3 * time.Second        // for which a node and the store must have been undisturbed for its sends to count
	upstreamRestartTime = 2 * time.Second        // of an upstream that has crashed
	poison              = vaneyoke.ContentID("poison")
)

// simulation is a fleet whose upstreams are crashed by one content, with a simulated clock.
type simulation struct {
	rng           *rand.Rand
	now           time.Time
	startedAt     time.Time
	nodes         []*node
	upstreams     []*upstream
	inFlight      []datagram
	scheduled     []scheduledCall
	queued        []queuedRequest
	rebuildTreeAt time.Time // when the tree is rebuilt; zero for not at all
	reader        int

	poisonRate         float64 // poison requests per second
	bystandersPerCrash int     // other requests that begin to run on an upstream as it crashes
	lossRate           float64 // fraction of datagrams that are lost
	sameIDs            bool    // whether upstreams restart under the same ids
	hidesIncarnation   bool    // whether upstreams do not report their incarnation
	storeDown          bool
	storeChangedAt     time.Time // when the store was last made available or unavailable

	rows     map[vaneyoke.ContentID]quarantine.Row
	revision vaneyoke.Revision
	writes   int

	crashes        []time.Time // caused by the poison
	lateSends      int         // sends by undisturbed nodes more than settlingTime after the third crash
	sent           int
	datagrams      int
	maxPerNode     int      // most datagrams sent by one node
	wronglyBlocked []string // bystander requests that were blocked
	bystanders     int
}

type node struct {
	vm            vaneyoke.VMID
	state         *quarantine.State
	gossip        *gossip.State
	epoch         int       // incremented at each start
	upAt          time.Time // when it is up again
	frozenUntil   time.Time // when it resumes
	partitioned   bool
	disturbedAt   time.Time // when it was last disturbed
	rows          map[vaneyoke.ContentID]quarantine.Row
	sentDatagrams int
}

type upstream struct {
	id          vaneyoke.UpstreamID
	incarnation vaneyoke.Incarnation
	upAt        time.Time
}

// datagram is a datagram in flight.
type datagram struct {
	at        time.Time
	from, to  int
	sightings []gossip.Sighting
}

// scheduledCall is a function to be called at a given time.
type scheduledCall struct {
	at time.Time
	do func()
}

// queuedRequest is a poison request that waits at an upstream.
type queuedRequest struct {
	node, epoch, upstream int
	incarnation           vaneyoke.Incarnation
	sentAt, at            time.Time // when it was sent, and when it begins to run
}

func vm(i int) vaneyoke.VMID { return vaneyoke.VMID(fmt.Sprint("vm", i)) }

func newSimulation(seed uint64, nodes int, set func(sim *simulation)) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1000, 0), poisonRate: 6, bystandersPerCrash: 3, lossRate: 0.02,
		rows: map[vaneyoke.ContentID]quarantine.Row{}, revision: 1,
	}
	sim.startedAt = sim.now
	if set != nil {
		set(sim)
	}
	for i := range 24 {
		sim.upstreams = append(sim.upstreams, &upstream{id: vaneyoke.UpstreamID(fmt.Sprint("u", i)), incarnation: 1})
	}
	for range nodes {
		sim.addNode()
	}
	for _, n := range sim.nodes {
		n.disturbedAt = sim.now.Add(-time.Hour)
	}
	sim.buildTree()
	return sim
}

func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(sim.startedAt) }

// addNode starts a new node.
func (sim *simulation) addNode() {
	sim.nodes = append(sim.nodes, &node{vm: vm(len(sim.nodes))})
	sim.start(len(sim.nodes)-1, 0)
}

// start starts a node after a delay, without its earlier state.
func (sim *simulation) start(i int, delay time.Duration) {
	n := sim.nodes[i]
	n.epoch++
	n.state = quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	n.gossip = gossip.New(n.vm, uint64(n.epoch)<<32)
	n.upAt, n.disturbedAt, n.rows = sim.now.Add(delay), sim.now.Add(delay), nil
	epoch := n.epoch
	sim.schedule(delay+initialLoadDelay, func() {
		if n.epoch == epoch && n.rows == nil {
			sim.loadRows(i)
		}
	})
	sim.rebuildTreeAt = sim.now.Add(treeRebuildDelay)
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.scheduled = append(sim.scheduled, scheduledCall{sim.now.Add(d), do})
}

func (sim *simulation) isRunning(i int) bool {
	n := sim.nodes[i]
	return !sim.now.Before(n.upAt) && !sim.now.Before(n.frozenUntil)
}

// run advances the clock; eachStep is called once per step.
func (sim *simulation) run(d time.Duration, eachStep func()) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(step)
		if eachStep != nil {
			eachStep()
		}
		sim.advance()
	}
}

func (sim *simulation) advance() {
	if !sim.rebuildTreeAt.IsZero() && !sim.now.Before(sim.rebuildTreeAt) {
		sim.buildTree()
	}
	scheduled := sim.scheduled
	sim.scheduled = nil
	for _, c := range scheduled {
		if c.at.After(sim.now) {
			sim.scheduled = append(sim.scheduled, c)
			continue
		}
		c.do()
	}
	sim.deliver()
	for i, n := range sim.nodes {
		if !sim.isRunning(i) {
			continue
		}
		if at := n.gossip.NextTick(); !at.IsZero() && !sim.now.Before(at) {
			sim.gossip(i, gossip.Tick{})
		}
		if at := n.state.NextTick(); !at.IsZero() && !sim.now.Before(at) {
			sim.handle(i, quarantine.Tick{ReadsStore: i == sim.reader && !n.partitioned})
		}
	}
	sim.runQueued()
	for left := sim.poisonRate * step.Seconds(); sim.rng.Float64() < left; left-- {
		sim.receivePoison()
	}
}

func (sim *simulation) deliver() {
	inFlight := sim.inFlight
	sim.inFlight = nil
	for _, d := range inFlight {
		switch n := sim.nodes[d.to]; {
		case d.at.After(sim.now), sim.now.Before(n.frozenUntil): // a frozen node reads its datagrams when it resumes
			sim.inFlight = append(sim.inFlight, d)
		case sim.isRunning(d.to) && !n.partitioned && !sim.nodes[d.from].partitioned:
			sim.gossip(d.to, gossip.SightingsReceived{From: vm(d.from), Sightings: d.sightings})
		}
	}
}

// isUndisturbed reports whether a node's sends count: neither the node nor the store was disturbed recently.
func (sim *simulation) isUndisturbed(i int) bool {
	n := sim.nodes[i]
	return sim.isRunning(i) && !n.partitioned && !sim.storeDown && sim.now.Sub(n.disturbedAt) >= settlingTime && sim.now.Sub(n.frozenUntil) >= settlingTime && sim.now.Sub(sim.storeChangedAt) >= settlingTime
}

// receivePoison has a random node receive the poison.
func (sim *simulation) receivePoison() {
	i := sim.rng.IntN(len(sim.nodes))
	n := sim.nodes[i]
	if !sim.isRunning(i) {
		return
	}
	if _, blocked := n.state.Blocked(sim.now, poison); blocked {
		return
	}
	sim.sendPoison(i)
}

func (sim *simulation) sendPoison(i int) {
	u := sim.rng.IntN(len(sim.upstreams))
	if sim.now.Before(sim.upstreams[u].upAt) {
		return
	}
	sim.sent++
	if sim.isUndisturbed(i) && len(sim.crashes) >= 3 && sim.now.Sub(sim.crashes[2]) > settlingTime {
		sim.lateSends++
	}
	wait := time.Duration(sim.rng.Float64() * float64(1500*time.Millisecond))
	sim.queued = append(sim.queued, queuedRequest{i, sim.nodes[i].epoch, u, sim.upstreams[u].incarnation, sim.now, sim.now.Add(wait)})
}

// runQueued has upstreams begin to run queued requests.
func (sim *simulation) runQueued() {
	queued := sim.queued
	sim.queued = nil
	for _, s := range queued {
		switch u := sim.upstreams[s.upstream]; {
		case u.incarnation != s.incarnation || s.epoch != sim.nodes[s.node].epoch: // the upstream or the node has restarted since
		case s.at.After(sim.now):
			sim.queued = append(sim.queued, s)
		default:
			sim.crash(s)
		}
	}
}

// crash crashes an upstream that begins to run the poison, and loses bystander requests there.
func (sim *simulation) crash(s queuedRequest) {
	sim.crashes = append(sim.crashes, sim.now)
	lost := sim.restartUpstream(s.upstream)
	sim.reportLoss(s.node, poison, lost, s.sentAt)
	if _, blocked := sim.nodes[s.node].state.Blocked(sim.now, poison); !blocked && sim.isRunning(s.node) {
		sim.sendPoison(s.node) // the same request is retried
	}
}

// restartUpstream crashes an upstream together with some bystander requests, and returns its previous state.
func (sim *simulation) restartUpstream(number int) upstream {
	u := sim.upstreams[number]
	lost := *u
	if sim.hidesIncarnation {
		lost.incarnation = 0
	}
	u.upAt, u.incarnation = sim.now.Add(upstreamRestartTime), u.incarnation+1
	if !sim.sameIDs {
		u.id = vaneyoke.UpstreamID(fmt.Sprint("u", number, "-", u.incarnation))
	}
	for range sim.bystandersPerCrash {
		sim.bystanders++
		content := vaneyoke.ContentID(fmt.Sprint("innocent", sim.bystanders))
		sim.loseBystander(sim.rng.IntN(len(sim.nodes)), content, lost)
	}
	return lost
}

// loseBystander has a bystander request be lost as it began to run, and complete on another upstream unless its content is blocked.
func (sim *simulation) loseBystander(i int, content vaneyoke.ContentID, lost upstream) {
	if !sim.isRunning(i) {
		return
	}
	sim.reportLoss(i, content, lost, sim.now.Add(-time.Second))
	epoch := sim.nodes[i].epoch
	sim.schedule(time.Second, func() {
		if sim.nodes[i].epoch != epoch || !sim.isRunning(i) {
			return
		}
		if _, blocked := sim.nodes[i].state.Blocked(sim.now, content); blocked {
			sim.wronglyBlocked = append(sim.wronglyBlocked, string(content))
			return
		}
		sim.handle(i, quarantine.RequestCompleted{Content: content})
	})
}

// reportLoss reports to a node that an upstream crashed as it began to run one of its requests.
func (sim *simulation) reportLoss(i int, content vaneyoke.ContentID, lost upstream, sentAt time.Time) {
	report := func() {
		sim.handle(i, quarantine.CrashObserved{Content: content, Upstream: lost.id, Incarnation: lost.incarnation, SentAt: sentAt})
	}
	if sim.now.Before(sim.nodes[i].frozenUntil) {
		epoch := sim.nodes[i].epoch
		sim.schedule(sim.nodes[i].frozenUntil.Sub(sim.now), func() {
			if sim.nodes[i].epoch == epoch {
				report()
			}
		})
		return
	}
	report()
}

// restartNodes stops nodes, which then start again.
func (sim *simulation) restartNodes(nodes ...int) {
	for _, i := range nodes {
		sim.start(i, nodeRestartTime)
	}
}

func (sim *simulation) freeze(d time.Duration, nodes ...int) {
	for _, i := range nodes {
		sim.nodes[i].frozenUntil = sim.now.Add(d)
	}
}

func (sim *simulation) setPartitioned(partitioned bool, nodes ...int) {
	for _, i := range nodes {
		sim.nodes[i].partitioned, sim.nodes[i].disturbedAt = partitioned, sim.now
	}
	sim.rebuildTreeAt = sim.now.Add(treeRebuildDelay)
}

func (sim *simulation) setStoreDown(down bool) {
	if sim.storeDown != down {
		sim.storeDown, sim.storeChangedAt = down, sim.now
	}
}
