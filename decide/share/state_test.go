package share_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

// TestSummaryIsCountedWrongly has summaries of children lost, late, doubled or sent by others; the sum for the parent must hold each demand once.
func TestSummaryIsCountedWrongly(t *testing.T) {
	for name, c := range map[string]struct {
		run     func(b *harness)
		offered vaneyoke.Tokens // of the children
		nodes   int
		drops   []share.DropReason
	}{
		"none came": {run: func(*harness) {}},
		"both came": {run: func(b *harness) {
			b.handle(up("a", 1, 10))
			b.handle(up("b", 7, 20))
		}, offered: 30, nodes: 2},
		"the last two are lost": {run: func(b *harness) {
			b.handle(up("a", 1, 10))
			b.advance(expiry - interval)
		}, offered: 10, nodes: 1},
		"the child is gone": {run: func(b *harness) {
			b.handle(up("a", 1, 10))
			b.advance(expiry + interval)
		}},
		"twice": {run: func(b *harness) {
			b.handle(up("a", 1, 10))
			b.handle(up("a", 1, 10))
		}, offered: 10, nodes: 1, drops: []share.DropReason{share.DropLate}},
		"reordered": {run: func(b *harness) {
			b.handle(up("a", 2, 10))
			b.handle(up("a", 1, 90))
		}, offered: 10, nodes: 1, drops: []share.DropReason{share.DropLate}},
		"late, after the child is gone": {run: func(b *harness) {
			b.handle(up("a", 2, 10))
			b.advance(expiry + interval)
			b.handle(up("a", 1, 90))
		}, drops: []share.DropReason{share.DropLate}},
		"the child restarts": {run: func(b *harness) {
			b.handle(up("a", 50, 10))
			b.handle(up("a", 1000, 20))
			b.handle(up("a", 51, 90)) // of its earlier start
		}, offered: 20, nodes: 1, drops: []share.DropReason{share.DropLate}},
		"the child restarts with a clock that went back": {run: func(b *harness) {
			b.handle(up("a", 1000, 10))
			b.advance(11 * time.Second)
			b.handle(up("a", 5, 20))
		}, offered: 20, nodes: 1},
		"the child moved away": {run: func(b *harness) {
			b.handle(up("a", 1, 10))
			b.handle(up("b", 1, 20))
			b.tree("parent", "b")
			b.handle(up("a", 2, 10))
		}, offered: 20, nodes: 1, drops: []share.DropReason{share.DropStranger}},
		"the child came back": {run: func(b *harness) {
			b.handle(up("a", 3, 10))
			b.tree("parent", "b")
			b.tree("parent", "a", "b")
			b.handle(up("a", 2, 90))
		}, drops: []share.DropReason{share.DropLate}},
		"of a stranger": {run: func(b *harness) { b.handle(up("x", 1, 10)) }, drops: []share.DropReason{share.DropStranger}},
		"of nobody":     {run: func(b *harness) { b.handle(up("", 1, 10)) }, drops: []share.DropReason{share.DropStranger}},
		"its own":       {run: func(b *harness) { b.handle(up("self", 1, 10)) }, drops: []share.DropReason{share.DropStranger}},
		"of the parent": {run: func(b *harness) { b.handle(up("parent", 1, 10)) }, drops: []share.DropReason{share.DropStranger}},
		"the parent follows this node": {run: func(b *harness) {
			b.tree("parent", "a", "parent")
			b.handle(up("a", 1, 10))
			b.handle(up("parent", 1, 90))
		}, offered: 10, nodes: 1, drops: []share.DropReason{share.DropStranger}},
		"over more levels than a tree has": {run: func(b *harness) {
			s := summary("a", 1, 10)
			s.Height = 16
			b.handle(share.SummaryReceived{Summary: s})
		}, drops: []share.DropReason{share.DropLoop}},
		"counts of the highest numbers": {run: func(b *harness) {
			s := summary("a", 1, math.MaxInt)
			s.Nodes = math.MaxInt
			b.handle(share.SummaryReceived{Summary: s})
			b.handle(up("b", 1, 0))
		}, offered: 1_000_000_000_000 - 1, nodes: 100_000 - 1},
		"counts below nothing": {run: func(b *harness) {
			s := summary("a", 1, math.MinInt)
			s.Nodes = math.MinInt
			b.handle(share.SummaryReceived{Summary: s})
			b.handle(up("b", 1, 20))
		}, offered: 20, nodes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.advance(interval)
			c.run(b)
			b.advance(interval)
			must.EqOp(t, c.offered+1, offered(b.up))
			must.EqOp(t, c.nodes+1, b.up.Nodes)
			must.Eq(t, c.drops, b.drops)
		})
	}
}

// TestTotalsAreLost has the totals of the parent lost, late, old, or made by this node itself.
func TestTotalsAreLost(t *testing.T) {
	for name, c := range map[string]struct {
		run   func(b *harness)
		nodes int // in the last totals
		drops []share.DropReason
	}{
		"none ever came":      {run: func(b *harness) { b.advance(interval) }, nodes: 1},
		"they came":           {run: func(b *harness) { b.handle(down("parent", 1, "root", 60, 0)) }, nodes: 60},
		"they came over hops": {run: func(b *harness) { b.handle(down("parent", 1, "root", 60, 300*time.Millisecond)) }, nodes: 60},
		"three were lost": {run: func(b *harness) {
			b.handle(down("parent", 1, "root", 60, 0))
			b.advance(3*interval + interval/2)
		}, nodes: 60},
		"all were lost": {run: func(b *harness) {
			b.handle(down("parent", 1, "root", 60, 0))
			b.advance(2*time.Second + time.Millisecond)
		}, nodes: 1},
		"all were lost, and a child is there": {run: func(b *harness) {
			b.handle(down("parent", 1, "root", 60, 0))
			b.advance(time.Second)
			b.handle(up("a", 1, 10))
			b.advance(time.Second + time.Millisecond)
		}, nodes: 2},
		"they were old when they came": {run: func(b *harness) {
			b.handle(down("parent", 1, "root", 60, 2500*time.Millisecond))
			b.advance(501 * time.Millisecond)
		}, nodes: 1},
		"they are too old": {run: func(b *harness) {
			b.advance(interval)
			b.handle(down("parent", 1, "root", 60, 3001*time.Millisecond))
		}, nodes: 1, drops: []share.DropReason{share.DropLate}},
		"of an age below nothing": {run: func(b *harness) {
			b.advance(interval)
			b.handle(down("parent", 1, "root", 60, -time.Second))
		}, nodes: 1, drops: []share.DropReason{share.DropLate}},
		"reordered": {run: func(b *harness) {
			b.handle(down("parent", 2, "root", 60, 0))
			b.handle(down("parent", 1, "root", 50, 0))
		}, nodes: 60, drops: []share.DropReason{share.DropLate}},
		"of a stranger": {run: func(b *harness) {
			b.handle(down("parent", 1, "root", 60, 0))
			b.handle(down("a", 1, "root", 50, 0))
		}, nodes: 60, drops: []share.DropReason{share.DropStranger}},
		"of the former parent": {run: func(b *harness) {
			b.handle(down("parent", 1, "root", 60, 0))
			b.tree("other")
			b.handle(down("parent", 2, "root", 50, 0))
		}, nodes: 60, drops: []share.DropReason{share.DropStranger}},
		"another parent": {run: func(b *harness) {
			b.handle(down("parent", 900, "root", 60, 0))
			b.tree("other")
			b.handle(down("other", 1, "root", 50, 0))
		}, nodes: 50},
		"the parent is gone for a moment": {run: func(b *harness) {
			b.handle(down("parent", 1, "root", 60, 0))
			b.tree("")
			b.advance(time.Second)
		}, nodes: 60},
		"the parent is gone for good": {run: func(b *harness) {
			b.handle(down("parent", 1, "root", 60, 0))
			b.tree("")
			b.advance(500 * time.Millisecond)
			b.tree("", "a")
			b.handle(up("a", 1, 10))
			b.advance(500*time.Millisecond + 1)
		}, nodes: 2},
		"its own came back": {run: func(b *harness) {
			b.advance(interval)
			b.handle(down("parent", 1, "self", 60, 0))
		}, nodes: 1, drops: []share.DropReason{share.DropLoop}},
		"the node froze": {run: func(b *harness) {
			b.handle(down("parent", 1, "root", 60, 0))
			b.handle(up("a", 1, 10))
			b.now = b.now.Add(time.Minute)
			b.tick()
		}, nodes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			c.run(b)
			must.EqOp(t, c.nodes, b.totals.Nodes)
			must.Eq(t, c.drops, b.drops)
			must.True(t, b.totals.Fresh(b.now))
		})
	}
}

// TestTotalsGrowOldWithoutNotice checks that the age of totals includes the time for which nodes have kept them.
func TestTotalsGrowOldWithoutNotice(t *testing.T) {
	b := newHarness(t)
	b.handle(down("parent", 1, "root", 60, 300*time.Millisecond))
	must.EqOp(t, 300*time.Millisecond, b.now.Sub(b.totals.MeasuredAt))
	must.Len(t, 2, b.down)
	must.EqOp(t, 300*time.Millisecond, b.down[0].Age)
	b.advance(2 * interval) // the next totals of the parent are lost, and the children get the last ones again
	must.GreaterEq(t, 300*time.Millisecond+interval, b.down[0].Age)
	must.EqOp(t, hashOf("root"), b.down[0].Root)
	must.EqOp(t, "self", b.down[0].From)
}

// TestLoopInflatesSums has a node follow its own follower, over another one: it must not send its sum into the loop while its own totals come back.
func TestLoopInflatesSums(t *testing.T) {
	b := newHarness(t)
	b.advance(interval)
	b.handle(up("a", 1, 10))
	b.up = nil
	for i := range 6 {
		b.handle(down("parent", uint64(i+1), "self", 3, 0))
		b.advance(interval)
	}
	must.Nil(t, b.up)
	b.advance(2 * interval)
	must.NotNil(t, b.up)
}

// TestPassiveNodeSends checks that a node that counts nothing sends nothing of its own, but forwards what it gets.
func TestPassiveNodeSends(t *testing.T) {
	b := newHarness(t)
	b.counts = false
	b.advance(10 * time.Second)
	must.Zero(t, b.sent)
	must.Nil(t, b.totals)
	b.handle(up("a", 1, 10))
	b.advance(interval)
	must.EqOp(t, 1, b.up.Nodes)
	must.EqOp(t, 10, offered(b.up))
	b.handle(down("parent", 1, "root", 60, 0))
	b.advance(interval)
	must.Len(t, 2, b.down)
	must.EqOp(t, 60, b.down[0].Nodes)
	b.advance(10 * time.Second)
	sent := b.sent
	b.advance(10 * time.Second)
	must.EqOp(t, sent, b.sent)
	must.False(t, b.totals.Fresh(b.now))
	must.Zero(t, b.totals.Nodes)
}

// TestFrozenNodeSendsABurst checks that a node that froze does not make up for the summaries that it did not send.
func TestFrozenNodeSendsABurst(t *testing.T) {
	b := newHarness(t)
	b.advance(2 * time.Second)
	b.sent = 0
	b.now = b.now.Add(time.Minute)
	b.tick()
	must.LessEq(t, 3, b.sent) // the parent and two children
	b.advance(interval - time.Millisecond)
	must.LessEq(t, 3, b.sent)
}

// TestParentFloods has a parent send its totals a hundred times a second: the node forwards them no more often than four times per interval, and goes
// on sending its own sum.
func TestParentFloods(t *testing.T) {
	b := newHarness(t)
	for i := range 1000 {
		b.handle(down("parent", uint64(i+1), "root", 60, 0))
		b.advance(10 * time.Millisecond)
	}
	must.LessEq(t, 20*(4*2+2), b.sent)
	must.NotNil(t, b.up)
	must.LessEq(t, 2*interval+100*time.Millisecond, b.now.Sub(b.upAt))
}

// TestTotalsLostOnTheWayToAChild checks that a child whose summary shows that it lacks the last totals gets them again, but not for ever.
func TestTotalsLostOnTheWayToAChild(t *testing.T) {
	b := newHarness(t)
	b.handle(up("a", 1, 10))
	b.handle(up("b", 1, 10))
	b.now = b.now.Add(interval)
	b.handle(down("parent", 1, "root", 60, 0))
	acked := b.down[0].Sequence
	sends := func(vm vaneyoke.VMID, sequence, acked uint64) int {
		b.now = b.now.Add(60 * time.Millisecond)
		before := b.sent
		s := summary(vm, sequence, 10)
		s.Acked = acked
		b.handle(share.SummaryReceived{Summary: s})
		return b.sent - before
	}
	must.Zero(t, sends("a", 2, acked))
	must.EqOp(t, 1, sends("b", 2, acked-1))
	must.EqOp(t, 120*time.Millisecond, b.down[0].Age)
	must.EqOp(t, 60, b.down[0].Nodes)
	must.EqOp(t, 1, sends("b", 3, acked-1))
	must.Zero(t, sends("b", 4, acked-1))
}

// TestManyChildrenGetTotals checks that a node with a hundred children sends a bounded number of summaries per interval, to all in turn.
func TestManyChildrenGetTotals(t *testing.T) {
	b := newHarness(t)
	var children []vaneyoke.VMID
	for i := range 100 {
		children = append(children, vaneyoke.VMID(fmt.Sprint("c", i)))
	}
	b.tree("", children...)
	reached := map[vaneyoke.VMID]bool{}
	for range 10 {
		b.now = b.now.Add(interval)
		b.handle(share.Counted{})
		sends := 0
		for _, effect := range b.state.Handle(b.now, share.Tick{}) {
			if e, ok := effect.(share.SendSummary); ok {
				sends++
				reached[e.To] = true
			}
		}
		must.LessEq(t, 16, sends)
	}
	must.MapLen(t, 100, reached)
}
