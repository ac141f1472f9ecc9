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

// mustBelieveEnd reports whether an end that is not certain stands because no attempt may confirm it: the retry budget is used up, and an answer may end with
// its connection.
func (s *State) mustBelieveEnd(ev NotPlaced) bool {
	return s.unconfirmed && s.answer.Len() > 0 && ev.Code == vaneyoke.CodeRetryExhausted
}

// isConfirmedByCaller reports whether a caller who has come back confirms an end by getting nothing more: its request may be sent to one upstream only.
func (s *State) isConfirmedByCaller() bool {
	return s.cfg.MaxAttempts == 1 && s.cfg.ResumeAfter.IsSet()
}
