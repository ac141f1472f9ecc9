package generation

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	jitterShare     = 0.5 // random share of a backoff delay
	maxBackoffShift = 16  // bound of the exponent of a backoff delay
)

// place asks for an upstream for a new attempt.
func (s *State) place(now time.Time, delay time.Duration, retry bool) {
	s.lastAttempt++
	s.runs = append(s.runs, run{attempt: s.lastAttempt, stream: s.lastAttempt, stage: stagePlacing, placedAt: now})
	replicate := s.replicaUseful(now, now.Add(delay))
	s.emit(Place{
		Attempt: s.lastAttempt, Avoid: slices.Clone(s.avoid), Prefer: s.replicaHolder, Delay: delay, Retry: retry, Replicate: replicate,
	})
}

func (s *State) placed(now time.Time, ev Placed) {
	r := s.findRun(ev.Attempt)
	if r == nil || r.stage != stagePlacing {
		return
	}
	fromReplica := ev.HoldsReplica && s.replicaHolder != ""
	if s.refuseUseless(now, now, ev.Attempt, fromReplica) {
		return
	}
	r.stage = stageStarted
	s.lastCode = vaneyoke.CodeOK
	r.upstream = ev.Upstream
	r.placedAt = now
	r.aliveAt = now
	r.expectedTTFT = ev.ExpectedTTFT
	r.replica = ev.Replica
	r.fromReplica = fromReplica
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
	if s.answer.tailUncertain && ev.Buffered > 0 {
		s.breakReplaced(ev.Attempt) // it cannot continue an answer that has become shorter
		r = s.findRun(ev.Attempt)
	}
	if s.answer.tailUncertain {
		s.stats.DiscardedTokens += s.answer.trim(ev.Buffered)
	}
	s.start(r)
}

func (s *State) start(r *run) {
	r.sent, r.connecting = true, s.cfg.Opaque
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
	if len(s.runs) > 0 { // the refusal says nothing about a loss later on
		s.replacementRefused(now, ev)
		return
	}
	if s.isEndFinal(ev) {
		s.finish(vaneyoke.FinishStop)
		return
	}
	s.lastCode, s.retryAfter = ev.Code, ev.RetryAfter
	if ev.IsRefused || ev.Code == vaneyoke.CodeQuarantined || ev.Code.IsFinal() {
		s.failNow(now, s.failure())
		return
	}
	if ev.Code == vaneyoke.CodeUnknownModel && s.answer.Len() == 0 && !s.cfg.Opaque {
		s.fail(s.failure())
		return
	}
	if hasRetryAfter(ev.Code) && !s.worthRetryWait(now, ev.RetryAfter) {
		s.failNow(now, s.failure())
		return
	}
	s.consecutiveLosses++
	s.placeAgain(now)
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
		s.failNow(now, s.failure())
		return
	}
	if s.refuseUseless(now, now.Add(delay), s.lastAttempt+1, s.replicaHolder != "") {
		return
	}
	s.place(now, delay, s.possibleArrivals > 0)
}

// nearDeadline is the time before the deadline in which an answer that has begun is left to it.
const nearDeadline = 60 * time.Millisecond

// failNow fails the answer, but leaves one that has begun to its deadline if that is near: upstreams are given slightly less time.
func (s *State) failNow(now time.Time, f Fail) {
	if s.answer.Len() > 0 && !s.cfg.Deadline.IsZero() && s.cfg.Deadline.Sub(now) <= nearDeadline {
		return
	}
	s.fail(f)
}

// backoff returns 0 after the first of consecutive losses, and an exponentially growing, jittered delay after later ones.
func (s *State) backoff() time.Duration {
	if s.consecutiveLosses <= 1 {
		return 0
	}
	return s.jittered(min(s.cfg.Backoff.Base<<min(s.consecutiveLosses-2, maxBackoffShift), s.cfg.Backoff.Cap))
}

// jittered returns a delay that is shorter by a random share.
func (s *State) jittered(full time.Duration) time.Duration {
	return time.Duration(float64(full) * (1 - s.rng.Float64()*jitterShare))
}
