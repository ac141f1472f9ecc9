package ratelimit

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// known is what a node knows of an upstream's limit.
type known struct {
	incarnation vaneyoke.Incarnation
	limit       vaneyoke.Limit
	at          time.Time // when the upstream said so
	heldUntil   time.Time // until which it is kept although the upstream is not listed; the zero time where it is listed

	keepers []vaneyoke.VMID             // nil while they have to be worked out
	next    []vaneyoke.VMID             // nodes that become keepers where some of them go
	share   float64                     // of the limit, that each of them gives
	refused map[vaneyoke.VMID]time.Time // until when each of them has no permit
	bucket  *bucket                     // nil where this node is no keeper of the upstream
	kept    time.Time                   // of permits that came after a want was over, until when they can be used
	spare   int                         // permits of that kind
	toldAt  time.Time                   // to the keepers, that the rate has changed
}

// listed is what the list says of an upstream.
type listed struct {
	stands      bool // whether it is on it
	dataCentre  vaneyoke.DataCentreID
	incarnation vaneyoke.Incarnation
}

// take takes in a notice and reports whether it is news: of another life, or newer than what is known and other than that.
func (s *State) take(now time.Time, n Notice, from vaneyoke.VMID) bool {
	at := now.Add(-time.Duration(min(max(n.AgeMs, 0), oldestNotice.Milliseconds())) * time.Millisecond)
	k := s.known[n.Upstream]
	if !s.counts(k, n, at) {
		return false
	}
	if k == nil {
		k = &known{heldUntil: s.holdOf(now, n.Upstream)}
		s.known[n.Upstream] = k
	}
	before := k.limit
	k.limit, k.at, k.incarnation = n.Limit, at, max(n.Incarnation, k.incarnation)
	if before == k.limit {
		return false
	}
	s.do(Believe{Notice: s.notice(now, n.Upstream, k), By: from})
	s.wakeToReview(now)
	return true
}

// counts reports whether a notice as of a time tells more than what is known.
func (s *State) counts(k *known, n Notice, at time.Time) bool {
	switch {
	case k == nil && !n.Limit.Declared:
		return false
	case n.Incarnation != 0 && n.Incarnation < s.listed(n.Upstream).incarnation: // of an earlier life
		return false
	case k == nil:
		return len(s.known) < mostKnown
	case n.Incarnation != 0 && k.incarnation != 0 && n.Incarnation != k.incarnation:
		return n.Incarnation > k.incarnation
	default:
		return at.After(k.at)
	}
}

// notice returns what is known of an upstream as it is told on.
func (s *State) notice(now time.Time, upstream vaneyoke.UpstreamID, k *known) Notice {
	return Notice{Upstream: upstream, Incarnation: k.incarnation, Limit: k.limit, AgeMs: now.Sub(k.at).Milliseconds()}
}

// holdOf returns until when a limit is kept whose upstream is not listed, because the list may lag; the zero time where it is listed.
func (s *State) holdOf(now time.Time, upstream vaneyoke.UpstreamID) time.Time {
	if s.listed(upstream).stands {
		return time.Time{}
	}
	return now.Add(holdUnlisted)
}

// answered takes in what an upstream said to this node. That it names no limit counts only where the request was sent after the limit was
// last named, since an answer may be begun long before it comes.
func (s *State) answered(now time.Time, ev Answered) {
	n := Notice{Upstream: ev.Upstream.ID, Incarnation: ev.Upstream.Incarnation, Limit: ev.Limit}
	if !ev.Limit.Declared {
		n.AgeMs = max(now.Sub(ev.SentAt).Milliseconds(), 0)
	}
	before := s.limitOf(n.Upstream)
	if !s.take(now, n, "") {
		return
	}
	if before.Declared != ev.Limit.Declared {
		s.spread(now, n.Upstream, "")
	} else {
		s.tellKeepers(now, n.Upstream)
	}
}

// told takes in what another node knows.
func (s *State) told(now time.Time, ev Told) {
	for _, n := range ev.Notices {
		before := s.limitOf(n.Upstream)
		if s.take(now, n, ev.From) && before.Declared != n.Limit.Declared {
			s.spread(now, n.Upstream, ev.From)
		}
	}
}

// limitOf returns the limit of an upstream as far as it is known.
func (s *State) limitOf(upstream vaneyoke.UpstreamID) vaneyoke.Limit {
	if k := s.known[upstream]; k != nil {
		return k.limit
	}
	return vaneyoke.Limit{}
}

// tellKeepers tells an upstream's keepers that its limit has changed; all others ask them.
func (s *State) tellKeepers(now time.Time, upstream vaneyoke.UpstreamID) {
	k := s.known[upstream]
	if now.Sub(k.toldAt) < changePause {
		return
	}
	k.toldAt = now
	for _, vm := range s.keepersOf(upstream, k) {
		if vm != s.self {
			s.do(Tell{To: vm, Notices: []Notice{s.notice(now, upstream, k)}})
		}
	}
}

// setUpstreams takes in the upstreams that are listed; the limit of an earlier life is forgotten.
func (s *State) setUpstreams(now time.Time, all []vaneyoke.Upstream) {
	s.list, s.index = all, nil
	if len(s.known) == 0 {
		return
	}
	stand := make(map[vaneyoke.UpstreamID]bool, len(s.known))
	for _, u := range all {
		k := s.known[u.ID]
		if k == nil {
			continue
		}
		stand[u.ID] = true
		k.heldUntil = time.Time{}
		if u.Incarnation != 0 && k.incarnation != 0 && u.Incarnation > k.incarnation {
			s.forget(now, u.ID)
		}
	}
	for id, k := range s.known {
		if !stand[id] && k.heldUntil.IsZero() {
			k.heldUntil = now.Add(holdUnlisted)
		}
	}
}

// listed returns what the list says of an upstream. It is looked up once something is known of a limit: a list of thousands
// comes several times a second while upstreams leave, and most of the time no upstream names a limit.
func (s *State) listed(upstream vaneyoke.UpstreamID) listed {
	if s.index == nil {
		s.index = make(map[vaneyoke.UpstreamID]listed, len(s.list))
		for _, u := range s.list {
			s.index[u.ID] = listed{stands: true, dataCentre: u.DataCentre, incarnation: u.Incarnation}
		}
	}
	return s.index[upstream]
}

// forget forgets what is known of an upstream's limit.
func (s *State) forget(now time.Time, upstream vaneyoke.UpstreamID) {
	k := s.known[upstream]
	delete(s.known, upstream)
	if k.limit.Declared {
		k.limit = vaneyoke.Limit{}
		s.do(Believe{Notice: s.notice(now, upstream, k)})
		s.wakeToReview(now)
	}
}

// tidy forgets the limits of upstreams that have not been listed for long.
func (s *State) tidy(now time.Time) {
	if now.Sub(s.tidiedAt) < tidyEvery {
		return
	}
	s.tidiedAt = now
	for id, k := range s.known {
		if !k.heldUntil.IsZero() && now.After(k.heldUntil) {
			s.forget(now, id)
		}
	}
	for vm := range s.paces {
		if !s.keeps(vm) {
			delete(s.paces, vm)
		}
	}
}
