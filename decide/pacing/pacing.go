package pacing

import (
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// MinRetryAfter is the shortest time after which a rejected caller is told to retry.
const MinRetryAfter = 200 * time.Millisecond

const (
	maxRetryAfter  = 25 * time.Second
	remainingShare = 3                     // a caller waits for at most its remaining time divided by this
	earlyTolerance = 25 * time.Millisecond // by which a caller may come before its time
	defaultDrain   = 4000.0                // tokens a second while the drain is unknown
	maxDrain       = 1e9                   // tokens a second
	minPrompt      = 64                    // tokens that are reserved at least
	maxPrompt      = 1 << 20               // tokens that are reserved at most
	urgencyStretch = 0.25                  // by which each lower urgency lengthens the wait
	maxUrgency     = 9
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
	Remaining time.Duration      // until its caller's deadline; 0 if none is known
}

// Rejection is a request that is rejected for load.
type Rejection struct {
	Arrival
	Service vaneyoke.ServiceID
	Urgency int // 0 is the most urgent
	Prompt  vaneyoke.Tokens
	Ahead   vaneyoke.Tokens // prompt tokens that wait before it
	Drain   float64         // prompt tokens a second that the node admits to the service; 0 if unknown
}

// State tracks the callers that were rejected.
type State struct {
	calendars calendars
	rejected  rejected
	routes    routes
}

// New returns a state without callers.
func New() *State {
	return &State{calendars: calendars{}, rejected: newRejected(), routes: routes{}}
}

// Classify tells whether the caller of an arriving request was rejected before, at this or any other node. A retry is known by its content at
// the node that rejected it, and by its age at all others: its remaining time is shorter than that of first attempts on its route.
func (s *State) Classify(now time.Time, a Arrival) Return {
	age := s.routes.observe(now, a)
	if due, ok := s.rejected.due(now, a.Content); ok {
		if now.Before(due.Add(-earlyTolerance)) {
			return ReturnEarly
		}
		s.rejected.forget(a.Content) // so that copies of the request gain nothing
		s.routes.spend(now, a.Route)
		return ReturnOnTime
	}
	if age >= MinRetryAfter && s.routes.spend(now, a.Route) {
		return ReturnOnTime
	}
	return ReturnNone
}

// RetryAfter returns when the caller of a rejected request should come back, and expects it then. It is at least MinRetryAfter, and at most a
// third of the caller's remaining time if that is longer. A caller that came back early is told the rest of its wait and MinRetryAfter.
func (s *State) RetryAfter(now time.Time, rng *rand.Rand, r Rejection) time.Duration {
	limit := longestWait(r.Remaining)
	due, known := s.rejected.due(now, r.Content)
	var wait time.Duration
	if known && now.Before(due.Add(-earlyTolerance)) {
		wait = due.Sub(now) + MinRetryAfter // later than if it had waited
	} else {
		wait = s.calendars.reserve(now, rng, r, limit)
		s.routes.expect(now, r.Route)
	}
	wait = max(min(wait, limit), MinRetryAfter)
	s.rejected.remember(r.Content, now.Add(min(wait, limit)))
	return wait
}

// longestWait returns how long a caller waits before it retries.
func longestWait(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return maxRetryAfter
	}
	return min(remaining/remainingShare, maxRetryAfter)
}
