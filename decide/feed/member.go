package feed

import (
	"cmp"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

// Member is a node of the fleet as it registered itself in the store.
type Member struct {
	VM         vaneyoke.VMID         `json:"vm"`
	DataCentre vaneyoke.DataCentreID `json:"data_centre"`
	Address    string                `json:"address"`             // IP number and port at which it tells the tables
	Bandwidth  float64               `json:"bandwidth,omitempty"` // of its VM's link in Mbit/s; 0 where it is not known
	Protocol   ProtocolVersion       `json:"speaks,omitempty"`
}

// Dialect tells what a node's build understands of what nodes say to one another; a later one understands all that earlier ones do.
type ProtocolVersion int

// The dialects. What came after the first is sent only to members that tell it, since builds of the first may not bear it.
const (
	ProtocolInitial ProtocolVersion = iota // of all builds that do not tell
	ProtocolLimits                         // sightings of what requests did, and messages of limits, which such a build keeps with the others
)

// DialectOwn is that of this build.
const ProtocolCurrent = ProtocolLimits

// Outranks reports whether a member comes before another in the order of those that read for the rest.
func (m Member) Outranks(other Member) bool { return compareRanks(rankOf(m), rankOf(other)) < 0 }

// ByRank orders members, the one that reads for the rest first: the one with the fastest link, and
// between equals by their hash, so that every node knows the same order.
func ByRank(a, b Member) int { return compareRanks(rankOf(a), rankOf(b)) }

// rank is a member's place in the order of those that read for the rest.
type rank struct {
	bandwidth float64
	score     uint64
	vm        vaneyoke.VMID
}

func rankOf(m Member) rank {
	return rank{bandwidth: m.Bandwidth, score: rendezvous.Score(string(m.DataCentre), string(m.VM)), vm: m.VM}
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(b.bandwidth, a.bandwidth), cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
}
