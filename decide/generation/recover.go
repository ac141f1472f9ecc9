package generation

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	jitterShare = 0.5 // share of a pause that is random
	// Times the expected time to the first token that a run may be silent, usually and at the least.
	expectFactor  = 8
	patientFactor = 3
	freeLosses    = 3 // losses in a row after which the wait for an upstream counts, where none of them was a refusal to choose one
	firstFloors   = 3 // times the shortest silence between tokens that a run may be silent before its first
)

// place asks for an upstream for a new attempt.
func (s *State) place(now time.Time, after time.Duration, retry bool) {
	s.attempt++
	s.runs = append(s.runs, run{attempt: s.attempt, stream: s.attempt, stage: stagePlacing, placedAt: now})
	s.do(Place{Attempt: s.attempt, Avoid: slices.Clone(s.avoid), Prefer: s.replica, After: after, Retry: retry})
}

func (s *State) placed(now time.Time, ev Placed) {
	r := s.find(ev.Attempt)
	if r == nil || r.stage != stagePlacing {
		return
	}
	r.stage = stageStarted
	s.lastCode = vaneyoke.CodeOK
	r.upstream = ev.Upstream
	r.placedAt = now
	r.aliveAt = now
	r.expect = ev.Expect
	r.replica = ev.Replica
	r.fromReplica = ev.HoldsReplica && s.replica != ""
	if s.answer.unsure && s.answer.Len() > 0 {
		s.do(Inspect{Attempt: r.attempt, Upstream: r.upstream, IDs: s.answer.IDs})
		return
	}
	s.start(r)
}

// inspected takes off the tokens whose text the lost engine held back, so that the next one shows it.
func (s *State) inspected(ev Inspected) {
	r := s.find(ev.Attempt)
	if r == nil {
		return
	}
	if s.answer.unsure {
		s.stats.Discarded += s.answer.trim(ev.Held)
	}
	s.start(r)
}

func (s *State) start(r *run) {
	r.sent = true
	s.sent++
	s.arrived++
	s.tries++
	s.stats.Attempts++
	start := Start{
		Attempt: r.attempt, Upstream: r.upstream, From: s.answer.Len(), Replica: r.replica, FromReplica: r.fromReplica,
	}
	if s.answer.Len() > 0 && !s.cfg.Opaque {
		start.Prefix = s.answer.Prefix()
		s.stats.Reprefills += vaneyoke.Tokens(len(start.Prefix))
	}
	s.do(start)
}

// notPlaced tries again later, or gives up where the caller's wait is over.
func (s *State) notPlaced(now time.Time, ev NotPlaced) {
	if s.find(ev.Attempt) == nil {
		return
	}
	s.remove(ev.Attempt)
	s.lastCode = ev.Code
	s.retryHint = ev.RetryAfter
	if len(s.runs) > 0 {
		return
	}
	if ev.Code == vaneyoke.CodeQuarantined {
		s.fail(s.giveUp())
		return
	}
	if ev.Code == vaneyoke.CodeUnknownModel && s.answer.Len() == 0 && !s.cfg.Opaque {
		s.fail(s.giveUp())
		return
	}
	if namesTurn(ev.Code) && !s.worthTurn(now, ev.RetryAfter) {
		s.fail(s.giveUp())
		return
	}
	s.losses++
	s.placeAgain(now)
}

// suspended counts what the caller has waited meanwhile; how long a run is silent is counted from when the node could hear it.
func (s *State) suspended(now time.Time, d time.Duration) {
	s.progress, s.admitted = s.progress.Add(-d), s.admitted.Add(-d)
	if !s.cfg.Deadline.IsZero() {
		s.cfg.Deadline = s.cfg.Deadline.Add(-d)
	}
	s.tick(now)
}

// quarantine ends an answer that has not begun.
func (s *State) quarantine(retryAfter time.Duration) {
	if s.answer.Len() > 0 {
		return
	}
	s.lastCode, s.retryHint = vaneyoke.CodeQuarantined, retryAfter
	s.fail(s.giveUp())
}

// lost mends the loss of a live attempt.
func (s *State) lost(now time.Time, ev Lost) {
	if r := s.find(ev.Attempt); r != nil {
		s.lose(now, r, ev.Cause)
	}
}

// lose fences a run and chooses the way on: its own stream where that may still run, another engine otherwise.
func (s *State) lose(now time.Time, r *run, cause Cause) {
	old := *r
	resumable := s.canResume(&old, cause)
	s.cancel(r, !resumable && (cause.mayHaveRun() || old.resumed), cause)
	s.remove(old.attempt)
	s.countLoss(&old, cause)
	if s.complete() {
		s.finish(vaneyoke.FinishLength)
		return
	}
	if resumable {
		s.resume(now, &old)
		return
	}
	s.followReplica(&old, cause)
	s.avoid = append(s.avoid, old.upstream)
	if !s.cfg.Repeatable && (cause.mayHaveRun() || old.resumed) {
		s.fail(Fail{Code: vaneyoke.CodeMayHaveRun, Detail: cause.String()})
		return
	}
	if len(s.runs) > 0 {
		return
	}
	s.losses++
	s.placeAgain(now)
}

func (s *State) countLoss(old *run, cause Cause) {
	if cause.mayHaveRun() {
		s.stats.Losses++
		return
	}
	if old.sent {
		s.sent--
	}
	if old.sent && cause == CauseNotSent {
		s.arrived--
	}
	if old.sent && cause != CauseDeclined {
		s.tries--
	}
}

// followReplica keeps in mind where the memory of the run that was lost last can be found.
func (s *State) followReplica(old *run, cause Cause) {
	switch {
	case cause.mayHaveRun():
		s.replica = ""
		if old.stage == stageStreaming {
			s.replica = old.replica
		}
	case old.fromReplica:
		s.replica = ""
	}
}

// canResume reports whether the run's engine may still hold its stream.
func (s *State) canResume(r *run, cause Cause) bool {
	return cause == CauseClosed && r.stage == stageStreaming && !s.cfg.Opaque
}

// resume attaches a new attempt to the old one's stream; held back tokens are asked for again.
func (s *State) resume(now time.Time, old *run) {
	s.attempt++
	s.stats.Attempts++
	s.runs = append(s.runs, run{
		attempt:  s.attempt,
		stream:   old.stream,
		upstream: old.upstream,
		stage:    stageStarted,
		resumed:  true,
		placedAt: now,
	})
	s.do(Resume{Attempt: s.attempt, Upstream: old.upstream, Stream: old.stream, From: s.answer.Len()})
}

// placeAgain starts another attempt after a pause, or gives up.
func (s *State) placeAgain(now time.Time) {
	if s.answer.Len() > 0 && s.answer.Prompt == nil && !s.cfg.Opaque {
		s.fail(Fail{Code: vaneyoke.CodeInterrupted, Detail: "the engine did not tell the prompt's token ids"})
		return
	}
	pause := s.pause()
	if namesTurn(s.lastCode) {
		pause = max(pause, s.retryHint)
	}
	if s.exhausted(now.Add(pause)) {
		s.fail(s.giveUp())
		return
	}
	s.place(now, pause, s.arrived > 0)
}

// exhausted reports whether no further attempt may start at the given time.
func (s *State) exhausted(at time.Time) bool {
	switch {
	case s.losses > s.cfg.MaxLosses || at.Sub(s.progress) > s.cfg.MaxWait:
		return true
	case s.cfg.MaxAttempts > 0 && s.tries >= s.cfg.MaxAttempts:
		return true
	case !s.cfg.Deadline.IsZero() && !at.Before(s.cfg.Deadline):
		return true
	case s.lastCode == vaneyoke.CodeOK && s.losses < freeLosses:
		return false // another upstream may take it at once
	default:
		return s.cfg.MaxUnsent > 0 && !s.Sent() && at.Sub(s.admitted) > s.cfg.MaxUnsent
	}
}

// pause returns 0 after the first loss in a row and a growing, jittered time after later ones.
func (s *State) pause() time.Duration {
	if s.losses <= 1 {
		return 0
	}
	full := s.cfg.Backoff.Cap
	if shift := s.losses - 2; shift < 16 {
		full = min(s.cfg.Backoff.Base<<shift, s.cfg.Backoff.Cap)
	}
	jitter := s.rng.Float64() * jitterShare
	return time.Duration(float64(full) * (1 - jitter))
}

// giveUp returns the failure that says truly whether anything was run.
func (s *State) giveUp() Fail {
	f := Fail{Code: vaneyoke.CodeUpstream, RetryAfter: s.retryHint}
	switch {
	case s.answer.Len() > 0:
		f.Code = vaneyoke.CodeInterrupted
	case !s.Sent() && s.lastCode != vaneyoke.CodeOK:
		f.Code = s.lastCode
	case !s.Sent():
		f.Code = vaneyoke.CodeNoUpstream
	}
	return f
}

// expired returns the failure of an answer whose caller has waited as long as it would.
func (s *State) expired() Fail {
	f := s.giveUp()
	switch {
	case s.answer.Len() > 0:
	case s.Sent():
		f.Code = vaneyoke.CodeTimedOut
	default:
		f.Code = vaneyoke.CodeWaitExceeded
	}
	return f
}

// Deadline returns when Tick is due, or the zero time where nothing is waited for.
func (s *State) Deadline() time.Time {
	due := s.cfg.Deadline
	for i := range s.runs {
		at := s.dueAt(&s.runs[i])
		if due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due
}

// dueAt returns when a run's silence calls for a decision or a probe.
func (s *State) dueAt(r *run) time.Time {
	at := s.silentAt(r)
	if s.cfg.ProbeEvery == 0 || r.stage != stageStarted || r.probing || r.gaps.count > 0 {
		return at
	}
	if probe := r.aliveAt.Add(s.cfg.ProbeEvery); probe.Before(at) {
		return probe
	}
	return at
}

// probed goes on waiting for an upstream that is there, and gives up one that is not.
func (s *State) probed(now time.Time, ev Probed) {
	r := s.find(ev.Attempt)
	if r == nil {
		return
	}
	r.probing = false
	r.aliveAt = now
	if !ev.Alive && r.stage == stageStarted {
		s.lose(now, r, CauseUnreachable)
	}
}

// silentAt returns when a run's silence calls for a decision.
func (s *State) silentAt(r *run) time.Time {
	since := r.heardAt()
	if r.stage == stagePlacing {
		return since.Add(s.cfg.MaxWait)
	}
	if s.cfg.LastWaits && s.left() <= 0 {
		return s.cfg.Deadline
	}
	limit := r.gaps.limit(s.cfg.Silence)
	if r.gaps.count == 0 && r.expect > 0 {
		limit = s.firstLimit(r.expect)
	}
	if r.resumed && r.gaps.count == 0 {
		limit = s.cfg.Silence.Floor
	}
	if r.suspect || s.cfg.Recovery == vaneyoke.RecoverFrugal || !s.cfg.Repeatable {
		limit = time.Duration(float64(limit) * s.cfg.Silence.Patience)
	}
	return since.Add(limit * time.Duration(1+r.asked))
}

// left returns how many attempts may still follow; it is meant for generations whose attempts are bounded.
func (s *State) left() int { return s.cfg.MaxAttempts - s.tries }

// firstLimit returns the silence before the first token that makes an attempt suspect, where the time to it is expected.
func (s *State) firstLimit(expect time.Duration) time.Duration {
	silence := s.cfg.Silence
	most := max(silence.FirstToken, patientFactor*expect)
	if s.cfg.ProbeEvery > 0 { // a dead upstream is found by the probes, and a busy one is not to be taken for it
		return most
	}
	return min(max(expectFactor*expect, firstFloors*silence.Floor), most)
}

// tick judges the silence of each run.
func (s *State) tick(now time.Time) {
	if !s.cfg.Deadline.IsZero() && !now.Before(s.cfg.Deadline) {
		s.fail(s.expired())
		return
	}
	for _, r := range slices.Clone(s.runs) {
		if s.ended || now.Before(s.dueAt(&r)) {
			continue
		}
		live := s.find(r.attempt)
		switch {
		case live == nil:
		case now.Before(s.silentAt(live)):
			live.probing = true
			s.do(Probe{Attempt: live.attempt, Upstream: live.upstream})
		default:
			s.silent(now, live)
		}
	}
}

// silent races a fast generation's silent run with a second attempt, and replaces any other.
func (s *State) silent(now time.Time, r *run) {
	if r.stage == stagePlacing {
		s.remove(r.attempt)
		s.losses++
		s.placeAgain(now)
		return
	}
	if s.asksBefore(r) {
		s.ask(now, r)
		return
	}
	s.stats.Suspected++
	race := !s.cfg.Opaque && s.cfg.Recovery == vaneyoke.RecoverFast && s.cfg.Repeatable && !r.suspect
	if !race || len(s.runs) > 1 {
		s.lose(now, r, CauseSilent)
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
