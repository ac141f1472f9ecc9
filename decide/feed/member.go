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
	Address    string                `json:"address"`             // IP address and port at which it serves its tables
	Bandwidth  float64               `json:"bandwidth,omitempty"` // of its VM's link in Mbit/s; 0 if unknown
	Protocol   ProtocolVersion       `json:"speaks,omitempty"`
}

// ProtocolVersion tells which messages between nodes a build understands. Each version includes all earlier ones.
type ProtocolVersion int

// The protocol versions. Messages that came after the first version are sent only to members that report a version which
// includes them, because builds of the first version may crash on them.
const (
	ProtocolInitial ProtocolVersion = iota // of builds that report no version
	ProtocolLimits                         // adds sightings of crashed and survived requests, and messages about rate limits, which such builds enforce together
	ProtocolShares                         // adds summaries of the demand, as datagrams of a type of their own, and sightings of shutdowns and of the pace of upstreams
	ProtocolDetours                        // adds connections to upstreams through another node
	ProtocolPins                           // adds records of the software versions that began streams, as datagrams of a type of their own
	ProtocolRecords                        // such builds keep these records in the store, too, let a version begin streams only once the store records it, and tell rows that are kept past an outage of the store apart from the store's
)

// ProtocolCurrent is the version of this build.
const ProtocolCurrent = ProtocolRecords

// Outranks reports whether m ranks before other. Members of higher rank read the store for the others.
func (m Member) Outranks(other Member) bool { return compareRanks(rankOf(m), rankOf(other)) < 0 }

// ByRank compares members by rank: the one with the fastest link comes first, and equal ones are ordered by rendezvous hash, so
// that every node computes the same order. The first member reads the store for the rest.
func ByRank(a, b Member) int { return compareRanks(rankOf(a), rankOf(b)) }

// rank is the sort key of a member.
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
