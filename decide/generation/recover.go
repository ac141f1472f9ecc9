package generation

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	jitterShare = 0.5 // random share of a backoff delay
	// The silence limit before the first token is ttftFactor times the expected TTFT, but at most ttftCapFactor times the expected TTFT or
	// Silence.FirstToken, whichever is longer.
	ttftFactor    = 8
	ttftCapFactor = 3
	graceLosses   = 3 // consecutive losses from which MaxPlacementWait applies even if placement itself did not refuse
	floorFactor   = 3 // lower bound of the silence limit before the first token, as a multiple of Silence.Floor
)

// place asks for an upstream for a new attempt.
func (s *State) place(now time.Time, delay time.Duration, retry bool) {
	s.lastAttempt++
	s.runs = append(s.runs, run{attempt: s.lastAttempt, stream: s.lastAttempt, stage: stagePlacing, placedAt: now})
	s.emit(Place{Attempt: s.lastAttempt, Avoid: slices.Clone(s.avoid), Prefer: s.replicaHolder, Delay: delay, Retry: retry})
}

func (s *State) placed(now time.Time, ev Placed) {
	r := s.findRun(ev.Attempt)
	if r == nil || r.stage != stagePlacing {
		return
	}
	r.stage = stageStarted
	s.lastCode = vaneyoke.CodeOK
	r.upstream = ev.Upstream
	r.placedAt = now
	r.aliveAt = now
	r.expectedTTFT = ev.ExpectedTTFT
	r.replica = ev.Replica
	r.fromReplica = ev.HoldsReplica && s.replicaHolder != ""
	if s.answer.tailUncertain && s.answer.Len() > 0 {
		s.emit(InspectTail{Attempt: r.attempt, Upstream: r.upstream, IDs: s.answer.IDs})
		return
	}
	s.start(r)
}

// tailInspected removes the tokens whose text the lost engine buffered, so that the next engine generates and shows them.
func (s *State) tailInspected(ev TailInspected) {
	r := s.findRun(ev.Attempt)
	if r == nil {
		return
	}
	if s.answer.tailUncertain {
		s.stats.DiscardedTokens += s.answer.trim(ev.Buffered)
	}
	s.start(r)
}

func (s *State) start(r *run) {
	r.sent = true
	s.possibleRuns++
	s.possibleArrivals++
	s.countedAttempts++
	s.stats.Attempts++
	start := Start{
		Attempt: r.attempt, Upstream: r.upstream, From: s.answer.Len(), Replica: r.replica, FromReplica: r.fromReplica,
	}
	if s.answer.Len() > 0 && !s.cfg.Opaque {
		start.Prefix = s.answer.Prefix()
		s.stats.ReprefilledTokens += vaneyoke.Tokens(len(start.Prefix))
	}
	s.emit(start)
}

// notPlaced schedules another placement, or fails if retrying is pointless or the limits are exhausted.
func (s *State) notPlaced(now time.Time, ev NotPlaced) {
	if s.findRun(ev.Attempt) == nil {
		return
	}
	s.removeRun(ev.Attempt)
	s.lastCode = ev.Code
	s.retryAfter = ev.RetryAfter
	if len(s.runs) > 0 {
		return
	}
	if ev.Code == vaneyoke.CodeQuarantined {
		s.fail(s.failure())
		return
	}
	if ev.Code == vaneyoke.CodeUnknownModel && s.answer.Len() == 0 && !s.cfg.Opaque {
		s.fail(s.failure())
		return
	}
	if hasRetryAfter(ev.Code) && !s.worthRetryWait(now, ev.RetryAfter) {
		s.fail(s.failure())
		return
	}
	s.consecutiveLosses++
	s.placeAgain(now)
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

// quarantine fails an answer that has no tokens yet.
func (s *State) quarantine(retryAfter time.Duration) {
	if s.answer.Len() > 0 {
		return
	}
	s.lastCode, s.retryAfter = vaneyoke.CodeQuarantined, retryAfter
	s.fail(s.failure())
}

// lost handles the loss of a live attempt.
func (s *State) lost(now time.Time, ev Lost) {
	if r := s.findRun(ev.Attempt); r != nil {
		s.loseRun(now, r, ev.Cause)
	}
}

// loseRun fences a run and continues the answer: from the run's own stream if that may still exist, otherwise on another engine.
func (s *State) loseRun(now time.Time, r *run, cause Cause) {
	old := *r
	resumable := s.canResume(&old, cause)
	s.cancel(r, !resumable && (cause.mayHaveRun() || old.resumed), cause)
	s.removeRun(old.attempt)
	s.countLoss(&old, cause)
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
		return
	}
	s.consecutiveLosses++
	s.placeAgain(now)
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

// placeAgain starts another attempt after a delay, or fails.
func (s *State) placeAgain(now time.Time) {
	if s.answer.Len() > 0 && s.answer.Prompt == nil && !s.cfg.Opaque {
		s.fail(Fail{Code: vaneyoke.CodeInterrupted, Detail: "the engine did not tell the prompt's token ids"})
		return
	}
	delay := s.backoff()
	if hasRetryAfter(s.lastCode) {
		delay = max(delay, s.retryAfter)
	}
	if s.exhausted(now.Add(delay)) {
		s.fail(s.failure())
		return
	}
	s.place(now, delay, s.possibleArrivals > 0)
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

// backoff returns 0 after the first of consecutive losses, and an exponentially growing, jittered delay after later ones.
func (s *State) backoff() time.Duration {
	if s.consecutiveLosses <= 1 {
		return 0
	}
	full := s.cfg.Backoff.Cap
	if shift := s.consecutiveLosses - 2; shift < 16 {
		full = min(s.cfg.Backoff.Base<<shift, s.cfg.Backoff.Cap)
	}
	jitter := s.rng.Float64() * jitterShare
	return time.Duration(float64(full) * (1 - jitter))
}

// failure returns the failure of this answer, whose code promises that nothing was run only if that is certain.
func (s *State) failure() Fail {
	f := Fail{Code: vaneyoke.CodeUpstream, RetryAfter: s.retryAfter}
	switch {
	case s.answer.Len() > 0:
		f.Code = vaneyoke.CodeInterrupted
	case !s.MayHaveRun() && s.lastCode != vaneyoke.CodeOK:
		f.Code = s.lastCode
	case !s.MayHaveRun():
		f.Code = vaneyoke.CodeNoUpstream
	}
	return f
}

// deadlineFailure returns the failure of an answer whose deadline has passed.
func (s *State) deadlineFailure() Fail {
	f := s.failure()
	switch {
	case s.answer.Len() > 0:
	case s.MayHaveRun():
		f.Code = vaneyoke.CodeTimedOut
	default:
		f.Code = vaneyoke.CodeWaitExceeded
	}
	return f
}

// NextTick returns when Tick is due, or the zero time if no timer is needed.
func (s *State) NextTick() time.Time {
	due := s.cfg.Deadline
	for i := range s.runs {
		at := s.nextCheck(&s.runs[i])
		if due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due
}

// nextCheck returns when a run's silence requires a decision or a probe.
func (s *State) nextCheck(r *run) time.Time {
	at := s.silenceDeadline(r)
	if s.cfg.ProbeEvery == 0 || r.stage != stageStarted || r.probing || r.gaps.count > 0 {
		return at
	}
	if probe := r.aliveAt.Add(s.cfg.ProbeEvery); probe.Before(at) {
		return probe
	}
	return at
}

// probed keeps waiting for an upstream that is alive, and gives up one that is not.
func (s *State) probed(now time.Time, ev Probed) {
	r := s.findRun(ev.Attempt)
	if r == nil {
		return
	}
	r.probing = false
	r.aliveAt = now
	if !ev.Alive && r.stage == stageStarted {
		s.loseRun(now, r, CauseUnreachable)
	}
}

// silenceDeadline returns when a run's silence requires a decision.
func (s *State) silenceDeadline(r *run) time.Time {
	since := r.lastActivity()
	if r.stage == stagePlacing {
		return since.Add(s.cfg.MaxWait)
	}
	if s.cfg.KeepLastAttempt && s.attemptsLeft() <= 0 {
		return s.cfg.Deadline
	}
	limit := r.gaps.limit(s.cfg.Silence)
	if r.gaps.count == 0 && r.expectedTTFT > 0 {
		limit = s.firstTokenLimit(r.expectedTTFT)
	}
	if r.resumed && r.gaps.count == 0 {
		limit = s.cfg.Silence.Floor
	}
	if r.suspect || s.cfg.Recovery == vaneyoke.RecoverFrugal || !s.cfg.Repeatable {
		limit = time.Duration(float64(limit) * s.cfg.Silence.Patience)
	}
	return since.Add(limit * time.Duration(1+r.queries))
}

// attemptsLeft returns how many more attempts may be sent. It is meaningful only if MaxAttempts is set.
func (s *State) attemptsLeft() int { return s.cfg.MaxAttempts - s.countedAttempts }

// firstTokenLimit returns the silence before the first token that makes an attempt suspect, given the expected time to first token.
func (s *State) firstTokenLimit(expected time.Duration) time.Duration {
	silence := s.cfg.Silence
	maxLimit := max(silence.FirstToken, ttftCapFactor*expected)
	if s.cfg.ProbeEvery > 0 { // probes detect a dead upstream; a busy one must not be mistaken for it
		return maxLimit
	}
	return min(max(ttftFactor*expected, floorFactor*silence.Floor), maxLimit)
}

// tick checks the deadline and the silence of each run.
func (s *State) tick(now time.Time) {
	if !s.cfg.Deadline.IsZero() && !now.Before(s.cfg.Deadline) {
		s.fail(s.deadlineFailure())
		return
	}
	for _, r := range slices.Clone(s.runs) {
		if s.ended || now.Before(s.nextCheck(&r)) {
			continue
		}
		live := s.findRun(r.attempt)
		switch {
		case live == nil:
		case now.Before(s.silenceDeadline(live)):
			live.probing = true
			s.emit(Probe{Attempt: live.attempt, Upstream: live.upstream})
		default:
			s.handleSilence(now, live)
		}
	}
}

// handleSilence hedges the silent run of a generation with fast recovery by a second attempt, and replaces any other silent run.
func (s *State) handleSilence(now time.Time, r *run) {
	if r.stage == stagePlacing {
		s.removeRun(r.attempt)
		s.consecutiveLosses++
		s.placeAgain(now)
		return
	}
	if s.shouldQuery(r) {
		s.queryRun(now, r)
		return
	}
	s.stats.Suspected++
	race := !s.cfg.Opaque && s.cfg.Recovery == vaneyoke.RecoverFast && s.cfg.Repeatable && !r.suspect
	if !race || len(s.runs) > 1 {
		s.loseRun(now, r, CauseSilent)
		return
	}
	if s.answer.Len() > 0 && s.answer.Prompt == nil {
		r.suspect = true
		return
	}
	r.suspect = true
	s.avoid = append(s.avoid, r.upstream)
	s.place(now, 0, true)
}
