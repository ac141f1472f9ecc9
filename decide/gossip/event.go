package gossip

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/names"
)

// Kind is what a node observed about an upstream.
type Kind int

// The kinds of sighting.
const (
	KindLost        Kind = iota + 1 // it accepted a request, and then the connection broke or went silent
	KindUnreachable                 // it accepts no connections
	KindReplaced                    // another upstream uses its address
	KindHealthy                     // it answered
	KindCrash                       // it crashed when it began to run a content
	KindSurvived                    // some upstream answered a content completely
	KindLeaving                     // it announced in an answer that it shuts down
	KindPaced                       // it works slower or faster than it was taken to
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	return names.Of(k, "none", "lost", "unreachable", "gone", "well", "crash", "survived", "leaving", "paced")
}

// Valid reports whether this build understands the sighting. Others are neither applied nor forwarded: what a later build
// reports may crash one of the first protocol version.
func (s *Sighting) Valid() bool {
	return s.Kind >= KindLost && s.Kind <= KindPaced && s.Hops >= 0 && (s.Kind != KindPaced || s.Factor.Valid())
}

// AboutContent reports whether the kind concerns the content of a request, and not the connection to an upstream.
func (k Kind) AboutContent() bool { return k == KindCrash || k == KindSurvived }

// Run is what a request did to an upstream; it is set for KindCrash and KindSurvived. For KindLeaving and KindPaced only the incarnation is set.
type Run struct {
	Content      vaneyoke.ContentID   `json:"c,omitempty"`
	Incarnation  vaneyoke.Incarnation `json:"i,omitempty"`
	PriorCrashes int                  `json:"a,omitempty"` // earlier crashes that it caused under the same incarnation
}

// Sighting is what a node observed about an upstream, as it is forwarded.
type Sighting struct {
	Origin   vaneyoke.VMID       `json:"o"`
	Sequence uint64              `json:"n"` // among the sightings of its origin
	Upstream vaneyoke.UpstreamID `json:"u"`
	Kind     Kind                `json:"k"`
	Hops     int                 `json:"h"`           // how often it was forwarded
	Factor   Factor              `json:"f,omitempty"` // set for KindPaced
	// Since is the time from the last request to the upstream that its origin had an answer to without this notice; set for KindLeaving, 0 if unknown.
	Since time.Duration `json:"s,omitempty"`
	Run
}

// Event is an input of State.Handle.
type Event interface{ event() }

// NeighboursUpdated carries the neighbours of this node in the tree along which the store's tables are replicated.
type NeighboursUpdated struct{ VMs []vaneyoke.VMID }

// Observed reports what this node observed about an upstream.
type Observed struct {
	Upstream vaneyoke.UpstreamID
	Kind     Kind
	Run      Run           // set for KindCrash and KindSurvived and, without a content, for KindLeaving and KindPaced
	Factor   Factor        // set for KindPaced
	Since    time.Duration // as in Sighting; set for KindLeaving
}

// SightingsReceived carries sightings that another node observed or forwards.
type SightingsReceived struct {
	From      vaneyoke.VMID
	Sightings []Sighting
}

// Tick reports that the time returned by State.NextTick has come.
type Tick struct{}

func (NeighboursUpdated) event() {}
func (Observed) event()          {}
func (SightingsReceived) event() {}
func (Tick) event()              {}

// Effect is an action that the node has to take.
type Effect interface{ effect() }

// SendSightings sends sightings to a neighbour, which need not answer.
type SendSightings struct {
	To        vaneyoke.VMID
	Sightings []Sighting
}

// ApplySighting makes the node act on a sighting of another node.
type ApplySighting struct{ Sighting Sighting }

func (SendSightings) effect() {}
func (ApplySighting) effect() {}
