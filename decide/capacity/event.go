package capacity

import (
	"github.com/vaneyoke/vaneyoke"
)

// Event is something that a node learns.
type Event interface{ event() }

// TermsSet tells the terms of all services whose upstreams can be ordered.
type TermsSet struct{ All []Terms }

// Upstreams tells the fleet's upstreams.
type Upstreams struct{ All []vaneyoke.Upstream }

// Used tells what requests took of services, at a share of the nodes and for a part of a second: 1 where all nodes have told a second's load.
type Used struct {
	Loads map[vaneyoke.ServiceID]Load
	Told  float64
}

// Outcome is what became of an order.
type Outcome int

// The outcomes.
const (
	OutcomeTaken   Outcome = iota + 1
	OutcomeScarce          // there are none to be had
	OutcomeUnknown         // no answer: it may be carried out later
)

// Answered tells what became of an order.
type Answered struct {
	Order   Order
	Outcome Outcome
}

// Tick lets time pass; Orders says whether the node holds the duty to order upstreams of a service.
type Tick struct {
	Orders func(vaneyoke.ServiceID) bool
}

func (TermsSet) event()  {}
func (Upstreams) event() {}
func (Used) event()      {}
func (Answered) event()  {}
func (Tick) event()      {}

// Order has the node order how many upstreams a pool is to have; Answered must follow.
type Order struct {
	Service vaneyoke.ServiceID
	Pool
	Count  int
	Before int     // how many there are
	Need   float64 // upstreams that serve the load
	Reason Reason
}

// Reason says why upstreams are ordered.
type Reason string

// The reasons.
const (
	ReasonCheaper Reason = "cheaper" // the same number of a cheaper kind, while the load is not known
	ReasonLoad    Reason = "load"    // the load asks for it
	ReasonShort   Reason = "short"   // upstreams that may be taken away are missing
	ReasonAgain   Reason = "again"   // the number that was ordered does not stand, or an order got no answer
)
