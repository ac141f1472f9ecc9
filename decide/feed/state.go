package feed

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// quick is the life of a source below which its loss counts as if it had never spoken, so that one that comes and goes is
// not asked without a pause.
const quick = 100 * time.Millisecond

// State is what a node knows of its tables' freshness and of the nodes that it may take them from.
type State struct {
	self   Member
	config Config
	rng    *rand.Rand

	started time.Time
	tree    *Tree // nil while the members are not known
	isNew   bool  // whether the node did not stand among the members when it learned of them
	choices []Member

	held      bool      // whether the node holds all tables
	confirmed time.Time // as of which the store confirmed them
	reader    vaneyoke.VMID

	source  *source
	choice  int       // of choices that is tried next
	retryAt time.Time // when the choices are tried again, after all of them failed; the zero time for none
	homeAt  time.Time // when the first choice is asked again; the zero time for not at all

	oldSince time.Time // since when the tables have not been fresh; the zero time where they are
	tries    int       // to find fresh ones since then
	tryAt    time.Time

	reading  ReadMode
	scouting bool // whether the node tries the store although it is not its place
	scouted  bool // whether it found that the store answers

	offerAt   time.Time
	followers map[vaneyoke.VMID]int

	effects []Effect
}

// source is the node that is followed.
type source struct {
	member Member
	since  time.Time
	spoken bool
	fresh  bool // whether its tables were not old when it spoke last, and not told by this node itself
}

// New returns a node's state.
func New(self Member, config Config, rng *rand.Rand) *State {
	return &State{self: self, config: config, rng: rng, followers: map[vaneyoke.VMID]int{}}
}

// Handle takes in an event and returns what has to be done.
func (s *State) Handle(now time.Time, event Event) []Effect {
	s.effects = nil
	held := s.held
	switch e := event.(type) {
	case Started:
		s.started = now
	case MembersUpdated:
		s.setMembers(now, e.Members)
	case StatusReceived:
		s.told(now, e)
	case SourceLost:
		s.lost(now, e)
	case QueryAnswered:
		s.answered(now, e)
	case OfferReceived:
		s.offered(now, e)
	case StoreRead:
		s.take(now, e.Status)
		s.scouted = s.scouting
	case StoreFailed:
		s.scouting, s.scouted = false, false
	case FollowerAdded:
		s.followers[e.VM]++
	case FollowerRemoved:
		s.unfollowed(e.VM)
	case Tick:
	}
	if s.held && !held {
		s.offerAt = now // others may wait for tables, too
	}
	s.decide(now)
	return s.effects
}

// Next returns when the node has to decide anew though nothing has happened.
func (s *State) NextTick(now time.Time) time.Time {
	next := now.Add(s.config.MaxSearchInterval)
	for _, at := range []time.Time{s.retryAt, s.homeAt, s.tryAt, s.offerAt, s.started.Add(s.config.MemberWait), s.leadEnds()} {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	return next
}

// Source returns the node that is followed; ok is false where there is none.
func (s *State) Source() (m Member, ok bool) {
	if s.source == nil {
		return Member{}, false
	}
	return s.source.member, true
}

// Reading returns how the node reads the store.
func (s *State) ReadMode() ReadMode { return s.reading }

// FollowerVMs returns the nodes that follow this one, sorted.
func (s *State) FollowerVMs() []vaneyoke.VMID { return slices.Sorted(maps.Keys(s.followers)) }

// Followers returns how many nodes follow this one.
func (s *State) FollowerCount() int { return len(s.followers) }

// Fresh reports whether the node's tables are not old.
func (s *State) Fresh(now time.Time) bool {
	return s.held && now.Sub(s.confirmed) <= s.config.StaleAfter
}

// Word returns what the node says of its tables.
func (s *State) Status(now time.Time) TableStatus {
	return TableStatus{Age: now.Sub(s.confirmed), Complete: s.held, Reader: s.reader}
}

// decide does whatever the node's present state asks for.
func (s *State) decide(now time.Time) {
	s.judgeAge(now)
	s.chooseSource(now)
	s.seek(now)
	s.chooseReading(now)
	s.offer(now)
}

// judgeAge notes since when the tables are old.
func (s *State) judgeAge(now time.Time) {
	if s.Fresh(now) {
		s.oldSince, s.tries, s.tryAt = time.Time{}, 0, time.Time{}
		return
	}
	if s.oldSince.IsZero() {
		s.oldSince = now
		s.tryAt = now.Add(s.vary(s.config.StaleGrace))
	}
}

func (s *State) setMembers(now time.Time, all []Member) {
	first := s.tree == nil
	s.tree = NewTree(all)
	s.isNew = s.isNew || first && !s.tree.Contains(s.self)
	s.choices = s.tree.Candidates(s.self, s.config.MaxCandidates)
	if first || s.source == nil {
		s.choice, s.retryAt = 0, now
	}
	if s.source != nil && !s.isFirstChoice(s.source.member) && s.homeAt.IsZero() {
		s.homeAt = now.Add(s.vary(s.homePause()))
	}
}

func (s *State) told(now time.Time, e StatusReceived) {
	if s.source == nil || s.source.member.VM != e.From {
		return
	}
	s.take(now, e.Status)
	if !s.source.spoken && s.isFirstChoice(s.source.member) {
		s.homeAt = time.Time{}
	}
	s.source.spoken = true
	s.source.fresh = s.reliable(e.Status)
	s.choice = 0
}

// reliable reports whether tables are not old, and not this node's own.
func (s *State) reliable(w TableStatus) bool {
	return w.Complete && w.Age <= s.config.StaleAfter && w.Reader != s.self.VM
}

// take takes in what is known of the node's tables after others were taken in.
func (s *State) take(now time.Time, w TableStatus) {
	if !w.Complete {
		return
	}
	s.held = true
	if at := now.Add(-w.Age); at.After(s.confirmed) {
		s.confirmed, s.reader = at, w.Reader
	}
}

func (s *State) lost(now time.Time, e SourceLost) {
	if s.source == nil || s.source.member.VM != e.From {
		return
	}
	if s.source.spoken && now.Sub(s.source.since) >= quick {
		s.choice = 0
	}
	s.source = nil
	s.retryAt = now
}

// answered takes in what a node says that was asked: it is followed where its tables are better, or where it is the first choice.
func (s *State) answered(now time.Time, e QueryAnswered) {
	better := s.reliable(e.Status) && !s.Fresh(now) || e.Status.Complete && !s.held
	home := s.isFirstChoice(e.From) && e.Status.Complete && (s.reliable(e.Status) || !s.Fresh(now))
	if better || home {
		s.follow(now, e.From)
	}
}

// offered follows a node that offers better tables, unless another one has just been asked.
func (s *State) offered(now time.Time, e OfferReceived) {
	if s.source != nil && !s.source.spoken && now.Sub(s.source.since) < s.config.StaleGrace || s.source != nil && s.source.member.VM == e.From.VM {
		return
	}
	if s.reliable(e.Status) && !s.Fresh(now) || e.Status.Complete && !s.held {
		s.follow(now, e.From)
	}
}

func (s *State) unfollowed(by vaneyoke.VMID) {
	if s.followers[by]--; s.followers[by] <= 0 {
		delete(s.followers, by)
	}
}

func (s *State) isFirstChoice(m Member) bool { return len(s.choices) > 0 && s.choices[0].VM == m.VM }

// homePause returns the time after which the first choice is asked again: soon where what is followed is no better.
func (s *State) homePause() time.Duration {
	if s.source != nil && s.source.fresh {
		return s.config.FailbackInterval
	}
	return s.config.StaleGrace
}

// vary spreads a pause by a quarter either way, so that nodes do not act as one.
func (s *State) vary(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d)/2+1))
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }
