package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// cancelTimeout bounds a request to an engine to cancel a run.
const cancelTimeout = 2 * time.Second

// inspectTail asks an engine for the text that the detokenizer of the lost engine had still buffered.
func (s *Session) inspectTail(e generation.InspectTail, upstream vaneyoke.Upstream) {
	buffered, err := s.relay.engines.IncompleteTokens(s.ctx, upstream.URL, s.req.Model, e.IDs)
	if err != nil {
		s.handleError(e.Attempt, &engine.NotSentError{Reason: err.Error()})
		return
	}
	s.handle(time.Now(), generation.TailInspected{Attempt: e.Attempt, Buffered: buffered})
}

// start opens the attempt's link and reads its answer in a goroutine.
func (s *Session) start(e generation.Start) {
	l := s.links[e.Attempt]
	l.base = e.From
	l.sentAt = time.Now()
	l.fromReplica = e.FromReplica
	l.headAtStart = s.isStream()
	s.lastUpstream = e.Upstream
	l.streamName = engine.StreamName(s.req.ID, s.epoch, e.Attempt)
	ctx := s.openLink(l, e.Attempt, "attempt")
	s.relay.metrics.Attempts.Add(1)
	if e.Attempt > 1 {
		s.logAttempt(e.Attempt, l.upstream.ID).WithFields(logrus.Fields{
			"from": e.From, "replica": l.replica.ID, "from_replica": e.FromReplica, "software": l.upstream.Version,
		}).Info("attempt_started")
	}
	switch m := s.mode.(type) {
	case *streaming:
		engineReq := openai.StreamRequest(m.req, e.Prefix, e.From)
		s.spawn(func() {
			s.readStream(ctx, e.Attempt, func() (*engine.Stream, error) {
				return s.relay.engines.Start(ctx, l.upstream.URL, l.streamName, engineReq, e.From, m.req.Repeatable)
			})
		})
	case *unary:
		s.spawn(func() { s.call(ctx, e.Attempt, l, m) })
	case *forwarded:
		s.recordContinuation(e, l, m)
		l.unsent = true
		outgoing := s.forwardAttempt(e, l, m)
		s.spawn(func() { s.forward(ctx, e, m, outgoing) })
	}
}

// resume opens a link to the stream of an earlier attempt.
func (s *Session) resume(e generation.Resume) {
	old := s.links[e.Stream]
	l := &link{upstream: old.upstream, base: old.base, streamName: old.streamName, gotFirstToken: true, resumed: true}
	s.relay.placer.Resumed(old.upstream.ID)
	s.links[e.Attempt] = l
	ctx := s.openLink(l, e.Attempt, "resume")
	s.relay.metrics.Attempts.Add(1)
	s.spawn(func() {
		s.readStream(ctx, e.Attempt, func() (*engine.Stream, error) {
			return s.relay.engines.Resume(ctx, l.upstream.URL, l.streamName, l.base, e.From)
		})
	})
}

func (s *Session) openLink(l *link, attempt vaneyoke.Attempt, name string) context.Context {
	ctx, cancel := context.WithCancel(s.ctx)
	ctx, span := s.relay.tracer.Start(ctx, name, trace.WithAttributes(
		attribute.Int("attempt", int(attempt)),
		attribute.String("upstream", string(l.upstream.ID)),
	))
	l.started = true
	l.cancel = func() {
		cancel()
		span.End()
	}
	return ctx
}

// cancel closes an attempt's link and, if requested, tells the engine to cancel the run.
func (s *Session) cancel(e generation.Cancel) {
	l := s.links[e.Attempt]
	if l == nil {
		return
	}
	l.cancel()
	l.fenced = true
	if l.isRetry && l.unsent && !l.outcomeReported {
		s.relay.placer.RefundRetry(s.need)
	}
	outcome := placement.OutcomeDropped
	if e.Cause != 0 && !l.outcomeReported { // the state machine has given it up
		outcome = outcomeOf(e.Cause)
		s.recordLoss(e.Attempt, l, e.Cause, nil)
		if !l.suspected { // otherwise it was checked before the attempt that replaces it
			s.checkCrash(l, e.Cause)
		}
	}
	if e.Cause == generation.CauseSilent || e.Cause == generation.CauseMalformed {
		s.recordAnswer(l, rollout.Answer{Kind: rollout.AnswerLost})
	}
	s.reportOutcome(e.Attempt, outcome)
	if _, opaque := s.mode.(*forwarded); e.Stop && !opaque { // closing the connection cancels an opaque run
		s.spawn(func() { s.stopRun(l.upstream, l.streamName) })
	}
}

// suspect logs and counts that another attempt is to replace one, which goes on until then. It does so once for each silence.
func (s *Session) suspect(e generation.Suspect) {
	l := s.links[e.Attempt]
	l.suspectedFor = e.Cause
	if l.suspected {
		return
	}
	l.suspected = true
	s.logAttempt(e.Attempt, e.Upstream).WithFields(logrus.Fields{
		"cause": e.Cause, "pieces": l.chunks, "head_ms": l.headMs(), "age_ms": time.Since(l.sentAt).Milliseconds(), "left_ms": s.timeLeftMs(),
	}).Info("attempt_suspect")
	s.relay.metrics.Suspects.Add(e.Cause.String(), 1)
	s.checkCrash(l, e.Cause)
}

// reportSuspects tells the placer, once for each attempt, of those that nobody takes over.
func (s *Session) reportSuspects() {
	if s.relay.suspicions == nil {
		return
	}
	for _, l := range s.links {
		if l.suspected && !l.lossReported && !l.unsent && !l.fenced && !l.outcomeReported {
			l.lossReported = true
			s.relay.suspicions.Suspected(l.upstream.ID, outcomeOf(l.suspectedFor))
		}
	}
}

func (s *Session) stopRun(upstream vaneyoke.Upstream, name string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
	defer cancel()
	if err := s.relay.engines.Cancel(ctx, upstream.URL, name); err != nil {
		fields := logrus.Fields{"request": s.req.ID, "upstream": upstream.ID, "stream": name, "error": err}
		s.relay.log.WithFields(fields).Debug("cancel_failed")
	}
}

// reportOutcome tells the placer the outcome of an attempt, once.
func (s *Session) reportOutcome(attempt vaneyoke.Attempt, outcome placement.Outcome) {
	l := s.links[attempt]
	if l == nil || l.outcomeReported {
		return
	}
	l.outcomeReported = true
	if l.lossReported && outcome == outcomeOf(l.suspectedFor) {
		outcome = placement.OutcomeDropped
	}
	if l.isRetry && !l.started {
		s.relay.placer.RefundRetry(s.need)
	}
	s.recordDecode(time.Now(), l, outcome)
	s.recordChunkGap(time.Now(), l)
	s.recordRun(time.Now(), l, outcome)
	if l.replica.ID != "" {
		s.relay.placer.ReleaseReplica(l.replica.ID, s.need)
	}
	s.relay.placer.Ended(l.upstream.ID, outcome, l.gotFirstToken)
	s.reportRunEnded(l)
}

// readStream reads an attempt's stream to its end.
func (s *Session) readStream(ctx context.Context, attempt vaneyoke.Attempt, open func() (*engine.Stream, error)) {
	stream, err := open()
	if err != nil {
		s.handleError(attempt, err)
		return
	}
	defer func() { _ = stream.Close() }()
	s.recordHead(attempt, forward.Head{})
	s.handle(time.Now(), generation.Sent{Attempt: attempt})
	isChosen := s.confirmContinuation(ctx, attempt)
	received := &generation.Received{Attempt: attempt}
	for {
		message, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			s.handleError(attempt, err)
			return
		}
		if !isChosen() {
			return
		}
		s.handleMessage(attempt, received, message)
		if ctx.Err() != nil {
			return
		}
	}
}

// handleMessage passes one message of a stream to the state machine.
func (s *Session) handleMessage(attempt vaneyoke.Attempt, received *generation.Received, message engine.Message) {
	now := time.Now()
	switch m := message.(type) {
	case engine.Prompt:
		s.handle(now, generation.PromptTokenized{Attempt: attempt, IDs: m.IDs})
	case *engine.Tokens:
		received.Batch = m.Batch
		s.handleTokens(now, received)
	case engine.End:
		s.handleEnd(now, generation.Ended{Attempt: attempt, Reason: m.Reason})
	}
}

// handleTokens reports an attempt's first tokens to the placer and passes all tokens to the state machine.
func (s *Session) handleTokens(now time.Time, received *generation.Received) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordFirstToken(now, received.Attempt)
	if l := s.links[received.Attempt]; l != nil {
		s.recordReceived(now, l)
	}
	s.handleLocked(now, received)
	if s.state.Transcript().Len() > 0 {
		s.pinTo(received.Attempt)
	}
}

// recordFirstToken records the first token of an attempt that was started here.
func (s *Session) recordFirstToken(now time.Time, attempt vaneyoke.Attempt) {
	l := s.links[attempt]
	if l == nil || l.gotFirstToken || l.outcomeReported {
		return
	}
	l.gotFirstToken, l.firstTokenAt = true, now
	s.recordPrefill(now, l)
	if s.isStream() && !l.fromReplica {
		s.recordAnswer(l, rollout.Answer{Kind: rollout.AnswerGood, Took: now.Sub(l.sentAt)})
	}
	if !l.sentAt.IsZero() && !l.fromReplica && !s.mayBeCached() {
		s.relay.placer.FirstToken(l.upstream.ID, now.Sub(l.sentAt), s.need.PromptBytes)
		s.recordFirstChunk(now, l)
	}
}

func (s *Session) handleEnd(now time.Time, ev generation.Ended) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordEmptyEnd(now, s.links[ev.Attempt])
	s.recordEnding(ev.Attempt)
	s.reportOutcome(ev.Attempt, placement.OutcomeDone)
	s.recordCompletion()
	s.recordLength(now)
	s.handleLocked(now, ev)
	s.closeLink(ev.Attempt)
}

// closeLink releases the link of an attempt that needs no cancellation.
func (s *Session) closeLink(attempt vaneyoke.Attempt) {
	if l := s.links[attempt]; l != nil {
		l.cancel()
	}
}

// call sends a unary call; its answer counts as one token.
func (s *Session) call(ctx context.Context, attempt vaneyoke.Attempt, l *link, m *unary) {
	send := s.relay.engines.Call
	if !s.req.Repeatable {
		send = s.relay.engines.CallOnce
	}
	s.handle(time.Now(), generation.Sent{Attempt: attempt})
	answer, err := send(ctx, l.upstream.URL+m.path, l.streamName, m.body)
	if err == nil && s.need.Kind == vaneyoke.KindEngine {
		err = answer.Err()
	}
	if err != nil {
		s.handleError(attempt, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.need.Kind == vaneyoke.KindService {
		s.recordFirstToken(now, attempt)
	}
	s.reportOutcome(attempt, placement.OutcomeDone)
	s.recordCompletion()
	if !s.result.Ended {
		s.answer = answer
	}
	batch := vaneyoke.Batch{IDs: []vaneyoke.TokenID{0}, Text: answer.Body}
	s.handleLocked(now, &generation.Received{Attempt: attempt, Batch: batch})
	s.handleLocked(now, generation.Ended{Attempt: attempt, Reason: vaneyoke.FinishStop})
	s.closeLink(attempt)
}

func (s *Session) logAttempt(attempt vaneyoke.Attempt, upstream vaneyoke.UpstreamID) *logrus.Entry {
	return s.relay.log.WithFields(logrus.Fields{"request": s.req.ID, "attempt": int(attempt), "upstream": upstream})
}
