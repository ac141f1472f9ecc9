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

// TestCandidates checks the candidates of all nodes: there is one reader, no cycle, one node of each data centre that prefers a
// source in another one, and no node that too many of its own data centre prefer.
func TestCandidates(t *testing.T) {
	all := members("a", "b", "c")
	readers := 0
	remoteSources := map[vaneyoke.DataCentreID]int{}
	followers := map[vaneyoke.VMID]int{}
	for _, self := range all {
		candidates := NewTree(all).Candidates(self, 3)
		must.LessEq(t, 3, len(candidates))
		if len(candidates) == 0 {
			readers++
			continue
		}
		seen := map[vaneyoke.VMID]bool{}
		for _, m := range candidates {
			must.EqOp(t, candidates[0].DataCentre == self.DataCentre, m.DataCentre == self.DataCentre)
			must.True(t, m.Outranks(self))
			must.False(t, seen[m.VM])
			seen[m.VM] = true
		}
		if candidates[0].DataCentre == self.DataCentre {
			followers[candidates[0].VM]++
		} else {
			remoteSources[self.DataCentre]++
		}
	}
	must.EqOp(t, 1, readers)
	must.MapLen(t, 2, remoteSources) // each data centre but the reader's
	for dataCentre, n := range remoteSources {
		must.EqOp(t, 1, n, must.Sprint(dataCentre))
	}
	for vm, n := range followers {
		must.LessEq(t, fanOut, n, must.Sprint(vm))
	}
	alone := Member{VM: "c-0", DataCentre: "d", Bandwidth: 1}
	must.SliceEmpty(t, NewTree(append(all, alone)).Candidates(alone, 3))
}

// TestChildren checks that the children of a member are the members that prefer it as their source.
func TestChildren(t *testing.T) {
	all := members("a", "b", "c")
	tree := NewTree(all)
	for _, m := range all {
		want := map[vaneyoke.VMID]bool{}
		for _, other := range all {
			if candidates := tree.Candidates(other, 1); len(candidates) > 0 && candidates[0] == m && other.DataCentre == m.DataCentre {
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

// TestCandidateOrder checks the candidates at several positions of a data centre: the parent in the tree, the nodes that the
// parent follows itself, and then the highest-ranked others.
func TestCandidateOrder(t *testing.T) {
	var all []Member
	for n := range 20 {
		all = append(all, Member{VM: vaneyoke.VMID(fmt.Sprint("vm-", n)), DataCentre: "a", Bandwidth: float64(100 - n)})
	}
	others := []Member{{VM: "b-0", DataCentre: "b", Bandwidth: 300}, {VM: "c-0", DataCentre: "c", Bandwidth: 200}, {VM: "c-1", DataCentre: "c", Bandwidth: 150}}
	fleet := slices.Concat(others, all)
	for position, want := range map[int][]vaneyoke.VMID{
		0:  {"b-0", "c-0"}, // the root of a data centre prefers the first root that ranks before it
		1:  {"vm-0"},
		2:  {"vm-0", "vm-1"},
		3:  {"vm-0", "vm-1", "vm-2"},
		4:  {"vm-0", "vm-1", "vm-2"},
		5:  {"vm-1", "vm-0", "vm-2"},
		8:  {"vm-1", "vm-0", "vm-2"},
		9:  {"vm-2", "vm-0", "vm-1"},
		19: {"vm-4", "vm-0", "vm-1"},
	} {
		got := lo.Map(NewTree(fleet).Candidates(all[position], 3), func(m Member, _ int) vaneyoke.VMID { return m.VM })
		must.Eq(t, want, got, must.Sprint(position))
	}
}

// TestCandidatesLeadToReader follows the preferred sources from node to node: all paths end at the reader, which has the
// fastest link, after few steps. The further candidates of a node are at least as close to the reader.
func TestCandidatesLeadToReader(t *testing.T) {
	var all []Member
	for n := range 51 { // as many as a data centre of the target fleet has
		all = append(all, Member{VM: vaneyoke.VMID(fmt.Sprint("vm-", n)), DataCentre: "a", Bandwidth: 10})
	}
	all[17].Bandwidth = 200
	for _, self := range all {
		steps, at := 0, self
		for {
			candidates := NewTree(all).Candidates(at, 3)
			if len(candidates) == 0 {
				break
			}
			at = candidates[0]
			steps++
		}
		must.EqOp(t, all[17].VM, at.VM)
		must.LessEq(t, 3, steps)
	}
}
