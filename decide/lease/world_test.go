package lease_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/lease"
)

const (
	step    = 50 * time.Millisecond
	tick    = 100 * time.Millisecond
	term    = 3 * time.Second
	thaw    = 300 * time.Millisecond // after a freeze, in which calls of the one that was frozen do not count
	callFor = 900 * time.Millisecond // longest that a node waits for an answer
)

// fault takes a promise out of a node, to show that the world notices.
type fault int

const (
	faultNone            fault = iota
	faultProofByArrival        // a renewal counts from its answer on, not from when it was sent
	faultTokenFromMemory       // the node acts with the token that it had, whatever the time is
	faultShortTerm             // the lease is shorter than the platform counts it
	faultNoSettling            // a new holder acts at once where the platform checks no tokens
	faultOneLife               // a process that started again takes itself for the one before
)

// world is a fleet of which one node at a time may act, on a clock of its own.
type world struct {
	rng     *rand.Rand
	now     time.Time
	began   time.Time
	checked bool // whether the platform checks tokens
	fault   fault
	nodes   []*node
	later   []delayed

	row      lease.Row
	revision vaneyoke.Revision
	away     bool          // whether the store is
	lost     float64       // share of the store's answers that are lost
	delay    time.Duration // longest that a call to the store takes
	late     float64       // share of the platform's calls that get no answer, and of the store's that get none, that are carried out seconds later

	wants func(i int) bool // which nodes would hold the lease
	calls int              // to the store

	highest lease.Fence // that the platform has seen
	senders map[lease.Fence]sender
	acts    []act
	broken  []string
}

// sender is one life of a node. What an earlier one has sent may still be under way.
type sender struct {
	node int
	life vaneyoke.Incarnation
}

// act is a call that the platform took.
type act struct {
	at    time.Time
	node  int
	fence lease.Fence
}

type delayed struct {
	at time.Time
	do func()
}

type node struct {
	state  *lease.State
	life   vaneyoke.Incarnation
	memory lease.Fence   // token that it had last
	frozen time.Time     // until when
	dead   time.Time     // until when
	cut    time.Time     // from the store, until when
	woke   time.Time     // when it last woke or was healed
	back   time.Duration // for which the store's answers are held back after the write was carried out
	inbox  []func()      // what came while it was frozen
	acted  time.Time
	under  int // calls to the platform without an answer
}

func newWorld(seed uint64, nodes int, checked bool, f fault) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1000, 0), checked: checked, fault: f, delay: 40 * time.Millisecond,
		senders: map[lease.Fence]sender{}, revision: 500,
	}
	w.began = w.now
	w.wants = func(i int) bool { return i == w.first() }
	for range nodes {
		w.nodes = append(w.nodes, &node{})
	}
	for i := range w.nodes {
		w.start(i)
	}
	return w
}

func (w *world) since() time.Duration { return w.now.Sub(w.began) }

// first returns the first node that runs and reaches the store.
func (w *world) first() int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.runs(w.now) && !w.now.Before(n.cut) })
}

func (n *node) runs(now time.Time) bool { return !now.Before(n.dead) && !now.Before(n.frozen) }

func (w *world) start(i int) {
	n := w.nodes[i]
	n.life++
	config := lease.Config{Term: term, Wait: callFor}
	if !w.checked {
		config.Settle = term
	}
	if w.fault == faultNoSettling {
		config.Settle = 0
	}
	if w.fault == faultShortTerm {
		config.Term, config.Wait = term/4, callFor/4
	}
	life := n.life
	if w.fault == faultOneLife {
		life = 1
	}
	n.state = lease.New(vaneyoke.VMID(fmt.Sprint("vm", i)), life, config)
	n.memory, n.inbox, n.under, n.back = 0, nil, 0, 0
}

func (w *world) after(d time.Duration, do func()) {
	w.later = append(w.later, delayed{at: w.now.Add(d), do: do})
}

// run lets time pass; each is called at each step.
func (w *world) run(until time.Duration, each func()) {
	for w.since() < until {
		w.now = w.now.Add(step)
		if each != nil {
			each()
		}
		due := w.later
		w.later = nil
		for _, d := range due {
			if d.at.After(w.now) {
				w.later = append(w.later, d)
				continue
			}
			d.do()
		}
		for i, n := range w.nodes {
			w.turn(i, n)
		}
	}
}

func (w *world) turn(i int, n *node) {
	if !n.runs(w.now) {
		return
	}
	for _, do := range n.inbox {
		do()
	}
	n.inbox = nil
	if (w.since()/step)%(tick/step) == time.Duration(i)%(tick/step) {
		w.handle(i, lease.Tick{Want: w.wants(i), Clean: n.under == 0})
		w.act(i, n)
	}
}

// deliver hands a node an answer, when it runs.
func (w *world) deliver(i int, life vaneyoke.Incarnation, do func()) {
	n := w.nodes[i]
	switch {
	case n.life != life || w.now.Before(n.dead):
	case w.now.Before(n.frozen):
		n.inbox = append(n.inbox, func() { w.deliver(i, life, do) })
	default:
		do()
	}
}

func (w *world) handle(i int, ev lease.Event) {
	for _, effect := range w.nodes[i].state.Handle(w.now, ev) {
		switch e := effect.(type) {
		case lease.Write:
			w.write(i, e.Row)
		case lease.Gained:
			w.nodes[i].memory = e.Fence
		case lease.Lost:
		}
	}
}

// write is a call to the store.
func (w *world) write(i int, row lease.Row) {
	n := w.nodes[i]
	life, sentAt := n.life, w.now
	w.calls++
	way := time.Duration(w.rng.Int64N(int64(w.delay)))
	answer := func(ev lease.Event) func() { return func() { w.deliver(i, life, func() { w.handle(i, ev) }) } }
	if w.away || w.now.Before(n.cut) {
		if w.rng.Float64() < w.late {
			w.after(time.Duration(w.rng.Int64N(int64(4*time.Second))), func() { w.carryOut(row) })
		}
		w.after(callFor, answer(lease.Failed{}))
		return
	}
	w.after(way, func() {
		stands, done := w.carryOut(row)
		if w.rng.Float64() < w.lost {
			w.after(callFor, answer(lease.Failed{}))
			return
		}
		w.after(way+n.back, func() {
			w.deliver(i, life, func() {
				if !done {
					w.handle(i, lease.Raced{Row: stands})
					return
				}
				if w.fault == faultProofByArrival {
					sentAt = w.now
				}
				w.handle(i, lease.Written{Row: stands, SentAt: sentAt})
			})
		})
	})
}

func (w *world) carryOut(row lease.Row) (stands lease.Row, done bool) {
	if row.Revision != w.row.Revision {
		return w.row, false
	}
	w.revision += 3
	w.row = lease.Row{Record: row.Record, Revision: w.revision}
	return w.row, true
}

// act has a node that holds the lease call the platform.
func (w *world) act(i int, n *node) {
	fence, ok := n.state.Holds(w.now)
	if w.fault == faultTokenFromMemory && n.memory != 0 {
		fence, ok = n.memory, true
	}
	if !ok || w.now.Sub(n.acted) < 300*time.Millisecond {
		return
	}
	n.acted = w.now
	life := n.life
	if w.rng.Float64() < w.late {
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(6*time.Second))), func() { w.arrive(sender{i, life}, fence, true) })
		return
	}
	n.under++
	w.after(time.Duration(w.rng.Int64N(int64(callFor))), func() {
		taken := w.arrive(sender{i, life}, fence, w.now.Sub(n.woke) < thaw)
		w.deliver(i, life, func() {
			n.under--
			if !taken {
				w.handle(i, lease.Refused{Fence: fence})
			}
		})
	})
}

// arrive has a call come to the platform, which reports whether it took it. One that does not count was on its way while its sender was frozen, or was
// carried out late.
func (w *world) arrive(from sender, fence lease.Fence, discounted bool) bool {
	if other, seen := w.senders[fence]; seen && other != from {
		w.broken = append(w.broken, fmt.Sprintf("%v: token %d from %v and %v", w.since(), fence, other, from))
	}
	w.senders[fence] = from
	if fence < w.highest {
		if !w.checked && !discounted {
			w.broken = append(w.broken, fmt.Sprintf("%v: token %d from %v after %d", w.since(), fence, from, w.highest))
		}
		if w.checked {
			return false
		}
	}
	w.highest = max(w.highest, fence)
	if !discounted {
		w.acts = append(w.acts, act{at: w.now, node: from.node, fence: fence})
		w.checkTurns()
	}
	return true
}

// checkTurns looks for a holder that acted, another that did, and the first again, within a term.
func (w *world) checkTurns() {
	last := w.acts[len(w.acts)-1]
	other := false
	for _, a := range slices.Backward(w.acts) {
		switch {
		case last.at.Sub(a.at) > term:
			return
		case a.node != last.node:
			other = true
		case other:
			w.broken = append(w.broken, fmt.Sprintf("%v: %d acted, another, and %d again", w.since(), a.node, a.node))
			return
		}
	}
}

func (w *world) kill(i int, pause time.Duration) {
	w.nodes[i].dead = w.now.Add(pause)
	w.start(i)
}

// leave has a node end as it is asked to, after a grace, and start again.
func (w *world) leave(i int, grace, pause time.Duration) {
	n := w.nodes[i]
	if !n.runs(w.now) {
		return
	}
	life := n.life
	w.handle(i, lease.Leaving{Clean: n.under == 0})
	w.after(grace, func() {
		if n.life == life {
			w.kill(i, pause)
		}
	})
}

// freeze stops a node; its calls on the way go on.
func (w *world) freeze(i int, pause time.Duration) {
	n := w.nodes[i]
	n.frozen = w.now.Add(pause)
	n.woke = n.frozen
}

// holder returns the node that acted last, 0 where none has.
func (w *world) holder() int {
	if len(w.acts) == 0 {
		return 0
	}
	return w.acts[len(w.acts)-1].node
}
