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
	hop      = time.Millisecond        // one way between two nodes
	storeHop = 4 * time.Millisecond    // a call to the store
	beat     = 250 * time.Millisecond  // between two words
	poll     = 1100 * time.Millisecond // for which a call waits for changes
	stall    = 800 * time.Millisecond  // after which a silent connection is given up
	dialWait = 200 * time.Millisecond
	slack    = 500 * time.Millisecond  // for which a call to a silent store hangs
	listWait = 1600 * time.Millisecond // for which one for all rows hangs
)

// world is a fleet on a clock of its own, whose nodes do what their states ask for.
type world struct {
	now       time.Time
	queue     timers
	rng       *rand.Rand
	config    feed.Config
	nodes     []*node
	members   []feed.Member
	byVM      map[vaneyoke.VMID]*node
	storeDown bool
	silent    bool // whether calls that fail hang for a while first
	calls     int  // to the store
	asks      int
	offers    int
}

// node is one node of the world.
type node struct {
	w         *world
	member    feed.Member
	state     *feed.State
	life      int // counts the starts; 0 before the first
	up        bool
	dark      bool // without power: it does not even refuse connections
	cut       bool // from the store
	reading   feed.ReadMode
	read      int // counts the ways of reading
	failures  int
	members   bool
	follows   int // counts the follow effects
	following *stream
	streams   map[*stream]bool
	wake      time.Time
	heldAt    time.Time
	busiest   int
}

// stream is a node's following of another.
type stream struct {
	from, to *node
	life     [2]int
	follow   int
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

// newWorld returns a fleet of nodes in some data centres, none of which has started.
func newWorld(seed uint64, count, centres int) *world {
	w := &world{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), config: feed.DefaultConfig(), byVM: map[vaneyoke.VMID]*node{},
	}
	for i := range count {
		m := feed.Member{VM: vaneyoke.VMID(fmt.Sprint("vm-", i)), DataCentre: vaneyoke.DataCentreID(fmt.Sprint("dc-", i%centres)), Address: fmt.Sprint("10.0.0.1:", i)}
		n := &node{w: w, member: m}
		w.nodes = append(w.nodes, n)
		w.members = append(w.members, m)
		w.byVM[m.VM] = n
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.queue.seq++
	heap.Push(&w.queue, timer{at: w.now.Add(d), seq: w.queue.seq, do: do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.queue.Len() > 0 && !w.queue.all[0].at.After(end) {
		t := heap.Pop(&w.queue).(timer)
		w.now = t.at
		t.do()
	}
	w.now = end
}

func (w *world) startAll() {
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), n.start)
	}
}

func (n *node) start() {
	if n.up {
		return
	}
	n.life++
	n.up, n.dark, n.reading, n.members, n.failures = true, false, feed.ReadNothing, false, 0
	n.streams = map[*stream]bool{}
	n.heldAt = time.Time{}
	n.state = feed.New(n.member, n.w.config, rand.New(rand.NewPCG(n.w.rng.Uint64(), 2)))
	n.handle(feed.Started{})
}

// stop ends the node's process; a dark one does not tell those that are connected to it.
func (n *node) stop(dark bool) {
	if !n.up {
		return
	}
	n.up, n.dark = false, dark
	n.read++
	wait := hop
	if dark {
		wait = stall
	}
	for s := range n.streams {
		n.w.after(wait, s.lost)
	}
	if n.following != nil {
		n.w.after(wait, n.following.end)
	}
}

func (n *node) handle(e feed.Event) {
	if !n.up {
		return
	}
	before := n.state.Status(n.w.now)
	effects := n.state.Handle(n.w.now, e)
	after := n.state.Status(n.w.now)
	if after.Complete && n.heldAt.IsZero() {
		n.heldAt = n.w.now
	}
	for _, effect := range effects {
		n.do(effect)
	}
	if after.Complete && (!before.Complete || before.Age-after.Age > 100*time.Millisecond) {
		for s := range n.streams {
			s.tell()
		}
	}
	n.sleep()
}

// sleep has the node decide anew at the time that its state tells.
func (n *node) sleep() {
	life, at := n.life, n.state.NextTick(n.w.now)
	n.wake = at
	n.w.after(at.Sub(n.w.now), func() {
		if n.life == life && n.wake.Equal(at) {
			n.handle(feed.Tick{})
		}
	})
}

func (n *node) do(effect feed.Effect) {
	life := n.life
	switch e := effect.(type) {
	case feed.Follow:
		n.follows++
		n.connect(e.Member, n.follows)
	case feed.Unfollow:
		n.follows++
	case feed.SetReadMode:
		n.reading = e.Mode
		n.read++
		n.call(n.read, 0)
	case feed.QueryStatus:
		n.w.asks++
		n.w.after(hop, func() {
			if to := n.w.byVM[e.Member.VM]; to.up {
				word := to.state.Status(n.w.now)
				n.w.after(hop, func() {
					if n.life == life {
						n.handle(feed.QueryAnswered{From: to.member, Status: word})
					}
				})
			}
		})
	case feed.SendOffers:
		n.w.offers += len(e.To)
		word := n.state.Status(n.w.now)
		for _, m := range e.To {
			n.w.after(hop, func() { n.w.byVM[m.VM].handle(feed.OfferReceived{From: n.member, Status: word}) })
		}
	}
}

func (n *node) connect(m feed.Member, follow int) {
	s := &stream{from: n, to: n.w.byVM[m.VM], follow: follow}
	s.life = [2]int{n.life, s.to.life}
	n.following = s
	if !s.to.up {
		wait := 2 * hop
		if s.to.dark {
			wait = dialWait
		}
		n.w.after(wait, s.lost)
		return
	}
	n.w.after(hop, func() {
		if !s.holds() {
			s.lost()
			return
		}
		s.to.streams[s] = true
		s.to.busiest = max(s.to.busiest, len(s.to.streams))
		s.to.handle(feed.FollowerAdded{VM: n.member.VM})
		s.beat()
	})
}

// holds reports whether the stream is still wanted and both ends are up.
func (s *stream) holds() bool {
	return s.from.up && s.to.up && s.from.life == s.life[0] && s.to.life == s.life[1] && s.from.follows == s.follow
}

func (s *stream) beat() {
	if !s.holds() {
		s.end()
		return
	}
	s.tell()
	s.from.w.after(beat, s.beat)
}

func (s *stream) tell() {
	word := s.to.state.Status(s.to.w.now)
	s.from.w.after(hop, func() {
		if !s.holds() {
			return
		}
		if word.Complete {
			s.from.learnMembers()
		}
		s.from.handle(feed.StatusReceived{From: s.to.member.VM, Status: word})
	})
}

func (s *stream) lost() {
	if s.from.up && s.from.life == s.life[0] && s.from.follows == s.follow {
		s.from.handle(feed.SourceLost{From: s.to.member.VM})
	}
}

func (s *stream) end() {
	if s.to.up && s.to.life == s.life[1] && s.to.streams[s] {
		delete(s.to.streams, s)
		s.to.handle(feed.FollowerRemoved{VM: s.from.member.VM})
	}
}

func (n *node) learnMembers() {
	if !n.members {
		n.members = true
		n.handle(feed.MembersUpdated{Members: n.w.members})
	}
}

// call makes one call to the store, and further ones as long as the way of reading is the same.
func (n *node) call(read int, wait time.Duration) {
	life := n.life
	n.w.after(wait, func() {
		if n.life != life || n.read != read || !n.up || n.reading == feed.ReadNothing {
			return
		}
		n.w.calls++
		n.w.after(storeHop, func() {
			if n.life != life || n.read != read || !n.up {
				return
			}
			if n.w.storeDown || n.cut {
				n.failed(read)
				return
			}
			n.failures = 0
			n.learnMembers()
			if n.read == read && n.reading != feed.ReadMembers {
				n.handle(feed.StoreRead{Status: feed.TableStatus{Complete: true, Reader: n.member.VM}})
			}
			n.call(read, poll)
		})
	})
}

// failed ends a call without an answer.
func (n *node) failed(read int) {
	life, hang := n.life, time.Duration(0)
	if n.w.silent && n.members {
		hang = slack
	}
	if n.w.silent && !n.members {
		hang = listWait
	}
	n.w.after(hang, func() {
		if n.life != life || n.read != read || !n.up {
			return
		}
		n.failures++
		n.handle(feed.StoreFailed{})
		n.call(read, n.backoff())
	})
}

func (n *node) backoff() time.Duration {
	full := min(100*time.Millisecond<<min(n.failures-1, 8), 800*time.Millisecond)
	if !n.members {
		full = time.Second
	}
	return full/2 + time.Duration(n.w.rng.Int64N(int64(full/2)+1))
}

// untilFresh lets time pass until all nodes that are up, but those that are left out, have tables that are not old.
func (w *world) untilFresh(most time.Duration, but func(*node) bool) (took time.Duration, ok bool) {
	const step = 10 * time.Millisecond
	for began := w.now; w.now.Sub(began) <= most; w.run(step) {
		old := false
		for _, n := range w.nodes {
			old = old || n.up && !but(n) && !n.state.Fresh(w.now)
		}
		if !old {
			return w.now.Sub(began), true
		}
	}
	return most, false
}

func (w *world) readers() (readers []*node) {
	for _, n := range w.nodes {
		if n.up && n.reading == feed.ReadAll {
			readers = append(readers, n)
		}
	}
	return readers
}
