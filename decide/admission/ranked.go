package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke/decide/share"
)

// handleAssessed processes the result of an assessment.
func (s *State) handleAssessed(now time.Time, ev Assessed) {
	e := s.entries[ev.ID]
	switch {
	case e == nil:
	case e.queue.mode == ModePassive:
		s.handlePassive(now, e, ev.Room)
	case e.queue.assessed == e:
		s.handleRanked(now, e, ev.Room)
	}
}

// handleRanked admits the assessed request if there is room that it may take, and goes on with the next one.
func (s *State) handleRanked(now time.Time, e *entry, room Room) {
	q := e.queue
	e.room, e.checked, q.assessed = room, true, nil
	q.notePrefill(e)
	q.blocked, q.skipAged = q.blocked && !room.Free, false
	first := q.first(now)
	switch {
	case first.Urgency < e.Urgency: // arrived while this one was assessed
		s.assessHead(now, q)
	case room.Free && len(q.entries) > 1 && e.cannotFinish(now):
		s.reject(now, e, ReasonHopeless)
		s.continueQueue(now, q)
	case room.Free && (room.Idle || !s.leavesRoom(now, e)):
		s.admitCapped(now, e, false)
		s.continueQueue(now, q)
	default:
		s.waitForRoom(now, e, first)
	}
}

// waitForRoom handles that an assessed request was not admitted. If it is late and the first in order is not, that one is assessed at once.
func (s *State) waitForRoom(now time.Time, e, first *entry) {
	q := e.queue
	q.blocked = true
	q.skipAged = first != e && q.isLate(now, e) && !q.isLate(now, first)
	if q.stale || q.skipAged {
		s.assessHead(now, q)
		return
	}
	q.due = now.Add(q.intervalOf(now))
}

// admitCapped admits a request that has reached the head of its queue, unless a cap excludes it by now.
func (s *State) admitCapped(now time.Time, e *entry, forced bool) {
	if !s.passCaps(now, e) {
		s.reject(now, e, ReasonCapped)
		return
	}
	s.admit(now, e, forced)
}

// leavesRoom reports whether a request leaves room to others that wait at any node, unless it has an upstream to itself.
func (s *State) leavesRoom(now time.Time, e *entry) bool {
	return s.isMoreUrgentWaiting(now, e.queue, e.Urgency) || s.yields(now, e) || s.yieldsAsLate(now, e)
}

// isMoreUrgentWaiting reports whether more urgent requests for a service wait at any node, or were rejected for load, as far as this node has
// heard lately.
func (s *State) isMoreUrgentWaiting(now time.Time, q *queue, than share.Urgency) bool {
	return s.hasFreshTotals(now) && s.totals.MoreUrgentWaits(q.service, than)
}

// yieldsAsLate reports whether a request that is late leaves room to requests that can still be in time and wait at any node.
func (s *State) yieldsAsLate(now time.Time, e *entry) bool {
	return e.queue.isLate(now, e) && s.hasFreshTotals(now) && s.totals.WaitsInTime(e.Service, e.Urgency)
}

func (s *State) hasFreshTotals(now time.Time) bool {
	return s.totals.Fresh(now)
}

// setTotals records the demand of the fleet, which determines the charges and may allow further admissions.
func (s *State) setTotals(now time.Time, totals share.Totals) {
	s.totals = totals
	for _, q := range s.queues {
		for _, e := range q.entries {
			e.charge = s.chargeOf(now, e)
		}
		q.fair.retagAll(q.entries)
		s.runEnded(now, q)
	}
}

// runEnded assesses the head of a queue, since there may be room now. If all that waits is late, it is left to the next interval: a node without runs
// of its own hears of no room, and what waits there in time would lose to late requests each time.
func (s *State) runEnded(now time.Time, q *queue) {
	if q.mode != ModeRanked || len(q.entries) == 0 || q.isLate(now, q.first(now)) {
		return
	}
	if q.assessed != nil {
		q.stale = true
		return
	}
	s.assessHead(now, q)
}

// continueQueue assesses the head of a queue unless an assessment is under way or the last one found no room and is up to date.
func (s *State) continueQueue(now time.Time, q *queue) {
	if q.mode == ModeRanked && q.assessed == nil && (!q.blocked || q.stale) && len(q.entries) > 0 {
		s.assessHead(now, q)
	}
}

// assessHead starts an assessment of the first request of a queue.
func (s *State) assessHead(now time.Time, q *queue) {
	e := q.head(now)
	q.assessed, q.stale = e, false
	q.due = now.Add(assessmentTimeout)
	s.emit(Assess{ID: e.ID})
}

// tickRanked rejects the requests of a queue that cannot be served any more, and assesses its head if that is due.
func (s *State) tickRanked(now time.Time, q *queue) {
	if q.due.IsZero() || q.due.After(now) {
		return
	}
	q.assessed = nil
	s.rejectHopeless(now, q)
	if len(q.entries) > 0 && q.assessed == nil {
		s.assessHead(now, q)
	}
}

// boundQueues rejects the requests that lose least while more wait than may.
func (s *State) boundQueues(now time.Time) {
	for s.isOverBound() {
		var last *entry
		for _, q := range s.queues {
			if q.mode != ModeRanked || len(q.entries) == 0 {
				continue
			}
			if e := slices.MaxFunc(q.entries, func(a, b *entry) int { return q.compare(now, a, b) }); last == nil || losesLess(now, e, last) {
				last = e
			}
		}
		s.reject(now, last, ReasonQueueFull)
		s.continueQueue(now, last.queue)
	}
}

func (s *State) isOverBound() bool {
	requests, bytes := 0, 0
	for _, q := range s.queues {
		if q.mode == ModeRanked {
			requests += len(q.entries)
			bytes += q.bytes
		}
	}
	return requests > s.config.MaxQueued || bytes > s.config.MaxBytes
}

// losesLess reports whether the rejection of a costs less than that of b, where each is the last one of its service.
func losesLess(now time.Time, a, b *entry) bool {
	return cmp.Or(
		cmp.Compare(a.Urgency, b.Urgency),
		compareBool(a.isEarly(), b.isEarly()),
		compareBool(a.queue.isLate(now, a), b.queue.isLate(now, b)),
		cmp.Compare(len(a.queue.entries), len(b.queue.entries)),
	) > 0
}
