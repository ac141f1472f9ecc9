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
	nodes    = 5
	validity = 2 * time.Second
)

var members = []vaneyoke.VMID{"a", "b", "c", "d", "e"}

// mutation takes out one part of the rule.
type mutation struct {
	majority          int  // answers that one answer counts for; 0 keeps the rule
	fromReply         bool // confirmations count from the reply, not from the start of the call
	acceptEarly       bool // a change is reported as accepted once it is committed, without a majority
	newerAnswer       bool // an answer with a newer revision counts
	unconfirmedAnswer bool // a restarted node's answers count before it is confirmed again
	newerRead         bool // a read of a newer revision counts although it is not active yet
}

// call is a read of the store or a call to another node in flight.
type call struct {
	from, to int // to is nodes for the store
	began    time.Time
	revision vaneyoke.Revision // that the answer carries
}

// simulation is a store and five nodes that can be cut off from it and from one another, and restarted.
type simulation struct {
	t        *rapid.T
	now      time.Time
	store    vaneyoke.Revision
	down     bool
	cut      [nodes + 1][nodes + 1]bool
	nodes    [nodes]*freshness.State
	calls    []call
	accepted map[vaneyoke.Revision]time.Time
	pending  vaneyoke.Revision // committed, not yet accepted
	restarts bool              // whether nodes restart
	mutation mutation
}

func newSimulation(t *rapid.T, mutation mutation) *simulation {
	sim := &simulation{t: t, now: time.Unix(100, 0), store: 1, accepted: map[vaneyoke.Revision]time.Time{}, mutation: mutation}
	for i := range sim.nodes {
		sim.nodes[i] = freshness.New(members[i], validity)
		sim.nodes[i].Apply(1, members)
		sim.nodes[i].RecordStoreRead(sim.now.Add(-time.Hour), 1)
	}
	sim.restarts = rapid.IntRange(0, 3).Draw(t, "restarts") == 0
	if sim.restarts && rapid.Bool().Draw(t, "missed") {
		sim.missChange()
	}
	if rapid.Bool().Draw(t, "partitioned") {
		sim.partition(rapid.IntRange(1, nodes-1).Draw(t, "side"))
	}
	return sim
}

// missChange accepts a change that a minority has missed, and takes the store down.
func (sim *simulation) missChange() {
	sim.store, sim.down = 2, true
	sim.accepted[2] = sim.now.Add(-validity)
	for i := range freshness.Majority(nodes) {
		sim.nodes[i].Apply(2, members)
	}
}

// partition cuts the first nodes off from the others and from the store.
func (sim *simulation) partition(size int) {
	for i := range size {
		for j := size; j <= nodes; j++ {
			sim.cut[i][j], sim.cut[j][i] = true, true
		}
	}
}

func (sim *simulation) run() error {
	for range rapid.IntRange(10, 80).Draw(sim.t, "steps") {
		sim.step()
		if err := sim.check(); err != nil {
			return err
		}
	}
	return nil
}

func (sim *simulation) step() {
	i := rapid.IntRange(0, nodes-1).Draw(sim.t, "node")
	j := rapid.IntRange(0, nodes).Draw(sim.t, "other")
	actions := 9
	if sim.restarts {
		actions = 10
	}
	switch rapid.IntRange(0, actions).Draw(sim.t, "action") {
	case 10:
		sim.restart(i)
	case 0:
		sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(sim.t, "ms")) * time.Millisecond)
	case 1:
		cut := !sim.cut[i][j]
		sim.cut[i][j], sim.cut[j][i] = cut, cut
	case 2:
		sim.down = !sim.down
	case 3:
		if !sim.down && sim.pending == 0 {
			sim.store++
			sim.pending = sim.store
		}
	case 4, 5:
		sim.accept()
	case 6:
		sim.ask(i, j)
	default:
		sim.ask(i, j)
		sim.answer()
	}
}

// restart restarts a node's process: the node has lost its state, and its calls are lost.
func (sim *simulation) restart(i int) {
	sim.nodes[i] = freshness.New(members[i], validity)
	sim.calls = slices.DeleteFunc(sim.calls, func(c call) bool { return c.from == i })
}

// ask starts a call whose answer carries what the other side knows now.
func (sim *simulation) ask(i, j int) {
	if i == j || sim.cut[i][j] || (j == nodes && sim.down) {
		return
	}
	c := call{from: i, to: j, began: sim.now, revision: sim.store}
	if j < nodes {
		c.revision = sim.nodes[j].ConfirmableRevision()
		if sim.mutation.unconfirmedAnswer {
			c.revision = sim.nodes[j].Revision()
		}
	}
	sim.calls = append(sim.calls, c)
}

// answer delivers one answer, however late, to its node.
func (sim *simulation) answer() {
	if len(sim.calls) == 0 {
		return
	}
	k := rapid.IntRange(0, len(sim.calls)-1).Draw(sim.t, "call")
	c := sim.calls[k]
	sim.calls = slices.Delete(sim.calls, k, k+1)
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(sim.t, "delay")) * time.Millisecond)
	began := c.began
	if sim.mutation.fromReply {
		began = sim.now
	}
	node := sim.nodes[c.from]
	apply := rapid.Bool().Draw(sim.t, "apply")
	if apply {
		node.Apply(c.revision, members)
	}
	revision := c.revision
	if (sim.mutation.newerAnswer && c.to < nodes) || (sim.mutation.newerRead && c.to == nodes) {
		revision = min(revision, node.Revision())
	}
	if c.to == nodes {
		node.RecordStoreRead(began, revision)
		return
	}
	node.RecordPeerAnswer(began, members[c.to], revision)
	for k := range max(sim.mutation.majority-1, 0) {
		node.RecordPeerAnswer(began, members[(c.to+k+1)%nodes], revision)
	}
}

// accept accepts the pending change once a majority has it.
func (sim *simulation) accept() {
	if sim.pending == 0 {
		return
	}
	applied := map[vaneyoke.VMID]vaneyoke.Revision{}
	for i, n := range sim.nodes {
		applied[members[i]] = n.Revision()
	}
	if sim.mutation.acceptEarly || freshness.Accepted(members, applied, sim.pending) {
		sim.accepted[sim.pending] = sim.now
		sim.pending = 0
	}
}

// check looks for a fresh node that lacks a change accepted longer ago than a confirmation is valid.
func (sim *simulation) check() error {
	for i, n := range sim.nodes {
		if !n.Fresh(sim.now) {
			continue
		}
		for revision, at := range sim.accepted {
			if n.Revision() < revision && sim.now.Sub(at) >= validity {
				return fmt.Errorf("%s takes work with revision %d although %d was accepted %s ago", members[i], n.Revision(), revision, sim.now.Sub(at))
			}
		}
	}
	return nil
}

func TestFreshNodesKnowWhatWasAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newSimulation(t, mutation{}).run(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestFreshnessMutationsAreCaught(t *testing.T) {
	const runs = 150_000
	mutations := map[string]mutation{
		"a minority counts":                 {majority: 3},
		"confirmed from the reply":          {fromReply: true},
		"accepted without a majority":       {acceptEarly: true},
		"a newer answer counts":             {newerAnswer: true},
		"a restarted node counts":           {unconfirmedAnswer: true},
		"a read of a newer revision counts": {newerRead: true},
	}
	for name, rule := range mutations {
		t.Run(name, func(t *testing.T) {
			must.True(t, mutant.Caught(runs, func(t *rapid.T) bool { return newSimulation(t, rule).run() != nil }))
		})
	}
}

// TestRestartedNodeDoesNotCount restarts a node of the majority that accepted a change; the node then knows nothing, or has an
// older configuration from another node. It confirms no node, itself included, until the store or a majority of the others has
// confirmed it.
func TestRestartedNodeDoesNotCount(t *testing.T) {
	now := time.Unix(100, 0)
	restarted := freshness.New("c", validity)
	must.EqOp(t, 0, restarted.ConfirmableRevision())
	restarted.Apply(7, members) // from a node that the change never reached
	must.EqOp(t, 0, restarted.ConfirmableRevision())
	other := freshness.New("a", validity)
	other.Apply(7, members)
	other.RecordStoreRead(now.Add(-time.Hour), 7)
	other.RecordPeerAnswer(now, "b", 7)
	other.RecordPeerAnswer(now, "c", restarted.ConfirmableRevision())
	must.False(t, other.Fresh(now))

	restarted.RecordPeerAnswer(now, "a", 7)
	restarted.RecordPeerAnswer(now, "b", 7) // together with itself they would be a majority
	must.False(t, restarted.Fresh(now))
	must.EqOp(t, 0, restarted.ConfirmableRevision())
	restarted.RecordPeerAnswer(now, "d", 7)
	must.True(t, restarted.Fresh(now))
	must.EqOp(t, 7, restarted.ConfirmableRevision())

	storeConfirmed := freshness.New("c", validity)
	storeConfirmed.Apply(8, members)
	storeConfirmed.RecordStoreRead(now, 8)
	must.EqOp(t, 8, storeConfirmed.ConfirmableRevision())
}

func TestFreshnessWhileStoreIsDown(t *testing.T) {
	now := time.Unix(100, 0)
	cases := map[string]struct {
		answered []vaneyoke.VMID
		fresh    bool
	}{
		"majority":        {[]vaneyoke.VMID{"b", "c"}, true},
		"minority":        {[]vaneyoke.VMID{"b"}, false},
		"nobody":          {nil, false},
		"itself is heard": {[]vaneyoke.VMID{"a", "b"}, false},
		"strangers":       {[]vaneyoke.VMID{"x", "y", "z"}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := freshness.New("a", validity)
			s.Apply(7, members)
			s.RecordStoreRead(now.Add(-time.Hour), 7)
			for _, vm := range tc.answered {
				s.RecordPeerAnswer(now, vm, 7)
			}
			must.EqOp(t, tc.fresh, s.Fresh(now.Add(time.Second)))
			must.False(t, s.Fresh(now.Add(validity)))
		})
	}
}
