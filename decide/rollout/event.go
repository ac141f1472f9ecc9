package rollout

import (
	"github.com/vaneyoke/vaneyoke"
)

// Event is an input of State.
type Event interface{ event() }

// OrdersUpdated carries all current orders.
type OrdersUpdated struct{ Orders []Order }

// RecordsUpdated carries all records in the store.
type RecordsUpdated struct{ Rows []Row }

// UpstreamsUpdated carries all upstreams of the fleet.
type UpstreamsUpdated struct{ All []vaneyoke.Upstream }

// Answered carries an upstream's answer to a request of this node.
type Answered struct {
	Upstream vaneyoke.Upstream
	Route    vaneyoke.RouteID
	Answer   Answer
}

// ReportReceived carries the reports of a child node, which include those of its descendants in the tree.
type ReportReceived struct {
	From    vaneyoke.VMID
	Reports []Report
}

// StopsReceived names the rollouts that another node knows to be bad.
type StopsReceived struct{ Stops []ID }

// ClockRead carries the time on the store's clock.
type ClockRead struct{ At vaneyoke.StoreTime }

// Tick lets time pass. It carries the attempts in flight at this node, by service and version, and whether the node reads the store for
// the others.
type Tick struct {
	InFlightByVersion map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int
	ReadsStore        bool
}

func (OrdersUpdated) event()    {}
func (RecordsUpdated) event()   {}
func (UpstreamsUpdated) event() {}
func (Answered) event()         {}
func (ReportReceived) event()   {}
func (StopsReceived) event()    {}
func (ClockRead) event()        {}
func (Tick) event()             {}

// Effect is an action that the node has to carry out.
type Effect interface{ effect() }

// Write asks for a record to be written if its row is still at revision Expect (0: no row exists), together with the status that the
// operator reads.
type Write struct {
	Record Record
	Expect vaneyoke.Revision
}

// ReadClock asks for the store's clock; ClockRead must follow.
type ReadClock struct{}

// SetSplit changes how a service's requests are split among versions.
type SetSplit struct {
	Service vaneyoke.ServiceID
	Split   Split
}

// Stopped says that the node sends no more requests to the target of a rollout, because of the answers counted or because another node
// reported the rollout as bad.
type Stopped struct {
	Service vaneyoke.ServiceID
	Target  vaneyoke.SoftwareVersion
	Reason  Reason // "" if another node reported it
	Answers int    // of the target, as far as this node knows
	Failed  int
}

func (Write) effect()     {}
func (ReadClock) effect() {}
func (SetSplit) effect()  {}
func (Stopped) effect()   {}

// ID identifies a rollout by its service and the revision of its order.
type ID struct {
	Service vaneyoke.ServiceID `json:"service"`
	Order   vaneyoke.Revision  `json:"order"`
}

// Report holds what a node and its descendants in the tree know of a rollout.
type Report struct {
	ID
	Bad     bool  `json:"bad,omitempty"` // whether the target was found bad
	Stage   Stage `json:"stage"`         // the earliest that any of these nodes knows
	Running int   `json:"running"`       // attempts in flight at upstreams of versions other than the target
	Tally   Tally `json:"tally"`
}

// sanitized returns the report of another node with invalid values replaced. An unknown stage or a negative count delays the rollout
// instead of being ignored: a node that is left out might still send to upstreams that are about to be stopped.
func (r Report) sanitized() Report {
	if r.Stage < StageCanary || r.Stage > StageReverted {
		r.Stage = StageCanary
	}
	if r.Running < 0 {
		r.Running = 1
	}
	if !r.Tally.valid() {
		r.Tally = nil
	}
	return r
}

// Split says how a service's requests are split among the versions of its upstreams; the zero value splits nothing.
type Split struct {
	Target  vaneyoke.SoftwareVersion   // version to which requests move; "" for none
	Share   float64                    // of the requests that go to the target; at 1 the other versions get no new ones
	Blocked bool                       // whether the target gets no requests even if no other upstream is available
	Held    []vaneyoke.SoftwareVersion // versions that get no requests while others are available, because an order for them may still arrive
}
