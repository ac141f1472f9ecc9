package ratelimit_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/ratelimit"
)

const (
	treeFanOut     = 4
	localLatency   = time.Millisecond       // of a datagram within a region, and of a request to an upstream
	regionLatency  = 30 * time.Millisecond  // of a datagram between regions
	serviceTime    = 15 * time.Millisecond  // of an upstream on a request
	storeLatency   = 10 * time.Millisecond  // of a call to the store
	maxUpdateDelay = 300 * time.Millisecond // longest time until a node learns of changed tables
	treeDelay      = time.Second            // until the tree is rebuilt after a node has stopped or joined
	restartDelay   = time.Second            // until a stopped node starts again
	startupDelay   = 300 * time.Millisecond // until a starting node has the store's tables
	maxTries       = 8                      // upstreams tried for a call
	maxPicks       = 40                     // random picks of an upstream to try
)

// simulation is a discrete-event simulation of a fleet that sends calls to upstreams with rate limits.
type simulation struct {
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	events  eventQueue
	lastSeq int

	dataCentres    int
	regions        bool // whether each data centre is a region of its own
	loss           float64
	callRate       float64 // calls per second of the whole fleet
	onlyNode       int     // number of the node that receives all calls; -1 for random nodes
	oldBuilds      int     // number of nodes whose builds don't support rate limits
	nodes          []*node
	upstreams      []*upstream
	storeDown      bool
	membersPending bool               // whether changed members are to be published once the store is back
	storedMembers  []ratelimit.Member // as last published by the store
	rows           map[vaneyoke.UpstreamID]ratelimit.Row
	revision       vaneyoke.Revision
	writes         int
	removedNodes   int // nodes removed from the members by others

	calls, sent, refused int
	requests             int // sent to owners
	datagrams            []int
	retryAfters          []time.Duration
	waits                []time.Duration // until a call was sent or refused
}

type node struct {
	vm           vaneyoke.VMID
	number       int
	dataCentre   vaneyoke.DataCentreID
	state        *ratelimit.State
	generation   int // incremented at each start and stop, so that callbacks of an earlier one are dropped
	up           bool
	ready        bool // whether it has the store's tables, without which it knows no route
	goneForGood  bool // never starts again
	oldBuild     bool // whether its build doesn't support rate limits
	listed       bool
	frozenUntil  time.Time
	partitioned  bool // from the other nodes, but not from upstreams
	blockedUntil map[vaneyoke.UpstreamID]time.Time
	pending      map[ratelimit.PermitID]*call
	lastPermit   ratelimit.PermitID
	nextTick     time.Time
}

type call struct {
	arrivedAt  time.Time
	tries      int
	upstream   *upstream
	retryAfter time.Duration
	granted    bool
}

type upstream struct {
	id            vaneyoke.UpstreamID
	incarnation   vaneyoke.Incarnation
	dataCentre    vaneyoke.DataCentreID
	limits        []limitChange // declared limits and their ends, in order
	arrivals      []time.Time
	fromOldBuilds int // requests of old builds, which are not among arrivals
}

type limitChange struct {
	at    time.Time
	limit vaneyoke.Limit
}

func (u *upstream) limit() vaneyoke.Limit {
	if len(u.limits) == 0 {
		return vaneyoke.Limit{}
	}
	return u.limits[len(u.limits)-1].limit
}

func vm(i int) vaneyoke.VMID { return vaneyoke.VMID(fmt.Sprint("vm", i)) }

func newSimulation(seed uint64, nodes int, configure func(s *simulation)) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 17)), now: time.Unix(1000, 0), dataCentres: 3, loss: 0.02, callRate: 24, onlyNode: -1}
	s.start = s.now
	for i := range 3 {
		s.upstreams = append(s.upstreams, &upstream{id: vaneyoke.UpstreamID(fmt.Sprint("u", i)), incarnation: 1})
	}
	if configure != nil {
		configure(s)
	}
	for i, u := range s.upstreams {
		u.dataCentre = s.dataCentre(i)
	}
	for i := range nodes {
		s.addNode(i < s.oldBuilds, true)
	}
	s.storedMembers, s.rows = s.registeredMembers(), map[vaneyoke.UpstreamID]ratelimit.Row{}
	for _, n := range s.nodes {
		s.loadTables(n)
	}
	s.rebuildTree()
	s.scheduleCall()
	return s
}

func (s *simulation) dataCentre(i int) vaneyoke.DataCentreID {
	return vaneyoke.DataCentreID(fmt.Sprint("dc", i%s.dataCentres))
}

// addNode adds a node and starts it.
func (s *simulation) addNode(oldBuild, listed bool) *node {
	n := &node{vm: vm(len(s.nodes)), number: len(s.nodes), dataCentre: s.dataCentre(len(s.nodes)), oldBuild: oldBuild, listed: listed}
	s.nodes = append(s.nodes, n)
	s.datagrams = append(s.datagrams, 0)
	s.startNode(n)
	return n
}

// startNode starts a node with an empty state.
func (s *simulation) startNode(n *node) {
	n.generation++
	n.up = true
	n.state = ratelimit.New(n.vm, n.dataCentre, rand.New(rand.NewPCG(s.rng.Uint64(), 3)))
	n.blockedUntil, n.pending = map[vaneyoke.UpstreamID]time.Time{}, map[ratelimit.PermitID]*call{}
	n.nextTick = time.Time{}
	s.deliver(n, ratelimit.UpstreamsUpdated{All: s.upstreamList()})
}

func (s *simulation) upstreamList() []vaneyoke.Upstream {
	var all []vaneyoke.Upstream
	for _, u := range s.upstreams {
		all = append(all, vaneyoke.Upstream{ID: u.id, DataCentre: u.dataCentre, Incarnation: u.incarnation})
	}
	return all
}

// registeredMembers returns the nodes that are registered as members.
func (s *simulation) registeredMembers() []ratelimit.Member {
	var all []ratelimit.Member
	for _, n := range s.nodes {
		if n.listed {
			all = append(all, ratelimit.Member{VM: n.vm, DataCentre: n.dataCentre, SupportsLimits: !n.oldBuild})
		}
	}
	return all
}

// publishMembers sends the members to all nodes, each with a random delay; if the store is down, once it is back.
func (s *simulation) publishMembers() {
	if s.storeDown {
		s.membersPending = true
		return
	}
	s.storedMembers = s.registeredMembers()
	for _, n := range s.nodes {
		s.after(time.Duration(s.rng.Int64N(int64(maxUpdateDelay))), func() { s.loadTables(n) })
	}
}

// loadTables delivers the store's tables to a node; if it is partitioned, once that is over.
func (s *simulation) loadTables(n *node) {
	switch {
	case !n.up:
	case n.partitioned:
		s.after(100*time.Millisecond, func() { s.loadTables(n) })
	default:
		n.ready = true
		s.deliver(n, ratelimit.MembersUpdated{All: s.storedMembers})
		s.deliver(n, ratelimit.RowsUpdated{Rows: slices.Collect(maps.Values(s.rows))})
	}
}

// rebuildTree delivers their neighbours in the tree to all running nodes.
func (s *simulation) rebuildTree() {
	var running []*node
	for _, n := range s.nodes {
		if n.up && n.listed {
			running = append(running, n)
		}
	}
	for i, n := range running {
		var neighbours []vaneyoke.VMID
		if i > 0 {
			neighbours = append(neighbours, running[(i-1)/treeFanOut].vm)
		}
		for child := i*treeFanOut + 1; child <= i*treeFanOut+treeFanOut && child < len(running); child++ {
			neighbours = append(neighbours, running[child].vm)
		}
		s.deliver(n, ratelimit.NeighboursUpdated{VMs: neighbours})
	}
}

// scheduleCall schedules the next call, with exponentially distributed gaps.
func (s *simulation) scheduleCall() {
	s.after(time.Duration(s.rng.ExpFloat64()/s.callRate*float64(time.Second)), func() {
		n := s.nodes[s.rng.IntN(len(s.nodes))]
		if s.onlyNode >= 0 {
			n = s.nodes[s.onlyNode]
		}
		if n.up && n.ready {
			s.calls++
			s.routeCall(n, &call{arrivedAt: s.now})
		}
		s.scheduleCall()
	})
}

// routeCall tries upstreams at random until one of them can be sent the call.
func (s *simulation) routeCall(n *node, c *call) {
	if s.now.Before(n.frozenUntil) {
		generation := n.generation
		s.after(n.frozenUntil.Sub(s.now), func() {
			if n.generation == generation {
				s.routeCall(n, c)
			}
		})
		return
	}
	for range maxPicks {
		u := s.upstreams[s.rng.IntN(len(s.upstreams))]
		if c.tries >= maxTries || s.now.Before(n.blockedUntil[u.id]) {
			continue
		}
		c.tries++
		c.upstream = u
		if n.oldBuild || !n.state.Limited(u.id) {
			s.sendCall(n, c)
			return
		}
		n.lastPermit++
		id := n.lastPermit
		s.deliver(n, ratelimit.AcquirePermit{ID: id, Upstream: u.id})
		decided := n.pending[id]
		if decided == nil { // an owner is asked
			n.pending[id] = c
			return
		}
		delete(n.pending, id)
		if decided.granted {
			s.sendCall(n, c)
			return
		}
		n.blockedUntil[u.id] = s.now.Add(decided.retryAfter)
	}
	s.refused++
	s.retryAfters = append(s.retryAfters, c.retryAfter)
	s.waits = append(s.waits, s.now.Sub(c.arrivedAt))
}

// permitDecided continues a call once its permit was granted or denied.
func (s *simulation) permitDecided(n *node, c *call, d ratelimit.PermitDecided) {
	if d.Granted {
		s.sendCall(n, c)
		return
	}
	n.blockedUntil[c.upstream.id] = s.now.Add(d.AvailableIn)
	c.retryAfter = d.RetryAfter
	s.routeCall(n, c)
}

// sendCall simulates a call's way to its upstream and the way of the response back.
func (s *simulation) sendCall(n *node, c *call) {
	s.sent++
	s.waits = append(s.waits, s.now.Sub(c.arrivedAt))
	u, sentAt, generation := c.upstream, s.now, n.generation
	s.after(localLatency, func() {
		if n.oldBuild {
			u.fromOldBuilds++
		} else {
			u.arrivals = append(u.arrivals, s.now)
		}
		s.after(serviceTime, func() {
			limit, incarnation := u.limit(), u.incarnation
			s.after(localLatency, func() {
				if n.generation == generation && n.up {
					s.deliver(n, ratelimit.LimitObserved{Upstream: vaneyoke.Upstream{ID: u.id, Incarnation: incarnation}, Limit: limit, SentAt: sentAt})
				}
			})
		})
	})
}

// declareLimit makes an upstream declare a limit from now on.
func (s *simulation) declareLimit(u *upstream, rate vaneyoke.PerSecond) {
	u.limits = append(u.limits, limitChange{s.now, vaneyoke.Limit{Declared: true, Rate: rate}})
}

// endLimit makes an upstream declare no limit from now on.
func (s *simulation) endLimit(u *upstream) {
	u.limits = append(u.limits, limitChange{at: s.now})
}
