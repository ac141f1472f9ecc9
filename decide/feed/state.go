package feed

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// minFollowTime is how long a source must have been followed for its loss not to count as a failed attempt. Without it a source
// that repeatedly connects and fails would be retried without a pause.
const minFollowTime = 100 * time.Millisecond

// State tracks how fresh the node's tables are and which nodes it can take them from.
type State struct {
	self   Member
	config Config
	rng    *rand.Rand

	started      time.Time
	tree         *Tree // nil until the members are known
	unregistered bool  // whether the node was missing from the first list of members
	candidates   []Member

	complete    bool      // whether the node holds all tables
	confirmedAt time.Time // when the store confirmed them
	reader      vaneyoke.VMID

	source        *source
	nextCandidate int       // index of the candidate that is tried next
	retryAt       time.Time // when the candidates are tried again, after all of them failed; zero if not scheduled
	failbackAt    time.Time // when the preferred source is queried again; zero if not scheduled

	staleSince time.Time // since when the tables have been stale; zero while they are fresh
	searches   int       // searches for fresh tables since then
	searchAt   time.Time

	readMode       ReadMode
	probing        bool // whether the node probes the store although it is no standby
	probeSucceeded bool // whether the probe found that the store answers

	offerAt   time.Time
	followers map[vaneyoke.VMID]int

	effects []Effect
}

// source is the node that this one follows.
type source struct {
	member    Member
	since     time.Time
	responded bool
	fresh     bool // whether its last status was fresh, and not confirmed by this node itself
}

// New returns the state of a node that has not started.
func New(self Member, config Config, rng *rand.Rand) *State {
	return &State{self: self, config: config, rng: rng, followers: map[vaneyoke.VMID]int{}}
}

// Handle processes an event and returns the actions to take.
func (s *State) Handle(now time.Time, event Event) []Effect {
	s.effects = nil
	wasComplete := s.complete
	switch e := event.(type) {
	case Started:
		s.started = now
	case MembersUpdated:
		s.setMembers(now, e.Members)
	case StatusReceived:
		s.handleStatus(now, e)
	case SourceLost:
		s.handleSourceLost(now, e)
	case QueryAnswered:
		s.handleAnswer(now, e)
	case OfferReceived:
		s.handleOffer(now, e)
	case StoreRead:
		s.mergeStatus(now, e.Status)
		s.probeSucceeded = s.probing
	case StoreFailed:
		s.probing, s.probeSucceeded = false, false
	case FollowerAdded:
		s.followers[e.VM]++
	case FollowerRemoved:
		s.removeFollower(e.VM)
	case Tick:
	}
	if s.complete && !wasComplete {
		s.offerAt = now // other nodes may be waiting for tables
	}
	s.decide(now)
	return s.effects
}

// NextTick returns when Tick is due if no other event comes before.
func (s *State) NextTick(now time.Time) time.Time {
	next := now.Add(s.config.MaxSearchInterval)
	for _, at := range []time.Time{s.retryAt, s.failbackAt, s.searchAt, s.offerAt, s.started.Add(s.config.MemberWait), s.graceEnd()} {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	return next
}

// Source returns the node that is followed; ok is false if there is none.
func (s *State) Source() (m Member, ok bool) {
	if s.source == nil {
		return Member{}, false
	}
	return s.source.member, true
}

// ReadMode returns how the node reads the store.
func (s *State) ReadMode() ReadMode { return s.readMode }

// FollowerVMs returns the nodes that follow this one, sorted.
func (s *State) FollowerVMs() []vaneyoke.VMID { return slices.Sorted(maps.Keys(s.followers)) }

// FollowerCount returns how many nodes follow this one.
func (s *State) FollowerCount() int { return len(s.followers) }

// Fresh reports whether the node holds all tables and they are not stale.
func (s *State) Fresh(now time.Time) bool {
	return s.complete && now.Sub(s.confirmedAt) <= s.config.StaleAfter
}

// Status returns the status of the node's tables.
func (s *State) Status(now time.Time) TableStatus {
	return TableStatus{Age: now.Sub(s.confirmedAt), Complete: s.complete, Reader: s.reader}
}

// decide updates the source, the read mode and the offers to the present state.
func (s *State) decide(now time.Time) {
	s.updateStaleness(now)
	s.chooseSource(now)
	s.search(now)
	s.updateReadMode(now)
	s.sendOffers(now)
}

// updateStaleness tracks since when the tables have been stale, and schedules the first search.
func (s *State) updateStaleness(now time.Time) {
	if s.Fresh(now) {
		s.staleSince, s.searches, s.searchAt = time.Time{}, 0, time.Time{}
		return
	}
	if s.staleSince.IsZero() {
		s.staleSince = now
		s.searchAt = now.Add(s.jitter(s.config.StaleGrace))
	}
}

func (s *State) setMembers(now time.Time, all []Member) {
	first := s.tree == nil
	s.tree = NewTree(all)
	s.unregistered = s.unregistered || first && !s.tree.Contains(s.self)
	s.candidates = s.tree.Candidates(s.self, s.config.MaxCandidates)
	if first || s.source == nil {
		s.nextCandidate, s.retryAt = 0, now
	}
	if s.source != nil && !s.isPreferred(s.source.member) && s.failbackAt.IsZero() {
		s.failbackAt = now.Add(s.jitter(s.failbackPause()))
	}
}

func (s *State) handleStatus(now time.Time, e StatusReceived) {
	if s.source == nil || s.source.member.VM != e.From {
		return
	}
	s.mergeStatus(now, e.Status)
	if !s.source.responded && s.isPreferred(s.source.member) {
		s.failbackAt = time.Time{}
	}
	s.source.responded = true
	s.source.fresh = s.reliable(e.Status)
	s.nextCandidate = 0
}

// reliable reports whether tables are complete, not stale, and not confirmed by this node itself.
func (s *State) reliable(status TableStatus) bool {
	return status.Complete && status.Age <= s.config.StaleAfter && status.Reader != s.self.VM
}

// mergeStatus updates the status of the node's tables after newer ones were applied.
func (s *State) mergeStatus(now time.Time, status TableStatus) {
	if !status.Complete {
		return
	}
	s.complete = true
	if at := now.Add(-status.Age); at.After(s.confirmedAt) {
		s.confirmedAt, s.reader = at, status.Reader
	}
}

func (s *State) handleSourceLost(now time.Time, e SourceLost) {
	if s.source == nil || s.source.member.VM != e.From {
		return
	}
	if s.source.responded && now.Sub(s.source.since) >= minFollowTime {
		s.nextCandidate = 0
	}
	s.source = nil
	s.retryAt = now
}

// handleAnswer follows the queried node if its tables are better than the node's own, or if it is the preferred source.
func (s *State) handleAnswer(now time.Time, e QueryAnswered) {
	better := s.reliable(e.Status) && !s.Fresh(now) || e.Status.Complete && !s.complete
	preferred := s.isPreferred(e.From) && e.Status.Complete && (s.reliable(e.Status) || !s.Fresh(now))
	if better || preferred {
		s.follow(now, e.From)
	}
}

// handleOffer follows a node that offers better tables, unless a source was chosen just before and has not responded yet.
func (s *State) handleOffer(now time.Time, e OfferReceived) {
	if s.source != nil && !s.source.responded && now.Sub(s.source.since) < s.config.StaleGrace || s.source != nil && s.source.member.VM == e.From.VM {
		return
	}
	if s.reliable(e.Status) && !s.Fresh(now) || e.Status.Complete && !s.complete {
		s.follow(now, e.From)
	}
}

func (s *State) removeFollower(vm vaneyoke.VMID) {
	if s.followers[vm]--; s.followers[vm] <= 0 {
		delete(s.followers, vm)
	}
}

func (s *State) isPreferred(m Member) bool {
	return len(s.candidates) > 0 && s.candidates[0].VM == m.VM
}

// failbackPause returns the time after which the preferred source is queried; it is short if the current source is not fresh.
func (s *State) failbackPause() time.Duration {
	if s.source != nil && s.source.fresh {
		return s.config.FailbackInterval
	}
	return s.config.StaleGrace
}

// jitter varies a duration by up to a quarter either way, so that nodes do not act at the same time.
func (s *State) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d)/2+1))
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }
