package admission

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

// Request is a request that waits for an upstream of a service.
type Request struct {
	ID        vaneyoke.RequestID // unique among those that wait
	Service   vaneyoke.ServiceID
	Route     vaneyoke.RouteID
	Workspace vaneyoke.WorkspaceID
	Content   vaneyoke.ContentID // "" if unknown
	Urgency   share.Urgency
	Prompt    vaneyoke.Tokens // tokens to prefill
	Answer    vaneyoke.Tokens // most tokens that it generates; 0 if unknown
	Received  time.Time       // when the node received it; zero for when it arrives here
	Goal      time.Time       // until when its first token is in time
	Deadline  time.Time       // until when its caller waits
	Return    pacing.Return   // whether its caller was rejected before; set by State.Handle unless it is known
	Bytes     int             // memory that it takes while it waits
}

// Room tells how soon an upstream could start a request if it were sent now.
type Room struct {
	Free  bool          // whether an upstream has memory and a slot for it, its answer included
	Idle  bool          // whether an upstream has it to itself: no prompt waits there and little memory is in use
	Start time.Duration // expected time to its first token; 0 if unknown
	Run   time.Duration // expected time from its first token to its last; 0 if unknown
}

// Mode selects how the requests of a service are queued.
type Mode int

// The modes of a service.
const (
	ModePassive Mode = iota // each request waits by itself until an upstream has room, for a part of its time, and is never rejected
	ModeRanked              // requests are ordered among each other, and rejected when they cannot be served
)

// Event is an input of State.Handle.
type Event interface{ event() }

// Arrived reports a new request.
type Arrived struct{ Request Request }

// Left reports that a waiting request ended before it was admitted, because its caller left or its time is over.
type Left struct{ ID vaneyoke.RequestID }

// Assessed carries the result of an Assess effect.
type Assessed struct {
	ID   vaneyoke.RequestID
	Room Room
}

// RunEnded reports that an upstream of a service has ended a run of this node, so that there may be room now.
type RunEnded struct {
	Service vaneyoke.ServiceID
	Prompt  vaneyoke.Tokens // prefilled for it; 0 if its first token never arrived
}

// ModeSet sets how the requests of a service are queued; a service is passive until then.
type ModeSet struct {
	Service vaneyoke.ServiceID
	Mode    Mode
}

// SharesUpdated carries the demand of the whole fleet, as far as this node knows it.
type SharesUpdated struct{ Totals share.Totals }

// CapsUpdated replaces the caps that operators have set.
type CapsUpdated struct{ Caps []Cap }

// Tick reports that the time returned by State.NextTick has come.
type Tick struct{}

func (Arrived) event()       {}
func (Left) event()          {}
func (Assessed) event()      {}
func (RunEnded) event()      {}
func (ModeSet) event()       {}
func (SharesUpdated) event() {}
func (CapsUpdated) event()   {}
func (Tick) event()          {}

// Cap limits the requests of a workspace or a route by order of an operator; an empty field matches all.
type Cap struct {
	Workspace vaneyoke.WorkspaceID `json:"workspace,omitempty"`
	Route     vaneyoke.RouteID     `json:"route,omitempty"`
	// Share is the fraction of its requests that are still admitted while others wait; 0 puts them aside altogether.
	Share float64 `json:"share"`
}

// Effect is an action that the node has to take.
type Effect interface{ effect() }

// Assess asks how soon an upstream could start a request; its result is an Assessed event.
type Assess struct{ ID vaneyoke.RequestID }

// Admit lets a request be sent to an upstream.
type Admit struct {
	ID     vaneyoke.RequestID
	Waited time.Duration
	Forced bool // whether it is sent although no upstream has room for it
}

// Reject ends a request that was not sent to any upstream.
type Reject struct {
	ID         vaneyoke.RequestID
	Reason     Reason
	RetryAfter time.Duration
	Waited     time.Duration
	Ahead      vaneyoke.Tokens // prompt tokens that were queued before it
	Expected   time.Duration   // time to its first token that was expected
}

func (Assess) effect() {}
func (Admit) effect()  {}
func (Reject) effect() {}
