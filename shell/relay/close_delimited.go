package relay

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// errProcessEnded says that the end of a close-delimited answer is the end of its upstream's process, whose connections close as those of a whole answer do.
var errProcessEnded = errors.New("nothing but its connection's end frames the answer, and its process has ended or restarted")

// handleStreamEnd handles the end of an attempt's stream. Where nothing frames it, it is a loss if the upstream's process has ended; otherwise, a stream that
// may go on elsewhere has another attempt confirm it.
func (s *Session) handleStreamEnd(attempt vaneyoke.Attempt, framing forward.Framing) {
	if err := s.checkCloseDelimited(attempt, framing); err != nil {
		s.handleError(attempt, err)
		return
	}
	if framing == forward.CloseDelimited && s.req.Repeatable {
		s.handleUnconfirmedEnd(time.Now(), attempt)
		return
	}
	s.handleEnd(time.Now(), generation.Ended{Attempt: attempt, Reason: vaneyoke.FinishStop})
}

// handleUnconfirmedEnd handles the end of a stream that another attempt is to confirm.
func (s *Session) handleUnconfirmedEnd(now time.Time, attempt vaneyoke.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[attempt]
	if l.fenced || s.result.Ended {
		return
	}
	s.recordEmptyEnd(now, l)
	s.recordEnding(attempt)
	_, lastEvent := s.ending()
	s.logAttempt(attempt, l.upstream.ID).WithFields(logrus.Fields{
		"pieces": l.chunks, "event": lastEvent, "age_ms": time.Since(l.sentAt).Milliseconds(),
	}).Info("end_unconfirmed")
	s.reportOutcome(attempt, placement.OutcomeDone)
	s.handleAndRecordCompletion(now, generation.Ended{Attempt: attempt, Reason: vaneyoke.FinishStop, Unconfirmed: true})
	s.closeLink(attempt)
}

// handleAndRecordCompletion handles an event at which an answer whose end nothing frames may count as complete.
func (s *Session) handleAndRecordCompletion(now time.Time, ev generation.Event) {
	hadEnded := s.result.Ended
	s.handleLocked(now, ev)
	if !hadEnded && s.result.Ended && s.result.Code == vaneyoke.CodeOK {
		s.recordCompletion()
		s.recordLength(now)
	}
}

// checkCloseDelimited returns an error if an answer that only the end of its connection frames may be cut off, since the process that gave it has ended.
func (s *Session) checkCloseDelimited(attempt vaneyoke.Attempt, framing forward.Framing) error {
	if framing != forward.CloseDelimited {
		return nil
	}
	upstream, _ := s.connectionOf(attempt)
	if !s.relay.hasExited(upstream, 1, func() {}) {
		return nil
	}
	return &engine.ClosedError{Err: errProcessEnded}
}
