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
	fanOut    = 4
	onWay     = time.Millisecond       // of a datagram within a region, and of a request to an upstream
	regionWay = 30 * time.Millisecond  // of a datagram between regions
	works     = 15 * time.Millisecond  // of an upstream on a request
	storeWay  = 10 * time.Millisecond  // of a call to the store
	listWay   = 300 * time.Millisecond // longest way of a change of the members to a node
	settle    = time.Second            // until the tree is made anew after a node has ended or come
	downTime  = time.Second            // of a node that ends
	startTime = 300 * time.Millisecond // until a node that starts holds the store's tables
	tries     = 8                      // upstreams that a call is offered to
	mostTries = 40                     // looks for one of them
)

// world is a fleet before upstreams that name limits, on a clock of its own.
type world struct {
	rng   *rand.Rand
	now   time.Time
	began time.Time
	queue agenda
	order int

	centres   int  // data centres
	regions   bool // whether each data centre is a region of its own
	loss      float64
	rate      float64 // calls a second
	only      int     // the node that gets all calls; -1 for all of them
	olds      int     // nodes whose build keeps no limits
	nodes     []*node
	upstreams []*upstream
	storeAway bool
	owes      bool               // whether a change of the members waits for the store
	stored    []ratelimit.Member // the members as the store has them
	rows      map[vaneyoke.UpstreamID]ratelimit.Row
	revision  vaneyoke.Revision
	writes    int
	takenOff  int // nodes that others took off the members

	calls, sent, refused int
	asks                 int // questions to keepers
	datagrams            []int
	turns                []time.Duration
	waits                []time.Duration // until a call was sent or refused
}

type node struct {
	vm      vaneyoke.VMID
	number  int
	centre  vaneyoke.DataCentreID
	state   *ratelimit.State
	life    int
	up      bool
	serves  bool // whether it holds the store's tables, without which it knows no route
	gone    bool // for good
	old     bool // whether its build keeps no limits
	listed  bool
	frozen  time.Time // until which it stands still
	apart   bool      // whether it is cut off from the other nodes
	blocked map[vaneyoke.UpstreamID]time.Time
	permits map[ratelimit.PermitID]*call
	last    ratelimit.PermitID
	tickAt  time.Time
}

type call struct {
	came   time.Time
	tried  int
	at     *upstream
	turn   time.Duration
	served bool
}

type upstream struct {
	id       vaneyoke.UpstreamID
	born     vaneyoke.Incarnation
	centre   vaneyoke.DataCentreID
	limits   []change // that it named, in order
	arrivals []time.Time
	byOld    int // requests of old builds, which are left out
}

type change struct {
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

func newWorld(seed uint64, nodes int, set func(w *world)) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 17)), now: time.Unix(1000, 0), centres: 3, loss: 0.02, rate: 24, only: -1}
	w.began = w.now
	for i := range 3 {
		w.upstreams = append(w.upstreams, &upstream{id: vaneyoke.UpstreamID(fmt.Sprint("u", i)), born: 1})
	}
	if set != nil {
		set(w)
	}
	for i, u := range w.upstreams {
		u.centre = w.centre(i)
	}
	for i := range nodes {
		w.add(i < w.olds, true)
	}
	w.stored, w.rows = w.list(), map[vaneyoke.UpstreamID]ratelimit.Row{}
	for _, n := range w.nodes {
		w.learn(n)
	}
	w.makeTree()
	w.arrive()
	return w
}

func (w *world) centre(i int) vaneyoke.DataCentreID {
	return vaneyoke.DataCentreID(fmt.Sprint("dc", i%w.centres))
}

// add has a node come.
func (w *world) add(old, listed bool) *node {
	n := &node{vm: vm(len(w.nodes)), number: len(w.nodes), centre: w.centre(len(w.nodes)), old: old, listed: listed}
	w.nodes = append(w.nodes, n)
	w.datagrams = append(w.datagrams, 0)
	w.begin(n)
	return n
}

// begin starts a node that knows nothing.
func (w *world) begin(n *node) {
	n.life++
	n.up = true
	n.state = ratelimit.New(n.vm, n.centre, rand.New(rand.NewPCG(w.rng.Uint64(), 3)))
	n.blocked, n.permits = map[vaneyoke.UpstreamID]time.Time{}, map[ratelimit.PermitID]*call{}
	n.tickAt = time.Time{}
	w.give(n, ratelimit.Upstreams{All: w.upstreamList()})
}

func (w *world) upstreamList() []vaneyoke.Upstream {
	var all []vaneyoke.Upstream
	for _, u := range w.upstreams {
		all = append(all, vaneyoke.Upstream{ID: u.id, DataCentre: u.centre, Incarnation: u.born})
	}
	return all
}

// list returns the members as they would register themselves.
func (w *world) list() []ratelimit.Member {
	var all []ratelimit.Member
	for _, n := range w.nodes {
		if n.listed {
			all = append(all, ratelimit.Member{VM: n.vm, DataCentre: n.centre, Keeps: !n.old})
		}
	}
	return all
}

// changeMembers has all nodes learn of the members, each after a way of its own, or once the store is back.
func (w *world) changeMembers() {
	if w.storeAway {
		w.owes = true
		return
	}
	w.stored = w.list()
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.Int64N(int64(listWay))), func() { w.learn(n) })
	}
}

// learn has a node take in the members; one that is cut off learns of them when it is back.
func (w *world) learn(n *node) {
	switch {
	case !n.up:
	case n.apart:
		w.after(100*time.Millisecond, func() { w.learn(n) })
	default:
		n.serves = true
		w.give(n, ratelimit.Members{All: w.stored})
		w.give(n, ratelimit.Recorded{Rows: slices.Collect(maps.Values(w.rows))})
	}
}

// makeTree has each node that runs know whom it is next to.
func (w *world) makeTree() {
	var up []*node
	for _, n := range w.nodes {
		if n.up && n.listed {
			up = append(up, n)
		}
	}
	for i, n := range up {
		var next []vaneyoke.VMID
		if i > 0 {
			next = append(next, up[(i-1)/fanOut].vm)
		}
		for child := i*fanOut + 1; child <= i*fanOut+fanOut && child < len(up); child++ {
			next = append(next, up[child].vm)
		}
		w.give(n, ratelimit.Neighbours{VMs: next})
	}
}

// arrive has the next call come.
func (w *world) arrive() {
	w.after(time.Duration(w.rng.ExpFloat64()/w.rate*float64(time.Second)), func() {
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		if w.only >= 0 {
			n = w.nodes[w.only]
		}
		if n.up && n.serves {
			w.calls++
			w.offer(n, &call{came: w.now})
		}
		w.arrive()
	})
}

// offer has a node look for an upstream that takes a call.
func (w *world) offer(n *node, c *call) {
	if w.now.Before(n.frozen) {
		life := n.life
		w.after(n.frozen.Sub(w.now), func() {
			if n.life == life {
				w.offer(n, c)
			}
		})
		return
	}
	for range mostTries {
		u := w.upstreams[w.rng.IntN(len(w.upstreams))]
		if c.tried >= tries || w.now.Before(n.blocked[u.id]) {
			continue
		}
		c.tried++
		c.at = u
		if n.old || !n.state.Limited(u.id) {
			w.sendCall(n, c)
			return
		}
		n.last++
		id := n.last
		w.give(n, ratelimit.Want{ID: id, Upstream: u.id})
		done := n.permits[id]
		if done == nil { // a keeper is asked
			n.permits[id] = c
			return
		}
		delete(n.permits, id)
		if done.served {
			w.sendCall(n, c)
			return
		}
		n.blocked[u.id] = w.now.Add(done.turn)
	}
	w.refused++
	w.turns = append(w.turns, c.turn)
	w.waits = append(w.waits, w.now.Sub(c.came))
}

// decided goes on with a call whose permit was granted or not.
func (w *world) decided(n *node, c *call, d ratelimit.Decide) {
	if d.Granted {
		w.sendCall(n, c)
		return
	}
	n.blocked[c.at.id] = w.now.Add(d.Next)
	c.turn = d.Turn
	w.offer(n, c)
}

// sendCall has a call reach its upstream, and the answer come back.
func (w *world) sendCall(n *node, c *call) {
	w.sent++
	w.waits = append(w.waits, w.now.Sub(c.came))
	u, sentAt, life := c.at, w.now, n.life
	w.after(onWay, func() {
		if n.old {
			u.byOld++
		} else {
			u.arrivals = append(u.arrivals, w.now)
		}
		w.after(works, func() {
			limit, born := u.limit(), u.born
			w.after(onWay, func() {
				if n.life == life && n.up {
					w.give(n, ratelimit.Answered{Upstream: vaneyoke.Upstream{ID: u.id, Incarnation: born}, Limit: limit, SentAt: sentAt})
				}
			})
		})
	})
}

// name has an upstream name a limit from now on.
func (w *world) name(u *upstream, rate vaneyoke.PerSecond) {
	u.limits = append(u.limits, change{w.now, vaneyoke.Limit{Declared: true, Rate: rate}})
}

// end has an upstream name no limit any more.
func (w *world) end(u *upstream) {
	u.limits = append(u.limits, change{at: w.now})
}
