package generation

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// confirmEnd asks for what follows the last event of a stream whose end is not certain: an upstream that has nothing more ends its answer at once. It returns
// false if the end needs no further confirmation, as the run was itself to go on after such an end, and brought nothing. A loss is no end: more may be due.
func (s *State) confirmEnd(now time.Time, r run) bool {
	broughtNothing := r.stage != stageStreaming
	if !s.cfg.Repeatable || (broughtNothing && (s.unconfirmed || s.isConfirmedByCaller())) {
		return false
	}
	s.unconfirmed = true
	s.removeRun(r.attempt)
	if len(s.runs) > 0 {
		s.replacementRefused(now, NotPlaced{Attempt: r.attempt})
		return true
	}
	s.replicaHolder = ""
	s.placeAgain(now)
	return true
}

// isEndFinal reports whether an end that is not certain stands, as the retry budget leaves no attempt that could confirm it: the process that gave the answer
// still runs, and an answer may end with its connection.
func (s *State) isEndFinal(ev NotPlaced) bool {
	return s.unconfirmed && s.answer.Len() > 0 && ev.Code == vaneyoke.CodeRetryExhausted
}

// isConfirmedByCaller reports whether a caller who has come back confirms an end by getting nothing more: its request may be sent to one upstream only.
func (s *State) isConfirmedByCaller() bool {
	return s.cfg.MaxAttempts == 1 && s.cfg.ResumeAfter.IsSet()
}
