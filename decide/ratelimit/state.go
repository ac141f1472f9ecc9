package ratelimit

import (
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	keepers     = 3 // nodes that give an upstream's permits
	nextKeepers = 2 // nodes of its data centre, and of others, that are looked after because they would follow
	nearKeepers = 2 // of them in its data centre, where there are others, since a data centre's nodes fall together

	// trialRate is what an upstream is sent at the least that takes less, since only its answers tell that its limit has ended.
	trialRate vaneyoke.PerSecond = 0.1

	askNext       = 25 * time.Millisecond  // after which another keeper is asked beside one that has not answered, at the soonest: some times what an answer takes within a region
	longestAsk    = 150 * time.Millisecond // longest wait for a keeper's answer: twice what one takes between regions
	firstWait     = 50 * time.Millisecond  // the wait where nothing is known of answers from its data centre
	shortestAsk   = 10 * time.Millisecond  // the shortest: nodes share their processors with others
	patientFactor = 3                      // times what a keeper's answers take that one is waited for
	paceFades     = 8                      // part of the difference by which what answers take is forgotten with each quicker one
	mostMissed    = 2                      // answers in a row that may be missed before a keeper is left aside
	permitLasts   = 300 * time.Millisecond // after a permit was asked for, in which it can be used: the keeper counts it as used then
	silentFor     = time.Second            // for which a keeper is not asked that has not answered
	goneAfter     = 10 * time.Second       // without an answer after which a keeper is taken for gone, if it takes no connections: more than nodes are frozen or cut off for
	pingEvery     = 2 * time.Second        // between two looks whether the other keepers are there
	wantedOfLate  = 5 * time.Second        // for which a keeper that is asked for permits looks after the others
	takeOver      = time.Second            // after a change of the members, in which a new keeper gives nothing: the one before gives until it hears of it
	notKeeper     = 250 * time.Millisecond // after which a node is asked again that does not take itself for a keeper
	longestTurn   = 5 * time.Second        // longest time that anyone is told to wait
	shortestWait  = 5 * time.Millisecond   // before a keeper is asked again

	gather       = 10 * time.Millisecond  // in which notices come together before they are told
	tellPause    = 100 * time.Millisecond // between two datagrams to a neighbour
	changePause  = 250 * time.Millisecond // between two times that the keepers of an upstream are told of another rate
	tellTimes    = 3                      // that a neighbour is told of a limit
	mostTold     = 10                     // notices in one datagram
	mostKnown    = 4096                   // limits that are kept in memory
	oldestNotice = time.Hour              // age that a notice has at the most
	holdUnlisted = 30 * time.Second       // for which a limit is kept whose upstream is not listed
	tidyEvery    = 5 * time.Second

	nearShare   = 0.25                   // share of a rate by which the one in the store may differ
	reviewEvery = 500 * time.Millisecond // between two looks whether the store holds what it should, while it does not
	standIn     = 700 * time.Millisecond // after which the next keeper writes what the one before has not
	writePause  = 2 * time.Second        // between two writes of a node for an upstream
)

// State is what a node knows of the limits that upstreams name, and the permits that it gives and wants.
type State struct {
	self       vaneyoke.VMID
	dataCentre vaneyoke.DataCentreID
	rng        *rand.Rand

	members    []Member                       // that keep limits
	fleet      int                            // all members
	memberAt   time.Time                      // when members were known first
	membersAt  time.Time                      // and last
	list       []vaneyoke.Upstream            // of upstreams, which is not changed
	index      map[vaneyoke.UpstreamID]listed // of the list; nil while nobody has looked anything up
	known      map[vaneyoke.UpstreamID]*known
	neighbours []vaneyoke.VMID
	outboxes   []*outbox // of those of them whose builds keep limits
	tellAt     time.Time // the zero time where nothing is to be told
	toldAt     time.Time

	wants            []*want
	questions        map[uint64]*question
	number           uint64 // of the last question
	paces            map[vaneyoke.VMID]*pace
	pingAt, pingedAt time.Time                               // when the next pings are due, the zero time for not at all, and when the last ones were sent
	took             map[vaneyoke.DataCentreID]time.Duration // of answers of late, by the keeper's data centre

	records  map[vaneyoke.UpstreamID]*record
	reviewAt time.Time // the zero time where the store holds what it should

	tidiedAt time.Time
	effects  []Effect
}

// New returns the state of a node that knows of no limit.
func New(self vaneyoke.VMID, dataCentre vaneyoke.DataCentreID, rng *rand.Rand) *State {
	return &State{
		self: self, dataCentre: dataCentre, rng: rng, number: rng.Uint64N(1 << 40),
		known: map[vaneyoke.UpstreamID]*known{}, questions: map[uint64]*question{}, paces: map[vaneyoke.VMID]*pace{},
		records: map[vaneyoke.UpstreamID]*record{}, took: map[vaneyoke.DataCentreID]time.Duration{},
	}
}

// Handle takes in an event and returns what has to be done; the slice is valid until the next call.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case Members:
		s.setMembers(now, ev.All)
	case Neighbours:
		s.setNeighbours(now, ev.VMs)
	case Upstreams:
		s.setUpstreams(now, ev.All)
	case Answered:
		s.answered(now, ev)
	case Told:
		s.told(now, ev)
	case Asked:
		s.asked(now, ev)
	case Replied:
		s.replied(now, ev)
	case Want:
		s.wanted(now, ev)
	case Recorded:
		s.recorded(now, ev.Rows)
	case Tick:
	}
	s.seek(now)
	s.tell(now)
	s.tidy(now)
	s.review(now)
	s.ping(now)
	return s.effects
}

// Next returns when Tick is due, the zero time for not at all.
func (s *State) Next() time.Time {
	next := soonest(soonest(s.tellAt, s.reviewAt), s.pingAt)
	for _, w := range s.wants {
		next = soonest(next, w.nextAt)
	}
	for _, q := range s.questions {
		if !q.late {
			next = soonest(next, q.endAt)
		}
	}
	return next
}

// soonest returns the earlier of two times, of which the zero time is none.
func soonest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Limited reports whether an upstream names a limit.
func (s *State) Limited(upstream vaneyoke.UpstreamID) bool { return s.limitOf(upstream).Declared }

func (s *State) do(e Effect) { s.effects = append(s.effects, e) }
