package feed

import (
	"time"

	"github.com/samber/lo"
)

// chooseSource follows the next candidate if there is no source, and queries the preferred source if another one is followed.
func (s *State) chooseSource(now time.Time) {
	if s.tree == nil {
		return
	}
	if s.isRoot() && s.source != nil && s.reader == s.self.VM && s.Fresh(now) {
		s.source, s.failbackAt = nil, time.Time{}
		s.emit(Unfollow{})
	}
	if s.source == nil {
		s.tryNextCandidate(now)
		return
	}
	if !s.failbackAt.IsZero() && !now.Before(s.failbackAt) && len(s.candidates) > 0 {
		s.failbackAt = now.Add(s.jitter(s.config.FailbackInterval))
		s.emit(QueryStatus{s.candidates[0]})
	}
}

// tryNextCandidate follows the next candidate; after the last one it waits.
func (s *State) tryNextCandidate(now time.Time) {
	if now.Before(s.retryAt) {
		return
	}
	if s.nextCandidate >= len(s.candidates) {
		s.nextCandidate = 0
		s.retryAt = now.Add(s.jitter(s.config.RetryInterval))
		return
	}
	s.nextCandidate++
	s.follow(now, s.candidates[s.nextCandidate-1])
}

func (s *State) follow(now time.Time, m Member) {
	s.source = &source{member: m, since: now}
	s.retryAt, s.failbackAt = time.Time{}, time.Time{}
	if !s.isPreferred(m) {
		s.failbackAt = now.Add(s.jitter(s.failbackPause()))
	}
	s.emit(Follow{m})
}

// search looks for fresh tables, with exponential backoff: it queries a random member or probes the store.
func (s *State) search(now time.Time) {
	if s.staleSince.IsZero() || s.searchAt.IsZero() || now.Before(s.searchAt) || s.tree == nil {
		return
	}
	s.searches++
	s.searchAt = now.Add(s.jitter(s.searchInterval()))
	if !s.isStandby() && s.rng.Float64()*float64(s.tree.size(s.self.DataCentre)) < s.config.Probes {
		s.probing = true
		return
	}
	if m, ok := s.randomMember(); ok {
		s.emit(QueryStatus{m})
	}
}

// searchInterval returns the time to the next search.
func (s *State) searchInterval() time.Duration {
	const maxDoublings = 8
	return min(s.config.StaleGrace<<min(s.searches, maxDoublings), s.config.MaxSearchInterval)
}

// randomMember returns a random member other than this node and its source.
func (s *State) randomMember() (m Member, ok bool) {
	const maxDraws = 4
	for range min(maxDraws, s.tree.Count()) {
		m = s.tree.memberAt(s.rng.IntN(s.tree.Count()))
		if m.VM != s.self.VM && (s.source == nil || m.VM != s.source.member.VM) {
			return m, true
		}
	}
	return Member{}, false
}

// isRoot reports whether the node ranks before all others.
func (s *State) isRoot() bool { return s.tree != nil && len(s.candidates) == 0 }

// isStandby reports whether the node ranks high enough in its data centre to read the store while its tables are stale.
func (s *State) isStandby() bool {
	return s.tree != nil && s.tree.position(s.self) < s.config.Standbys
}

// hasFreshSource reports whether the source has responded and its tables are fresh.
func (s *State) hasFreshSource() bool { return s.sourceResponded() && s.source.fresh }

// updateReadMode changes how the store is read if the present state requires another mode.
func (s *State) updateReadMode(now time.Time) {
	mode := s.desiredReadMode(now)
	if mode == ReadNothing || mode == ReadMembers {
		s.probing, s.probeSucceeded = false, false
	}
	if mode != s.readMode {
		s.readMode = mode
		s.emit(SetReadMode{mode})
	}
}

func (s *State) desiredReadMode(now time.Time) ReadMode {
	switch {
	case s.tree == nil && now.Before(s.started.Add(s.config.MemberWait)):
		return ReadMembers
	case s.tree == nil: // possibly only the list of members fails
		return ReadAll
	case s.hasFreshSource() && (s.source.member.Outranks(s.self) || !s.isStandby()):
		return ReadNothing
	case s.mustReadAll(now):
		return ReadAll
	case s.probing && s.probeSucceeded:
		return ReadAll
	case s.probing:
		return ReadOnce
	case s.unregistered && !s.complete:
		return ReadMembers
	default:
		return ReadNothing
	}
}

// mustReadAll reports whether the node reads the store until it finds a fresh source.
func (s *State) mustReadAll(now time.Time) bool {
	if s.unregistered && !s.complete && now.Before(s.started.Add(s.config.MemberWait)) {
		return false
	}
	if s.isRoot() || s.candidatesExhausted() {
		return true
	}
	if s.readMode == ReadAll && (s.isStandby() || !s.sourceResponded() || s.reader == s.self.VM && s.Fresh(now)) {
		return true
	}
	return s.isStandby() && !s.staleSince.IsZero() && !now.Before(s.graceEnd())
}

// sourceResponded reports whether the source has sent its status.
func (s *State) sourceResponded() bool { return s.source != nil && s.source.responded }

// candidatesExhausted reports whether none of the known candidates can be followed.
func (s *State) candidatesExhausted() bool {
	return s.source == nil && s.nextCandidate == 0 && !s.retryAt.IsZero()
}

// graceEnd returns when stale tables have been stale for StaleGrace; the zero time if they are fresh.
func (s *State) graceEnd() time.Time {
	if s.staleSince.IsZero() {
		return time.Time{}
	}
	return s.staleSince.Add(s.config.StaleGrace)
}

// sendOffers offers the tables to nodes that may lack them: to children and grandchildren that do not follow this node and, if the
// tables are stale or the node reads the store without being a root, to nodes of higher rank.
func (s *State) sendOffers(now time.Time) {
	if !s.complete || s.tree == nil || now.Before(s.offerAt) {
		return
	}
	to := s.missingFollowers()
	if !s.Fresh(now) || s.reader == s.self.VM && !s.isRoot() {
		to = append(to, s.candidates...)
		if s.tree.position(s.self) == 0 || s.reader == s.self.VM {
			to = append(to, s.tree.Roots()...)
		}
	}
	to = lo.UniqBy(to, func(m Member) string { return m.Address })
	to = lo.Reject(to, func(m Member, _ int) bool { return m.VM == s.self.VM || m.Address == "" })
	s.offerAt = now.Add(s.jitter(s.config.OfferInterval))
	if len(to) == 0 {
		return
	}
	if len(to) > s.config.MaxOffers {
		s.rng.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:s.config.MaxOffers]
	}
	s.emit(SendOffers{to})
}

// missingFollowers returns the children in the tree that do not follow this node, and the children of these that do not either.
func (s *State) missingFollowers() []Member {
	follows := func(m Member, _ int) bool { return s.followers[m.VM] > 0 }
	children := lo.Reject(s.tree.Children(s.self), follows)
	missing := children
	for _, m := range children {
		missing = append(missing, lo.Reject(s.tree.Children(m), follows)...)
	}
	return missing
}
