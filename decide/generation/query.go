package generation

import (
	"math"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	// maxAheadReports is how many reports in a row may say that the upstream has produced chunks that did not arrive before the
	// connection counts as dead. A single one may only mean that chunks are still in flight.
	maxAheadReports = 2
	// stallFactor is how many event interval goals a run may stall, on an upstream that reports working on it, before it continues
	// elsewhere. Without a replica it may stall for as many expected TTFTs on top, since moving it costs another prefill.
	stallFactor = 2
)

// queryRun asks the upstream for the state of the run. Each query extends the run's silence limit by its initial length, also if the node was held up.
func (s *State) queryRun(now time.Time, r *run) {
	r.queries++
	r.queriedAt = now
	s.emit(QueryRun{Attempt: r.attempt, Upstream: r.upstream, SilentFor: now.Sub(r.lastActivity()), HasOutput: r.gaps.count > 0})
}

// shouldQuery reports whether the upstream of a silent run is queried before the run is given up.
func (s *State) shouldQuery(r *run) bool {
	limit := s.cfg.MaxRunQueries
	if r.gaps.count > 0 && limit > 0 {
		limit = math.MaxInt
	}
	return r.queries < limit || (s.cfg.KeepLastAttempt && s.attemptsLeft() == 1)
}

// runReported gives up a run that its upstream is not working on. It keeps waiting for one that is being worked on: a second attempt
// would repeat the work on another upstream and slow down what runs there.
func (s *State) runReported(now time.Time, ev RunReported) {
	r := s.findRun(ev.Attempt)
	if r == nil || r.stage == stagePlacing || r.queries == 0 || r.successor != 0 { // a chunk has arrived since the query
		return
	}
	if s.keepWaiting(now, r, ev) {
		return
	}
	s.stats.Suspected++
	s.replaceRun(now, r, CauseSilent)
}

// keepWaiting reports whether to keep waiting for a silent run, given its upstream's report.
func (s *State) keepWaiting(now time.Time, r *run, ev RunReported) bool {
	if r.gaps.count == 0 {
		return ev.State >= vaneyoke.RunStateQueued
	}
	silent := now.Sub(r.gaps.last)
	switch ev.State {
	case vaneyoke.RunStateUnknown:
		return false
	case vaneyoke.RunStateNone: // conclusive only once the report must be newer than the last chunk
		return silent < s.cfg.EventIntervalGoal
	case vaneyoke.RunStateQueued: // likewise; the run may have been requeued there and need a second prefill
		return silent < s.cfg.EventIntervalGoal || (r.replica == "" && silent < s.stallLimit(r))
	default:
		return s.withinStallLimit(silent, r, ev)
	}
}

// withinStallLimit reports whether to keep waiting for a run that its upstream is working on.
func (s *State) withinStallLimit(silent time.Duration, r *run, ev RunReported) bool {
	if ev.Produced > s.answer.Len() { // chunks were produced that did not arrive: the connection may be dead
		r.aheadReports++
		return r.aheadReports < maxAheadReports
	}
	r.aheadReports = 0
	return silent < s.stallLimit(r)
}

// stallLimit returns how long a run that its upstream is working on may be silent. It is longer without a replica, since moving the run
// then costs a second prefill, for which the caller waits as well.
func (s *State) stallLimit(r *run) time.Duration {
	if s.cfg.KeepLastAttempt && s.attemptsLeft() <= 1 { // there may be no other upstream left to continue the answer
		return s.cfg.MaxWait
	}
	limit := stallFactor * s.cfg.EventIntervalGoal
	if r.replica != "" {
		return limit
	}
	if r.expectedTTFT > 0 {
		return limit + stallFactor*r.expectedTTFT
	}
	return limit + stallFactor*s.cfg.Silence.FirstToken
}

// lastActivity returns when the last batch arrived, or when the run was placed if none has.
func (r *run) lastActivity() time.Time {
	if r.gaps.count == 0 {
		return r.placedAt
	}
	return r.gaps.last
}

// resetQueries clears the query counters.
func (r *run) resetQueries() { r.queries, r.aheadReports = 0, 0 }

// recover records that a run is not silent any more.
func (r *run) recover() {
	r.resetQueries()
	r.suspect, r.kept = false, false
	r.endReplacement()
	r.refusals, r.waitUntil = 0, time.Time{}
}
