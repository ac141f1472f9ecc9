package relay

import (
	"context"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

const (
	// beginning is how long after the head of its answer a request counts as one that an upstream has just begun to run: requests that
	// end their upstreams did so within 120 ms, and a slow upstream works some times slower.
	beginning = time.Second
	// unseen is how long after it was sent a request of which nothing has shown counts so: queue and prompt are behind it by then.
	unseen = 10 * time.Second
	// verifyWait bounds how long the next attempt waits to learn whether the last one's upstream has ended.
	verifyWait = 300 * time.Millisecond
)

// Guard knows which requests end the upstreams that run them.
type Guard interface {
	// Crashed notes that an upstream ended as it began to run a request, which was sent to it at a time.
	Crashed(content vaneyoke.ContentID, upstream vaneyoke.Upstream, sentAt time.Time)
	// Outlived notes that an upstream goes on which has lost a request as it began to run it.
	Outlived(content vaneyoke.ContentID, upstream vaneyoke.Upstream, sentAt time.Time)
	// Survived notes that an upstream has answered a request in whole.
	Survived(content vaneyoke.ContentID)
	// Barred reports whether what a request asks is sent to no upstream, and for how long it is not.
	Barred(content vaneyoke.ContentID) (left time.Duration, barred bool)
}

// survived notes that an upstream has answered the request in whole, so that it does not end those that run it.
func (s *Session) survived() {
	s.proven = true
	if s.relay.guard != nil && s.req.Content != "" {
		s.relay.guard.Survived(s.req.Content)
	}
}

// heard notes that a piece of an attempt's answer has come.
func (s *Session) heard(now time.Time, l *link) {
	l.pieces++
	l.heardAt = now
	s.proven = s.proven || now.Sub(l.headAt) > beginning
}

// barred returns the error of a request that is sent to no upstream, nil for any other.
func (s *Session) barred() error {
	if s.relay.guard == nil || s.req.Content == "" {
		return nil
	}
	left, barred := s.relay.guard.Barred(s.req.Content)
	if !barred {
		return nil
	}
	return vaneyoke.ErrRetryAfter(vaneyoke.CodeQuarantined, left, "what the request asks ends the upstreams that run it")
}

// verify finds out whether the upstream of an attempt that was lost as it began has ended, which tells of the request; the next
// attempt waits for it.
func (s *Session) verify(l *link, cause generation.Cause) {
	if s.relay.guard == nil || s.req.Content == "" || s.proven || !l.beganToRun(cause) {
		return
	}
	verified := make(chan struct{})
	s.verified = verified
	go func() {
		defer close(verified)
		if cause == generation.CauseUnreachable || s.relay.hasEnded(l.upstream) {
			s.relay.guard.Crashed(s.req.Content, l.upstream, l.sentAt)
			return
		}
		s.relay.guard.Outlived(s.req.Content, l.upstream, l.sentAt)
	}()
}

// hasEnded reports whether an upstream takes no connections, or has started again since an attempt was sent to it.
func (r *Relay) hasEnded(upstream vaneyoke.Upstream) bool {
	if r.sender == nil {
		ctx, cancel := context.WithTimeout(r.ctx, verifyWait)
		defer cancel()
		return !r.engines.Reachable(ctx, upstream.URL)
	}
	if !r.sender.Probe(r.ctx, upstream) {
		return true
	}
	if upstream.Incarnation == 0 || r.limited(upstream.ID) || r.pushedBack(upstream.ID) {
		return false
	}
	ctx, cancel := context.WithTimeout(r.ctx, reportWait)
	defer cancel()
	report, ok := r.sender.LoadReport(ctx, upstream)
	return ok && report.Incarnation > upstream.Incarnation
}

// awaitVerified waits until it is known what the last loss tells of the request.
func (s *Session) awaitVerified(ctx context.Context) {
	s.mu.Lock()
	verified := s.verified
	s.mu.Unlock()
	if verified == nil {
		return
	}
	timeout := time.NewTimer(verifyWait)
	defer timeout.Stop()
	select {
	case <-verified:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// beganToRun reports whether an attempt may have been lost as its upstream began to run it. An opaque stream's answer begins with its
// run; of all others nothing shows before their first piece.
func (l *link) beganToRun(cause generation.Cause) bool {
	switch cause {
	case generation.CauseClosed, generation.CauseMalformed, generation.CauseSilent, generation.CauseUnreachable:
	default:
		return false
	}
	if l.headAt.IsZero() {
		return !l.headFirst && cause == generation.CauseClosed && time.Since(l.sentAt) <= unseen
	}
	return l.heardAt.Sub(l.headAt) <= beginning
}

// Bar ends the attempts under way of requests that end the upstreams which run them, but for those whose answer has begun.
func (r *Relay) Bar(content vaneyoke.ContentID) {
	for _, s := range r.sessions() {
		if s.req.Content == content {
			s.quarantine()
		}
	}
}

func (s *Session) quarantine() {
	left, barred := s.relay.guard.Barred(s.req.Content)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.links[s.state.LatestAttempt()]; !barred || s.proven || (l != nil && !l.headAt.IsZero() && !l.fenced) {
		return
	}
	s.handleLocked(time.Now(), generation.Quarantined{RetryAfter: left})
}
