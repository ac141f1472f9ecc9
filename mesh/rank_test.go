package mesh

import (
	"fmt"
	"testing"

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
