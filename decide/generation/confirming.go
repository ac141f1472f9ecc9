package generation

import "time"

// confirmEnd asks for what follows the last event of a stream whose end is not certain: an upstream that has nothing more ends its answer at once. It returns
// false if the end needs no further confirmation, as the run was itself to go on after an event, or after such an end, and brought nothing.
func (s *State) confirmEnd(now time.Time, r run) bool {
	broughtNothing := r.stage != stageStreaming
	if !s.cfg.Repeatable || (broughtNothing && (s.unconfirmed || s.events.last.IsSet())) {
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
