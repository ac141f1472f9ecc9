package pinning

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	// maxCandidates is the number of versions that a reply names; two are enough to know that a stream cannot go on without its record.
	maxCandidates = 2
	maxServices   = 4                      // of a route that a query names
	secondWave    = 30 * time.Millisecond  // after which more nodes are asked
	thirdWave     = 120 * time.Millisecond // after which those that have not answered are asked again
	lookupTimeout = 300 * time.Millisecond
)

// waveEnds holds when a lookup is to go on, by the number of times that it has asked.
var waveEnds = []time.Duration{lookupTimeout, secondWave, thirdWave, lookupTimeout}

// lookup is a search for the software that began a stream.
type lookup struct {
	Lookup
	startedAt  time.Time
	waves      int
	asked      []*asked
	candidates []Software
	coverage   time.Duration // longest time for which a node that answered, or this one, has known all versions that began streams
	reading    bool          // whether the store is being asked
}

// asked is a node that was asked.
type asked struct {
	Member
	answered bool
}

// startLookup looks for a stream's record at this node and at those that are to hold it.
func (s *State) startLookup(now time.Time, ev Lookup) {
	ev.Services = ev.Services[:min(len(ev.Services), maxServices)]
	l := &lookup{Lookup: ev, startedAt: now}
	if r := s.held(now, ev.Stream); r != nil && ev.Stream != "" {
		s.found(l, r.Record, "")
		return
	}
	own, watched := s.listing.Software(ev.Services)
	l.learn(own, watched)
	if ev.Stream == "" || len(s.lookups) >= maxLookups {
		s.concludeWithoutRecord(l)
		return
	}
	s.lookups[ev.ID] = l
	s.waiting[ev.Stream] = append(s.waiting[ev.Stream], l)
	if s.membersKnown && len(s.members) == 0 {
		s.decide(l)
		return
	}
	s.advance(now, l)
}

// learn adds what a node that holds no record knows of the versions that may have begun the stream.
func (l *lookup) learn(candidates []Software, watched time.Duration) {
	for _, c := range candidates {
		if !slices.Contains(l.candidates, c) {
			l.candidates = append(l.candidates, c)
		}
	}
	if len(candidates) > 0 {
		l.coverage = max(l.coverage, watched)
	}
}

// isOnlyVersion reports whether only one version can have begun the stream: all that began streams since then are known.
func (l *lookup) isOnlyVersion() bool { return len(l.candidates) == 1 && l.coverage >= l.MaxAge }

// advance asks the next nodes, or decides.
func (s *State) advance(now time.Time, l *lookup) {
	elapsed := now.Sub(l.startedAt)
	switch {
	case l.reading:
		return
	case elapsed >= lookupTimeout, l.waves > 0 && elapsed >= secondWave && l.isOnlyVersion():
		s.decide(l)
		return
	case !s.membersKnown:
	case l.waves == 0, l.waves == 1 && elapsed >= secondWave, l.waves == 2 && elapsed >= thirdWave:
		l.waves++
		s.ask(l)
	}
	s.schedule(l.startedAt.Add(waveEnds[min(l.waves, len(waveEnds)-1)]))
}

// ask sends the query to the nodes of the current wave that have not answered.
func (s *State) ask(l *lookup) {
	for _, m := range s.rankMembers(l.Stream, holdersPerStream*min(l.waves, 2)) {
		if !slices.ContainsFunc(l.asked, func(a *asked) bool { return a.VM == m.VM }) {
			l.asked = append(l.asked, &asked{Member: m})
		}
	}
	for _, a := range l.asked {
		if !a.answered {
			s.sendTo(a.Address, Message{Queries: []Query{{Stream: l.Stream, Services: l.Services}}})
		}
	}
}

// receiveReply applies a reply to the lookups of its stream.
func (s *State) receiveReply(now time.Time, from vaneyoke.VMID, r Reply) {
	for _, l := range slices.Clone(s.waiting[r.Stream]) {
		i := slices.IndexFunc(l.asked, func(a *asked) bool { return a.VM == from })
		if i < 0 {
			continue
		}
		l.asked[i].answered = true
		if r.Record.Stream == l.Stream {
			s.found(l, r.Record, from)
			continue
		}
		l.learn(r.Candidates, r.Watched)
		s.advanceAnswered(now, l)
	}
}

// advanceAnswered goes on with a lookup once all nodes that were asked have answered.
func (s *State) advanceAnswered(now time.Time, l *lookup) {
	if slices.ContainsFunc(l.asked, func(a *asked) bool { return !a.answered }) {
		return
	}
	if l.isOnlyVersion() || len(l.asked) >= min(len(s.members), 2*holdersPerStream) {
		s.decide(l)
		return
	}
	l.waves = max(l.waves, 2)
	s.ask(l)
	s.schedule(later(now, l.startedAt.Add(thirdWave)))
}

// found decides a lookup by a record.
func (s *State) found(l *lookup, r Record, from vaneyoke.VMID) {
	origin := Origin{Basis: BasisPeer, Software: r.Software, Peer: from}
	switch {
	case r.Ambiguous:
		origin.Basis = BasisAmbiguous
	case from == "":
		origin.Basis = BasisOwn
	}
	s.conclude(l, origin)
}

// decide decides a lookup for which no node has a record: the stream goes on if only one version can have begun it, or if the store has the record. The store
// is asked, too, where another version is about to begin streams, since it does so early where no other takes work.
func (s *State) decide(l *lookup) {
	if !s.archive.isEnabled || (l.isOnlyVersion() && !s.archive.isMixed(l.Services)) {
		s.concludeWithoutRecord(l)
		return
	}
	isRead := slices.ContainsFunc(s.waiting[l.Stream], func(other *lookup) bool { return other.reading })
	l.reading = true
	if !isRead {
		s.emit(ReadRecords{Stream: l.Stream})
	}
}

// recordsRead decides the lookups that wait for the store's records of a stream.
func (s *State) recordsRead(now time.Time, ev RecordsRead) {
	var kept *record
	for _, r := range ev.Records {
		if added := s.keep(now, r); added != nil {
			kept = added
		}
	}
	for _, l := range slices.Clone(s.waiting[ev.Stream]) {
		if !l.reading {
			continue
		}
		switch {
		case !ev.OK:
			s.conclude(l, Origin{Candidates: l.candidates, Coverage: l.coverage, StoreUnread: true})
		case kept == nil:
			s.concludeWithoutRecord(l)
		case kept.Ambiguous:
			s.conclude(l, Origin{Basis: BasisAmbiguous, Software: kept.Software})
		default:
			s.conclude(l, Origin{Basis: BasisStore, Software: kept.Software})
		}
	}
}

// concludeWithoutRecord concludes a lookup that found no record.
func (s *State) concludeWithoutRecord(l *lookup) {
	if l.isOnlyVersion() {
		s.conclude(l, Origin{Basis: BasisOnlyVersion, Software: l.candidates[0], Coverage: l.coverage})
		return
	}
	s.conclude(l, Origin{Candidates: l.candidates, Coverage: l.coverage})
}

func (s *State) conclude(l *lookup, origin Origin) {
	s.drop(l)
	origin.Asked = len(l.asked)
	for _, a := range l.asked {
		if a.answered {
			origin.Answered++
		}
	}
	s.emit(LookupDecided{ID: l.ID, Origin: origin})
}

// drop forgets a lookup.
func (s *State) drop(l *lookup) {
	delete(s.lookups, l.ID)
	s.waiting[l.Stream] = slices.DeleteFunc(s.waiting[l.Stream], func(other *lookup) bool { return other == l })
	if len(s.waiting[l.Stream]) == 0 {
		delete(s.waiting, l.Stream)
	}
}
