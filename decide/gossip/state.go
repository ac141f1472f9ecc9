package gossip

import (
	"maps"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	batchDelay      = 10 * time.Millisecond  // for which sightings are collected before they are sent
	maxBatch        = 16                     // sightings in one message, which has to fit into a datagram
	maxQueued       = 64                     // sightings that wait to be sent; further ones are dropped
	maxHops         = 16                     // more than the levels of the tree up and down, in case the tree changes meanwhile
	dedupWindow     = 5 * time.Second        // for which a sighting is remembered, to drop duplicates
	failureWindow   = time.Second            // for which a failure counts
	lostInterval    = 100 * time.Millisecond // between two reports about an upstream, for KindLost
	reportInterval  = 300 * time.Millisecond // the same for each other kind
	leavingInterval = time.Second            // the same for KindLeaving, which holds an upstream back for longer
	pacedInterval   = 2 * time.Second        // the same for KindPaced
	minWitnesses    = 2                      // nodes that must have found an upstream unreachable before it is believed: a single one may be cut off itself
	cleanupInterval = time.Second            // between two removals of expired entries
	// isolationTimeout is the time without an answer from any upstream after which a node reports nothing: it may be cut off
	// itself.
	isolationTimeout = 2 * time.Second
)

// State tracks the sightings that a node knows.
type State struct {
	self       vaneyoke.VMID
	neighbours []vaneyoke.VMID
	sequence   uint64
	answeredAt time.Time // last answer of any upstream
	seen       map[sightingID]time.Time
	reportedAt map[reportKey]time.Time
	failures   map[vaneyoke.UpstreamID]map[vaneyoke.VMID]time.Time // by the node that observed them
	leaving    map[reportKey]map[vaneyoke.VMID]time.Time           // shutdowns, by the first minWitnesses nodes that reported them
	outbox     []queuedSighting
	flushAt    time.Time // zero while nothing is queued
	cleanedAt  time.Time
	effects    []Effect
}

type sightingID struct {
	origin   vaneyoke.VMID
	sequence uint64
}

// reportKey identifies what a node reports no more often than the interval of its kind allows.
type reportKey struct {
	upstream vaneyoke.UpstreamID
	kind     Kind
	run      Run
}

type queuedSighting struct {
	from     vaneyoke.VMID
	sighting Sighting
}

// New returns a state without sightings. A later start of the node needs a higher firstSequence, so that its sightings are not
// taken for duplicates of those of an earlier start.
func New(self vaneyoke.VMID, firstSequence uint64) *State {
	return &State{
		self: self, sequence: firstSequence, seen: map[sightingID]time.Time{}, reportedAt: map[reportKey]time.Time{},
		failures: map[vaneyoke.UpstreamID]map[vaneyoke.VMID]time.Time{}, leaving: map[reportKey]map[vaneyoke.VMID]time.Time{},
	}
}

// NextTick returns when Tick is due; zero if it is not.
func (s *State) NextTick() time.Time { return s.flushAt }

// Handle processes an event and returns the actions to take; the slice is valid until the next call.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = s.effects[:0]
	if now.Sub(s.cleanedAt) >= cleanupInterval {
		s.cleanedAt = now
		s.removeExpired(now)
	}
	switch ev := ev.(type) {
	case NeighboursUpdated:
		s.neighbours = ev.VMs
	case Observed:
		s.handleObserved(now, ev)
	case SightingsReceived:
		for _, sighting := range ev.Sightings {
			s.handleReceived(now, ev.From, sighting)
		}
	case Tick:
		s.flush()
	}
	return s.effects
}

// handleObserved reports what this node observed, unless it has just reported the same. That an upstream answers is reported
// only if a node has recently seen it fail.
func (s *State) handleObserved(now time.Time, ev Observed) {
	interval := reportInterval
	switch ev.Kind {
	case KindHealthy:
		s.answeredAt = now
		if s.recentWitnesses(now, ev.Upstream) == 0 {
			return
		}
		delete(s.failures, ev.Upstream)
	case KindCrash, KindSurvived:
	case KindLeaving:
		interval = leavingInterval
		s.answeredAt = now
		if !s.recordLeaving(now, reportKey{ev.Upstream, ev.Kind, ev.Run}, s.self) {
			return
		}
	case KindPaced:
		interval = pacedInterval
	case KindLost:
		interval = lostInterval
		s.recordFailure(now, ev.Upstream, s.self)
	default:
		s.recordFailure(now, ev.Upstream, s.self)
	}
	if !ev.Kind.AboutContent() && now.Sub(s.answeredAt) > isolationTimeout {
		return
	}
	key := reportKey{ev.Upstream, ev.Kind, ev.Run}
	if now.Sub(s.reportedAt[key]) < interval {
		return
	}
	s.reportedAt[key] = now
	s.sequence++
	sighting := Sighting{Origin: s.self, Sequence: s.sequence, Upstream: ev.Upstream, Kind: ev.Kind, Run: ev.Run, Factor: ev.Factor, Since: ev.Since}
	s.seen[sightingID{s.self, s.sequence}] = now
	s.enqueue(now, s.self, sighting)
}

// handleReceived processes a sighting of another node, and forwards it once.
func (s *State) handleReceived(now time.Time, from vaneyoke.VMID, sighting Sighting) {
	id := sightingID{sighting.Origin, sighting.Sequence}
	if _, ok := s.seen[id]; ok || sighting.Origin == s.self || sighting.Hops >= maxHops || !sighting.Valid() {
		return
	}
	s.seen[id] = now
	if sighting.Kind == KindLeaving && !s.recordLeaving(now, reportKey{sighting.Upstream, sighting.Kind, sighting.Run}, sighting.Origin) {
		return
	}
	sighting.Hops++
	s.enqueue(now, from, sighting)
	switch sighting.Kind {
	case KindCrash, KindSurvived, KindLeaving, KindPaced:
	case KindHealthy:
		delete(s.failures, sighting.Upstream)
	case KindUnreachable:
		s.recordFailure(now, sighting.Upstream, sighting.Origin)
		if s.recentWitnesses(now, sighting.Upstream) < minWitnesses {
			return
		}
	default:
		s.recordFailure(now, sighting.Upstream, sighting.Origin)
	}
	s.effects = append(s.effects, ApplySighting{Sighting: sighting})
}

// recordLeaving records that a node reported a shutdown, and returns false if minWitnesses others have just done so: of all the nodes that an
// upstream answers, only the first ones are forwarded, so that the traffic does not grow with the fleet.
func (s *State) recordLeaving(now time.Time, key reportKey, origin vaneyoke.VMID) bool {
	reporters := s.leaving[key]
	if reporters == nil {
		reporters = map[vaneyoke.VMID]time.Time{}
		s.leaving[key] = reporters
	}
	if _, ok := reporters[origin]; !ok && len(reporters) >= minWitnesses {
		return false
	}
	reporters[origin] = now
	return true
}

func (s *State) recordFailure(now time.Time, upstream vaneyoke.UpstreamID, origin vaneyoke.VMID) {
	if s.failures[upstream] == nil {
		s.failures[upstream] = map[vaneyoke.VMID]time.Time{}
	}
	s.failures[upstream][origin] = now
}

// recentWitnesses returns how many nodes have recently seen an upstream fail.
func (s *State) recentWitnesses(now time.Time, upstream vaneyoke.UpstreamID) (n int) {
	for _, at := range s.failures[upstream] {
		if now.Sub(at) < failureWindow {
			n++
		}
	}
	return n
}

func (s *State) enqueue(now time.Time, from vaneyoke.VMID, sighting Sighting) {
	limit := maxQueued
	switch {
	case sighting.Kind.AboutContent(): // there are few, and each one counts
		limit *= 2
	case sighting.Kind == KindPaced: // failures go first
		limit /= 2
	}
	if len(s.outbox) >= limit || len(s.neighbours) == 0 {
		return
	}
	s.outbox = append(s.outbox, queuedSighting{from, sighting})
	if s.flushAt.IsZero() {
		s.flushAt = now.Add(batchDelay)
	}
}

// flush sends each neighbour the queued sightings that did not come from it.
func (s *State) flush() {
	for _, to := range s.neighbours {
		var sightings []Sighting
		for _, queued := range s.outbox {
			if queued.from != to {
				sightings = append(sightings, queued.sighting)
			}
		}
		for len(sightings) > 0 {
			n := min(len(sightings), maxBatch)
			s.effects = append(s.effects, SendSightings{To: to, Sightings: sightings[:n]})
			sightings = sightings[n:]
		}
	}
	s.outbox, s.flushAt = nil, time.Time{}
}

func (s *State) removeExpired(now time.Time) {
	for id, at := range s.seen {
		if now.Sub(at) > dedupWindow {
			delete(s.seen, id)
		}
	}
	for key, at := range s.reportedAt {
		if now.Sub(at) > dedupWindow {
			delete(s.reportedAt, key)
		}
	}
	for key, reporters := range s.leaving {
		maps.DeleteFunc(reporters, func(_ vaneyoke.VMID, at time.Time) bool { return now.Sub(at) > dedupWindow })
		if len(reporters) == 0 {
			delete(s.leaving, key)
		}
	}
	for upstream := range s.failures {
		if s.recentWitnesses(now, upstream) == 0 {
			delete(s.failures, upstream)
		}
	}
}
