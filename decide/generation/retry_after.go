package generation

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// hasRetryAfter reports whether a refusal says when upstreams accept requests again.
func hasRetryAfter(code vaneyoke.Code) bool {
	return code == vaneyoke.CodeWithheld || code == vaneyoke.CodePushedBack || code == vaneyoke.CodeOverloaded
}

// worthRetryWait reports whether an attempt waits until upstreams that reached a rate limit or pushed back accept requests again. A first
// attempt never does, since the caller can try elsewhere. A later one does if, after the wait, at least as much time is left before the
// deadline.
func (s *State) worthRetryWait(now time.Time, retryAfter time.Duration) bool {
	if !s.MayHaveRun() {
		return false
	}
	return s.cfg.Deadline.IsZero() || now.Add(2*retryAfter).Before(s.cfg.Deadline)
}
