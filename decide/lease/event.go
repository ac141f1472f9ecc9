package lease

import "time"

// Event is an input of the state machine.
type Event interface{ event() }

// Tick is the periodic event. Want says whether the node wants to hold the lease, Drained whether none of the duty's calls is in flight.
type Tick struct {
	Want    bool
	Drained bool
}

// Written reports that the write sent at SentAt was applied.
type Written struct {
	Row    Row
	SentAt time.Time
}

// Conflict reports that a write was not applied, because the row has another revision; Row is the current row.
type Conflict struct{ Row Row }

// Failed reports that a write got no answer or was refused. It may have been applied, or may still be while its condition holds.
type Failed struct{}

// Refused reports that the platform refused a call, because it has seen a higher token than this one.
type Refused struct{ Token FencingToken }

// NodeStopping reports that the node is shutting down; Drained is as in Tick.
type NodeStopping struct{ Drained bool }

func (Tick) event()         {}
func (Written) event()      {}
func (Conflict) event()     {}
func (Failed) event()       {}
func (Refused) event()      {}
func (NodeStopping) event() {}

// Effect is an action that the caller of Handle has to carry out.
type Effect interface{ effect() }

// Write stores the record if its row still has the given revision, 0 for no row; Written, Conflict or Failed must follow.
type Write struct{ Row Row }

// Acquired reports that the node now holds the lease.
type Acquired struct {
	Token    FencingToken
	Previous Record // of the previous holder
}

// Lost reports that the node no longer holds the lease.
type Lost struct {
	Token  FencingToken
	Reason Reason
}

// Reason says why a lease was lost.
type Reason string

// The reasons for which a lease is lost.
const (
	ReasonExpired  Reason = "lapsed"   // no renewal was confirmed in time
	ReasonTaken    Reason = "taken"    // another node holds it
	ReasonReleased Reason = "released" // the holder released it
	ReasonRefused  Reason = "refused"  // the platform has seen a higher token
)

func (Write) effect()    {}
func (Acquired) effect() {}
func (Lost) effect()     {}
