package feed

import (
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"
	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
)

func members(dataCentres ...string) []Member {
	var all []Member
	for _, dataCentre := range dataCentres {
		for n := range 10 {
			all = append(all, Member{VM: vaneyoke.VMID(fmt.Sprintf("%s-%d", dataCentre, n)), DataCentre: vaneyoke.DataCentreID(dataCentre)})
		}
	}
	return all
}

// TestSources holds who asks whom against what the fleet needs: one reader, no circles, one node of a data centre that
// asks another, and no node that more than a few of its own ask first.
func TestSources(t *testing.T) {
	all := members("a", "b", "c")
	readers := 0
	abroad := map[vaneyoke.DataCentreID]int{}
	followers := map[vaneyoke.VMID]int{}
	for _, self := range all {
		asked := NewTree(all).Candidates(self, 3)
		must.LessEq(t, 3, len(asked))
		if len(asked) == 0 {
			readers++
			continue
		}
		seen := map[vaneyoke.VMID]bool{}
		for _, m := range asked {
			must.EqOp(t, asked[0].DataCentre == self.DataCentre, m.DataCentre == self.DataCentre)
			must.True(t, m.Outranks(self))
			must.False(t, seen[m.VM])
			seen[m.VM] = true
		}
		if asked[0].DataCentre == self.DataCentre {
			followers[asked[0].VM]++
		} else {
			abroad[self.DataCentre]++
		}
	}
	must.EqOp(t, 1, readers)
	must.MapLen(t, 2, abroad) // of each data centre but the reader's
	for dataCentre, n := range abroad {
		must.EqOp(t, 1, n, must.Sprint(dataCentre))
	}
	for vm, n := range followers {
		must.LessEq(t, fanOut, n, must.Sprint(vm))
	}
	alone := Member{VM: "c-0", DataCentre: "d", Bandwidth: 1}
	must.SliceEmpty(t, NewTree(append(all, alone)).Candidates(alone, 3))
}

// TestBelow holds that the members below one are those that ask it first.
func TestBelow(t *testing.T) {
	all := members("a", "b", "c")
	tree := NewTree(all)
	for _, m := range all {
		want := map[vaneyoke.VMID]bool{}
		for _, other := range all {
			if above := tree.Candidates(other, 1); len(above) > 0 && above[0] == m && other.DataCentre == m.DataCentre {
				want[other.VM] = true
			}
		}
		got := map[vaneyoke.VMID]bool{}
		for _, other := range tree.Children(m) {
			got[other.VM] = true
		}
		must.Eq(t, want, got, must.Sprint(m.VM))
		must.True(t, tree.Contains(m))
		m.Address = "elsewhere"
		must.False(t, tree.Contains(m))
	}
	must.False(t, tree.Contains(Member{VM: "x", DataCentre: "x"}))
}

// TestSourcesInOrder holds whom a member of each place in the order of its data centre asks, one after the other: the node
// that the tree gives it, the nodes which that one follows, and then the highest others.
func TestSourcesInOrder(t *testing.T) {
	var all []Member
	for n := range 20 {
		all = append(all, Member{VM: vaneyoke.VMID(fmt.Sprint("vm-", n)), DataCentre: "a", Bandwidth: float64(100 - n)})
	}
	others := []Member{{VM: "b-0", DataCentre: "b", Bandwidth: 300}, {VM: "c-0", DataCentre: "c", Bandwidth: 200}, {VM: "c-1", DataCentre: "c", Bandwidth: 150}}
	fleet := slices.Concat(others, all)
	for place, want := range map[int][]vaneyoke.VMID{
		0:  {"b-0", "c-0"}, // the first of its data centre asks the first of those that come before it
		1:  {"vm-0"},
		2:  {"vm-0", "vm-1"},
		3:  {"vm-0", "vm-1", "vm-2"},
		4:  {"vm-0", "vm-1", "vm-2"},
		5:  {"vm-1", "vm-0", "vm-2"},
		8:  {"vm-1", "vm-0", "vm-2"},
		9:  {"vm-2", "vm-0", "vm-1"},
		19: {"vm-4", "vm-0", "vm-1"},
	} {
		got := lo.Map(NewTree(fleet).Candidates(all[place], 3), func(m Member, _ int) vaneyoke.VMID { return m.VM })
		must.Eq(t, want, got, must.Sprint(place))
	}
}

// TestSourcesLeadToTheReader has members ask their first choices, from one to the next: all come to the reader, which has
// the fastest link, in few steps; the further choices of a node are at least as near to it.
func TestSourcesLeadToTheReader(t *testing.T) {
	var all []Member
	for n := range 51 { // a data centre of the fleet that this is built for
		all = append(all, Member{VM: vaneyoke.VMID(fmt.Sprint("vm-", n)), DataCentre: "a", Bandwidth: 10})
	}
	all[17].Bandwidth = 200
	for _, self := range all {
		steps, at := 0, self
		for {
			asked := NewTree(all).Candidates(at, 3)
			if len(asked) == 0 {
				break
			}
			at = asked[0]
			steps++
		}
		must.EqOp(t, all[17].VM, at.VM)
		must.LessEq(t, 3, steps)
	}
}
