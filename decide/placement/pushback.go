package placement

import (
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
)

// maxRetryJitter is the longest time over which the retries of callers are spread that were refused because all upstreams had pushed back, so
// that the upstreams do not get all retries at once.
const maxRetryJitter = 500 * time.Millisecond

// RecordSignal applies a pushback or shutdown notice from an upstream's response and returns the resulting hold and its previous value; the hold
// is nil if the signal has no effect. After a pushback, a single attempt serves as a trial of whether the upstream accepts work again.
func (s *State) RecordSignal(now time.Time, signal pushback.Signal) (hold *pushback.Hold, before pushback.Hold) {
	hold, before = s.holds.Record(now, signal)
	if e, ok := s.entries[signal.Upstream.ID]; ok && hold != nil {
		e.hold = hold
		if hold.IsPushedBack(now, &e.upstream) {
			e.breaker.HoldUntil(hold.PushbackEnds)
		}
	}
	return hold, before
}

// IsHeld reports whether an upstream gets no new attempts because of a pushback or its shutdown.
func (s *State) IsHeld(now time.Time, id vaneyoke.UpstreamID) bool {
	e, ok := s.entries[id]
	return ok && e.hold.Active(now, &e.upstream)
}

// IsPushedBack reports whether a pushback of the upstream is active, during which it gets no status queries either.
func (s *State) IsPushedBack(now time.Time, id vaneyoke.UpstreamID) bool {
	e, ok := s.entries[id]
	return ok && e.hold.IsPushedBack(now, &e.upstream)
}

// PushbackRetryAfter returns when a caller is to retry if the upstreams that could take its request have pushed back; ok is false if there are
// no such upstreams.
func (s *State) PushbackRetryAfter(now time.Time, rng *rand.Rand, need Need) (after time.Duration, ok bool) {
	for _, e := range s.sorted {
		if e.upstream.State != vaneyoke.StateLive || !offers(&e.upstream, need) || !e.hold.IsPushedBack(now, &e.upstream) || e.hold.IsLeaving(now, &e.upstream) {
			continue
		}
		if remaining := e.hold.PushbackEnds.Sub(now); !ok || remaining < after {
			after, ok = remaining, true
		}
	}
	if !ok {
		return 0, false
	}
	jitter := min(maxRetryJitter, after)
	return after + time.Duration(rng.Float64()*float64(jitter)), true
}
