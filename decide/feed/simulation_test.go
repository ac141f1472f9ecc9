package feed_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
)

const (
	nodeLatency       = time.Millisecond        // one way between two nodes
	storeLatency      = 4 * time.Millisecond    // of a call to the store
	heartbeatInterval = 250 * time.Millisecond  // between two status messages
	pollWait          = 1100 * time.Millisecond // for which a call waits for changes
	stallTimeout      = 800 * time.Millisecond  // after which a silent connection is closed
	dialTimeout       = 200 * time.Millisecond
	callTimeout       = 500 * time.Millisecond  // for which a call to a store that does not answer hangs
	listTimeout       = 1600 * time.Millisecond // for which a call that lists all rows hangs
)

// simulation is a fleet on a virtual clock, whose nodes carry out the effects of their states.
type simulation struct {
	now        time.Time
	queue      timers
	rng        *rand.Rand
	config     feed.Config
	nodes      []*node
	members    []feed.Member
	byVM       map[vaneyoke.VMID]*node
	storeDown  bool
	slowErrors bool // whether failing calls hang for a while first
	calls      int  // to the store
	asks       int
	offers     int
}

// node is a simulated node.
type node struct {
	sim          *simulation
	member       feed.Member
	state        *feed.State
	incarnation  int // counts the starts; 0 before the first
	up           bool
	powerOff     bool // without power: it does not even refuse connections
	cutOff       bool // from the store
	readMode     feed.ReadMode
	readEpoch    int // counts the changes of the read mode
	failures     int
	knowsMembers bool
	followEpoch  int // counts the Follow and Unfollow effects
	following    *stream
	streams      map[*stream]bool
	tickAt       time.Time
	heldAt       time.Time
	mostStreams  int
}

// stream is the connection of a node to its source.
type stream struct {
	from, to    *node
	incarnation [2]int
	followEpoch int
}

type timer struct {
	at  time.Time
	seq int
	do  func()
}

type timers struct {
	all []timer
	seq int
}

func (t *timers) Len() int { return len(t.all) }
func (t *timers) Less(i, j int) bool {
	if !t.all[i].at.Equal(t.all[j].at) {
		return t.all[i].at.Before(t.all[j].at)
	}
	return t.all[i].seq < t.all[j].seq
}
func (t *timers) Swap(i, j int) { t.all[i], t.all[j] = t.all[j], t.all[i] }
func (t *timers) Push(x any)    { t.all = append(t.all, x.(timer)) }
func (t *timers) Pop() any {
	last := t.all[len(t.all)-1]
	t.all = t.all[:len(t.all)-1]
	return last
}

// newSimulation returns a fleet of nodes in some data centres, none of which has started.
func newSimulation(seed uint64, count, centres int) *simulation {
	sim := &simulation{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), config: feed.DefaultConfig(), byVM: map[vaneyoke.VMID]*node{},
	}
	for i := range count {
		m := feed.Member{VM: vaneyoke.VMID(fmt.Sprint("vm-", i)), DataCentre: vaneyoke.DataCentreID(fmt.Sprint("dc-", i%centres)), Address: fmt.Sprint("10.0.0.1:", i)}
		n := &node{sim: sim, member: m}
		sim.nodes = append(sim.nodes, n)
		sim.members = append(sim.members, m)
		sim.byVM[m.VM] = n
	}
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.queue.seq++
	heap.Push(&sim.queue, timer{at: sim.now.Add(d), seq: sim.queue.seq, do: do})
}

// run advances the clock.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for sim.queue.Len() > 0 && !sim.queue.all[0].at.After(end) {
		t := heap.Pop(&sim.queue).(timer)
		sim.now = t.at
		t.do()
	}
	sim.now = end
}

func (sim *simulation) startAll() {
	for _, n := range sim.nodes {
		sim.after(time.Duration(sim.rng.Int64N(int64(300*time.Millisecond))), n.start)
	}
}

func (n *node) start() {
	if n.up {
		return
	}
	n.incarnation++
	n.up, n.powerOff, n.readMode, n.knowsMembers, n.failures = true, false, feed.ReadNothing, false, 0
	n.streams = map[*stream]bool{}
	n.heldAt = time.Time{}
	n.state = feed.New(n.member, n.sim.config, rand.New(rand.NewPCG(n.sim.rng.Uint64(), 2)))
	n.handle(feed.Started{})
}

// stop ends the node's process; if its power is off, connected nodes notice only after a timeout.
func (n *node) stop(powerOff bool) {
	if !n.up {
		return
	}
	n.up, n.powerOff = false, powerOff
	n.readEpoch++
	wait := nodeLatency
	if powerOff {
		wait = stallTimeout
	}
	for s := range n.streams {
		n.sim.after(wait, s.reportLost)
	}
	if n.following != nil {
		n.sim.after(wait, n.following.end)
	}
}

func (n *node) handle(e feed.Event) {
	if !n.up {
		return
	}
	before := n.state.Status(n.sim.now)
	effects := n.state.Handle(n.sim.now, e)
	after := n.state.Status(n.sim.now)
	if after.Complete && n.heldAt.IsZero() {
		n.heldAt = n.sim.now
	}
	for _, effect := range effects {
		n.do(effect)
	}
	if after.Complete && (!before.Complete || before.Age-after.Age > 100*time.Millisecond) {
		for s := range n.streams {
			s.sendStatus()
		}
	}
	n.scheduleTick()
}

// scheduleTick schedules a Tick for the time that the node's state returns.
func (n *node) scheduleTick() {
	incarnation, at := n.incarnation, n.state.NextTick(n.sim.now)
	n.tickAt = at
	n.sim.after(at.Sub(n.sim.now), func() {
		if n.incarnation == incarnation && n.tickAt.Equal(at) {
			n.handle(feed.Tick{})
		}
	})
}

func (n *node) do(effect feed.Effect) {
	incarnation := n.incarnation
	switch e := effect.(type) {
	case feed.Follow:
		n.followEpoch++
		n.connect(e.Member, n.followEpoch)
	case feed.Unfollow:
		n.followEpoch++
	case feed.SetReadMode:
		n.readMode = e.Mode
		n.readEpoch++
		n.callStore(n.readEpoch, 0)
	case feed.QueryStatus:
		n.sim.asks++
		n.sim.after(nodeLatency, func() {
			if to := n.sim.byVM[e.Member.VM]; to.up {
				status := to.state.Status(n.sim.now)
				n.sim.after(nodeLatency, func() {
					if n.incarnation == incarnation {
						n.handle(feed.QueryAnswered{From: to.member, Status: status})
					}
				})
			}
		})
	case feed.SendOffers:
		n.sim.offers += len(e.To)
		status := n.state.Status(n.sim.now)
		for _, m := range e.To {
			n.sim.after(nodeLatency, func() { n.sim.byVM[m.VM].handle(feed.OfferReceived{From: n.member, Status: status}) })
		}
	}
}

func (n *node) connect(m feed.Member, followEpoch int) {
	s := &stream{from: n, to: n.sim.byVM[m.VM], followEpoch: followEpoch}
	s.incarnation = [2]int{n.incarnation, s.to.incarnation}
	n.following = s
	if !s.to.up {
		wait := 2 * nodeLatency
		if s.to.powerOff {
			wait = dialTimeout
		}
		n.sim.after(wait, s.reportLost)
		return
	}
	n.sim.after(nodeLatency, func() {
		if !s.active() {
			s.reportLost()
			return
		}
		s.to.streams[s] = true
		s.to.mostStreams = max(s.to.mostStreams, len(s.to.streams))
		s.to.handle(feed.FollowerAdded{VM: n.member.VM})
		s.heartbeat()
	})
}

// active reports whether the stream is still wanted and both ends are up.
func (s *stream) active() bool {
	return s.from.up && s.to.up && s.from.incarnation == s.incarnation[0] && s.to.incarnation == s.incarnation[1] && s.from.followEpoch == s.followEpoch
}

func (s *stream) heartbeat() {
	if !s.active() {
		s.end()
		return
	}
	s.sendStatus()
	s.from.sim.after(heartbeatInterval, s.heartbeat)
}

func (s *stream) sendStatus() {
	status := s.to.state.Status(s.to.sim.now)
	s.from.sim.after(nodeLatency, func() {
		if !s.active() {
			return
		}
		if status.Complete {
			s.from.learnMembers()
		}
		s.from.handle(feed.StatusReceived{From: s.to.member.VM, Status: status})
	})
}

func (s *stream) reportLost() {
	if s.from.up && s.from.incarnation == s.incarnation[0] && s.from.followEpoch == s.followEpoch {
		s.from.handle(feed.SourceLost{From: s.to.member.VM})
	}
}

func (s *stream) end() {
	if s.to.up && s.to.incarnation == s.incarnation[1] && s.to.streams[s] {
		delete(s.to.streams, s)
		s.to.handle(feed.FollowerRemoved{VM: s.from.member.VM})
	}
}

func (n *node) learnMembers() {
	if !n.knowsMembers {
		n.knowsMembers = true
		n.handle(feed.MembersUpdated{Members: n.sim.members})
	}
}

// callStore makes one call to the store, and further ones as long as the read mode stays the same.
func (n *node) callStore(readEpoch int, wait time.Duration) {
	incarnation := n.incarnation
	n.sim.after(wait, func() {
		if n.incarnation != incarnation || n.readEpoch != readEpoch || !n.up || n.readMode == feed.ReadNothing {
			return
		}
		n.sim.calls++
		n.sim.after(storeLatency, func() {
			if n.incarnation != incarnation || n.readEpoch != readEpoch || !n.up {
				return
			}
			if n.sim.storeDown || n.cutOff {
				n.callFailed(readEpoch)
				return
			}
			n.failures = 0
			n.learnMembers()
			if n.readEpoch == readEpoch && n.readMode != feed.ReadMembers {
				n.handle(feed.StoreRead{Status: feed.TableStatus{Complete: true, Reader: n.member.VM}})
			}
			n.callStore(readEpoch, pollWait)
		})
	})
}

// callFailed ends a call without an answer.
func (n *node) callFailed(readEpoch int) {
	incarnation, hang := n.incarnation, time.Duration(0)
	if n.sim.slowErrors && n.knowsMembers {
		hang = callTimeout
	}
	if n.sim.slowErrors && !n.knowsMembers {
		hang = listTimeout
	}
	n.sim.after(hang, func() {
		if n.incarnation != incarnation || n.readEpoch != readEpoch || !n.up {
			return
		}
		n.failures++
		n.handle(feed.StoreFailed{})
		n.callStore(readEpoch, n.backoff())
	})
}

func (n *node) backoff() time.Duration {
	full := min(100*time.Millisecond<<min(n.failures-1, 8), 800*time.Millisecond)
	if !n.knowsMembers {
		full = time.Second
	}
	return full/2 + time.Duration(n.sim.rng.Int64N(int64(full/2)+1))
}

// untilFresh advances the clock until all nodes that are up, except the excluded ones, have fresh tables.
func (sim *simulation) untilFresh(limit time.Duration, exclude func(*node) bool) (took time.Duration, ok bool) {
	const step = 10 * time.Millisecond
	for began := sim.now; sim.now.Sub(began) <= limit; sim.run(step) {
		stale := false
		for _, n := range sim.nodes {
			stale = stale || n.up && !exclude(n) && !n.state.Fresh(sim.now)
		}
		if !stale {
			return sim.now.Sub(began), true
		}
	}
	return limit, false
}

func (sim *simulation) readers() (readers []*node) {
	for _, n := range sim.nodes {
		if n.up && n.readMode == feed.ReadAll {
			readers = append(readers, n)
		}
	}
	return readers
}
