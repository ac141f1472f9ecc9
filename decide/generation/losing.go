package generation

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// lost handles the loss of a live attempt.
func (s *State) lost(now time.Time, ev Lost) {
	if r := s.findRun(ev.Attempt); r != nil {
		s.loseRun(now, r, ev.Cause)
	}
}

// loseRun fences a run and continues the answer: from the run's own stream if that may still exist, otherwise on another engine.
func (s *State) loseRun(now time.Time, r *run, cause Cause) {
	old := *r
	cause = old.lossCause(cause)
	resumable := s.canResume(&old, cause)
	s.cancel(r, !resumable && (cause.mayHaveRun() || old.resumed), cause)
	s.removeRun(old.attempt)
	s.countLoss(&old, cause)
	s.recordPace(&old)
	if s.complete() {
		s.finish(vaneyoke.FinishLength)
		return
	}
	if resumable {
		s.resume(now, &old)
		return
	}
	s.updateReplicaHolder(&old, cause)
	s.avoid = append(s.avoid, old.upstream)
	if !s.cfg.Repeatable && (cause.mayHaveRun() || old.resumed) {
		s.fail(Fail{Code: vaneyoke.CodeMayHaveRun, Detail: cause.String()})
		return
	}
	if len(s.runs) > 0 {
		s.forgetReplica(&old)
		s.replacementRefused(now, NotPlaced{Attempt: old.attempt, Code: vaneyoke.CodeNoUpstream})
		return
	}
	s.consecutiveLosses++
	s.placeAgain(now)
}

// unsent withdraws an attempt that has not been sent. No other one follows, since the answer is about to end.
func (s *State) unsent(ev Unsent) {
	r := s.findRun(ev.Attempt)
	if r == nil || !r.sent || r.resumed || r.stage == stageStreaming {
		return
	}
	old := *r
	s.cancel(r, false, 0)
	s.removeRun(old.attempt)
	s.countLoss(&old, CauseNotSent)
}

func (s *State) countLoss(old *run, cause Cause) {
	if cause.mayHaveRun() {
		s.stats.Losses++
		return
	}
	if old.sent {
		s.possibleRuns--
	}
	if old.sent && cause == CauseNotSent {
		s.possibleArrivals--
	}
	if old.sent && cause != CauseDeclined {
		s.countedAttempts--
	}
}

// uncount takes back the counts of a run that ends before it was sent.
func (s *State) uncount(r *run) {
	if r.connecting {
		s.countLoss(r, CauseNotSent)
	}
}

// updateReplicaHolder records which upstream holds a replica of the last lost run's KV cache.
func (s *State) updateReplicaHolder(old *run, cause Cause) {
	switch {
	case cause.mayHaveRun():
		s.replicaHolder = ""
		if old.stage == stageStreaming {
			s.replicaHolder = old.replica
		}
	case old.fromReplica:
		s.replicaHolder = ""
	}
}

// canResume reports whether the run's engine may still have its stream.
func (s *State) canResume(r *run, cause Cause) bool {
	return cause == CauseClosed && r.stage == stageStreaming && !s.cfg.Opaque
}

// resume attaches a new attempt to the old one's stream. Pending tokens are requested again.
func (s *State) resume(now time.Time, old *run) {
	s.lastAttempt++
	s.stats.Attempts++
	s.runs = append(s.runs, run{
		attempt:  s.lastAttempt,
		stream:   old.stream,
		upstream: old.upstream,
		stage:    stageStarted,
		resumed:  true,
		placedAt: now,
	})
	s.emit(Resume{Attempt: s.lastAttempt, Upstream: old.upstream, Stream: old.stream, From: s.answer.Len()})
}

// quarantine fails an answer that has no tokens yet.
func (s *State) quarantine(retryAfter time.Duration) {
	if s.answer.Len() > 0 {
		return
	}
	s.lastCode, s.retryAfter = vaneyoke.CodeQuarantined, retryAfter
	s.fail(s.failure())
}
