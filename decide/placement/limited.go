package placement

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// SetLimit sets the rate limit that an upstream declares, or removes it if there is none any more.
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
		e.limitedUntil, e.lastRetryAt = time.Time{}, time.Time{}
	}
}

// LimitReached records that an upstream's rate limit allowed no attempt: the next one may be allowed after next, and callers refused now are to
// retry after retryAfter.
func (s *State) LimitReached(now time.Time, id vaneyoke.UpstreamID, next, retryAfter time.Duration) {
	if e, ok := s.entries[id]; ok {
		e.limitedUntil, e.lastRetryAt = now.Add(next), now.Add(retryAfter)
	}
}

// LimitRetryAfter returns when a caller is to retry if the upstreams that could take its request are at their rate limits; ok is false if there
// are no such upstreams. Successive callers get times spaced at the limit's rate.
func (s *State) LimitRetryAfter(now time.Time, need Need) (after time.Duration, ok bool) {
	var earliest *entry
	for _, e := range s.sorted {
		if e.limit.Declared && now.Before(e.limitedUntil) && e.upstream.State == vaneyoke.StateLive && offers(&e.upstream, need) && (earliest == nil || e.lastRetryAt.Before(earliest.lastRetryAt)) {
			earliest = e
		}
	}
	if earliest == nil {
		return 0, false
	}
	after = max(earliest.lastRetryAt.Sub(now), earliest.limitedUntil.Sub(now))
	earliest.lastRetryAt = now.Add(min(after+interval(earliest.limit.Rate), maxRetryAfter))
	return after, true
}

// maxRetryAfter is the longest retry-after time given for a limit, and minInterval the shortest time between those of two callers.
const (
	maxRetryAfter = 5 * time.Second
	minInterval   = time.Millisecond
)

// interval returns the time between two requests at a rate.
func interval(rate vaneyoke.PerSecond) time.Duration {
	if float64(rate)*maxRetryAfter.Seconds() <= 1 {
		return maxRetryAfter
	}
	return max(time.Duration(float64(time.Second)/float64(rate)), minInterval)
}
