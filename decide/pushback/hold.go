package pushback

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	// maxPushback is the longest pushback that is honoured as requested. A longer one is treated as an error and replaced by defaultPushback.
	maxPushback     = time.Minute
	defaultPushback = 5 * time.Second
	// shutdownHold is how long an upstream that is shutting down gets no requests, even if it is still listed. It exceeds any drain time.
	shutdownHold = 10 * time.Minute
)

// Signal is a pushback or a shutdown notice that an upstream sent in a response to this node.
type Signal struct {
	Upstream vaneyoke.Upstream // as listed when the request was sent
	Pushback time.Duration     // how long it wants no requests from this node; 0 if not stated
	Leaving  bool              // whether it is shutting down
}

// Hold is the time for which a node sends no requests to one incarnation of an upstream; the zero value holds nothing back.
type Hold struct {
	Upstream     vaneyoke.UpstreamID
	Incarnation  vaneyoke.Incarnation // 0 if unknown
	URL          string
	PushbackEnds time.Time // zero if there was no pushback
	LeavingEnds  time.Time // end of the hold for a shutdown; zero if none was announced
}

// Active reports whether the upstream may get no requests now; a nil hold is never active.
func (h *Hold) Active(now time.Time, u *vaneyoke.Upstream) bool {
	return h != nil && now.Before(h.until()) && h.appliesTo(u)
}

// IsPushedBack reports whether the upstream requested a pushback that has not ended.
func (h *Hold) IsPushedBack(now time.Time, u *vaneyoke.Upstream) bool {
	return h != nil && now.Before(h.PushbackEnds) && h.appliesTo(u)
}

// IsLeaving reports whether the upstream announced that it is shutting down.
func (h *Hold) IsLeaving(now time.Time, u *vaneyoke.Upstream) bool {
	return h != nil && now.Before(h.LeavingEnds) && h.appliesTo(u)
}

// appliesTo reports whether the hold applies to the listed incarnation of the upstream. The list may be older than the upstream's own signal, so
// the hold also applies to earlier incarnations.
func (h *Hold) appliesTo(u *vaneyoke.Upstream) bool {
	return h.URL == u.URL && (h.Incarnation == 0 || u.Incarnation <= h.Incarnation)
}

// until returns when the upstream may get requests again.
func (h *Hold) until() time.Time { return later(h.PushbackEnds, h.LeavingEnds) }

// extend applies a signal; a hold is only ever prolonged.
func (h *Hold) extend(now time.Time, signal Signal) {
	if signal.Pushback > 0 {
		h.PushbackEnds = later(h.PushbackEnds, now.Add(effectivePushback(signal.Pushback)))
	}
	if signal.Leaving {
		h.LeavingEnds = later(h.LeavingEnds, now.Add(shutdownHold))
	}
}

// effectivePushback returns how long a requested pushback is honoured.
func effectivePushback(requested time.Duration) time.Duration {
	if requested > maxPushback {
		return defaultPushback
	}
	return requested
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
