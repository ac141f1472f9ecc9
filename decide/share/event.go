package share

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Urgency ranks requests; 0 is the most urgent.
type Urgency int

// Flow is the demand of a set of requests.
type Flow struct {
	Offered  vaneyoke.Tokens // prompt tokens a second that arrived
	Admitted vaneyoke.Tokens // prompt tokens a second that were sent to upstreams
	Waiting  vaneyoke.Tokens // prompt tokens that wait now and can still be in time
	Rejected int             // requests a second that were rejected for load
}

// Demand is the demand of one workspace for one service at one urgency.
type Demand struct {
	Service   vaneyoke.ServiceID
	Workspace vaneyoke.WorkspaceID
	Urgency   Urgency
	Flow      Flow
}

// ServiceTotals is the demand of the whole fleet for a service. The root knows the workspaces with the most demand, other nodes only which of them
// are over their fair share; Totals.Overuse answers for both.
type ServiceTotals struct {
	Urgencies  map[Urgency]Flow
	Workspaces map[vaneyoke.WorkspaceID]Flow // those with the most demand
	Others     Flow                          // of all other workspaces together
	Active     int                           // number of workspaces with demand, estimated
	Overused   map[Hash]float64              // by workspace: what it had admitted over its fair share
}

// Totals is the demand of the whole fleet, as known to a node; a node that hears from no other knows its own demand only.
type Totals struct {
	MeasuredAt time.Time // by this node's clock, when they were added up; zero if nothing is known
	Nodes      int       // nodes whose demand is included
	Services   map[vaneyoke.ServiceID]ServiceTotals
}

// Event is an input of State.Handle.
type Event interface{ event() }

// Counted carries this node's demand over the last interval. A node that does not count takes no part, except that it forwards summaries.
type Counted struct{ Demands []Demand }

// TreeUpdated carries the neighbours of this node in the tree along which the store's tables are replicated.
type TreeUpdated struct {
	Parent   vaneyoke.VMID // "" for the root, and while the node follows no other
	Children []vaneyoke.VMID
}

// SummaryReceived carries a summary of a neighbour.
type SummaryReceived struct{ Summary Summary }

// Tick reports that the time returned by State.NextTick has come.
type Tick struct{}

func (Counted) event()         {}
func (TreeUpdated) event()     {}
func (SummaryReceived) event() {}
func (Tick) event()            {}

// Effect is an action that the node has to take.
type Effect interface{ effect() }

// SendSummary sends a summary to a neighbour, which need not answer.
type SendSummary struct {
	To      vaneyoke.VMID
	Summary Summary
}

// UpdateTotals reports new totals.
type UpdateTotals struct{ Totals Totals }

// SummaryDropped reports that a received summary was not used.
type SummaryDropped struct {
	From   vaneyoke.VMID
	Reason DropReason
}

func (SendSummary) effect()    {}
func (UpdateTotals) effect()   {}
func (SummaryDropped) effect() {}

// DropReason tells why a summary was not used.
type DropReason string

// The reasons.
const (
	DropStranger DropReason = "stranger" // its sender is no neighbour in the tree
	DropLate     DropReason = "late"     // a later one of its sender was received before, or its totals are too old
	DropLoop     DropReason = "loop"     // it came back to the node that made it, or over more nodes than a tree has levels
)
