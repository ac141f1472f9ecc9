package usage_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/usage"
)

const (
	step   = 100 * time.Millisecond
	tick   = 500 * time.Millisecond
	length = 5 * time.Second
	late   = 10 * time.Second
	fanOut = 4
)

// fault takes a promise out of the nodes, to show that the world notices.
type fault int

const (
	faultNone       fault = iota
	faultNoMarks          // batches that come again are counted again
	faultSendsFresh       // what is sent is what the node knows now, not what the store holds as fixed
)

type node struct {
	tally *usage.Tally
	book  *usage.Book
	life  vaneyoke.Incarnation
	dead  time.Time     // until when
	waits []func() bool // called when the store holds a batch; each reports whether it waits on
}

// world is a fleet that counts and reports, on a clock of its own.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	began   time.Time
	fault   fault
	nodes   []*node
	later   []func()
	ledger  usage.Ledger
	rows    map[usage.Window]usage.Row
	version vaneyoke.Revision
	tenants int     // workspaces that requests come from
	away    bool    // whether the store is
	lost    float64 // share of answers that are lost, also between nodes
	silent  bool    // whether the platform does not answer
	calls   int     // to the store

	truth    map[usage.Window]usage.Counts
	reported map[usage.Window]usage.Counts
	when     map[usage.Window]time.Time
	broken   []string
}

func newWorld(t *testing.T, seed uint64, nodes int, f fault) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1_700_000_000, 0), fault: f, rows: map[usage.Window]usage.Row{}, tenants: 4,
		truth: map[usage.Window]usage.Counts{}, reported: map[usage.Window]usage.Counts{}, when: map[usage.Window]time.Time{},
	}
	w.began = w.now
	for range nodes {
		w.nodes = append(w.nodes, &node{})
	}
	for i := range w.nodes {
		w.start(i)
	}
	return w
}

func (w *world) since() time.Duration { return w.now.Sub(w.began) }

func (w *world) start(i int) {
	n := w.nodes[i]
	n.life++
	n.tally = usage.NewTally(vm(i), n.life)
	n.book = usage.NewBook(usage.Config{Length: length, Late: late})
	n.waits = nil
}

func vm(i int) vaneyoke.VMID { return vaneyoke.VMID(fmt.Sprint("vm", i)) }

func (w *world) kill(i int, pause time.Duration) {
	w.nodes[i].dead = w.now.Add(pause)
	w.start(i)
}

func (w *world) runs(i int) bool { return !w.now.Before(w.nodes[i].dead) }

// above returns the node that a node follows, the root where there is none between them that runs.
func (w *world) above(i int) int {
	for i > 0 {
		i = (i - 1) / fanOut
		if w.runs(i) {
			return i
		}
	}
	return w.root()
}

func (w *world) root() int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return !w.now.Before(n.dead) })
}

// run lets time pass, with so many requests a step.
func (w *world) run(until time.Duration, perStep int, each func()) {
	for w.since() < until {
		w.now = w.now.Add(step)
		if each != nil {
			each()
		}
		later := w.later
		w.later = nil
		for _, do := range later {
			do()
		}
		for range perStep {
			w.request()
		}
		for i := range w.nodes {
			if w.runs(i) && (w.since()/step)%(tick/step) == time.Duration(i)%(tick/step) {
				w.turn(i)
			}
		}
	}
}

// request has an upstream begin a request of a workspace.
func (w *world) request() {
	i := w.rng.IntN(len(w.nodes))
	if !w.runs(i) {
		return
	}
	window, workspace := usage.At(w.now, length), vaneyoke.WorkspaceID(fmt.Sprint("w", w.rng.IntN(w.tenants)))
	w.nodes[i].tally.Began(window, workspace)
	if w.truth[window] == nil {
		w.truth[window] = usage.Counts{}
	}
	w.truth[window][workspace]++
}

func (w *world) turn(i int) {
	n, root := w.nodes[i], w.root() == i
	w.handBatch(i, n, root)
	w.handle(i, usage.Tick{Wall: w.now, Writes: root, Reports: root})
}

// handBatch hands what a node has counted to the node above, which answers once it has taken it over, or, as the root, once the store holds it.
func (w *world) handBatch(i int, n *node, root bool) {
	offered := n.tally.Offer()
	if len(offered) == 0 {
		return
	}
	batches := slices.Clone(offered)
	must.LessEq(w.t, handedMost, sizeOf(batches))
	if w.fault == faultNoMarks {
		for j := range batches {
			batches[j].Life += vaneyoke.Incarnation(w.rng.Uint64N(1 << 40))
		}
	}
	life := n.life
	answer := func() {
		if w.rng.Float64() >= w.lost {
			w.later = append(w.later, func() {
				if n.life == life {
					n.tally.Taken(offered)
				}
			})
		}
	}
	to := i
	if !root {
		to = w.above(i)
	}
	if to == w.root() {
		for _, b := range batches {
			w.handle(to, usage.Offered{Batch: b})
		}
		w.onWritten(to, batches, answer)
		return
	}
	for j := range batches {
		must.True(w.t, w.nodes[to].tally.Take(&batches[j], usage.At(w.now, length)))
	}
	answer()
}

// onWritten calls an answer once the store holds batches.
func (w *world) onWritten(root int, batches []usage.Batch, answer func()) {
	n, life := w.nodes[root], w.nodes[root].life
	n.waits = append(n.waits, func() bool {
		for _, b := range batches {
			if mark := w.ledger.Marks[b.Origin]; mark.Life != b.Life || mark.Seq < b.Seq {
				return n.life == life
			}
		}
		if n.life == life {
			answer()
		}
		return false
	})
}

func (w *world) handle(i int, ev usage.Event) {
	n := w.nodes[i]
	life := n.life
	back := func(ev usage.Event) {
		w.later = append(w.later, func() {
			if n.life == life {
				w.handle(i, ev)
			}
		})
	}
	for _, effect := range n.book.Handle(w.now, ev) {
		switch e := effect.(type) {
		case usage.Load:
			w.calls++
			if w.away {
				back(usage.Failed{})
				continue
			}
			back(usage.Loaded{Ledger: copyLedger(w.ledger), Rows: slices.Collect(maps.Values(w.rows))})
		case usage.Commit:
			w.calls++
			done := !w.away && w.commit(e)
			if !done || w.rng.Float64() < w.lost {
				back(usage.Failed{})
				continue
			}
			back(usage.Committed{Revision: w.version})
		case usage.Written:
			n.waits = slices.DeleteFunc(n.waits, func(waits func() bool) bool { return !waits() })
		case usage.Send:
			w.send(e, back)
		case usage.Missed:
		}
	}
}

func copyLedger(l usage.Ledger) usage.Ledger {
	l.Marks = maps.Clone(l.Marks)
	return l
}

const (
	mostEntries = 100     // of a transaction, expected revisions among them
	mostBytes   = 1 << 20 // of a transaction
	mostRow     = 65_536  // bytes of a row
)

func (w *world) commit(c usage.Commit) bool {
	entries, bytes := 2, 0
	for _, r := range c.Put {
		row := 0
		for workspace := range r.Counts {
			row += len(workspace) + 8
		}
		must.LessEq(w.t, mostRow, row)
		entries, bytes = entries+2, bytes+row*4/3
	}
	entries += 2 * len(c.Remove)
	must.LessEq(w.t, mostEntries, entries)
	must.LessEq(w.t, mostBytes, bytes)
	if c.Ledger.Revision != w.ledger.Revision {
		return false
	}
	for _, r := range append(slices.Clone(c.Put), c.Remove...) {
		if w.rows[r.Window].Revision != r.Revision {
			return false
		}
	}
	w.version++
	w.ledger = copyLedger(c.Ledger)
	w.ledger.Revision = w.version
	for _, r := range c.Put {
		r.Counts, r.Revision = maps.Clone(r.Counts), w.version
		w.rows[r.Window] = r
	}
	for _, r := range c.Remove {
		delete(w.rows, r.Window)
	}
	return true
}

func (w *world) send(e usage.Send, back func(usage.Event)) {
	counts := e.Counts
	if w.fault == faultSendsFresh {
		counts = maps.Clone(counts)
		counts["w0"] += w.rng.IntN(2)
	}
	before, known := w.reported[e.Window]
	if known && !maps.Equal(before, counts) {
		w.broken = append(w.broken, fmt.Sprintf("%v: window %d differs: %v, %v", w.since(), e.Window, before, counts))
	}
	if !known {
		w.reported[e.Window], w.when[e.Window] = maps.Clone(counts), w.now
	}
	back(usage.Sent{Window: e.Window, Taken: !w.silent && w.rng.Float64() >= w.lost})
}

// off returns how many requests the reports have beyond those that began, how many they lack, and how many began, over windows that ended a while ago.
func (w *world) off() (beyond, lacking, all int) {
	for window, counts := range w.truth {
		if w.now.Before(window.End(length).Add(late)) {
			continue
		}
		for workspace, n := range counts {
			all += n
			d := w.reported[window][workspace] - n
			beyond += max(d, 0)
			lacking += max(-d, 0)
		}
	}
	return beyond, lacking, all
}

// most is the share of a window's requests by which a report may be off.
const most = 0.05

// handedMost is how many counts a node takes at a time.
const handedMost = 20_000

func sizeOf(batches []usage.Batch) (n int) {
	for _, b := range batches {
		for _, counts := range b.Counts {
			n += len(counts)
		}
	}
	return n
}
