package mesh

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
		asked := sources(all, self, 16, 3)
		must.LessEq(t, 3, len(asked))
		if len(asked) == 0 {
			readers++
			continue
		}
		seen := map[vaneyoke.VMID]bool{}
		for _, m := range asked {
			must.EqOp(t, asked[0].DataCentre == self.DataCentre, m.DataCentre == self.DataCentre)
			must.True(t, m.outranks(self))
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
	must.SliceEmpty(t, sources(all, all[0], 30, 3)) // a small fleet
	alone := Member{VM: "c-0", DataCentre: "d", Bandwidth: 1}
	must.SliceEmpty(t, sources(append(all, alone), alone, 16, 3))
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
		6:  {"vm-0", "vm-1", "vm-2"},
		7:  {"vm-1", "vm-0", "vm-2"},
		12: {"vm-1", "vm-0", "vm-2"},
		13: {"vm-2", "vm-0", "vm-1"},
		19: {"vm-3", "vm-0", "vm-1"},
	} {
		got := lo.Map(sources(fleet, all[place], 16, 3), func(m Member, _ int) vaneyoke.VMID { return m.VM })
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
			asked := sources(all, at, 16, 3)
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
