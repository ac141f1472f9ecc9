package pinning_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
)

// world is a fleet of nodes on a clock of its own, whose streams are begun by one of two software versions.
type world struct {
	rng      *rand.Rand
	now      time.Time
	queue    queue
	lastItem int
	nodes    []*worldNode

	loss     float64
	versions []vaneyoke.SoftwareVersion // that serve now, as nodes know that are not late

	streams          []*worldStream
	resumed, known   int
	wrong            int
	datagrams, bytes int
	waited           time.Duration

	store *worldStore // nil if nodes keep no records in the store
}

type worldNode struct {
	w      *world
	number int
	zone   vaneyoke.DataCentreID
	old    bool // whether its build keeps no records
	up     bool
	lives  int
	state  *pinning.State
	frozen time.Time                // until when
	since  time.Time                // of its life
	late   vaneyoke.SoftwareVersion // a version that the node has not learned of yet
	ticks  time.Time
	lookup map[pinning.LookupID]func(pinning.Origin)
	lastID pinning.LookupID

	registry *pinning.VersionRegistry // as the node knows it; used with a store only
}

type worldStream struct {
	id       pinning.StreamID
	software pinning.Software
	deadline time.Time
	node     *worldNode
	life     int // of the node when it began to serve the stream
	ended    bool
}

// Software returns the versions that serve.
func (n *worldNode) Software([]vaneyoke.ServiceID) (all []pinning.Software, watched time.Duration) {
	if n.w.store != nil {
		return n.recordedSoftware()
	}
	for _, v := range n.versions() {
		all = append(all, pinning.Software{Service: "lm", Version: v})
	}
	return all, n.w.now.Sub(n.since)
}

func (n *worldNode) versions() []vaneyoke.SoftwareVersion {
	if n.w.store != nil {
		return n.admitted()
	}
	return slices.DeleteFunc(slices.Clone(n.w.versions), func(v vaneyoke.SoftwareVersion) bool { return v == n.late })
}

type item struct {
	at  time.Time
	seq int
	do  func()
}

type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), versions: []vaneyoke.SoftwareVersion{"v1", "v2"}}
	for i := range nodes {
		w.add(i)
	}
	w.publish()
	return w
}

func (w *world) add(number int) {
	n := &worldNode{w: w, number: number, zone: vaneyoke.DataCentreID(fmt.Sprint("zone-", number%worldZones))}
	w.nodes = append(w.nodes, n)
	n.start()
}

func (n *worldNode) member() pinning.Member {
	return pinning.Member{VM: vaneyoke.VMID(fmt.Sprint("vm-", n.number)), DataCentre: n.zone, Address: fmt.Sprint(n.number), Incarnation: vaneyoke.Incarnation(n.lives)}
}

// start starts a node, which learns of the members 300 ms later.
func (n *worldNode) start() {
	n.lives++
	n.up, n.since, n.ticks = true, n.w.now, time.Time{}
	n.state, n.lookup = pinning.New(n.member(), n), map[pinning.LookupID]func(pinning.Origin){}
	life := n.lives
	n.startArchive()
	n.w.after(300*time.Millisecond, func() {
		if n.up && n.lives == life {
			n.handle(pinning.MembersUpdated{All: n.w.members()})
		}
	})
}

func (w *world) members() (all []pinning.Member) {
	for _, n := range w.nodes {
		if !n.old {
			all = append(all, n.member())
		}
	}
	return all
}

// publish tells all nodes the members, each after a while.
func (w *world) publish() {
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.Int64N(int64(2*time.Second))), func() {
			if n.up {
				n.handle(pinning.MembersUpdated{All: w.members()})
			}
		})
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.lastItem++
	heap.Push(&w.queue, item{w.now.Add(d), w.lastItem, do})
}

// run plays what is due within a time.
func (w *world) run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		next := heap.Pop(&w.queue).(item)
		w.now = next.at
		next.do()
	}
	w.now = until
}

func (n *worldNode) handle(ev pinning.Event) {
	if n.frozen.After(n.w.now) {
		n.w.after(n.frozen.Sub(n.w.now), func() {
			if n.up {
				n.handle(ev)
			}
		})
		return
	}
	if n.old {
		return
	}
	for _, effect := range append([]pinning.Effect(nil), n.state.Handle(n.w.now, ev)...) {
		switch e := effect.(type) {
		case pinning.Send:
			n.w.send(e)
		case pinning.WriteRecords:
			n.w.store.write(n, e)
		case pinning.ReadRecords:
			n.w.store.read(n, e.Stream)
		case pinning.LookupDecided:
			done := n.lookup[e.ID]
			delete(n.lookup, e.ID)
			done(e.Origin)
		}
	}
	if at := n.state.NextTick(); !at.IsZero() && (n.ticks.IsZero() || at.Before(n.ticks)) {
		n.ticks = at
		life := n.lives
		n.w.after(max(at.Sub(n.w.now), 0), func() {
			if n.up && n.lives == life {
				n.ticks = time.Time{}
				n.handle(pinning.Tick{})
			}
		})
	}
}

func (w *world) send(e pinning.Send) {
	data := pinning.Encode(e.Message)
	w.datagrams++
	w.bytes += len(data) + 28
	if w.rng.Float64() < w.loss {
		return
	}
	var number int
	_, _ = fmt.Sscan(e.To, &number)
	w.after(time.Millisecond+time.Duration(w.rng.Int64N(int64(2*time.Millisecond))), func() {
		m, err := pinning.Decode(data)
		if to := w.nodes[number]; err == nil && to.up {
			to.handle(pinning.MessageReceived{Message: m})
		}
	})
}

// begin begins a stream of a random version at a random node.
func (w *world) begin() {
	n := w.randomNode()
	if n == nil || len(n.versions()) == 0 {
		return
	}
	st := &worldStream{
		id:       pinning.StreamID(fmt.Sprintf("%024x", len(w.streams))),
		software: pinning.Software{Service: "lm", Version: n.versions()[w.rng.IntN(len(n.versions()))]},
		deadline: w.now.Add(25 * time.Second),
	}
	w.streams = append(w.streams, st)
	w.serve(st, n)
	w.after(2*time.Second+time.Duration(w.rng.ExpFloat64()*float64(4*time.Second)), func() { st.end() })
}

func (w *world) serve(st *worldStream, n *worldNode) {
	st.node, st.life = n, n.lives
	n.handle(pinning.StreamBegun{Stream: st.id, Software: st.software, Deadline: st.deadline})
}

func (st *worldStream) end() {
	st.ended = true
	if st.node.up && st.node.lives == st.life {
		st.node.handle(pinning.StreamEnded{Stream: st.id})
	}
}

// randomNode returns a node that is up; nil if there is none.
func (w *world) randomNode() *worldNode {
	if !slices.ContainsFunc(w.nodes, func(n *worldNode) bool { return n.up && !n.frozen.After(w.now) }) {
		return nil
	}
	for {
		if n := w.nodes[w.rng.IntN(len(w.nodes))]; n.up && !n.frozen.After(w.now) {
			return n
		}
	}
}

// kill kills nodes, whose callers come back elsewhere at once; they start again after a while.
func (w *world) kill(nodes []*worldNode, downFor time.Duration) {
	for _, n := range nodes {
		n.up = false
	}
	for _, st := range w.streams {
		if !st.ended && !st.node.up && st.life == st.node.lives {
			w.after(3*time.Millisecond+time.Duration(w.rng.Int64N(int64(50*time.Millisecond))), func() { w.resume(st) })
		}
	}
	for _, n := range nodes {
		w.after(downFor, n.start)
	}
}

// resume has the caller of a stream come back at a random node that is up.
func (w *world) resume(st *worldStream) {
	n := w.randomNode()
	if n == nil {
		w.after(100*time.Millisecond, func() { w.resume(st) })
		return
	}
	if n.old {
		return
	}
	w.resumed++
	startedAt := w.now
	n.lastID++
	n.lookup[n.lastID] = func(o pinning.Origin) {
		w.waited += w.now.Sub(startedAt)
		if !o.IsKnown() {
			st.ended = true
			return
		}
		w.known++
		if o.Software != st.software {
			w.wrong++
		}
		w.serve(st, n)
	}
	n.handle(pinning.Lookup{ID: n.lastID, Stream: st.id, Services: []vaneyoke.ServiceID{"lm"}, MaxAge: 25 * time.Second})
}

// traffic begins streams at a rate for each node.
func (w *world) traffic(perNode float64, d time.Duration) {
	interval := time.Duration(float64(time.Second) / perNode / float64(len(w.nodes)))
	for at := time.Duration(0); at < d; at += interval {
		w.after(at, w.begin)
	}
}

// share returns a random share of the nodes.
func (w *world) share(share float64) []*worldNode {
	order := w.rng.Perm(len(w.nodes))
	var some []*worldNode
	for _, i := range order[:int(share*float64(len(order))+0.5)] {
		some = append(some, w.nodes[i])
	}
	return some
}

const (
	worldZones     = 3
	streamsPerNode = 3.7 // a second, of 1,500 at 410 nodes
	maxStreamRate  = 120 // a second, which bounds the time that the tests take
	settles        = 3 * time.Second
)
