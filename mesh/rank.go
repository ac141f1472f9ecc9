package mesh

import (
	"cmp"
	"slices"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

// Member is a node of the fleet as it registered itself in the store.
type Member struct {
	VM         vaneyoke.VMID         `json:"vm"`
	DataCentre vaneyoke.DataCentreID `json:"data_centre"`
	Address    string                `json:"address"` // IP number and port at which it tells the tables
}

// sources returns the members that a node asks for the tables, the first choice first: at most most members of its own
// data centre whose rank is higher than its own. A node without any reads the store itself. In a fleet of no more than direct
// members, all do.
func sources(members []Member, self Member, direct, most int) []Member {
	if len(members) <= direct {
		return nil
	}
	var above []Member
	for _, m := range members {
		if m.DataCentre == self.DataCentre && m.VM != self.VM && rank(m) > rank(self) {
			above = append(above, m)
		}
	}
	slices.SortFunc(above, func(a, b Member) int { return cmp.Compare(rank(b), rank(a)) })
	return above[:min(len(above), most)]
}

func rank(m Member) uint64 { return rendezvous.Score(string(m.DataCentre), string(m.VM)) }
