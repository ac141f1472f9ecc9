package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

const (
	maxInterval       = 500 * time.Millisecond // longest time between two assessments
	assessmentTimeout = 2 * time.Second        // an assessment without a result for this long is repeated
)

// Config bounds the queues of a node.
type Config struct {
	MaxQueued int // most requests that wait for services whose mode is ModeRanked, all together
	MaxBytes  int // most memory that they take
}

// State holds the queues of a node, one for each service.
type State struct {
	config  Config
	pacing  *pacing.State
	rng     *rand.Rand
	queues  []*queue // in the order in which their services were first seen
	entries map[vaneyoke.RequestID]*entry
	caps    []capState
	totals  share.Totals
	demands demandCounts
	effects []Effect
}

// queue holds the waiting requests of a service.
type queue struct {
	service  vaneyoke.ServiceID
	mode     Mode
	entries  []*entry // in order of arrival
	bytes    int
	fair     fairQueue
	drain    drainMeter
	due      time.Time // ranked: when the next assessment is due, or the one under way times out; zero if nothing waits
	assessed *entry    // ranked: the request that is being assessed; nil if none is
	stale    bool      // whether another assessment is to follow at once, as a run has ended since or its request has left
	blocked  bool      // whether the last assessment led to no admission
	skipAged bool      // whether the aged request whose turn it is has just been assessed in vain
	inTime   int       // consecutive admissions of requests that could still be in time
	prefill  float64   // expected seconds to the first token for each prompt token, smoothed; 0 if unknown
}

// entry is a waiting request.
type entry struct {
	Request
	queue     *queue
	arrivedAt time.Time
	interval  time.Duration // between two assessments
	charge    float64       // factor by which its tokens count against its workspace
	finish    float64       // virtual finish time

	virtualArrival float64   // virtual time when it arrived
	room           Room      // as last assessed
	checked        bool      // whether it has been assessed
	passedCap      bool      // whether the caps of operators let it pass
	due            time.Time // passive: when its next assessment is due, or the one under way times out
}

// New returns a state without requests, whose services are passive.
func New(config Config, callers *pacing.State, rng *rand.Rand) *State {
	return &State{config: config, pacing: callers, rng: rng, entries: map[vaneyoke.RequestID]*entry{}, demands: demandCounts{}}
}

// Handle processes an event and returns the actions to take; the slice is valid until the next call.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = s.effects[:0]
	for _, q := range s.queues {
		q.drain.advance(now, len(q.entries) > 0)
	}
	if !s.totals.MeasuredAt.IsZero() && !s.hasFreshTotals(now) {
		s.setTotals(now, share.Totals{})
	}
	switch ev := ev.(type) {
	case Arrived:
		s.arrive(now, ev.Request)
	case Left:
		s.leave(now, ev.ID)
	case Assessed:
		s.handleAssessed(now, ev)
	case RunEnded:
		s.runEnded(now, s.queueOf(ev.Service))
	case ModeSet:
		s.setMode(now, s.queueOf(ev.Service), ev.Mode)
	case SharesUpdated:
		s.setTotals(now, ev.Totals)
	case CapsUpdated:
		s.setCaps(now, ev.Caps)
	case Tick:
		s.tick(now)
	}
	return s.effects
}

// NextTick returns when Tick is due; zero if it is not.
func (s *State) NextTick() time.Time {
	var next time.Time
	for _, q := range s.queues {
		if q.mode == ModeRanked {
			next = earlier(next, q.due)
			continue
		}
		for _, e := range q.entries {
			next = earlier(next, e.due)
		}
	}
	return next
}

// earlier returns the earlier of two times; the zero time stands for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// HasRanked reports whether any service is ranked.
func (s *State) HasRanked() bool {
	return slices.ContainsFunc(s.queues, func(q *queue) bool { return q.mode == ModeRanked })
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// queueOf returns the queue of a service, which is created if there is none.
func (s *State) queueOf(service vaneyoke.ServiceID) *queue {
	i := slices.IndexFunc(s.queues, func(q *queue) bool { return q.service == service })
	if i >= 0 {
		return s.queues[i]
	}
	q := &queue{service: service}
	s.queues = append(s.queues, q)
	return q
}

// arrive queues a request, unless a cap or its deadline excludes it.
func (s *State) arrive(now time.Time, r Request) {
	if s.entries[r.ID] != nil {
		return
	}
	if r.Return == pacing.ReturnNone {
		r.Return = s.pacing.Classify(now, arrivalOf(now, r))
	}
	if r.Received.IsZero() {
		r.Received = now
	}
	q := s.queueOf(r.Service)
	e := &entry{Request: r, queue: q, arrivedAt: now, interval: intervalOf(r)}
	s.demands.offer(e)
	s.entries[r.ID] = e
	q.entries = append(q.entries, e)
	q.bytes += r.Bytes
	q.fair.add(e, s.chargeOf(now, e))
	if !s.passCaps(now, e) {
		s.reject(now, e, ReasonCapped)
		return
	}
	if q.mode == ModePassive {
		s.assessPassive(now, e)
		return
	}
	s.boundQueues(now)
	if s.entries[r.ID] == nil {
		return
	}
	if reason := q.hopelessReason(now, e, q.aheadOf(now, e)); reason != 0 {
		s.reject(now, e, reason)
		return
	}
	if q.assessed == nil && (!q.blocked || q.first(now) == e) {
		s.assessHead(now, q)
	}
}

// intervalOf returns the time between two assessments of a request.
func intervalOf(r Request) time.Duration {
	interval, _ := CapacityWait{LatencyGoal: r.Goal.Sub(r.Received)}.NextCheck(0)
	return min(max(interval, 0), maxInterval)
}

// leave removes a request whose caller does not wait any more.
func (s *State) leave(now time.Time, id vaneyoke.RequestID) {
	e := s.entries[id]
	if e == nil {
		return
	}
	s.remove(e)
	e.queue.fair.retag(e.queue.entries, e.Urgency, e.Workspace)
	s.continueQueue(now, e.queue)
}

// remove takes a request out of its queue.
func (s *State) remove(e *entry) {
	q := e.queue
	delete(s.entries, e.ID)
	q.entries = slices.DeleteFunc(q.entries, func(other *entry) bool { return other == e })
	q.bytes -= e.Bytes
	if q.assessed == e {
		q.assessed, q.stale = nil, true
	}
	if len(q.entries) == 0 {
		q.due, q.blocked, q.stale = time.Time{}, false, false
		q.fair = fairQueue{}
	}
}

// admit lets a request be sent.
func (s *State) admit(now time.Time, e *entry, forced bool) {
	q := e.queue
	if q.isLate(now, e) {
		q.inTime = 0
	} else {
		q.inTime++
	}
	q.fair.admitted(e)
	q.drain.admitted(e.Prompt)
	q.blocked = false
	s.demands.admit(e)
	s.remove(e)
	s.emit(Admit{ID: e.ID, Waited: now.Sub(e.arrivedAt), Forced: forced})
}

// reject ends a request, and tells when its caller should come back.
func (s *State) reject(now time.Time, e *entry, reason Reason) {
	q := e.queue
	ahead := q.aheadOf(now, e)
	expected := q.expectedStart(e, ahead)
	s.remove(e)
	q.fair.retag(q.entries, e.Urgency, e.Workspace)
	if reason != ReasonCapped {
		s.demands.reject(e)
	}
	retryAfter := s.pacing.RetryAfter(now, s.rng, pacing.Rejection{
		Service: e.Service, Arrival: arrivalOf(now, e.Request), Urgency: int(e.Urgency), Prompt: e.Prompt, Ahead: ahead, Drain: q.drain.rate(),
	})
	s.emit(Reject{ID: e.ID, Reason: reason, RetryAfter: retryAfter, Waited: now.Sub(e.arrivedAt), Ahead: ahead, Expected: expected})
}

func arrivalOf(now time.Time, r Request) pacing.Arrival {
	remaining := max(r.Deadline.Sub(now), 1) // 0 would mean that the deadline is unknown
	return pacing.Arrival{Route: r.Route, Content: r.Content, Remaining: remaining}
}

// setMode changes how the requests of a service are queued; those that wait are queued in the new mode from now on.
func (s *State) setMode(now time.Time, q *queue, mode Mode) {
	if q.mode == mode {
		return
	}
	q.mode, q.assessed, q.blocked, q.stale, q.due = mode, nil, false, false, time.Time{}
	if mode == ModeRanked {
		s.boundQueues(now)
		s.continueQueue(now, q)
		return
	}
	for _, e := range q.entries { // not all at once
		e.due = now.Add(time.Duration(s.rng.Float64() * float64(e.interval)))
	}
}

// tick starts the assessments that are due.
func (s *State) tick(now time.Time) {
	for _, q := range s.queues {
		if q.mode == ModePassive {
			s.tickPassive(now, q)
		} else {
			s.tickRanked(now, q)
		}
	}
}
