package generation

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	// The silence limit before the first token is ttftFactor times the expected TTFT, but at most ttftCapFactor times the expected TTFT or
	// Silence.FirstToken, whichever is longer.
	ttftFactor    = 8
	ttftCapFactor = 3
	floorFactor   = 3 // lower bound of the silence limit before the first token, as a multiple of Silence.Floor
)

// nextCheck returns when a run's silence requires a decision or a probe.
func (s *State) nextCheck(r *run) time.Time {
	if !r.handoverAt.IsZero() {
		return r.handoverAt
	}
	at := s.silenceDeadline(r)
	if s.cfg.ProbeEvery == 0 || r.stage != stageStarted || r.probing || r.gaps.count > 0 || r.successor != 0 {
		return at
	}
	if probe := latest(r.aliveAt.Add(s.cfg.ProbeEvery), r.waitUntil); probe.Before(at) {
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
	if ev.Alive {
		r.unreachableSince = time.Time{}
	}
	if !ev.Alive && r.stage == stageStarted && r.successor == 0 {
		s.replaceRun(now, r, CauseUnreachable)
	}
}

// silenceDeadline returns when a run's silence requires a decision.
func (s *State) silenceDeadline(r *run) time.Time {
	since := r.lastActivity()
	if r.stage == stagePlacing {
		return since.Add(s.cfg.MaxWait)
	}
	if r.paused || r.kept || r.successor != 0 || s.cfg.KeepLastAttempt && s.attemptsLeft() <= 0 {
		return s.waitLimit()
	}
	if r.refusals > 0 {
		return r.waitUntil
	}
	limit := s.silenceLimit(r)
	at := since.Add(limit * time.Duration(1+r.queries))
	if r.queries > 0 {
		return latest(at, r.queriedAt.Add(limit/2)) // the last query may have been late
	}
	return at
}

// silenceLimit returns for how long a run may be silent before its upstream is queried, or the run is replaced.
func (s *State) silenceLimit(r *run) time.Duration {
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
	return limit
}

// waitLimit returns until when a run is waited for whose silence ends nothing.
func (s *State) waitLimit() time.Time {
	if s.cfg.Deadline.IsZero() {
		return s.lastProgress.Add(s.cfg.MaxWait)
	}
	return s.cfg.Deadline
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pause suspends the silence limit of a run whose stream is not read, or starts its silence anew.
func (s *State) pause(now time.Time, ev Paused) {
	r := s.findRun(ev.Attempt)
	if r == nil || r.stage != stageStreaming {
		return
	}
	r.paused = ev.Paused
	r.resetQueries()
	r.gaps.last = now
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

// handleSilence hedges the silent run of a generation with fast recovery by a second attempt, and replaces any other silent run.
func (s *State) handleSilence(now time.Time, r *run) {
	if r.stage == stagePlacing && s.keepReplaced(r.attempt) {
		return
	}
	if r.stage == stagePlacing {
		s.removeRun(r.attempt)
		s.consecutiveLosses++
		s.placeAgain(now)
		return
	}
	if r.refusals == 0 && s.shouldQuery(r) {
		s.queryRun(now, r)
		return
	}
	s.stats.Suspected++
	race := !s.cfg.Opaque && s.cfg.Recovery == vaneyoke.RecoverFast && s.cfg.Repeatable && !r.suspect
	if !race || len(s.runs) > 1 {
		s.replaceRun(now, r, CauseSilent)
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
