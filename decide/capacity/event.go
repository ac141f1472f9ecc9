package capacity

import (
	"github.com/vaneyoke/vaneyoke"
)

// Event is an input of State.
type Event interface{ event() }

// ConfigsUpdated carries the configurations of all services whose upstreams can be ordered.
type ConfigsUpdated struct{ All []ScalingConfig }

// UpstreamsUpdated carries all upstreams of the fleet.
type UpstreamsUpdated struct{ All []vaneyoke.Upstream }

// LoadReported carries the load of services. Coverage is the share of the nodes that reported times the reported period in seconds: 1 if all
// nodes reported a second's load.
type LoadReported struct {
	Loads    map[vaneyoke.ServiceID]Load
	Coverage float64
}

// Outcome is the result of an order.
type Outcome int

// The outcomes.
const (
	OutcomeAccepted   Outcome = iota + 1
	OutcomeNoCapacity         // no upstreams of the pool are available
	OutcomeUnknown            // no answer: the order may still be carried out later
)

// OrderResult carries the outcome of an order.
type OrderResult struct {
	Order   Order
	Outcome Outcome
}

// Tick lets time pass; HoldsDuty reports whether the node holds the duty to order upstreams of a service.
type Tick struct {
	HoldsDuty func(vaneyoke.ServiceID) bool
}

func (ConfigsUpdated) event()   {}
func (UpstreamsUpdated) event() {}
func (LoadReported) event()     {}
func (OrderResult) event()      {}
func (Tick) event()             {}

// Order asks for the number of upstreams of a pool to be set; OrderResult must follow.
type Order struct {
	Service vaneyoke.ServiceID
	Pool
	Count   int
	Current int     // number of live upstreams
	Need    float64 // planned number of upstreams that serve the load
	Reason  Reason
}

// Reason is the reason for an order.
type Reason string

// The reasons.
const (
	ReasonCheaper  Reason = "cheaper" // as many as there are, of a cheaper kind, while the load is unknown
	ReasonLoad     Reason = "load"    // the load requires it
	ReasonShortage Reason = "short"   // preemptible upstreams are missing
	ReasonRetry    Reason = "again"   // the ordered number was not reached, or the order got no answer
)
