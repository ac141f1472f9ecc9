package mesh

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

// Member is a node of the fleet as it registered itself in the store.
type Member struct {
	VM         vaneyoke.VMID         `json:"vm"`
	DataCentre vaneyoke.DataCentreID `json:"data_centre"`
	Address    string                `json:"address"`             // IP number and port at which it tells the tables
	Bandwidth  float64               `json:"bandwidth,omitempty"` // of its VM's link in Mbit/s; 0 where it is not known
}

// fanOut is how many nodes of a data centre follow one, where all of them are there.
const fanOut = 6

// sources returns the members that a node asks for the tables, the first choice first: at most most members whose rank is
// higher than its own, of its own data centre where there are any, and else the highest of other data centres. The one
// node without any reads the store itself. In a fleet of no more than direct members, all do.
func sources(members []Member, self Member, direct, most int) []Member {
	if len(members) <= direct {
		return nil
	}
	var above []Member
	for _, m := range members {
		if m.VM != self.VM && m.outranks(self) {
			above = append(above, m)
		}
	}
	slices.SortFunc(above, byRank)
	own := lo.Filter(above, func(m Member, _ int) bool { return m.DataCentre == self.DataCentre })
	if len(own) > 0 {
		return ancestors(own, most)
	}
	heads := lo.UniqBy(above, func(m Member) vaneyoke.DataCentreID { return m.DataCentre })
	return heads[:min(len(heads), most)]
}

// ancestors returns at most most of the members above a node in its data centre, which are ordered by rank.
//
// The first of each makes a tree over the ranks, in which no node has more than fanOut followers; after it come the nodes
// that the first one follows itself, up to the highest, and then the highest others.
func ancestors(above []Member, most int) []Member {
	chosen := make([]Member, 0, most)
	for i := len(above); i > 0 && len(chosen) < most; {
		i = (i - 1) / fanOut
		chosen = append(chosen, above[i])
	}
	for _, m := range above {
		if len(chosen) < most && !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// outranks reports whether a member comes before another in the order of those that read for the rest.
func (m Member) outranks(other Member) bool { return byRank(m, other) < 0 }

// byRank orders members, the one that reads for the rest first: the one with the fastest link, and
// between equals by their hash, so that every node knows the same order.
func byRank(a, b Member) int {
	if c := cmp.Compare(b.Bandwidth, a.Bandwidth); c != 0 {
		return c
	}
	return cmp.Compare(score(b), score(a))
}

func score(m Member) uint64 { return rendezvous.Score(string(m.DataCentre), string(m.VM)) }
