package gossip

import (
	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/names"
)

// Kind is what a node saw of an upstream.
type Kind int

// The kinds of sighting.
const (
	KindLost        Kind = iota + 1 // it took a request and broke off or fell silent
	KindUnreachable                 // it takes no connections
	KindReplaced                    // another upstream has its address
	KindHealthy                     // it answered
	KindCrash                       // it ended as it began to run a content
	KindSurvived                    // some upstream answered a content in whole
)

// String names the kind as it stands in logs.
func (k Kind) String() string {
	return names.Of(k, "none", "lost", "unreachable", "gone", "well", "crash", "survived")
}

// Sound reports whether a sighting says something that this build knows. One that does not is neither believed nor told on: what a later build
// tells may end one of the first dialect.
func (s *Sighting) Valid() bool { return s.Kind >= KindLost && s.Kind <= KindSurvived && s.Hops >= 0 }

// OfRun reports whether the kind says something of what a request asks, and not of the way to an upstream.
func (k Kind) AboutContent() bool { return k == KindCrash || k == KindSurvived }

// Run is what a request did to an upstream; it is told of crashes and of what survived.
type Run struct {
	Content      vaneyoke.ContentID   `json:"c,omitempty"`
	Incarnation  vaneyoke.Incarnation `json:"i,omitempty"`
	PriorCrashes int                  `json:"a,omitempty"` // lives that it ended before under the same incarnation
}

// Sighting is what a node saw of an upstream, as it is told on.
type Sighting struct {
	Origin   vaneyoke.VMID       `json:"o"`
	Sequence uint64              `json:"n"` // among those of its origin
	Upstream vaneyoke.UpstreamID `json:"u"`
	Kind     Kind                `json:"k"`
	Hops     int                 `json:"h"` // how often it was told on
	Run
}

// Event is something that a node learns.
type Event interface{ event() }

// Neighbours tells the nodes next to this one in the tree by which the store's tables are told.
type NeighboursUpdated struct{ VMs []vaneyoke.VMID }

// Seen tells what this node saw of an upstream.
type Observed struct {
	Upstream vaneyoke.UpstreamID
	Kind     Kind
	Run      Run // of a crash, or of what survived
}

// Told tells what another node saw or was told.
type SightingsReceived struct {
	From      vaneyoke.VMID
	Sightings []Sighting
}

// Tick says that the time has come that State.Next told.
type Tick struct{}

func (NeighboursUpdated) event() {}
func (Observed) event()          {}
func (SightingsReceived) event() {}
func (Tick) event()              {}

// Effect is something that the node has to do.
type Effect interface{ effect() }

// Send has the node tell a neighbour, who need not answer.
type SendSightings struct {
	To        vaneyoke.VMID
	Sightings []Sighting
}

// Believe has the node take what another one saw for true.
type ApplySighting struct{ Sighting Sighting }

func (SendSightings) effect() {}
func (ApplySighting) effect() {}
