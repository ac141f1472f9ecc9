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
	fanOut    = 4
	step      = 10 * time.Millisecond
	onWay     = 4 * time.Millisecond   // of a datagram
	storeHop  = 10 * time.Millisecond  // of a call to the store, and of a row on each level of the tree
	gather    = 300 * time.Millisecond // before a reader tells on what has changed
	settle    = time.Second            // until the tree is made anew after a node has ended or was cut off
	downTime  = time.Second            // of a node that ends
	startTime = 300 * time.Millisecond // until a node that starts holds the store's tables
	contact   = 3 * time.Second        // for which a node and the store must have been undisturbed to count
	down      = 2 * time.Second        // of an upstream that has crashed
	poison    = vaneyoke.ContentID("poison")
)

// world is a fleet before upstreams that a certain content ends, on a clock of its own.
type world struct {
	rng       *rand.Rand
	now       time.Time
	began     time.Time
	nodes     []*node
	upstreams []*upstream
	flying    []letter
	calls     []call
	sends     []send
	treeAt    time.Time // when the tree is made anew; the zero time for not at all
	reader    int

	rate     float64 // poison requests a second
	beside   int     // innocent requests that begin at an upstream as it crashes
	loss     float64 // share of the datagrams that are lost
	sameIDs  bool    // whether upstreams start again under their ids
	silent   bool    // whether they do not tell their incarnation
	storeOff bool
	storeWas time.Time // when the store was last disturbed

	rows     map[vaneyoke.ContentID]quarantine.Row
	revision vaneyoke.Revision
	writes   int

	crashes   []time.Time // by the poison
	later     int         // sends of nodes that count, later than contact after the third crash
	sent      int
	datagrams int
	busiest   int
	wronged   []string // innocent requests that were barred
	innocents int
}

type node struct {
	vm       vaneyoke.VMID
	state    *quarantine.State
	gossip   *gossip.State
	life     int
	upAt     time.Time // when it runs
	frozen   time.Time // until which it stands still
	cut      bool
	troubled time.Time // when it was last disturbed
	rows     map[vaneyoke.ContentID]quarantine.Row
	told     int // datagrams
}

type upstream struct {
	id   vaneyoke.UpstreamID
	born vaneyoke.Incarnation
	upAt time.Time
}

// letter is a datagram on its way.
type letter struct {
	at        time.Time
	from, to  int
	sightings []gossip.Sighting
}

// call is something that comes to pass later.
type call struct {
	at time.Time
	do func()
}

// send is a poison request that waits at an upstream.
type send struct {
	node, life, upstream int
	born                 vaneyoke.Incarnation
	sentAt, at           time.Time // when it was sent, and when it is begun
}

func vm(i int) vaneyoke.VMID { return vaneyoke.VMID(fmt.Sprint("vm", i)) }

func newWorld(seed uint64, nodes int, set func(w *world)) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1000, 0), rate: 6, beside: 3, loss: 0.02,
		rows: map[vaneyoke.ContentID]quarantine.Row{}, revision: 1,
	}
	w.began = w.now
	if set != nil {
		set(w)
	}
	for i := range 24 {
		w.upstreams = append(w.upstreams, &upstream{id: vaneyoke.UpstreamID(fmt.Sprint("u", i)), born: 1})
	}
	for range nodes {
		w.add()
	}
	for _, n := range w.nodes {
		n.troubled = w.now.Add(-time.Hour)
	}
	w.makeTree()
	return w
}

func (w *world) since() time.Duration { return w.now.Sub(w.began) }

// add starts a node that nobody knew.
func (w *world) add() {
	w.nodes = append(w.nodes, &node{vm: vm(len(w.nodes))})
	w.start(len(w.nodes)-1, 0)
}

// start has a node begin after a while, without anything that it knew.
func (w *world) start(i int, after time.Duration) {
	n := w.nodes[i]
	n.life++
	n.state = quarantine.New(quarantine.Config{Crashes: 3, Hold: time.Hour})
	n.gossip = gossip.New(n.vm, uint64(n.life)<<32)
	n.upAt, n.troubled, n.rows = w.now.Add(after), w.now.Add(after), nil
	life := n.life
	w.after(after+startTime, func() {
		if n.life == life && n.rows == nil {
			w.giveTables(i)
		}
	})
	w.treeAt = w.now.Add(settle)
}

func (w *world) after(d time.Duration, do func()) {
	w.calls = append(w.calls, call{w.now.Add(d), do})
}

func (w *world) runs(i int) bool {
	n := w.nodes[i]
	return !w.now.Before(n.upAt) && !w.now.Before(n.frozen)
}

// run lets time pass; each is called once a step.
func (w *world) run(d time.Duration, each func()) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		if each != nil {
			each()
		}
		w.pass()
	}
}

func (w *world) pass() {
	if !w.treeAt.IsZero() && !w.now.Before(w.treeAt) {
		w.makeTree()
	}
	calls := w.calls
	w.calls = nil
	for _, c := range calls {
		if c.at.After(w.now) {
			w.calls = append(w.calls, c)
			continue
		}
		c.do()
	}
	w.deliver()
	for i, n := range w.nodes {
		if !w.runs(i) {
			continue
		}
		if at := n.gossip.NextTick(); !at.IsZero() && !w.now.Before(at) {
			w.gossip(i, gossip.Tick{})
		}
		if at := n.state.Next(); !at.IsZero() && !w.now.Before(at) {
			w.handle(i, quarantine.Tick{Reads: i == w.reader && !n.cut})
		}
	}
	w.begin()
	for left := w.rate * step.Seconds(); w.rng.Float64() < left; left-- {
		w.request()
	}
}

func (w *world) deliver() {
	flying := w.flying
	w.flying = nil
	for _, l := range flying {
		switch n := w.nodes[l.to]; {
		case l.at.After(w.now), w.now.Before(n.frozen): // what came meanwhile is read when it wakes
			w.flying = append(w.flying, l)
		case w.runs(l.to) && !n.cut && !w.nodes[l.from].cut:
			w.gossip(l.to, gossip.SightingsReceived{From: vm(l.from), Sightings: l.sightings})
		}
	}
}

// counts reports whether a node's sends count: neither it nor the store was disturbed of late.
func (w *world) counts(i int) bool {
	n := w.nodes[i]
	return w.runs(i) && !n.cut && !w.storeOff && w.now.Sub(n.troubled) >= contact && w.now.Sub(n.frozen) >= contact && w.now.Sub(w.storeWas) >= contact
}

// request has the poison come to a node.
func (w *world) request() {
	i := w.rng.IntN(len(w.nodes))
	n := w.nodes[i]
	if !w.runs(i) {
		return
	}
	if _, barred := n.state.Barred(w.now, poison); barred {
		return
	}
	w.sendOn(i)
}

func (w *world) sendOn(i int) {
	u := w.rng.IntN(len(w.upstreams))
	if w.now.Before(w.upstreams[u].upAt) {
		return
	}
	w.sent++
	if w.counts(i) && len(w.crashes) >= 3 && w.now.Sub(w.crashes[2]) > contact {
		w.later++
	}
	wait := time.Duration(w.rng.Float64() * float64(1500*time.Millisecond))
	w.sends = append(w.sends, send{i, w.nodes[i].life, u, w.upstreams[u].born, w.now, w.now.Add(wait)})
}

// begin has upstreams begin to run what has waited.
func (w *world) begin() {
	sends := w.sends
	w.sends = nil
	for _, s := range sends {
		switch u := w.upstreams[s.upstream]; {
		case u.born != s.born || s.life != w.nodes[s.node].life: // its upstream or its node has ended meanwhile
		case s.at.After(w.now):
			w.sends = append(w.sends, s)
		default:
			w.crash(s)
		}
	}
}

// crash ends an upstream under the poison, and loses what others had just begun there.
func (w *world) crash(s send) {
	w.crashes = append(w.crashes, w.now)
	lost := w.end(s.upstream)
	w.lose(s.node, poison, lost, s.sentAt)
	if _, barred := w.nodes[s.node].state.Barred(w.now, poison); !barred && w.runs(s.node) {
		w.sendOn(s.node) // the same request goes on
	}
}

// end ends an upstream, with some innocent requests, and returns what it was.
func (w *world) end(number int) upstream {
	u := w.upstreams[number]
	lost := *u
	if w.silent {
		lost.born = 0
	}
	u.upAt, u.born = w.now.Add(down), u.born+1
	if !w.sameIDs {
		u.id = vaneyoke.UpstreamID(fmt.Sprint("u", number, "-", u.born))
	}
	for range w.beside {
		w.innocents++
		content := vaneyoke.ContentID(fmt.Sprint("innocent", w.innocents))
		w.innocent(w.rng.IntN(len(w.nodes)), content, lost)
	}
	return lost
}

// innocent has an innocent request be lost as it began, and go on elsewhere, where the same may happen to it.
func (w *world) innocent(i int, content vaneyoke.ContentID, lost upstream) {
	if !w.runs(i) {
		return
	}
	w.lose(i, content, lost, w.now.Add(-time.Second))
	life := w.nodes[i].life
	w.after(time.Second, func() {
		if w.nodes[i].life != life || !w.runs(i) {
			return
		}
		if _, barred := w.nodes[i].state.Barred(w.now, content); barred {
			w.wronged = append(w.wronged, string(content))
			return
		}
		w.handle(i, quarantine.Survived{Content: content})
	})
}

// lose tells a node that an upstream ended as it began to run a request of its.
func (w *world) lose(i int, content vaneyoke.ContentID, lost upstream, sentAt time.Time) {
	tell := func() {
		w.handle(i, quarantine.Crashed{Content: content, Upstream: lost.id, Incarnation: lost.born, SentAt: sentAt})
	}
	if w.now.Before(w.nodes[i].frozen) {
		life := w.nodes[i].life
		w.after(w.nodes[i].frozen.Sub(w.now), func() {
			if w.nodes[i].life == life {
				tell()
			}
		})
		return
	}
	tell()
}

// kill ends nodes, which start again.
func (w *world) kill(which ...int) {
	for _, i := range which {
		w.start(i, downTime)
	}
}

func (w *world) freeze(d time.Duration, which ...int) {
	for _, i := range which {
		w.nodes[i].frozen = w.now.Add(d)
	}
}

func (w *world) setCut(cut bool, which ...int) {
	for _, i := range which {
		w.nodes[i].cut, w.nodes[i].troubled = cut, w.now
	}
	w.treeAt = w.now.Add(settle)
}

func (w *world) setStore(off bool) {
	if w.storeOff != off {
		w.storeOff, w.storeWas = off, w.now
	}
}
