package ratelimit

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// limitEntry is a node's knowledge of an upstream's limit.
type limitEntry struct {
	incarnation vaneyoke.Incarnation
	limit       vaneyoke.Limit
	observedAt  time.Time // when the upstream declared it
	expiresAt   time.Time // when it is dropped because the upstream is not listed; zero while the upstream is listed

	owners           []vaneyoke.VMID             // nil until computed
	standbys         []vaneyoke.VMID             // nodes that become owners if some of them leave
	share            float64                     // of the limit that each owner grants
	exhaustedUntil   map[vaneyoke.VMID]time.Time // until when an owner has no permit
	bucket           *bucket                     // nil unless this node is an owner
	spareUntil       time.Time                   // until when the spare permits are valid
	spare            int                         // permits that were granted after their acquisition had ended
	ownersNotifiedAt time.Time                   // when the owners were last notified of a changed rate
}

// listing is an upstream's entry in the list of upstreams.
type listing struct {
	present     bool // whether the upstream is listed
	dataCentre  vaneyoke.DataCentreID
	incarnation vaneyoke.Incarnation
}

// applyNotice updates the known limit from a notice, and reports whether the limit changed. A notice counts if it is of a later incarnation,
// or newer than the known limit.
func (s *State) applyNotice(now time.Time, n Notice, from vaneyoke.VMID) bool {
	observedAt := now.Add(-time.Duration(min(max(n.AgeMs, 0), maxNoticeAge.Milliseconds())) * time.Millisecond)
	e := s.limits[n.Upstream]
	if !s.isNewer(e, n, observedAt) {
		return false
	}
	if e == nil {
		e = &limitEntry{expiresAt: s.expiryOf(now, n.Upstream)}
		s.limits[n.Upstream] = e
	}
	before := e.limit
	e.limit, e.observedAt, e.incarnation = n.Limit, observedAt, max(n.Incarnation, e.incarnation)
	if before == e.limit {
		return false
	}
	s.emit(LimitUpdated{Notice: s.notice(now, n.Upstream, e), From: from})
	s.scheduleReconcile(now)
	return true
}

// isNewer reports whether a notice supersedes what is known.
func (s *State) isNewer(e *limitEntry, n Notice, observedAt time.Time) bool {
	switch {
	case e == nil && !n.Limit.Declared:
		return false
	case n.Incarnation != 0 && n.Incarnation < s.listingOf(n.Upstream).incarnation: // of an earlier incarnation
		return false
	case e == nil:
		return len(s.limits) < maxLimits
	case n.Incarnation != 0 && e.incarnation != 0 && n.Incarnation != e.incarnation:
		return n.Incarnation > e.incarnation
	default:
		return observedAt.After(e.observedAt)
	}
}

// notice returns the notice of an upstream's known limit.
func (s *State) notice(now time.Time, upstream vaneyoke.UpstreamID, e *limitEntry) Notice {
	return Notice{Upstream: upstream, Incarnation: e.incarnation, Limit: e.limit, AgeMs: now.Sub(e.observedAt).Milliseconds()}
}

// expiryOf returns the expiry time of the limit of an upstream that is not listed, which is kept for a while because the list may lag; zero if
// the upstream is listed.
func (s *State) expiryOf(now time.Time, upstream vaneyoke.UpstreamID) time.Time {
	if s.listingOf(upstream).present {
		return time.Time{}
	}
	return now.Add(unlistedTTL)
}

// observeLimit processes the limit that an upstream declared in a response to this node. A response without a limit ends a known limit only if
// its request was sent after the limit was last declared, since a response may begin long before it arrives.
func (s *State) observeLimit(now time.Time, ev LimitObserved) {
	n := Notice{Upstream: ev.Upstream.ID, Incarnation: ev.Upstream.Incarnation, Limit: ev.Limit}
	if !ev.Limit.Declared {
		n.AgeMs = max(now.Sub(ev.SentAt).Milliseconds(), 0)
	}
	before := s.limitOf(n.Upstream)
	if !s.applyNotice(now, n, "") {
		return
	}
	if before.Declared != ev.Limit.Declared {
		s.queueNotice(now, n.Upstream, "")
	} else {
		s.notifyOwners(now, n.Upstream)
	}
}

// receiveNotices processes notices from another node, and passes on those that begin or end a limit.
func (s *State) receiveNotices(now time.Time, ev NoticesReceived) {
	for _, n := range ev.Notices {
		before := s.limitOf(n.Upstream)
		if s.applyNotice(now, n, ev.From) && before.Declared != n.Limit.Declared {
			s.queueNotice(now, n.Upstream, ev.From)
		}
	}
}

// limitOf returns the known limit of an upstream.
func (s *State) limitOf(upstream vaneyoke.UpstreamID) vaneyoke.Limit {
	if e := s.limits[upstream]; e != nil {
		return e.limit
	}
	return vaneyoke.Limit{}
}

// notifyOwners sends a changed rate to the owners of the limit; all other nodes learn it from their responses.
func (s *State) notifyOwners(now time.Time, upstream vaneyoke.UpstreamID) {
	e := s.limits[upstream]
	if now.Sub(e.ownersNotifiedAt) < ownerUpdateInterval {
		return
	}
	e.ownersNotifiedAt = now
	for _, vm := range s.ownersOf(upstream, e) {
		if vm != s.self {
			s.emit(SendNotices{To: vm, Notices: []Notice{s.notice(now, upstream, e)}})
		}
	}
}

// setUpstreams sets the listed upstreams, and drops limits of earlier incarnations.
func (s *State) setUpstreams(now time.Time, all []vaneyoke.Upstream) {
	s.upstreams, s.listings = all, nil
	if len(s.limits) == 0 {
		return
	}
	present := make(map[vaneyoke.UpstreamID]bool, len(s.limits))
	for _, u := range all {
		e := s.limits[u.ID]
		if e == nil {
			continue
		}
		present[u.ID] = true
		e.expiresAt = time.Time{}
		if u.Incarnation != 0 && e.incarnation != 0 && u.Incarnation > e.incarnation {
			s.forget(now, u.ID)
		}
	}
	for id, e := range s.limits {
		if !present[id] && e.expiresAt.IsZero() {
			e.expiresAt = now.Add(unlistedTTL)
		}
	}
}

// listingOf returns the listing of an upstream. The index is built only on first use: while upstreams leave, a list of thousands arrives
// several times a second, and most of the time no upstream declares a limit.
func (s *State) listingOf(upstream vaneyoke.UpstreamID) listing {
	if s.listings == nil {
		s.listings = make(map[vaneyoke.UpstreamID]listing, len(s.upstreams))
		for _, u := range s.upstreams {
			s.listings[u.ID] = listing{present: true, dataCentre: u.DataCentre, incarnation: u.Incarnation}
		}
	}
	return s.listings[upstream]
}

// forget drops the limit of an upstream.
func (s *State) forget(now time.Time, upstream vaneyoke.UpstreamID) {
	e := s.limits[upstream]
	delete(s.limits, upstream)
	if e.limit.Declared {
		e.limit = vaneyoke.Limit{}
		s.emit(LimitUpdated{Notice: s.notice(now, upstream, e)})
		s.scheduleReconcile(now)
	}
}

// cleanUp drops the limits of upstreams that have not been listed for unlistedTTL, and the health of nodes that have left.
func (s *State) cleanUp(now time.Time) {
	if now.Sub(s.lastCleanup) < cleanupInterval {
		return
	}
	s.lastCleanup = now
	for id, e := range s.limits {
		if !e.expiresAt.IsZero() && now.After(e.expiresAt) {
			s.forget(now, id)
		}
	}
	for vm := range s.health {
		if !s.supportsLimits(vm) {
			delete(s.health, vm)
		}
	}
}
