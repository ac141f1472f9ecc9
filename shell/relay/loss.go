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

// failed tells the state machine why an attempt's link broke.
func (s *Session) failed(attempt vaneyoke.Attempt, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[attempt]
	if l.fenced || s.relay.ctx.Err() != nil {
		return
	}
	if refused, ok := errors.AsType[*engine.RefusedError](err); ok {
		s.settle(attempt, placement.OutcomeDone)
		s.handleLocked(time.Now(), generation.Rejected{Attempt: attempt, Detail: refusal(refused)})
		s.close(attempt)
		return
	}
	s.lostLocked(attempt, causeOf(err), err)
}

// lostLocked tells the state machine that an attempt was lost.
func (s *Session) lostLocked(attempt vaneyoke.Attempt, cause generation.Cause, err error) {
	l := s.links[attempt]
	s.noteLoss(attempt, l, cause, err)
	s.relay.notePushback(l.upstream, err)
	s.verify(l, cause)
	if l.retry && cause == generation.CauseNotSent {
		s.relay.placer.Unsent(s.need)
	}
	if cause == generation.CauseClosed || cause == generation.CauseMalformed {
		s.answered(l, rollout.Answer{Kind: rollout.AnswerLost})
	}
	s.settle(attempt, l.lossOutcome(cause))
	s.handleLocked(time.Now(), generation.Lost{Attempt: attempt, Cause: cause})
	s.close(attempt)
}

// noteLoss logs and counts that an attempt was lost; err is nil where it was given up.
func (s *Session) noteLoss(attempt vaneyoke.Attempt, l *link, cause generation.Cause, err error) {
	s.logAttempt(attempt, l.upstream.ID).WithFields(logrus.Fields{
		"cause": cause, "error": err, "content": s.req.Content, "begun": l.begun, "pieces": l.pieces,
		"head_ms": l.headMs(), "age_ms": time.Since(l.sentAt).Milliseconds(),
	}).Warn("attempt_lost")
	s.relay.metrics.Losses.Add(cause.String(), 1)
}

// headMs returns the time to the head of the answer in milliseconds, -1 where it has not come.
func (l *link) headMs() int64 {
	if l.headAt.IsZero() {
		return -1
	}
	return l.headAt.Sub(l.sentAt).Milliseconds()
}

// lossOutcome returns what a loss says of the upstream; a stream that could not be resumed was counted when it broke.
func (l *link) lossOutcome(cause generation.Cause) placement.Outcome {
	if l.resumed {
		return placement.OutcomeDropped
	}
	if cause == generation.CauseGone {
		return placement.OutcomeGone
	}
	return outcomeOf(cause)
}

// outcomeOf returns what the cause of a loss says of the upstream; one that declines is well.
func outcomeOf(cause generation.Cause) placement.Outcome {
	switch cause {
	case generation.CauseDeclined:
		return placement.OutcomeDeclined
	case generation.CauseNotSent, generation.CauseUnreachable:
		return placement.OutcomeUnreachable
	case generation.CauseFailed:
		return placement.OutcomeFailed
	default:
		return placement.OutcomeLost
	}
}

func refusal(err *engine.RefusedError) string {
	const most = 300
	body := err.Body[:min(len(err.Body), most)]
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
