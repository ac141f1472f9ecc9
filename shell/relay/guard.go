package relay

import (
	"context"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

const (
	// startWindow is how long after the head of its answer a request counts as just started. Requests that crash their
	// upstreams did so within 120 ms; the margin is for upstreams that are several times slower.
	startWindow = time.Second
	// silentStartWindow is the corresponding time after sending for a request without any output: by then it has left
	// the queue and its prefill is done.
	silentStartWindow = 10 * time.Second
	// crashCheckTimeout bounds how long the next attempt waits to learn whether the previous attempt's upstream has
	// crashed.
	crashCheckTimeout = 300 * time.Millisecond
)

// CrashGuard tracks which requests crash the upstreams that run them.
type CrashGuard interface {
	// RecordCrash records that an upstream crashed when it started to run a request that was sent to it at sentAt.
	RecordCrash(content vaneyoke.ContentID, upstream vaneyoke.Upstream, sentAt time.Time)
	// RecordLossWithoutCrash records that an upstream is still up after it lost a request that it had started to run.
	RecordLossWithoutCrash(content vaneyoke.ContentID, upstream vaneyoke.Upstream, sentAt time.Time)
	// RecordCompletion records that an upstream has answered a request completely.
	RecordCompletion(content vaneyoke.ContentID)
	// Blocked reports whether a request content is sent to no upstream, and for how long.
	Blocked(content vaneyoke.ContentID) (remaining time.Duration, blocked bool)
}

// CrashRecord tells when the crashes that other nodes observed are known.
type CrashRecord interface {
	// AwaitCrashes waits until they are known, or until ctx is done. It does not wait long after the start of the node.
	AwaitCrashes(ctx context.Context)
}

// recordCompletion records that an upstream has answered the request completely, so that the request does not crash
// upstreams.
func (s *Session) recordCompletion() {
	s.provenSafe = true
	if s.relay.guard != nil && s.req.Content != "" {
		s.relay.guard.RecordCompletion(s.req.Content)
	}
}

// recordReceived records that a chunk of an attempt's answer has arrived.
func (s *Session) recordReceived(now time.Time, l *link) {
	l.chunks++
	l.suspected = false
	l.lastReceivedAt = now
	s.provenSafe = s.provenSafe || now.Sub(l.headAt) > startWindow
}

// crashWaitDivisor is the part of a request's time that may pass until the crashes that other nodes observed are known.
const crashWaitDivisor = 3

// awaitCrashes waits until the crashes that other nodes observed are known: a node that has just started would send what they have blocked.
func (s *Session) awaitCrashes() {
	m, ok := s.mode.(*forwarded)
	if s.relay.crashes == nil || !ok || s.req.Content == "" {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.timeLeft(m, time.Now())/crashWaitDivisor)
	defer cancel()
	s.relay.crashes.AwaitCrashes(ctx)
}

// blockedErr returns the error for a request that is sent to no upstream, nil for any other.
func (s *Session) blockedErr() error {
	if s.relay.guard == nil || s.req.Content == "" {
		return nil
	}
	remaining, blocked := s.relay.guard.Blocked(s.req.Content)
	if !blocked {
		return nil
	}
	return vaneyoke.ErrRetryAfter(vaneyoke.CodeQuarantined, remaining, "what the request asks ends the upstreams that run it")
}

// checkCrash checks whether the upstream of an attempt that was lost at its start has crashed, which the request may
// have caused. The next attempt waits for the result, but not for an upstream that accepts connections and does not tell its incarnation.
func (s *Session) checkCrash(l *link, cause generation.Cause) {
	if s.relay.guard == nil || s.req.Content == "" || s.provenSafe || !l.lostAtStart(cause) {
		return
	}
	checked := make(chan struct{})
	s.crashChecked = checked
	upstream := l.upstream
	upstream.Incarnation = max(upstream.Incarnation, l.incarnation)
	release := sync.OnceFunc(func() { close(checked) })
	s.spawn(func() {
		defer release()
		if s.relay.hasExited(upstream, crashQuestions, release) && !s.isProvenSafe() {
			s.relay.guard.RecordCrash(s.req.Content, upstream, l.sentAt)
			return
		}
		s.relay.guard.RecordLossWithoutCrash(s.req.Content, upstream, l.sentAt)
	})
}

// isProvenSafe reports whether an upstream has run the request for so long that it is not one that crashes upstreams.
func (s *Session) isProvenSafe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.provenSafe
}

// crashQuestions is how often an upstream that accepts connections is asked for its incarnation if it does not tell.
const crashQuestions = 4

// hasExited reports whether an upstream accepts no connections, or has restarted since an attempt was sent to it, or another one now has its address. One that
// accepts connections is asked for its incarnation up to some number of times; onUnknown is called if it has not told at first.
func (r *Relay) hasExited(upstream vaneyoke.Upstream, questions int, onUnknown func()) bool {
	if r.sender == nil {
		ctx, cancel := context.WithTimeout(r.ctx, crashCheckTimeout)
		defer cancel()
		return !r.engines.Reachable(ctx, upstream.URL)
	}
	if !r.sender.Probe(r.ctx, upstream, forward.AnyPath) {
		return true
	}
	timeout, delay := reportTimeout, confirmPause
	for question := range questions {
		if question > 0 {
			onUnknown()
			if !pause.For(r.ctx, delay) {
				return false
			}
			timeout, delay = confirmTimeout, 2*delay
		}
		if upstream.Incarnation == 0 || r.isLimited(upstream.ID) || r.isPushedBack(upstream.ID) {
			return false
		}
		if report, ok := r.queryIncarnation(upstream, timeout); ok {
			return report > upstream.Incarnation
		}
	}
	return false
}

// queryIncarnation asks the process at an upstream's address for its incarnation.
func (r *Relay) queryIncarnation(upstream vaneyoke.Upstream, timeout time.Duration) (vaneyoke.Incarnation, bool) {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	report, ok := r.sender.LoadReport(ctx, upstream)
	return report.Incarnation, ok
}

// awaitCrashCheck waits until the check for a crash after the last loss is done.
func (s *Session) awaitCrashCheck(ctx context.Context) {
	s.mu.Lock()
	checked := s.crashChecked
	s.mu.Unlock()
	if checked == nil {
		return
	}
	timeout := time.NewTimer(crashCheckTimeout)
	defer timeout.Stop()
	select {
	case <-checked:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// lostAtStart reports whether an attempt may have been lost as its upstream started to run it. The head of an opaque
// stream arrives when its run starts; no other answer shows anything before its first chunk.
func (l *link) lostAtStart(cause generation.Cause) bool {
	switch cause {
	case generation.CauseClosed, generation.CauseMalformed, generation.CauseSilent, generation.CauseUnreachable:
	default:
		return false
	}
	if l.headAt.IsZero() {
		return !l.headAtStart && cause == generation.CauseClosed && time.Since(l.sentAt) <= silentStartWindow
	}
	return l.lastReceivedAt.Sub(l.headAt) <= startWindow
}

// Quarantine ends the running attempts of a content that crashes upstreams, except those whose answer has begun.
func (r *Relay) Quarantine(content vaneyoke.ContentID) {
	for _, s := range r.sessions() {
		if s.req.Content == content {
			s.quarantine()
		}
	}
}

func (s *Session) quarantine() {
	remaining, blocked := s.relay.guard.Blocked(s.req.Content)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !blocked || s.provenSafe || s.hasLiveHead() {
		return
	}
	s.handleLocked(time.Now(), generation.Quarantined{RetryAfter: remaining})
}

// hasLiveHead reports whether the head of a live attempt's answer has arrived.
func (s *Session) hasLiveHead() bool {
	for _, l := range s.links {
		if !l.headAt.IsZero() && !l.fenced && !l.outcomeReported {
			return true
		}
	}
	return false
}
