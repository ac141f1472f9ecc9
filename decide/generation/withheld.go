package generation

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// namesTurn reports whether a refusal says when an upstream takes requests again.
func namesTurn(code vaneyoke.Code) bool {
	return code == vaneyoke.CodeWithheld || code == vaneyoke.CodePushedBack
}

// worthTurn reports whether an attempt waits for its turn at upstreams that name limits or asked for nothing for a while: never a first one, whose
// caller can go elsewhere, and a later one where at least as much of the caller's time is left then.
func (s *State) worthTurn(now time.Time, turn time.Duration) bool {
	if !s.Sent() {
		return false
	}
	return s.cfg.Deadline.IsZero() || now.Add(2*turn).Before(s.cfg.Deadline)
}
