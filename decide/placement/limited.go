package placement

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// SetLimit takes in that an upstream names a limit, or none any more.
func (s *State) SetLimit(id vaneyoke.UpstreamID, limit vaneyoke.Limit) {
	delete(s.limits, id)
	if limit.Declared {
		s.limits[id] = limit
	}
	e, ok := s.entries[id]
	if !ok {
		return
	}
	e.limit = limit
	if !limit.Declared {
		e.withheld, e.turn = time.Time{}, time.Time{}
	}
}

// Withheld notes that an upstream's limit left an attempt nothing: there may be something after a while, and a caller that gets nothing
// now is to come back at its turn.
func (s *State) Withheld(now time.Time, id vaneyoke.UpstreamID, next, turn time.Duration) {
	if e, ok := s.entries[id]; ok {
		e.withheld, e.turn = now.Add(next), now.Add(turn)
	}
}

// ComeBack returns when a caller is to come back whom no upstream can take because those that could name limits; ok is false where there
// are none of that kind. Callers are told to come back one after the other, as the limit takes them.
func (s *State) ComeBack(now time.Time, need Need) (after time.Duration, ok bool) {
	var first *entry
	for _, e := range s.order {
		if e.limit.Declared && now.Before(e.withheld) && e.upstream.State == vaneyoke.StateLive && offers(&e.upstream, need) && (first == nil || e.turn.Before(first.turn)) {
			first = e
		}
	}
	if first == nil {
		return 0, false
	}
	after = max(first.turn.Sub(now), first.withheld.Sub(now))
	first.turn = now.Add(min(after+gap(first.limit.Rate), longestTurn))
	return after, true
}

// longestTurn is the longest time after which a caller is told to come back, and shortestGap the one between two of them.
const (
	longestTurn = 5 * time.Second
	shortestGap = time.Millisecond
)

// gap returns the time between two requests at a rate.
func gap(rate vaneyoke.PerSecond) time.Duration {
	if float64(rate)*longestTurn.Seconds() <= 1 {
		return longestTurn
	}
	return max(time.Duration(float64(time.Second)/float64(rate)), shortestGap)
}
