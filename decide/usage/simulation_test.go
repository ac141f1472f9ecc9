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
	step         = 100 * time.Millisecond
	tick         = 500 * time.Millisecond
	windowLength = 5 * time.Second
	deadline     = 10 * time.Second
	fanOut       = 4
)

// mutation breaks one rule of the nodes, to show that the simulation detects it.
type mutation int

const (
	mutationNone           mutation = iota
	mutationNoWatermarks            // batches that are sent again are counted again
	mutationSendsUnwritten          // a report has other counts than the final ones in the store
)

type node struct {
	aggregator  *usage.Aggregator
	reporter    *usage.Reporter
	incarnation vaneyoke.Incarnation
	downUntil   time.Time
	waiters     []func() bool // called when the store holds a batch; each reports whether it keeps waiting
}

// simulation is a set of nodes that count and report requests, with a simulated clock.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	now          time.Time
	startedAt    time.Time
	mutation     mutation
	nodes        []*node
	nextStep     []func()
	ledger       usage.Ledger
	rows         map[usage.Window]usage.Row
	revision     vaneyoke.Revision
	workspaces   int // number of workspaces that send requests
	storeDown    bool
	lostAnswers  float64 // share of answers that are lost, also between nodes
	platformDown bool    // whether no report is answered
	storeCalls   int

	expected   map[usage.Window]usage.Counts
	reported   map[usage.Window]usage.Counts
	reportedAt map[usage.Window]time.Time
	violations []string
}

func newSimulation(t *testing.T, seed uint64, nodes int, m mutation) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1_700_000_000, 0), mutation: m, rows: map[usage.Window]usage.Row{}, workspaces: 4,
		expected: map[usage.Window]usage.Counts{}, reported: map[usage.Window]usage.Counts{}, reportedAt: map[usage.Window]time.Time{},
	}
	s.startedAt = s.now
	for range nodes {
		s.nodes = append(s.nodes, &node{})
	}
	for i := range s.nodes {
		s.start(i)
	}
	return s
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.startedAt) }

func (s *simulation) start(i int) {
	n := s.nodes[i]
	n.incarnation++
	n.aggregator = usage.NewAggregator(vm(i), n.incarnation)
	n.reporter = usage.NewReporter(usage.Config{WindowLength: windowLength, ReportDeadline: deadline})
	n.waiters = nil
}

func vm(i int) vaneyoke.VMID { return vaneyoke.VMID(fmt.Sprint("vm", i)) }

func (s *simulation) kill(i int, pause time.Duration) {
	s.nodes[i].downUntil = s.now.Add(pause)
	s.start(i)
}

func (s *simulation) running(i int) bool { return !s.now.Before(s.nodes[i].downUntil) }

// parent returns the nearest running ancestor of a node in the tree, or the root if there is none.
func (s *simulation) parent(i int) int {
	for i > 0 {
		i = (i - 1) / fanOut
		if s.running(i) {
			return i
		}
	}
	return s.root()
}

func (s *simulation) root() int {
	return slices.IndexFunc(s.nodes, func(n *node) bool { return !s.now.Before(n.downUntil) })
}

// run advances the clock until that time since the start, with perStep requests at each step.
func (s *simulation) run(until time.Duration, perStep int, each func()) {
	for s.elapsed() < until {
		s.now = s.now.Add(step)
		if each != nil {
			each()
		}
		due := s.nextStep
		s.nextStep = nil
		for _, do := range due {
			do()
		}
		for range perStep {
			s.request()
		}
		for i := range s.nodes {
			if s.running(i) && (s.elapsed()/step)%(tick/step) == time.Duration(i)%(tick/step) {
				s.tickNode(i)
			}
		}
	}
}

// request has an upstream begin a request of a random workspace.
func (s *simulation) request() {
	i := s.rng.IntN(len(s.nodes))
	if !s.running(i) {
		return
	}
	window, workspace := usage.WindowAt(s.now, windowLength), vaneyoke.WorkspaceID(fmt.Sprint("w", s.rng.IntN(s.workspaces)))
	s.nodes[i].aggregator.CountRequest(window, workspace)
	if s.expected[window] == nil {
		s.expected[window] = usage.Counts{}
	}
	s.expected[window][workspace]++
}

func (s *simulation) tickNode(i int) {
	n, root := s.nodes[i], s.root() == i
	s.sendBatches(i, n, root)
	s.handle(i, usage.Tick{Wall: s.now, MayWrite: root, MayReport: root})
}

// sendBatches sends a node's batches to its parent, which answers once it has merged them, or, as the root, once the store holds them.
func (s *simulation) sendBatches(i int, n *node, root bool) {
	sent := n.aggregator.NextBatches()
	if len(sent) == 0 {
		return
	}
	batches := slices.Clone(sent)
	must.LessEq(s.t, maxHandoffCounts, countsIn(batches))
	if s.mutation == mutationNoWatermarks {
		for j := range batches {
			batches[j].Life += vaneyoke.Incarnation(s.rng.Uint64N(1 << 40))
		}
	}
	incarnation := n.incarnation
	answer := func() {
		if s.rng.Float64() >= s.lostAnswers {
			s.nextStep = append(s.nextStep, func() {
				if n.incarnation == incarnation {
					n.aggregator.Acknowledge(sent)
				}
			})
		}
	}
	to := i
	if !root {
		to = s.parent(i)
	}
	if to == s.root() {
		for _, b := range batches {
			s.handle(to, usage.BatchReceived{Batch: b})
		}
		s.onWritten(to, batches, answer)
		return
	}
	for j := range batches {
		must.True(s.t, s.nodes[to].aggregator.Merge(&batches[j], usage.WindowAt(s.now, windowLength)))
	}
	answer()
}

// onWritten calls answer once the store holds the batches.
func (s *simulation) onWritten(root int, batches []usage.Batch, answer func()) {
	n, incarnation := s.nodes[root], s.nodes[root].incarnation
	n.waiters = append(n.waiters, func() bool {
		for _, b := range batches {
			if watermark := s.ledger.Watermarks[b.Origin]; watermark.Life != b.Life || watermark.Seq < b.Seq {
				return n.incarnation == incarnation
			}
		}
		if n.incarnation == incarnation {
			answer()
		}
		return false
	})
}

func (s *simulation) handle(i int, ev usage.Event) {
	n := s.nodes[i]
	incarnation := n.incarnation
	answer := func(ev usage.Event) {
		s.nextStep = append(s.nextStep, func() {
			if n.incarnation == incarnation {
				s.handle(i, ev)
			}
		})
	}
	for _, effect := range n.reporter.Handle(s.now, ev) {
		switch e := effect.(type) {
		case usage.Load:
			s.storeCalls++
			if s.storeDown {
				answer(usage.Failed{})
				continue
			}
			answer(usage.Loaded{Ledger: copyLedger(s.ledger), Rows: slices.Collect(maps.Values(s.rows))})
		case usage.Commit:
			s.storeCalls++
			applied := !s.storeDown && s.commit(e)
			if !applied || s.rng.Float64() < s.lostAnswers {
				answer(usage.Failed{})
				continue
			}
			answer(usage.Committed{Revision: s.revision})
		case usage.Written:
			n.waiters = slices.DeleteFunc(n.waiters, func(keepsWaiting func() bool) bool { return !keepsWaiting() })
		case usage.SendReport:
			s.send(e, answer)
		case usage.Missed:
		}
	}
}

func copyLedger(l usage.Ledger) usage.Ledger {
	l.Watermarks = maps.Clone(l.Watermarks)
	return l
}

const (
	maxEntries  = 100     // of a transaction, including expected revisions
	maxBytes    = 1 << 20 // of a transaction
	maxRowBytes = 65_536  // bytes of a row
)

func (s *simulation) commit(c usage.Commit) bool {
	entries, bytes := 2, 0
	for _, r := range c.Put {
		row := 0
		for workspace := range r.Counts {
			row += len(workspace) + 8
		}
		must.LessEq(s.t, maxRowBytes, row)
		entries, bytes = entries+2, bytes+row*4/3
	}
	entries += 2 * len(c.Remove)
	must.LessEq(s.t, maxEntries, entries)
	must.LessEq(s.t, maxBytes, bytes)
	if c.Ledger.Revision != s.ledger.Revision {
		return false
	}
	for _, r := range append(slices.Clone(c.Put), c.Remove...) {
		if s.rows[r.Window].Revision != r.Revision {
			return false
		}
	}
	s.revision++
	s.ledger = copyLedger(c.Ledger)
	s.ledger.Revision = s.revision
	for _, r := range c.Put {
		r.Counts, r.Revision = maps.Clone(r.Counts), s.revision
		s.rows[r.Window] = r
	}
	for _, r := range c.Remove {
		delete(s.rows, r.Window)
	}
	return true
}

func (s *simulation) send(e usage.SendReport, answer func(usage.Event)) {
	counts := e.Counts
	if s.mutation == mutationSendsUnwritten {
		counts = maps.Clone(counts)
		counts["w0"] += s.rng.IntN(2)
	}
	before, known := s.reported[e.Window]
	if known && !maps.Equal(before, counts) {
		s.violations = append(s.violations, fmt.Sprintf("%v: window %d differs: %v, %v", s.elapsed(), e.Window, before, counts))
	}
	if !known {
		s.reported[e.Window], s.reportedAt[e.Window] = maps.Clone(counts), s.now
	}
	answer(usage.ReportSent{Window: e.Window, Accepted: !s.platformDown && s.rng.Float64() >= s.lostAnswers})
}

// diff compares the reports with the requests that began, over windows whose deadline has passed: it returns how many requests are in excess, how many
// are missing, and how many began.
func (s *simulation) diff() (excess, missing, all int) {
	for window, counts := range s.expected {
		if s.now.Before(window.End(windowLength).Add(deadline)) {
			continue
		}
		for workspace, n := range counts {
			all += n
			d := s.reported[window][workspace] - n
			excess += max(d, 0)
			missing += max(-d, 0)
		}
	}
	return excess, missing, all
}

// maxDiff is the share of requests that may be missing from the reports.
const maxDiff = 0.05

// maxHandoffCounts is how many workspace counts a node may send at a time.
const maxHandoffCounts = 20_000

func countsIn(batches []usage.Batch) (n int) {
	for _, b := range batches {
		for _, counts := range b.Counts {
			n += len(counts)
		}
	}
	return n
}
