package relay

import (
	"errors"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/wire/engine"
)

// handleError tells the state machine why an attempt's link broke.
func (s *Session) handleError(attempt vaneyoke.Attempt, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[attempt]
	if l.fenced || s.relay.ctx.Err() != nil {
		return
	}
	if l.pause.explains(time.Now()) {
		s.cutReader(err)
		return
	}
	if refused, ok := errors.AsType[*engine.RefusedError](err); ok {
		s.reportOutcome(attempt, placement.OutcomeDone)
		s.handleLocked(time.Now(), generation.Rejected{Attempt: attempt, Detail: rejectionDetail(refused)})
		s.closeLink(attempt)
		return
	}
	s.handleLossLocked(attempt, causeOf(err), err)
}

// handleLossLocked tells the state machine that an attempt was lost.
func (s *Session) handleLossLocked(attempt vaneyoke.Attempt, cause generation.Cause, err error) {
	l := s.links[attempt]
	s.recordLoss(attempt, l, cause, err)
	s.relay.recordPushback(l.upstream, err)
	s.checkCrash(l, cause)
	if l.isRetry && cause == generation.CauseNotSent {
		s.relay.placer.RefundRetry(s.need)
	}
	if cause == generation.CauseClosed || cause == generation.CauseMalformed {
		s.recordAnswer(l, rollout.Answer{Kind: rollout.AnswerLost})
	}
	s.reportOutcome(attempt, l.lossOutcome(cause, err))
	s.handleLocked(time.Now(), generation.Lost{Attempt: attempt, Cause: cause})
	s.closeLink(attempt)
}

// recordLoss logs and counts a lost attempt; err is nil if the attempt was abandoned.
func (s *Session) recordLoss(attempt vaneyoke.Attempt, l *link, cause generation.Cause, err error) {
	var helper vaneyoke.VMID
	if name, ok := l.path.Helper(); ok {
		helper = name
	}
	s.logAttempt(attempt, l.upstream.ID).WithFields(logrus.Fields{
		"cause": cause, "error": err, "content": s.req.Content, "begun": l.gotFirstToken, "pieces": l.chunks, "peer": helper,
		"head_ms": l.headMs(), "age_ms": time.Since(l.sentAt).Milliseconds(),
	}).Warn("attempt_lost")
	s.relay.metrics.Losses.Add(cause.String(), 1)
}

// headMs returns the time to the head of the answer in milliseconds, -1 if it has not arrived.
func (l *link) headMs() int64 {
	if l.headAt.IsZero() {
		return -1
	}
	return l.headAt.Sub(l.sentAt).Milliseconds()
}

// lossOutcome returns the outcome of a loss for the placer; the loss of a stream that could not be resumed was counted
// when the stream broke.
func (l *link) lossOutcome(cause generation.Cause, err error) placement.Outcome {
	if l.resumed {
		return placement.OutcomeDropped
	}
	if cause == generation.CauseGone {
		return placement.OutcomeGone
	}
	if notSent, ok := errors.AsType[*engine.NotSentError](err); ok && notSent.Unconfirmed {
		return placement.OutcomePathLost
	}
	return outcomeOf(cause)
}

// outcomeOf returns the outcome for the placer by the cause of a loss; an upstream that declines is healthy.
func outcomeOf(cause generation.Cause) placement.Outcome {
	switch cause {
	case generation.CauseDeclined:
		return placement.OutcomeDeclined
	case generation.CauseNotSent, generation.CauseUnreachable:
		return placement.OutcomeUnreachable
	case generation.CauseFailed:
		return placement.OutcomeFailed
	case generation.CauseRestarted:
		return placement.OutcomeDropped
	default:
		return placement.OutcomeLost
	}
}

func rejectionDetail(err *engine.RefusedError) string {
	const maxBody = 300
	body := err.Body[:min(len(err.Body), maxBody)]
	return "status " + strconv.Itoa(err.Status) + ": " + string(body)
}

func causeOf(err error) generation.Cause {
	if _, ok := errors.AsType[*engine.NotSentError](err); ok {
		return generation.CauseNotSent
	}
	if declined, ok := errors.AsType[*engine.DeclinedError](err); ok && declined.Replaced {
		return generation.CauseGone
	}
	if _, ok := errors.AsType[*engine.DeclinedError](err); ok {
		return generation.CauseDeclined
	}
	if _, ok := errors.AsType[*engine.StreamNotFoundError](err); ok {
		return generation.CauseNoStream
	}
	if _, ok := errors.AsType[*engine.MalformedError](err); ok {
		return generation.CauseMalformed
	}
	return generation.CauseClosed
}
