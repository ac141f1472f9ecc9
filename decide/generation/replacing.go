package generation

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// replaceRun asks for an upstream to take over from a run that is silent or whose upstream is not reached. The run goes on until one has taken it (make
// before break): its upstream may only pause, and while nobody else takes the answer, nothing is gained by ending it.
func (s *State) replaceRun(now time.Time, r *run, cause Cause) {
	s.recordPace(r)
	if !s.cfg.Repeatable || len(s.runs) > 1 || s.isUnreachableForLong(now, r, cause) {
		s.loseRun(now, r, cause)
		return
	}
	if s.exhausted(now) || s.isReplacementLate(now, r) {
		s.cannotReplace(now, r, cause)
		return
	}
	r.givenUpFor = cause
	r.successor = s.lastAttempt + 1
	if !slices.Contains(s.avoid, r.upstream) {
		s.avoid = append(s.avoid, r.upstream)
	}
	s.updateReplicaHolder(r, cause)
	s.emit(Suspect{Attempt: r.attempt, Upstream: r.upstream, Cause: cause})
	s.place(now, 0, s.possibleArrivals > 0)
}

// cannotReplace decides what becomes of a run that cannot be replaced.
func (s *State) cannotReplace(now time.Time, r *run, cause Cause) {
	isUnreached := cause == CauseUnreachable && s.answer.Len() == 0
	switch {
	case !s.cfg.Opaque, isUnreached && !s.exhausted(now):
		s.loseRun(now, r, cause)
	case isUnreached: // the next probe decides
	default:
		s.keep(r)
	}
}

// unreachablePatience is how long a run without an answer is waited for whose upstream is not reached and which nobody else takes over. It covers a pause
// of the upstream. An answer that has begun is waited for until the run's own connection fails.
const unreachablePatience = 1500 * time.Millisecond

// isUnreachableForLong records that a run's upstream is not reached, and reports whether its run is not waited for any longer.
func (s *State) isUnreachableForLong(now time.Time, r *run, cause Cause) bool {
	if cause != CauseUnreachable || s.answer.Len() > 0 {
		return false
	}
	if r.unreachableSince.IsZero() {
		r.unreachableSince = now
	}
	return now.Sub(r.unreachableSince) >= unreachablePatience
}

// isReplacementLate reports whether a replacement of a run cannot end before the deadline.
func (s *State) isReplacementLate(now time.Time, r *run) bool {
	fromReplica := r.replica != "" && r.stage == stageStreaming
	w := s.expectedWork(fromReplica)
	reason := s.lateness(now, w)
	if reason == 0 {
		return false
	}
	s.notBegun(now, s.lastAttempt+1, reason, w, fromReplica)
	return true
}

// keep has a run be waited for until the deadline.
func (s *State) keep(r *run) {
	r.kept = true
	r.endReplacement()
	r.resetQueries()
}

// replacedBy returns the live run that an attempt is to replace, nil if there is none.
func (s *State) replacedBy(attempt vaneyoke.Attempt) *run {
	return s.runWhere(func(r *run) bool { return r.successor == attempt })
}

// handoverOverlap is how long a run goes on after its successor was sent, which may be declined. Both may work for so long, which is less than callers and
// upstreams allow.
const handoverOverlap = 200 * time.Millisecond

// sent has the run that an attempt replaces end soon.
func (s *State) sent(now time.Time, ev Sent) {
	r := s.findRun(ev.Attempt)
	if r == nil {
		return
	}
	r.connecting = false
	if old := s.replacedBy(ev.Attempt); old != nil {
		old.handoverAt = now.Add(handoverOverlap)
	}
}

// endReplacement records that a run has no successor.
func (r *run) endReplacement() { r.successor, r.givenUpFor, r.handoverAt = 0, 0, time.Time{} }

// breakReplaced ends the run that an attempt replaces.
func (s *State) breakReplaced(attempt vaneyoke.Attempt) {
	r := s.replacedBy(attempt)
	if r == nil {
		return
	}
	old := *r
	cause := old.lossCause(old.givenUpFor)
	s.cancel(r, cause.mayHaveRun(), cause)
	s.removeRun(old.attempt)
	s.countLoss(&old, cause)
	s.consecutiveLosses++
}

// keepReplaced removes an attempt that is not begun, and keeps the run that it was to replace; ok is false if there is none.
func (s *State) keepReplaced(attempt vaneyoke.Attempt) (ok bool) {
	if s.replacedBy(attempt) == nil {
		return false
	}
	s.removeRun(attempt)
	s.keep(s.replacedBy(attempt))
	return true
}

// forgetReplica records that the replica of a run which was to be replaced is used up, as its replacement was to continue from it.
func (s *State) forgetReplica(lost *run) {
	if r := s.replacedBy(lost.attempt); r != nil && lost.fromReplica {
		r.replica = ""
	}
}

// replacementRefused goes on with a run whose replacement was not placed, did not reach its upstream, or was lost. Another one is asked for later, unless none can
// be had.
func (s *State) replacementRefused(now time.Time, ev NotPlaced) {
	r := s.replacedBy(ev.Attempt)
	if r == nil {
		return
	}
	if ev.Code == vaneyoke.CodeQuarantined || ev.Code.IsFinal() {
		s.keep(r)
		return
	}
	r.endReplacement()
	r.resetQueries()
	r.refusals++
	delay := s.jittered(min(s.cfg.Backoff.Base<<min(r.refusals, maxBackoffShift), s.silenceLimit(r)))
	if hasRetryAfter(ev.Code) {
		delay = max(delay, ev.RetryAfter)
	}
	r.waitUntil = now.Add(delay)
}
