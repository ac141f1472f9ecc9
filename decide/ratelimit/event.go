package ratelimit

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// PermitID identifies an attempt of this node to acquire a permit.
type PermitID uint64

// Notice is a node's knowledge of an upstream's limit, as sent to other nodes.
type Notice struct {
	Upstream    vaneyoke.UpstreamID  `json:"u"`
	Incarnation vaneyoke.Incarnation `json:"i,omitempty"`
	Limit       vaneyoke.Limit       `json:"l"`
	AgeMs       int64                `json:"a"` // since the upstream declared it
}

// PermitRequest asks an owner of a limit for a permit.
type PermitRequest struct {
	Seq    uint64 `json:"n"` // sequence number of the requesting node
	Notice Notice `json:"notice"`
	Ping   bool   `json:"ping,omitempty"` // only checks that the owner responds, without asking for a permit
}

// PermitResponse is an owner's response to a PermitRequest.
type PermitResponse struct {
	Seq           uint64 `json:"n"`
	Granted       bool   `json:"granted"`
	AvailableInMs int64  `json:"next"` // time until the owner has another permit
	RetryAfterMs  int64  `json:"turn"` // time until those who were refused earlier have been served
	Notice        Notice `json:"notice"`
}

// Member is a node of the fleet.
type Member struct {
	VM             vaneyoke.VMID
	DataCentre     vaneyoke.DataCentreID
	SupportsLimits bool // whether its build takes part in rate limiting
}

// Event is an input of State.Handle.
type Event interface{ event() }

// MembersUpdated reports all registered nodes of the fleet.
type MembersUpdated struct{ All []Member }

// NeighboursUpdated reports the neighbours of this node in the tree over which the store's tables are distributed.
type NeighboursUpdated struct{ VMs []vaneyoke.VMID }

// UpstreamsUpdated reports all listed upstreams.
type UpstreamsUpdated struct{ All []vaneyoke.Upstream }

// LimitObserved reports the limit that an upstream declared in a response to this node, the zero value for none.
type LimitObserved struct {
	Upstream vaneyoke.Upstream
	Limit    vaneyoke.Limit
	SentAt   time.Time // when the request was sent
}

// NoticesReceived reports notices from another node.
type NoticesReceived struct {
	From    vaneyoke.VMID
	Notices []Notice
}

// PermitRequested reports another node's request for a permit.
type PermitRequested struct {
	From    vaneyoke.VMID
	Request PermitRequest
}

// PermitResponded reports an owner's response.
type PermitResponded struct {
	From     vaneyoke.VMID
	Response PermitResponse
}

// AcquirePermit asks for a permit to send a request to an upstream.
type AcquirePermit struct {
	ID       PermitID
	Upstream vaneyoke.UpstreamID
}

// Tick reports that the time returned by State.NextTick has come.
type Tick struct{}

func (MembersUpdated) event()    {}
func (NeighboursUpdated) event() {}
func (UpstreamsUpdated) event()  {}
func (LimitObserved) event()     {}
func (NoticesReceived) event()   {}
func (PermitRequested) event()   {}
func (PermitResponded) event()   {}
func (AcquirePermit) event()     {}
func (Tick) event()              {}

// Effect is an action that State.Handle asks its caller to carry out.
type Effect interface{ effect() }

// SendNotices sends notices to another node, which does not respond.
type SendNotices struct {
	To      vaneyoke.VMID
	Notices []Notice
}

// SendPermitRequest sends a request to an owner of a limit.
type SendPermitRequest struct {
	To      vaneyoke.VMID
	Request PermitRequest
}

// SendPermitResponse responds to another node's request.
type SendPermitResponse struct {
	To       vaneyoke.VMID
	Response PermitResponse
}

// PermitDecided reports the outcome of an AcquirePermit.
type PermitDecided struct {
	ID          PermitID
	Granted     bool
	AvailableIn time.Duration // if not granted: time until an owner has another permit
	RetryAfter  time.Duration // if not granted: time until those who were refused earlier have been served
}

// LimitUpdated reports that an upstream's limit as known to this node has changed.
type LimitUpdated struct {
	Notice Notice
	From   vaneyoke.VMID // the node whose notice it was; "" if the limit was not learned from another node
}

// CheckLiveness asks for a check of a node that has not responded for long, and for its removal from the members if it accepts no connections.
// Until then, the permits that it would grant are lost.
type CheckLiveness struct{ VM vaneyoke.VMID }

func (SendNotices) effect()        {}
func (CheckLiveness) effect()      {}
func (SendPermitRequest) effect()  {}
func (SendPermitResponse) effect() {}
func (PermitDecided) effect()      {}
func (LimitUpdated) effect()       {}
