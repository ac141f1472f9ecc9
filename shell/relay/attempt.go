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
)

// cancelTimeout bounds the order to an engine to stop a run.
const cancelTimeout = 2 * time.Second

// inspect asks an engine where the lost engine's shown text ended.
func (s *Session) inspect(e generation.InspectTail, upstream vaneyoke.Upstream) {
	held, err := s.relay.engines.IncompleteTokens(s.ctx, upstream.URL, s.req.Model, e.IDs)
	if err != nil {
		s.failed(e.Attempt, &engine.NotSentError{Reason: err.Error()})
		return
	}
	s.handle(time.Now(), generation.TailInspected{Attempt: e.Attempt, Buffered: held})
}

// start opens the attempt's link and follows it in a goroutine.
func (s *Session) start(e generation.Start) {
	l := s.links[e.Attempt]
	l.base = e.From
	l.sentAt = time.Now()
	l.fromReplica = e.FromReplica
	l.headFirst = s.isStream()
	s.last = e.Upstream
	l.name = engine.StreamName(s.req.ID, s.epoch, e.Attempt)
	ctx := s.open(l, e.Attempt, "attempt")
	s.relay.metrics.Attempts.Add(1)
	if e.Attempt > 1 {
		s.logAttempt(e.Attempt, l.upstream.ID).WithFields(logrus.Fields{
			"from": e.From, "replica": l.replica.ID, "from_replica": e.FromReplica,
		}).Info("attempt_started")
	}
	switch m := s.mode.(type) {
	case *streamed:
		run := openai.StreamRequest(m.req, e.Prefix, e.From)
		go s.follow(ctx, e.Attempt, func() (*engine.Stream, error) {
			return s.relay.engines.Start(ctx, l.upstream.URL, l.name, run, e.From, m.req.Repeatable)
		})
	case *whole:
		go s.call(ctx, e.Attempt, l, m)
	case *forwarded:
		go s.forward(ctx, e, m, s.forwardAttempt(e, l, m))
	}
}

// resume opens a link to the stream of an earlier attempt.
func (s *Session) resume(e generation.Resume) {
	old := s.links[e.Stream]
	l := &link{upstream: old.upstream, base: old.base, name: old.name, begun: true, resumed: true}
	s.relay.placer.Resumed(old.upstream.ID)
	s.links[e.Attempt] = l
	ctx := s.open(l, e.Attempt, "resume")
	s.relay.metrics.Attempts.Add(1)
	go s.follow(ctx, e.Attempt, func() (*engine.Stream, error) {
		return s.relay.engines.Resume(ctx, l.upstream.URL, l.name, l.base, e.From)
	})
}

func (s *Session) open(l *link, attempt vaneyoke.Attempt, name string) context.Context {
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

// cancel closes an attempt's link and, where asked, tells the engine to stop the run.
func (s *Session) cancel(e generation.Cancel) {
	l := s.links[e.Attempt]
	if l == nil {
		return
	}
	l.cancel()
	l.fenced = true
	outcome := placement.OutcomeDropped
	if e.Cause == generation.CauseSilent || e.Cause == generation.CauseUnreachable {
		outcome = outcomeOf(e.Cause)
		s.noteLoss(e.Attempt, l, e.Cause, nil)
		s.verify(l, e.Cause)
	}
	if e.Cause == generation.CauseSilent {
		s.answered(l, rollout.Answer{Kind: rollout.AnswerLost})
	}
	s.settle(e.Attempt, outcome)
	if _, opaque := s.mode.(*forwarded); e.Stop && !opaque { // closing the connection ends an opaque run
		go s.stopRun(l.upstream, l.name)
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

// settle tells the placer once how an attempt came out.
func (s *Session) settle(attempt vaneyoke.Attempt, outcome placement.Outcome) {
	l := s.links[attempt]
	if l == nil || l.settled {
		return
	}
	l.settled = true
	s.tookRunning(time.Now(), l, outcome)
	if l.replica.ID != "" {
		s.relay.placer.Released(l.replica.ID, s.need)
	}
	s.relay.placer.Ended(l.upstream.ID, outcome, l.begun)
}

// follow reads an attempt's stream to its end.
func (s *Session) follow(ctx context.Context, attempt vaneyoke.Attempt, open func() (*engine.Stream, error)) {
	stream, err := open()
	if err != nil {
		s.failed(attempt, err)
		return
	}
	defer func() { _ = stream.Close() }()
	s.headed(attempt)
	received := &generation.Received{Attempt: attempt}
	for {
		message, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			s.failed(attempt, err)
			return
		}
		s.take(attempt, received, message)
		if ctx.Err() != nil {
			return
		}
	}
}

// take gives one message of a stream to the state machine.
func (s *Session) take(attempt vaneyoke.Attempt, received *generation.Received, message engine.Message) {
	now := time.Now()
	switch m := message.(type) {
	case engine.Prompt:
		s.handle(now, generation.PromptTokenized{Attempt: attempt, IDs: m.IDs})
	case *engine.Tokens:
		received.Batch = m.Batch
		s.handleTokens(now, received)
	case engine.End:
		s.ended(now, attempt, m.Reason)
	}
}

// handleTokens tells the placer of an attempt's first tokens, and gives all to the state machine.
func (s *Session) handleTokens(now time.Time, received *generation.Received) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now, received.Attempt)
	if l := s.links[received.Attempt]; l != nil {
		s.heard(now, l)
	}
	s.handleLocked(now, received)
}

// begin notes the first token of an attempt that was started here.
func (s *Session) begin(now time.Time, attempt vaneyoke.Attempt) {
	l := s.links[attempt]
	if l == nil || l.begun || l.settled {
		return
	}
	l.begun, l.begunAt = true, now
	s.tookReading(now, l)
	if s.isStream() && !l.fromReplica {
		s.answered(l, rollout.Answer{Kind: rollout.AnswerGood, Took: now.Sub(l.sentAt)})
	}
	if !l.sentAt.IsZero() && !l.fromReplica && !s.mayBeCached() {
		s.relay.placer.FirstToken(l.upstream.ID, now.Sub(l.sentAt), s.need.PromptBytes)
	}
}

func (s *Session) ended(now time.Time, attempt vaneyoke.Attempt, reason vaneyoke.FinishReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(attempt, placement.OutcomeDone)
	s.survived()
	s.handleLocked(now, generation.Ended{Attempt: attempt, Reason: reason})
	s.close(attempt)
}

// close frees the link of an attempt that needs no cancelling.
func (s *Session) close(attempt vaneyoke.Attempt) {
	if l := s.links[attempt]; l != nil {
		l.cancel()
	}
}

// call sends a whole call; its answer counts as one token.
func (s *Session) call(ctx context.Context, attempt vaneyoke.Attempt, l *link, m *whole) {
	send := s.relay.engines.Call
	if !s.req.Repeatable {
		send = s.relay.engines.CallOnce
	}
	answer, err := send(ctx, l.upstream.URL+m.path, l.name, m.body)
	if err == nil && s.need.Kind == vaneyoke.KindEngine {
		err = answer.Err()
	}
	if err != nil {
		s.failed(attempt, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.need.Kind == vaneyoke.KindService {
		s.begin(now, attempt)
	}
	s.settle(attempt, placement.OutcomeDone)
	s.survived()
	if !s.result.Ended {
		s.answer = answer
	}
	batch := vaneyoke.Batch{IDs: []vaneyoke.TokenID{0}, Text: answer.Body}
	s.handleLocked(now, &generation.Received{Attempt: attempt, Batch: batch})
	s.handleLocked(now, generation.Ended{Attempt: attempt, Reason: vaneyoke.FinishStop})
	s.close(attempt)
}

func (s *Session) logAttempt(attempt vaneyoke.Attempt, upstream vaneyoke.UpstreamID) *logrus.Entry {
	return s.relay.log.WithFields(logrus.Fields{"request": s.req.ID, "attempt": int(attempt), "upstream": upstream})
}
