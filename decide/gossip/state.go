package gossip

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	gather    = 10 * time.Millisecond  // in which sightings come together before they are told
	mostTold  = 16                     // sightings in one message, which has to fit into a datagram
	mostKept  = 64                     // sightings that wait to be told; what comes beyond is left out
	mostHops  = 16                     // more levels than the tree has up and down, in case it is turned round meanwhile
	remember  = 5 * time.Second        // for which a sighting is known again
	fresh     = time.Second            // for which a failure counts
	pauseLost = 100 * time.Millisecond // between two sightings of a kind of an upstream that a node tells
	pauseRest = 300 * time.Millisecond
	witnesses = 2           // nodes that must have found an upstream unreachable before it is believed: one may be cut off itself
	tidyEvery = time.Second // between two looks for what can be forgotten
	// serving is the time without any answer after which a node tells nothing: it may be cut off itself.
	serving = 2 * time.Second
)

// State is what a node knows of sightings.
type State struct {
	self       vaneyoke.VMID
	neighbours []vaneyoke.VMID
	number     uint64
	answeredAt time.Time // by any upstream
	known      map[key]time.Time
	toldAt     map[matter]time.Time
	failures   map[vaneyoke.UpstreamID]map[vaneyoke.VMID]time.Time // by who saw them
	outbox     []waiting
	flushAt    time.Time // the zero time where nothing waits
	tidiedAt   time.Time
	effects    []Effect
}

type key struct {
	origin vaneyoke.VMID
	number uint64
}

// matter is what a node tells no more often than its pause allows.
type matter struct {
	upstream vaneyoke.UpstreamID
	kind     Kind
	run      Run
}

type waiting struct {
	from     vaneyoke.VMID
	sighting Sighting
}

// New returns a state that has seen nothing; a later start of the node begins with a higher number, so that what it tells is not taken
// for what an earlier one told.
func New(self vaneyoke.VMID, first uint64) *State {
	return &State{self: self, number: first, known: map[key]time.Time{}, toldAt: map[matter]time.Time{}, failures: map[vaneyoke.UpstreamID]map[vaneyoke.VMID]time.Time{}}
}

// Next returns when Tick is due, the zero time for not at all.
func (s *State) NextTick() time.Time { return s.flushAt }

// Handle takes in an event and returns what has to be done; the slice is valid until the next call.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case NeighboursUpdated:
		s.neighbours = ev.VMs
	case Observed:
		s.seen(now, ev)
	case SightingsReceived:
		for _, sighting := range ev.Sightings {
			s.told(now, ev.From, sighting)
		}
	case Tick:
		s.flush(now)
	}
	return s.effects
}

// seen tells what this node saw, unless it has told the same a moment ago. That an upstream answers is told only where another
// node has seen it fail.
func (s *State) seen(now time.Time, ev Observed) {
	pause := pauseRest
	switch ev.Kind {
	case KindHealthy:
		s.answeredAt = now
		if s.witnesses(now, ev.Upstream) == 0 {
			return
		}
		delete(s.failures, ev.Upstream)
	case KindCrash, KindSurvived:
	case KindLost:
		pause = pauseLost
		s.fail(now, ev.Upstream, s.self)
	default:
		s.fail(now, ev.Upstream, s.self)
	}
	if !ev.Kind.AboutContent() && now.Sub(s.answeredAt) > serving {
		return
	}
	what := matter{ev.Upstream, ev.Kind, ev.Run}
	if now.Sub(s.toldAt[what]) < pause {
		return
	}
	s.toldAt[what] = now
	s.number++
	sighting := Sighting{Origin: s.self, Sequence: s.number, Upstream: ev.Upstream, Kind: ev.Kind, Run: ev.Run}
	s.known[key{s.self, s.number}] = now
	s.keep(now, s.self, sighting)
}

// told takes in what another node tells, and tells it on once.
func (s *State) told(now time.Time, from vaneyoke.VMID, sighting Sighting) {
	k := key{sighting.Origin, sighting.Sequence}
	if _, ok := s.known[k]; ok || sighting.Origin == s.self || sighting.Hops >= mostHops || !sighting.Valid() {
		return
	}
	s.known[k] = now
	sighting.Hops++
	s.keep(now, from, sighting)
	switch sighting.Kind {
	case KindCrash, KindSurvived:
	case KindHealthy:
		delete(s.failures, sighting.Upstream)
	case KindUnreachable:
		s.fail(now, sighting.Upstream, sighting.Origin)
		if s.witnesses(now, sighting.Upstream) < witnesses {
			return
		}
	default:
		s.fail(now, sighting.Upstream, sighting.Origin)
	}
	s.effects = append(s.effects, ApplySighting{Sighting: sighting})
}

func (s *State) fail(now time.Time, upstream vaneyoke.UpstreamID, origin vaneyoke.VMID) {
	if s.failures[upstream] == nil {
		s.failures[upstream] = map[vaneyoke.VMID]time.Time{}
	}
	s.failures[upstream][origin] = now
}

// witnesses returns how many nodes have seen an upstream fail of late.
func (s *State) witnesses(now time.Time, upstream vaneyoke.UpstreamID) (n int) {
	for _, at := range s.failures[upstream] {
		if now.Sub(at) < fresh {
			n++
		}
	}
	return n
}

func (s *State) keep(now time.Time, from vaneyoke.VMID, sighting Sighting) {
	most := mostKept
	if sighting.Kind.AboutContent() { // few, and each counts
		most *= 2
	}
	if len(s.outbox) >= most || len(s.neighbours) == 0 {
		return
	}
	s.outbox = append(s.outbox, waiting{from, sighting})
	if s.flushAt.IsZero() {
		s.flushAt = now.Add(gather)
	}
}

// flush tells each neighbour what it did not tell itself, and forgets what is old.
func (s *State) flush(now time.Time) {
	for _, to := range s.neighbours {
		var sightings []Sighting
		for _, w := range s.outbox {
			if w.from != to {
				sightings = append(sightings, w.sighting)
			}
		}
		for len(sightings) > 0 {
			n := min(len(sightings), mostTold)
			s.effects = append(s.effects, SendSightings{To: to, Sightings: sightings[:n]})
			sightings = sightings[n:]
		}
	}
	s.outbox, s.flushAt = nil, time.Time{}
	if now.Sub(s.tidiedAt) >= tidyEvery {
		s.tidiedAt = now
		s.forget(now)
	}
}

func (s *State) forget(now time.Time) {
	for k, at := range s.known {
		if now.Sub(at) > remember {
			delete(s.known, k)
		}
	}
	for what, at := range s.toldAt {
		if now.Sub(at) > remember {
			delete(s.toldAt, what)
		}
	}
	for upstream := range s.failures {
		if s.witnesses(now, upstream) == 0 {
			delete(s.failures, upstream)
		}
	}
}
