package generation

import "time"

// confirmEnd asks for what follows the last event of a stream whose end is not certain: an upstream that has nothing more ends its answer at once. It returns
// false if the end needs no further confirmation, as a second attempt brought nothing more, or can get none. Another attempt that is at work may still go on.
func (s *State) confirmEnd(now time.Time, r run) bool {
	if !s.cfg.Repeatable || (r.stage != stageStreaming && (s.unconfirmed || s.isConfirmedByCaller())) {
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

// isConfirmedByCaller reports whether a caller who has come back confirms an end by getting nothing more: its request may be sent to one upstream only.
func (s *State) isConfirmedByCaller() bool {
	return s.cfg.MaxAttempts == 1 && s.cfg.ResumeAfter.IsSet()
}
