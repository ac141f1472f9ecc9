package generation

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// graceLosses is the number of consecutive losses from which MaxPlacementWait applies even if placement itself did not refuse.
const graceLosses = 3

// NextTick returns when Tick is due, or the zero time if no timer is needed.
func (s *State) NextTick() time.Time {
	due := s.cfg.Deadline
	if at := s.uselessAt(); !at.IsZero() {
		due = at
	}
	for i := range s.runs {
		at := s.nextCheck(&s.runs[i])
		if due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due
}

// tick checks the deadline and the silence of each run.
func (s *State) tick(now time.Time) {
	if !s.cfg.Deadline.IsZero() && !now.Before(s.cfg.Deadline) {
		s.fail(s.deadlineFailure())
		return
	}
	if s.endUseless(now) {
		return
	}
	for _, r := range slices.Clone(s.runs) {
		if s.ended || now.Before(s.nextCheck(&r)) {
			continue
		}
		live := s.findRun(r.attempt)
		switch {
		case live == nil:
		case !live.handoverAt.IsZero():
			s.breakReplaced(live.successor)
		case now.Before(s.silenceDeadline(live)):
			live.probing = true
			s.emit(Probe{Attempt: live.attempt, Upstream: live.upstream})
		default:
			s.handleSilence(now, live)
		}
	}
}

// suspended adds the time that the caller waited during a suspension of the VM. It leaves the silence of runs alone, since the node
// could not have received anything meanwhile.
func (s *State) suspended(now time.Time, d time.Duration) {
	s.lastProgress, s.admittedAt = s.lastProgress.Add(-d), s.admittedAt.Add(-d)
	if !s.cfg.Deadline.IsZero() {
		s.cfg.Deadline = s.cfg.Deadline.Add(-d)
	}
	s.tick(now)
}

// exhausted reports whether no further attempt may start at the given time.
func (s *State) exhausted(at time.Time) bool {
	switch {
	case s.consecutiveLosses > s.cfg.MaxLosses || at.Sub(s.lastProgress) > s.cfg.MaxWait:
		return true
	case s.cfg.MaxAttempts > 0 && s.countedAttempts >= s.cfg.MaxAttempts:
		return true
	case !s.cfg.Deadline.IsZero() && !at.Before(s.cfg.Deadline):
		return true
	case s.lastCode == vaneyoke.CodeOK && s.consecutiveLosses < graceLosses:
		return false // another upstream may accept it immediately
	default:
		return s.cfg.MaxPlacementWait > 0 && !s.MayHaveRun() && at.Sub(s.admittedAt) > s.cfg.MaxPlacementWait
	}
}

// failure returns the failure of this answer, whose code promises that nothing was run only if that is certain.
func (s *State) failure() Fail {
	f := Fail{Code: vaneyoke.CodeUpstream, RetryAfter: s.retryAfter}
	switch {
	case s.answer.Len() > 0:
		f.Code, f.Detail = vaneyoke.CodeInterrupted, s.whyNotContinued()
	case !s.mayHaveRunIfEnded() && s.lastCode != vaneyoke.CodeOK:
		f.Code = s.lastCode
	case !s.mayHaveRunIfEnded():
		f.Code = vaneyoke.CodeNoUpstream
	}
	return f
}

// whyNotContinued returns why no further attempt goes on with an answer, "" if that is not known.
func (s *State) whyNotContinued() string {
	switch {
	case s.lastCode != vaneyoke.CodeOK:
		return "no attempt was placed: " + s.lastCode.Info().Name
	case s.cfg.MaxAttempts > 0 && s.countedAttempts >= s.cfg.MaxAttempts:
		return "no attempt is left"
	case s.consecutiveLosses > s.cfg.MaxLosses:
		return "too many losses in a row"
	default:
		return ""
	}
}

// deadlineFailure returns the failure of an answer whose deadline has passed.
func (s *State) deadlineFailure() Fail {
	f := s.failure()
	switch {
	case s.answer.Len() > 0:
		f.Detail = "its time is over"
	case s.mayHaveRunIfEnded():
		f.Code = vaneyoke.CodeTimedOut
	default:
		f.Code = vaneyoke.CodeWaitExceeded
	}
	return f
}
