package freshness_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/freshness"
	"github.com/vaneyoke/vaneyoke/internal/mutant"
)

const (
	nodes = 5
	lasts = 2 * time.Second
)

var members = []vaneyoke.VMID{"a", "b", "c", "d", "e"}

// mutation takes out one part of the rule.
type mutation struct {
	majority  int  // answers that one answer counts for, 0 for the rule's own
	atReply   bool // confirmations count from the reply on, not from the beginning of the call
	eager     bool // a change is told as accepted once it is committed, without a majority
	stale     bool // an answer that tells of a newer revision counts all the same
	forgetful bool // a node's answers count although it has forgotten what it knew before its start
	staleRead bool // a read of a newer revision counts although it is not in force yet
}

// call is a read or a question on its way.
type call struct {
	from, to int // to is nodes for the store
	began    time.Time
	revision vaneyoke.Revision // that the answer tells
}

// world is a store and five nodes that can be cut off from it, from one another, and paused.
type world struct {
	t        *rapid.T
	now      time.Time
	store    vaneyoke.Revision
	down     bool
	cut      [nodes + 1][nodes + 1]bool
	nodes    [nodes]*freshness.State
	calls    []call
	accepted map[vaneyoke.Revision]time.Time
	pending  vaneyoke.Revision // committed, not yet accepted
	restarts bool              // whether nodes start again
	mutant   mutation
}

func newWorld(t *rapid.T, mutant mutation) *world {
	w := &world{t: t, now: time.Unix(100, 0), store: 1, accepted: map[vaneyoke.Revision]time.Time{}, mutant: mutant}
	for i := range w.nodes {
		w.nodes[i] = freshness.New(members[i], lasts)
		w.nodes[i].Apply(1, members)
		w.nodes[i].RecordStoreRead(w.now.Add(-time.Hour), 1)
	}
	w.restarts = rapid.IntRange(0, 3).Draw(t, "restarts") == 0
	if w.restarts && rapid.Bool().Draw(t, "missed") {
		w.miss()
	}
	if rapid.Bool().Draw(t, "partitioned") {
		w.partition(rapid.IntRange(1, nodes-1).Draw(t, "side"))
	}
	return w
}

// miss has a change accepted that a minority has missed, and the store go down.
func (w *world) miss() {
	w.store, w.down = 2, true
	w.accepted[2] = w.now.Add(-lasts)
	for i := range freshness.Majority(nodes) {
		w.nodes[i].Apply(2, members)
	}
}

// partition cuts the first nodes off from the others and from the store.
func (w *world) partition(size int) {
	for i := range size {
		for j := size; j <= nodes; j++ {
			w.cut[i][j], w.cut[j][i] = true, true
		}
	}
}

func (w *world) run() error {
	for range rapid.IntRange(10, 80).Draw(w.t, "steps") {
		w.step()
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) step() {
	i := rapid.IntRange(0, nodes-1).Draw(w.t, "node")
	j := rapid.IntRange(0, nodes).Draw(w.t, "other")
	actions := 9
	if w.restarts {
		actions = 10
	}
	switch rapid.IntRange(0, actions).Draw(w.t, "action") {
	case 10:
		w.restart(i)
	case 0:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "ms")) * time.Millisecond)
	case 1:
		cut := !w.cut[i][j]
		w.cut[i][j], w.cut[j][i] = cut, cut
	case 2:
		w.down = !w.down
	case 3:
		if !w.down && w.pending == 0 {
			w.store++
			w.pending = w.store
		}
	case 4, 5:
		w.accept()
	case 6:
		w.ask(i, j)
	default:
		w.ask(i, j)
		w.answer()
	}
}

// restart ends a node's process and starts it again: it has forgotten everything, and its calls are lost.
func (w *world) restart(i int) {
	w.nodes[i] = freshness.New(members[i], lasts)
	w.calls = slices.DeleteFunc(w.calls, func(c call) bool { return c.from == i })
}

// ask begins a call whose answer tells what the other side knows now.
func (w *world) ask(i, j int) {
	if i == j || w.cut[i][j] || (j == nodes && w.down) {
		return
	}
	c := call{from: i, to: j, began: w.now, revision: w.store}
	if j < nodes {
		c.revision = w.nodes[j].ConfirmableRevision()
		if w.mutant.forgetful {
			c.revision = w.nodes[j].Revision()
		}
	}
	w.calls = append(w.calls, c)
}

// answer brings one answer, however late, to its node.
func (w *world) answer() {
	if len(w.calls) == 0 {
		return
	}
	k := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[k]
	w.calls = slices.Delete(w.calls, k, k+1)
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(w.t, "delay")) * time.Millisecond)
	began := c.began
	if w.mutant.atReply {
		began = w.now
	}
	node := w.nodes[c.from]
	apply := rapid.Bool().Draw(w.t, "apply")
	if apply {
		node.Apply(c.revision, members)
	}
	revision := c.revision
	if (w.mutant.stale && c.to < nodes) || (w.mutant.staleRead && c.to == nodes) {
		revision = min(revision, node.Revision())
	}
	if c.to == nodes {
		node.RecordStoreRead(began, revision)
		return
	}
	node.RecordPeerAnswer(began, members[c.to], revision)
	for k := range max(w.mutant.majority-1, 0) {
		node.RecordPeerAnswer(began, members[(c.to+k+1)%nodes], revision)
	}
}

// accept tells the pending change as accepted once a majority has it.
func (w *world) accept() {
	if w.pending == 0 {
		return
	}
	have := map[vaneyoke.VMID]vaneyoke.Revision{}
	for i, n := range w.nodes {
		have[members[i]] = n.Revision()
	}
	if w.mutant.eager || freshness.Accepted(members, have, w.pending) {
		w.accepted[w.pending] = w.now
		w.pending = 0
	}
}

// check looks for a fresh node that lacks a change accepted longer ago than a confirmation lasts.
func (w *world) check() error {
	for i, n := range w.nodes {
		if !n.Fresh(w.now) {
			continue
		}
		for revision, at := range w.accepted {
			if n.Revision() < revision && w.now.Sub(at) >= lasts {
				return fmt.Errorf("%s takes work with revision %d although %d was accepted %s ago", members[i], n.Revision(), revision, w.now.Sub(at))
			}
		}
	}
	return nil
}

func TestFreshNodesKnowWhatWasAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newWorld(t, mutation{}).run(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestBrokenFreshnessRulesAreCaught(t *testing.T) {
	const stories = 150_000
	mutants := map[string]mutation{
		"a minority counts":                 {majority: 3},
		"confirmed from the reply on":       {atReply: true},
		"accepted without a majority":       {eager: true},
		"a newer answer counts":             {stale: true},
		"a node that has forgotten counts":  {forgetful: true},
		"a read of a newer revision counts": {staleRead: true},
	}
	for name, rule := range mutants {
		t.Run(name, func(t *testing.T) {
			must.True(t, mutant.Caught(stories, func(t *rapid.T) bool { return newWorld(t, rule).run() != nil }))
		})
	}
}

// TestNodeThatHasForgottenDoesNotCount has a change accepted by a majority of which a node then starts again, which knows nothing or has an older
// configuration from another node: it confirms nobody, itself among them, until the store or a majority of the others has
// confirmed it.
func TestNodeThatHasForgottenDoesNotCount(t *testing.T) {
	now := time.Unix(100, 0)
	again := freshness.New("c", lasts)
	must.EqOp(t, 0, again.ConfirmableRevision())
	again.Apply(7, members) // from a node that the change never reached
	must.EqOp(t, 0, again.ConfirmableRevision())
	old := freshness.New("a", lasts)
	old.Apply(7, members)
	old.RecordStoreRead(now.Add(-time.Hour), 7)
	old.RecordPeerAnswer(now, "b", 7)
	old.RecordPeerAnswer(now, "c", again.ConfirmableRevision())
	must.False(t, old.Fresh(now))

	again.RecordPeerAnswer(now, "a", 7)
	again.RecordPeerAnswer(now, "b", 7) // with itself they would be a majority
	must.False(t, again.Fresh(now))
	must.EqOp(t, 0, again.ConfirmableRevision())
	again.RecordPeerAnswer(now, "d", 7)
	must.True(t, again.Fresh(now))
	must.EqOp(t, 7, again.ConfirmableRevision())

	read := freshness.New("c", lasts)
	read.Apply(8, members)
	read.RecordStoreRead(now, 8)
	must.EqOp(t, 8, read.ConfirmableRevision())
}

func TestFleetGoesOnWhileTheStoreIsDown(t *testing.T) {
	now := time.Unix(100, 0)
	cases := map[string]struct {
		heard []vaneyoke.VMID
		fresh bool
	}{
		"majority":        {[]vaneyoke.VMID{"b", "c"}, true},
		"minority":        {[]vaneyoke.VMID{"b"}, false},
		"nobody":          {nil, false},
		"itself is heard": {[]vaneyoke.VMID{"a", "b"}, false},
		"strangers":       {[]vaneyoke.VMID{"x", "y", "z"}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := freshness.New("a", lasts)
			s.Apply(7, members)
			s.RecordStoreRead(now.Add(-time.Hour), 7)
			for _, vm := range tc.heard {
				s.RecordPeerAnswer(now, vm, 7)
			}
			must.EqOp(t, tc.fresh, s.Fresh(now.Add(time.Second)))
			must.False(t, s.Fresh(now.Add(lasts)))
		})
	}
}
