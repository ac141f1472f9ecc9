package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/internal/pause"
)

// currentProcess returns an upstream with the latest incarnation that is known: where output arrives, the earlier one has ended.
func (s *Session) currentProcess(u vaneyoke.Upstream) vaneyoke.Upstream {
	if s.relay.processes == nil {
		return u
	}
	if current, ok := s.relay.processes.Upstream(u.ID); ok && current.Incarnation > u.Incarnation {
		return current
	}
	return u
}

// isConfirmed reports whether an upstream is known for certain to be still the process that was listed, so that its version is that of its entry.
func (s *Session) isConfirmed(u vaneyoke.Upstream) bool {
	if s.relay.processes == nil || u.Incarnation == 0 {
		return true
	}
	current, ok := s.relay.processes.Upstream(u.ID)
	return ok && current.Incarnation == u.Incarnation && s.relay.processes.IsConfirmed(u.ID)
}

// confirmPin asks the upstream that gave the first output for its incarnation, a few times if it does not tell, unless that is known: it may have restarted with
// another version while its entry in the list is of the earlier one.
func (s *Session) confirmPin(attempt vaneyoke.Attempt) {
	l := s.links[attempt]
	if s.pinnedBy.ID != l.upstream.ID || l.isConfirmed || !s.mayConfirm(l.upstream.ID) {
		return
	}
	l.isConfirmed = true
	checked := make(chan struct{})
	s.pinChecked = checked
	s.spawn(func() {
		defer close(checked)
		for delay := confirmPause; delay < maxConfirmPause && s.mayConfirm(l.upstream.ID); delay *= 2 {
			report, ok := s.queryReport(s.ctx, l.upstream, confirmTimeout)
			if ok {
				s.handlePinReport(l, report)
				return
			}
			if !s.isLive(l) || !pause.For(s.ctx, delay) || !s.isLive(l) {
				return
			}
		}
	})
}

// handlePinReport corrects the pin if the upstream that gave the first output runs as a later incarnation than was known. Where it may have restarted since
// the attempt was sent, as output waits in a connection whose process has ended, the attempt's next chunk has to show that it gives the answer; until then nobody
// may go on with it.
func (s *Session) handlePinReport(l *link, report vaneyoke.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.Incarnation <= l.upstream.Incarnation {
		l.incarnation = report.Incarnation
		if s.pinnedBy.Incarnation == l.upstream.Incarnation && s.pin != vaneyoke.PinTo(&l.upstream) && !s.result.Ended {
			s.repin(l.upstream)
		}
		return
	}
	if time.Since(report.AskedAt) < minRestartTime && l.isPrompt() {
		s.correctPin(l, report.Incarnation)
		return
	}
	l.lateIncarnation = report.Incarnation
	unsure := l.upstream
	unsure.Incarnation, unsure.VersionUnknown = report.Incarnation, true
	s.logRepinned(unsure)
	s.setPin(pinToNobody(&l.upstream))
}

// isPrompt reports whether an attempt's first output came so soon that its upstream cannot have restarted since the attempt was sent.
func (l *link) isPrompt() bool {
	return !l.sentAt.IsZero() && !l.firstTokenAt.IsZero() && l.firstTokenAt.Sub(l.sentAt) < minRestartTime
}

// pinToNobody returns the pin of an answer of which it is not known which process of an upstream began it.
func pinToNobody(u *vaneyoke.Upstream) vaneyoke.Pin {
	return vaneyoke.Pin{IsSet: true, Version: u.Version, VersionUnknown: true}
}

// confirmLateReport corrects the pin by a report that came late, since a chunk of its attempt has come after it.
func (s *Session) confirmLateReport(l *link) {
	if l.lateIncarnation != 0 {
		s.correctPin(l, l.lateIncarnation)
		l.lateIncarnation = 0
	}
}

// correctPin records the incarnation that gave the first output, and pins the answer to it if that was not known.
func (s *Session) correctPin(l *link, incarnation vaneyoke.Incarnation) {
	l.incarnation = incarnation
	if current := s.currentProcess(l.upstream); current.Incarnation > s.pinnedBy.Incarnation && !s.result.Ended {
		s.repin(current)
	}
}

// isLive reports whether an attempt has neither ended nor been given up.
func (s *Session) isLive(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !l.fenced && !l.outcomeReported
}

// hasRestarted reports whether an upstream that was chosen to go on with an answer has restarted, so that its version is not known any more. It is asked
// unless its incarnation is known.
func (s *Session) hasRestarted(need placement.Need, u vaneyoke.Upstream) bool {
	if !need.Pin.IsSet || s.isConfirmed(u) || !s.mayConfirm(u.ID) {
		return false
	}
	s.queryReports([]vaneyoke.Upstream{u})
	current, ok := s.relay.processes.Upstream(u.ID)
	return ok && !need.Pin.Allows(&current)
}

const (
	confirmTimeout  = 500 * time.Millisecond // longest wait for the incarnation of an upstream
	confirmPause    = 50 * time.Millisecond  // before it is asked a second time; doubles with each question
	minRestartTime  = 100 * time.Millisecond // an upstream takes longer to restart
	maxConfirmPause = 800 * time.Millisecond
	// unreachedTimeout is how long an upstream that has not told its incarnation may accept no connections before its attempt is lost.
	unreachedTimeout = 1500 * time.Millisecond
)

// confirmContinuation finds out which process of its upstream goes on with an answer that another attempt has begun. The returned function waits until that is
// known, and reports whether it is the one that was chosen: an upstream that restarts while it is chosen answers the attempt with a version that the answer may
// not go on at. Meanwhile the answer is read, which shows that its connection has closed.
func (s *Session) confirmContinuation(ctx context.Context, attempt vaneyoke.Attempt) (isChosen func() bool) {
	s.mu.Lock()
	l, pinChecked := s.links[attempt], s.pinChecked
	s.mu.Unlock()
	isKnown := !l.continues || l.isConfirmed || s.isConfirmed(l.upstream)
	if isKnown && (!l.continues || pinChecked == nil) {
		return func() bool { return true }
	}
	done, confirmed := make(chan struct{}), false
	s.spawn(func() {
		defer close(done)
		confirmed = s.awaitPin(ctx, attempt, pinChecked) && (isKnown || s.awaitConfirmation(ctx, attempt, l))
	})
	return func() bool {
		<-done
		return confirmed
	}
}

// awaitPin waits until the process that began the answer has been asked for its incarnation, and reports whether the attempt's upstream may still go on.
func (s *Session) awaitPin(ctx context.Context, attempt vaneyoke.Attempt, checked <-chan struct{}) bool {
	if checked == nil {
		return true
	}
	select {
	case <-checked:
	case <-ctx.Done():
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u, by := s.links[attempt].upstream, s.pinnedBy
	if s.pin.Allows(&u) || (u.ID == by.ID && u.Incarnation == by.Incarnation) {
		return true
	}
	s.loseUnconfirmedLocked(attempt, generation.CauseRestarted, &begunElsewhereError{upstream: by.ID, incarnation: by.Incarnation})
	return false
}

// awaitConfirmation asks the upstream of an attempt for its incarnation until it is known. An upstream that is gone never tells it.
func (s *Session) awaitConfirmation(ctx context.Context, attempt vaneyoke.Attempt, l *link) bool {
	reachedAt := time.Now()
	for delay := confirmPause; !s.isConfirmed(l.upstream); delay = min(2*delay, maxConfirmPause) {
		if current := s.currentProcess(l.upstream); current.Incarnation > l.upstream.Incarnation {
			return s.handleConfirmation(attempt, vaneyoke.LoadReport{Incarnation: current.Incarnation})
		}
		if !s.mayConfirm(l.upstream.ID) {
			return true
		}
		if report, ok := s.queryReport(ctx, l.upstream, confirmTimeout); ok {
			return s.handleConfirmation(attempt, report)
		}
		if !pause.For(ctx, delay) {
			return false
		}
		upstream, path := s.connectionOf(attempt)
		if s.relay.isReachable(ctx, upstream, path) {
			reachedAt = time.Now()
			continue
		}
		if unreached := time.Since(reachedAt); unreached >= unreachedTimeout {
			s.loseUnconfirmed(attempt, generation.CauseUnreachable, &unreachedError{after: unreached})
			return false
		}
	}
	return true
}

// mayConfirm reports whether an upstream may be asked for its incarnation.
func (s *Session) mayConfirm(id vaneyoke.UpstreamID) bool {
	return s.relay.sender != nil && !s.relay.isLimited(id) && !s.relay.isPushedBack(id)
}

// handleConfirmation goes on with an attempt whose upstream has told its incarnation, unless that is a later one than was chosen.
func (s *Session) handleConfirmation(attempt vaneyoke.Attempt, report vaneyoke.LoadReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[attempt]
	if report.Incarnation <= l.upstream.Incarnation {
		l.isConfirmed = true
		return true
	}
	l.incarnation = report.Incarnation
	s.loseUnconfirmedLocked(attempt, generation.CauseRestarted, &restartedError{chosen: l.upstream.Incarnation, reported: report.Incarnation})
	return false
}

func (s *Session) loseUnconfirmed(attempt vaneyoke.Attempt, cause generation.Cause, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseUnconfirmedLocked(attempt, cause, err)
}

// loseUnconfirmedLocked ends an attempt that was to go on with an answer, unless it has ended.
func (s *Session) loseUnconfirmedLocked(attempt vaneyoke.Attempt, cause generation.Cause, err error) {
	if !s.links[attempt].fenced && !s.result.Ended && s.relay.ctx.Err() == nil {
		s.handleLossLocked(attempt, cause, err)
	}
}

// begunElsewhereError says that the upstream which began an answer had restarted, so that the chosen one may not go on with it.
type begunElsewhereError struct {
	upstream    vaneyoke.UpstreamID
	incarnation vaneyoke.Incarnation
}

func (e *begunElsewhereError) Error() string {
	return fmt.Sprintf("incarnation %d of upstream %s began the answer, not the listed one", e.incarnation, e.upstream)
}

// unreachedError says that an upstream accepts no connections and has not told which process of it runs.
type unreachedError struct{ after time.Duration }

func (e *unreachedError) Error() string {
	return fmt.Sprintf("no connection to the upstream and no incarnation of it for %s", e.after)
}

// restartedError says that another process of an upstream runs than the one that was chosen.
type restartedError struct{ chosen, reported vaneyoke.Incarnation }

func (e *restartedError) Error() string {
	return fmt.Sprintf("incarnation %d of the upstream runs, %d was chosen", e.reported, e.chosen)
}
