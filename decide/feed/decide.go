package feed

import (
	"time"

	"github.com/samber/lo"
)

// chooseSource follows the next of the choices where nobody is followed, and asks the first one where another is.
func (s *State) chooseSource(now time.Time) {
	if s.tree == nil {
		return
	}
	if s.isRoot() && s.source != nil && s.reader == s.self.VM && s.Fresh(now) {
		s.source, s.homeAt = nil, time.Time{}
		s.emit(Unfollow{})
	}
	if s.source == nil {
		s.tryNext(now)
		return
	}
	if !s.homeAt.IsZero() && !now.Before(s.homeAt) && len(s.choices) > 0 {
		s.homeAt = now.Add(s.vary(s.config.FailbackInterval))
		s.emit(QueryStatus{s.choices[0]})
	}
}

// tryNext follows the next of the choices; after the last one it waits.
func (s *State) tryNext(now time.Time) {
	if now.Before(s.retryAt) {
		return
	}
	if s.choice >= len(s.choices) {
		s.choice = 0
		s.retryAt = now.Add(s.vary(s.config.RetryInterval))
		return
	}
	s.choice++
	s.follow(now, s.choices[s.choice-1])
}

func (s *State) follow(now time.Time, m Member) {
	s.source = &source{member: m, since: now}
	s.retryAt, s.homeAt = time.Time{}, time.Time{}
	if !s.isFirstChoice(m) {
		s.homeAt = now.Add(s.vary(s.homePause()))
	}
	s.emit(Follow{m})
}

// seek looks for fresh tables, at growing pauses: it asks a node at random, or tries the store.
func (s *State) seek(now time.Time) {
	if s.oldSince.IsZero() || s.tryAt.IsZero() || now.Before(s.tryAt) || s.tree == nil {
		return
	}
	s.tries++
	s.tryAt = now.Add(s.vary(s.pause()))
	if !s.readsWhenOld() && s.rng.Float64()*float64(s.tree.size(s.self.DataCentre)) < s.config.Probes {
		s.scouting = true
		return
	}
	if m, ok := s.anyOther(); ok {
		s.emit(QueryStatus{m})
	}
}

// pause returns the time to the next try.
func (s *State) pause() time.Duration {
	const mostDoublings = 8
	return min(s.config.StaleGrace<<min(s.tries, mostDoublings), s.config.MaxSearchInterval)
}

// anyOther returns a member at random other than the node and the one that it follows.
func (s *State) anyOther() (m Member, ok bool) {
	const draws = 4
	for range min(draws, s.tree.Count()) {
		m = s.tree.any(s.rng.IntN(s.tree.Count()))
		if m.VM != s.self.VM && (s.source == nil || m.VM != s.source.member.VM) {
			return m, true
		}
	}
	return Member{}, false
}

// isRoot reports whether the node comes before all others.
func (s *State) isRoot() bool { return s.tree != nil && len(s.choices) == 0 }

// readsWhenOld reports whether it is the node's place to read the store while its tables are old.
func (s *State) readsWhenOld() bool {
	return s.tree != nil && s.tree.place(s.self) < s.config.Standbys
}

// relies reports whether the node has its tables from another one that can be relied on.
func (s *State) relies() bool { return s.hasWord() && s.source.fresh }

// chooseReading reads the store in the way that the present state asks for.
func (s *State) chooseReading(now time.Time) {
	reading := s.wanted(now)
	if reading == ReadNothing || reading == ReadMembers {
		s.scouting, s.scouted = false, false
	}
	if reading != s.reading {
		s.reading = reading
		s.emit(SetReadMode{reading})
	}
}

func (s *State) wanted(now time.Time) ReadMode {
	switch {
	case s.tree == nil && now.Before(s.started.Add(s.config.MemberWait)):
		return ReadMembers
	case s.tree == nil: // the list of members may be all that fails
		return ReadAll
	case s.relies() && (s.source.member.Outranks(s.self) || !s.readsWhenOld()):
		return ReadNothing
	case s.readsAll(now):
		return ReadAll
	case s.scouting && s.scouted:
		return ReadAll
	case s.scouting:
		return ReadOnce
	case s.isNew && !s.held:
		return ReadMembers
	default:
		return ReadNothing
	}
}

// readsAll reports whether the node reads the store until it finds another one to rely on.
func (s *State) readsAll(now time.Time) bool {
	if s.isNew && !s.held && now.Before(s.started.Add(s.config.MemberWait)) {
		return false
	}
	if s.isRoot() || s.alone() {
		return true
	}
	if s.reading == ReadAll && (s.readsWhenOld() || !s.hasWord() || s.reader == s.self.VM && s.Fresh(now)) {
		return true
	}
	return s.readsWhenOld() && !s.oldSince.IsZero() && !now.Before(s.leadEnds())
}

// hasWord reports whether the node that is followed has spoken.
func (s *State) hasWord() bool { return s.source != nil && s.source.spoken }

// alone reports whether no node that the node knows of can be followed.
func (s *State) alone() bool { return s.source == nil && s.choice == 0 && !s.retryAt.IsZero() }

// leadEnds returns when the tables will have been old for the lead; the zero time where they are fresh.
func (s *State) leadEnds() time.Time {
	if s.oldSince.IsZero() {
		return time.Time{}
	}
	return s.oldSince.Add(s.config.StaleGrace)
}

// offer offers the tables to those that may lack them: to nodes below that do not follow, and, where the tables are old or the
// node reads the store in place of those above, to nodes above.
func (s *State) offer(now time.Time) {
	if !s.held || s.tree == nil || now.Before(s.offerAt) {
		return
	}
	to := s.lacking()
	if !s.Fresh(now) || s.reader == s.self.VM && !s.isRoot() {
		to = append(to, s.choices...)
		if s.tree.place(s.self) == 0 || s.reader == s.self.VM {
			to = append(to, s.tree.Roots()...)
		}
	}
	to = lo.UniqBy(to, func(m Member) string { return m.Address })
	to = lo.Reject(to, func(m Member, _ int) bool { return m.VM == s.self.VM || m.Address == "" })
	s.offerAt = now.Add(s.vary(s.config.OfferInterval))
	if len(to) == 0 {
		return
	}
	if len(to) > s.config.MaxOffers {
		s.rng.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:s.config.MaxOffers]
	}
	s.emit(SendOffers{to})
}

// lacking returns the nodes right below that do not follow this one, and those below these.
func (s *State) lacking() []Member {
	follows := func(m Member, _ int) bool { return s.followers[m.VM] > 0 }
	below := lo.Reject(s.tree.Children(s.self), follows)
	lacking := below
	for _, m := range below {
		lacking = append(lacking, lo.Reject(s.tree.Children(m), follows)...)
	}
	return lacking
}
