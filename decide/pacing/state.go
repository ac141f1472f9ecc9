package pacing

import (
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Return tells whether a caller was rejected before.
type Return int

// The kinds of return.
const (
	ReturnNone   Return = iota // it comes for the first time, as far as is known
	ReturnOnTime               // it was rejected and has waited as it was told
	ReturnEarly                // it was rejected and has not waited
)

// Arrival is a request that arrives.
type Arrival struct {
	Route     vaneyoke.RouteID
	Content   vaneyoke.ContentID // "" if unknown
	Remaining time.Duration      // until its caller's deadline
}

// Rejection is a request that is rejected for load.
type Rejection struct {
	Arrival
	Urgency int
	Prompt  vaneyoke.Tokens
	Ahead   vaneyoke.Tokens // prompt tokens that wait before it
	Drain   float64         // prompt tokens a second that the node admits to the service; 0 if unknown
}

// State tracks the callers that were rejected.
type State struct{}

// New returns a state without callers.
func New() *State { return &State{} }

// Classify tells whether the caller of an arriving request was rejected before, at this or any other node.
func (s *State) Classify(_ time.Time, _ Arrival) Return { return ReturnNone }

// RetryAfter returns when the caller of a rejected request should come back, and expects it then.
func (s *State) RetryAfter(_ time.Time, _ *rand.Rand, _ Rejection) time.Duration { return time.Second }
