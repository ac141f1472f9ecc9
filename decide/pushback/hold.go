package pushback

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	// longest is the longest pushback that is kept as it was asked for; a longer one is taken for a mistake, and lasts for assumed.
	longest = time.Minute
	assumed = 5 * time.Second
	// drains is how long an upstream that is leaving is left aside, whatever the list says of it: longer than any drain.
	drains = 10 * time.Minute
)

// Signal is what an upstream said of itself in an answer to this node.
type Signal struct {
	Upstream vaneyoke.Upstream // as it was known when the request was sent
	Pushback time.Duration     // for which it wants nothing from this node; 0 where it does not say
	Leaving  bool
}

// Hold says until when a node sends nothing to one life of an upstream; the zero value holds nothing back.
type Hold struct {
	Upstream     vaneyoke.UpstreamID
	Incarnation  vaneyoke.Incarnation // 0 where it is not known
	URL          string
	PushbackEnds time.Time // the zero time where there was none
	LeavingEnds  time.Time // the zero time where it did not say that it is leaving
}

// At reports whether an upstream gets nothing; a nil hold holds nothing back.
func (h *Hold) At(now time.Time, u *vaneyoke.Upstream) bool {
	return h != nil && now.Before(h.ends()) && h.binds(u)
}

// IsPushedBack reports whether an upstream asked for nothing for a while that is not over.
func (h *Hold) IsPushedBack(now time.Time, u *vaneyoke.Upstream) bool {
	return h != nil && now.Before(h.PushbackEnds) && h.binds(u)
}

// IsLeaving reports whether an upstream said that it is about to end.
func (h *Hold) IsLeaving(now time.Time, u *vaneyoke.Upstream) bool {
	return h != nil && now.Before(h.LeavingEnds) && h.binds(u)
}

// binds reports whether the hold is of the upstream's life as it is listed; a list may be older than what the upstream told itself.
func (h *Hold) binds(u *vaneyoke.Upstream) bool {
	return h.URL == u.URL && (h.Incarnation == 0 || u.Incarnation <= h.Incarnation)
}

// ends returns when the upstream may get something again.
func (h *Hold) ends() time.Time { return later(h.PushbackEnds, h.LeavingEnds) }

// extend takes in what the upstream said; of two times the one that ends later counts.
func (h *Hold) extend(now time.Time, signal Signal) {
	if signal.Pushback > 0 {
		h.PushbackEnds = later(h.PushbackEnds, now.Add(kept(signal.Pushback)))
	}
	if signal.Leaving {
		h.LeavingEnds = later(h.LeavingEnds, now.Add(drains))
	}
}

// kept returns how long a pushback that was asked for lasts.
func kept(asked time.Duration) time.Duration {
	if asked > longest {
		return assumed
	}
	return asked
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
