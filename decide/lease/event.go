package lease

import "time"

// Event is something that a node learns.
type Event interface{ event() }

// Tick lets time pass. Want says whether the node would hold the lease, Clean whether nothing that the duty sent is under way.
type Tick struct {
	Want  bool
	Clean bool
}

// Written says that a write that was sent at a time has been carried out.
type Written struct {
	Row    Row
	SentAt time.Time
}

// Raced says that a write was not carried out, because the row has another revision.
type Raced struct{ Row Row }

// Failed says that a write got no answer, or was refused; it may have been carried out, or may be later while its condition holds.
type Failed struct{}

// Refused says that the platform has seen a higher token than the one that it was sent.
type Refused struct{ Fence Fence }

// Leaving says that the node ends.
type Leaving struct{ Clean bool }

func (Tick) event()    {}
func (Written) event() {}
func (Raced) event()   {}
func (Failed) event()  {}
func (Refused) event() {}
func (Leaving) event() {}

// Effect is something that the node has to do.
type Effect interface{ effect() }

// Write has the node write the record where its row still has a revision, 0 for no row; Written, Raced or Failed must follow.
type Write struct{ Row Row }

// Gained says that the node holds the lease.
type Gained struct {
	Fence  Fence
	Before Record // of the holder before
}

// Lost says that the node does not hold the lease any more.
type Lost struct {
	Fence  Fence
	Reason Reason
}

// Reason says why a lease was lost.
type Reason string

// The reasons.
const (
	ReasonLapsed   Reason = "lapsed"   // no renewal was confirmed in time
	ReasonTaken    Reason = "taken"    // another node holds it
	ReasonReleased Reason = "released" // given up
	ReasonRefused  Reason = "refused"  // the platform has seen a higher token
)

func (Write) effect()  {}
func (Gained) effect() {}
func (Lost) effect()   {}
