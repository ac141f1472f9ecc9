package admission

import (
	"slices"
	"time"
)

// capState is a cap and the credit of the requests that it limits.
type capState struct {
	Cap
	credit float64 // rises by the cap's share with each request; an admission takes 1
}

func (c *capState) matches(e *entry) bool {
	return (c.Workspace == "" || c.Workspace == e.Workspace) && (c.Route == "" || c.Route == e.Route)
}

// setCaps replaces the caps, which hold for waiting requests too.
func (s *State) setCaps(now time.Time, caps []Cap) {
	before := s.caps
	s.caps = make([]capState, len(caps))
	for i, c := range caps {
		s.caps[i].Cap = c
		if old := slices.IndexFunc(before, func(b capState) bool { return b.Cap == c }); old >= 0 {
			s.caps[i].credit = before[old].credit
		}
	}
	for _, q := range s.queues {
		for _, e := range slices.Clone(q.entries) {
			e.passedCap = false
			if !s.passCaps(now, e) {
				s.reject(now, e, ReasonCapped)
			}
		}
		s.continueQueue(now, q)
	}
}

// passCaps reports whether the caps of operators let a request pass; each cap decides once on a request.
func (s *State) passCaps(now time.Time, e *entry) bool {
	if e.passedCap {
		return true
	}
	for i := range s.caps {
		c := &s.caps[i]
		if c.Share >= 1 || !c.matches(e) {
			continue
		}
		if c.Share <= 0 {
			return false
		}
		if !e.queue.hasWaiting(now, func(other *entry) bool { return !c.matches(other) }) {
			continue
		}
		e.passedCap = true
		if c.credit += c.Share; c.credit < 1 {
			return false
		}
		c.credit--
	}
	return true
}

// hasWaiting reports whether any request of a kind waits for room.
func (q *queue) hasWaiting(now time.Time, is func(*entry) bool) bool {
	return slices.ContainsFunc(q.entries, func(e *entry) bool { return e.isHeldUp(now) && is(e) })
}

// isHeldUp reports whether a request waits for room, and not just for its first assessment.
func (e *entry) isHeldUp(now time.Time) bool { return e.checked || now.Sub(e.arrivedAt) >= e.interval }
