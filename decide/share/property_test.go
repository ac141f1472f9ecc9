package share_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

// TestNodeBreaksItsBounds passes a node random events, with clocks that jump: it must send each neighbour a bounded number of summaries, never ask for
// a tick that has passed, and never report totals that are old, or of more nodes than it was told of.
func TestNodeBreaksItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		start := now
		state := share.New("self", 1, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		vms := []vaneyoke.VMID{"", "self", "a", "b", "c", "d"}
		vm := rapid.SampledFrom(vms)
		sent := map[vaneyoke.VMID]int{}
		handle := func(ev share.Event) {
			for _, effect := range state.Handle(now, ev) {
				switch e := effect.(type) {
				case share.SendSummary:
					sent[e.To]++
					must.NotEqOp(t, "self", e.To)
					must.EqOp(t, "self", e.Summary.From)
					must.Between(t, 0, e.Summary.Age, 3*time.Second)
					must.LessEq(t, share.MaxBytes, len(share.Encode(e.Summary)))
				case share.UpdateTotals:
					must.Between(t, 0, e.Totals.Nodes, 1+4*9)
					must.True(t, e.Totals.Nodes == 0 || e.Totals.Fresh(now))
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				handle(share.Counted{Demands: []share.Demand{{Service: "chat", Workspace: "w", Flow: share.Flow{Offered: 1}}}})
			case 1:
				handle(share.TreeUpdated{Parent: rapid.SampledFrom([]vaneyoke.VMID{"", "a", "b"}).Draw(t, "parent"), Children: rapid.SliceOfNDistinct(rapid.SampledFrom(vms[2:]), 0, 4, rapid.ID).Draw(t, "children")})
			case 2, 3:
				s := summary(vm.Draw(t, "from"), rapid.Uint64Range(0, 300).Draw(t, "sequence"), 10)
				s.Nodes, s.Height, s.Acked = rapid.IntRange(0, 9).Draw(t, "nodes"), rapid.IntRange(-1, 17).Draw(t, "height"), rapid.Uint64Range(0, 300).Draw(t, "acked")
				s.Down, s.Root = rapid.Bool().Draw(t, "down"), hashOf(vm.Draw(t, "root"))
				s.Age = time.Duration(rapid.IntRange(-1, 4000).Draw(t, "age")) * time.Millisecond
				handle(share.SummaryReceived{Summary: s})
			case 4:
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 50, 300, 2500, 20_000}).Draw(t, "ms")) * time.Millisecond)
			case 5:
				if at := state.NextTick(); at.After(now) {
					now = at
				}
				handle(share.Tick{})
				must.True(t, state.NextTick().After(now))
			}
		}
		intervals := int(now.Sub(start)/interval) + 1
		for to, count := range sent {
			must.LessEq(t, 8*intervals+8, count, must.Sprint(to))
		}
	})
}
