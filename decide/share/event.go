package share

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Urgency ranks requests; 0 is the most urgent.
type Urgency int

// Flow is the demand of a set of requests.
type Flow struct {
	Offered  vaneyoke.Tokens `json:"o,omitempty"` // prompt tokens a second that arrived
	Admitted vaneyoke.Tokens `json:"a,omitempty"` // prompt tokens a second that were sent to upstreams
	Waiting  vaneyoke.Tokens `json:"w,omitempty"` // prompt tokens that wait now
	Rejected int             `json:"r,omitempty"` // requests a second that were rejected for load
}

// Demand is the demand of one workspace for one service at one urgency.
type Demand struct {
	Service   vaneyoke.ServiceID
	Workspace vaneyoke.WorkspaceID
	Urgency   Urgency
	Flow      Flow
}

// ServiceTotals is the demand of the whole fleet for a service.
type ServiceTotals struct {
	Urgencies  map[Urgency]Flow
	Workspaces map[vaneyoke.WorkspaceID]Flow // those with the most demand
	Others     Flow                          // of all other workspaces together
	Active     int                           // number of workspaces with demand
}

// Totals is the demand of the whole fleet, as known to a node; a node that hears from no other knows its own demand only.
type Totals struct {
	MeasuredAt time.Time // by this node's clock; zero if nothing is known
	Nodes      int       // nodes whose demand is included
	Services   map[vaneyoke.ServiceID]ServiceTotals
}

// Event is an input of State.Handle.
type Event interface{ event() }

// Counted carries this node's demand over the last interval.
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

func (SendSummary) effect()  {}
func (UpdateTotals) effect() {}

// Summary is what a node tells a neighbour: the demand of its subtree to its parent, the totals to its children. It fits into a datagram.
type Summary struct {
	From     vaneyoke.VMID  `json:"f"`
	Sequence uint64         `json:"n"`           // rises with each summary of the sender
	Down     bool           `json:"d,omitempty"` // whether it holds the totals of the fleet
	Age      time.Duration  `json:"g"`           // of the oldest demand in it
	Nodes    int            `json:"c"`
	Services []ServiceShare `json:"s"`
}

// ServiceShare is the demand for a service in a summary.
type ServiceShare struct {
	Service    vaneyoke.ServiceID `json:"s"`
	Urgencies  []UrgencyFlow      `json:"u"`
	Workspaces []WorkspaceFlow    `json:"w"`
	Others     Flow               `json:"o"`
	Active     int                `json:"n"`
}

// UrgencyFlow is the demand at one urgency.
type UrgencyFlow struct {
	Urgency Urgency `json:"u"`
	Flow
}

// WorkspaceFlow is the demand of one workspace.
type WorkspaceFlow struct {
	Workspace vaneyoke.WorkspaceID `json:"w"`
	Flow
}
