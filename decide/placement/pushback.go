package placement

import (
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
)

// returnSpread is the longest time over which callers come back who were refused because all upstreams had asked for nothing, so that these do
// not get all of them at one moment.
const returnSpread = 500 * time.Millisecond

// Signalled takes in what an upstream said of itself in an answer, and returns the hold that it leads to and what it was before; a nil hold says
// that nothing follows. Once a pushback is over a single attempt finds out whether the upstream takes work again.
func (s *State) Signalled(now time.Time, signal pushback.Signal) (hold *pushback.Hold, before pushback.Hold) {
	hold, before = s.holds.Record(now, signal)
	if e, ok := s.entries[signal.Upstream.ID]; ok && hold != nil {
		e.hold = hold
		if hold.IsPushedBack(now, &e.upstream) {
			e.breaker.HoldUntil(hold.PushbackEnds)
		}
	}
	return hold, before
}

// IsHeld reports whether an upstream gets no new attempt because it said so.
func (s *State) IsHeld(now time.Time, id vaneyoke.UpstreamID) bool {
	e, ok := s.entries[id]
	return ok && e.hold.Active(now, &e.upstream)
}

// IsPushedBack reports whether an upstream wants nothing at all for a while, questions included.
func (s *State) IsPushedBack(now time.Time, id vaneyoke.UpstreamID) bool {
	e, ok := s.entries[id]
	return ok && e.hold.IsPushedBack(now, &e.upstream)
}

// PushedBack returns when a caller is to come back whom no upstream can take because those that could have asked for nothing for a while; ok is
// false where there are none of that kind.
func (s *State) PushedBack(now time.Time, rng *rand.Rand, need Need) (after time.Duration, ok bool) {
	for _, e := range s.order {
		if e.upstream.State != vaneyoke.StateLive || !offers(&e.upstream, need) || !e.hold.IsPushedBack(now, &e.upstream) || e.hold.IsLeaving(now, &e.upstream) {
			continue
		}
		if left := e.hold.PushbackEnds.Sub(now); !ok || left < after {
			after, ok = left, true
		}
	}
	if !ok {
		return 0, false
	}
	spread := min(returnSpread, after)
	return after + time.Duration(rng.Float64()*float64(spread)), true
}
