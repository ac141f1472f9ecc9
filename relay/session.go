package relay

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/engine"
	"github.com/vaneyoke/vaneyoke/generation"
	"github.com/vaneyoke/vaneyoke/placement"
)

// Session is one running or finished answer.
type Session struct {
	relay *Relay
	req   *vaneyoke.Request
	need  placement.Need
	mode  mode
	ctx   context.Context
	stop  context.CancelFunc
	span  trace.Span

	mu      sync.Mutex
	changed *sync.Cond
	state   *generation.State
	links   map[vaneyoke.Attempt]*link
	timer   *time.Timer
	result  Result
	answer  engine.Answer       // of a whole session
	last    vaneyoke.UpstreamID // to which the last attempt was sent
	pace    pace                // of what was let through
	epoch   uint64              // counts the request's owners from 1
}

// link is the shell's side of one attempt.
type link struct {
	cancel      context.CancelFunc
	upstream    vaneyoke.Upstream
	replica     vaneyoke.Upstream // keeps a replica of the run's memory; the zero value for none
	name        string            // by which the engine knows the run
	base        vaneyoke.Tokens   // answer's index of the first token of the run on the engine
	fromReplica bool              // whether the run goes on from a replica, which says nothing of how long prompts take
	started     bool              // whether anything was sent
	sentAt      time.Time         // when the run was started, zero for a resumed stream
	resumed     bool              // whether it is attached to an earlier attempt's stream
	begun       bool              // whether its first token has come
	fenced      bool              // whether the attempt was cancelled
	settled     bool              // whether the placer knows how the attempt came out
}

// Result says how a session ended; it is zero while the session runs.
type Result struct {
	Ended      bool
	Code       vaneyoke.Code
	Detail     string
	RetryAfter time.Duration
	Reason     vaneyoke.FinishReason
	Usage      vaneyoke.Usage
	Stats      generation.Stats
}

// Err returns the result as an error, or nil where the answer is whole.
func (r Result) Err() error {
	if r.Code == vaneyoke.CodeOK {
		return nil
	}
	text := r.Code.Info().Text
	if r.Detail != "" {
		text += " (" + r.Detail + ")"
	}
	return vaneyoke.ErrRetryAfter(r.Code, r.RetryAfter, "%s", text)
}

func newSession(ctx context.Context, r *Relay, req *vaneyoke.Request, need placement.Need, m mode, state *generation.State) *Session {
	ctx, stop := context.WithCancel(trace.ContextWithSpan(r.ctx, trace.SpanFromContext(ctx)))
	ctx, span := r.tracer.Start(ctx, "session", trace.WithAttributes(
		attribute.String("request", string(req.ID)),
		attribute.String("workspace", string(req.Workspace)),
	))
	s := &Session{
		relay: r,
		req:   req,
		need:  need,
		mode:  m,
		ctx:   ctx,
		stop:  stop,
		span:  span,
		state: state,
		links: map[vaneyoke.Attempt]*link{},
	}
	s.changed = sync.NewCond(&s.mu)
	s.timer = time.AfterFunc(time.Hour, s.tick)
	r.metrics.Open.Add(1)
	return s
}

// Request returns the request that the session answers.
func (s *Session) Request() *vaneyoke.Request { return s.req }

// Abandon ends the session because nobody waits for its answer.
func (s *Session) Abandon() { s.handle(time.Now(), generation.CallerGone{}) }

// Read waits until the answer's text is longer than from bytes or has ended, and returns the new text.
// The text must not be changed. Result is zero until the last text has been read.
func (s *Session) Read(ctx context.Context, from int) ([]byte, Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readable(from) {
		stop := context.AfterFunc(ctx, s.wake)
		defer stop()
	}
	for !s.readable(from) {
		if ctx.Err() != nil {
			return nil, Result{}, vaneyoke.WrapErr(vaneyoke.CodeCallerGone, ctx.Err(), "caller is gone")
		}
		s.changed.Wait()
	}
	t := s.state.Transcript()
	if t.Visible > from {
		return t.Text[from:t.Visible:t.Visible], Result{}, nil
	}
	return nil, s.result, nil
}

func (s *Session) readable(from int) bool {
	return s.state.Transcript().Visible > from || s.result.Ended
}

// Wait waits until the session has ended.
func (s *Session) Wait(ctx context.Context) (Result, error) {
	from := 0
	for {
		text, result, err := s.Read(ctx, from)
		if err != nil || result.Ended {
			return result, err
		}
		from += len(text)
	}
}

// Text returns the whole text of a session that has ended.
func (s *Session) Text() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Transcript().Text
}

// Answer returns the upstream's answer of a session that was not streamed.
func (s *Session) Answer() engine.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answer
}

// Running reports whether the session has not ended.
func (s *Session) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.result.Ended
}

func (s *Session) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

func (s *Session) tick() { s.handle(time.Now(), generation.Tick{}) }

// handle gives an event to the state machine and carries out what it asks for.
func (s *Session) handle(now time.Time, ev generation.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleLocked(now, ev)
}

func (s *Session) handleLocked(now time.Time, ev generation.Event) {
	if s.relay.ctx.Err() != nil {
		return
	}
	for _, effect := range s.state.Handle(now, ev) {
		s.apply(effect)
	}
	if _, ok := ev.(*generation.Received); ok && s.state.Transcript().Len() > 1 {
		return // the timer is set anew when it next fires
	}
	s.setTimer(now)
}

func (s *Session) setTimer(now time.Time) {
	due := s.state.Deadline()
	if s.result.Ended || due.IsZero() {
		s.timer.Stop()
		return
	}
	s.timer.Reset(due.Sub(now))
}

// apply carries out an effect; whatever waits runs in a goroutine of its own.
func (s *Session) apply(effect generation.Effect) {
	switch e := effect.(type) {
	case generation.Place:
		go s.place(e)
	case generation.Inspect:
		go s.inspect(e, s.links[e.Attempt].upstream)
	case generation.Probe:
		go s.probe(e)
	case generation.Start:
		s.start(e)
	case generation.Resume:
		s.resume(e)
	case generation.Cancel:
		s.cancel(e)
	case generation.Given:
		s.pace.add(time.Now())
		s.changed.Broadcast()
	case generation.Finish:
		s.end(Result{Reason: e.Reason, Usage: e.Usage})
	case generation.Fail:
		s.end(Result{Code: e.Code, Detail: e.Detail, RetryAfter: e.RetryAfter})
	}
}

func (s *Session) end(result Result) {
	result.Ended = true
	result.Stats = s.state.Stats()
	s.result = result
	s.timer.Stop()
	s.stop()
	s.changed.Broadcast()
	s.record()
}

// pace follows when an answer's pieces were let through.
type pace struct {
	first, last time.Time     // zero before the first piece
	longest     time.Duration // longest pause between two pieces
}

func (p *pace) add(now time.Time) {
	if p.first.IsZero() {
		p.first = now
	} else {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

// measure counts an opaque request at its route.
func (s *Session) measure() {
	if _, ok := s.mode.(*forwarded); !ok {
		return
	}
	s.relay.metrics.Routes.Add(s.req.Kind+" "+s.result.Code.Info().Name, 1)
	if s.result.Code == vaneyoke.CodeOK {
		s.relay.metrics.Latencies.Add(s.req.Kind, s.pace.first.Sub(s.req.ReceivedAt), s.pace.longest, time.Since(s.req.ReceivedAt))
	}
}

// isPlain reports whether nothing is to be told of the session but that it went well.
func (s *Session) isPlain() bool {
	stats := s.result.Stats
	return s.result.Code == vaneyoke.CodeOK && stats.Attempts <= 1 && stats.Losses == 0 && stats.Suspected == 0 && !s.isLate()
}

// isLate reports whether an opaque answer came later than its route aims at.
func (s *Session) isLate() bool {
	m, ok := s.mode.(*forwarded)
	return ok && (s.pace.first.Sub(s.req.ReceivedAt) > m.Goal || (m.Pause > 0 && s.pace.longest > m.Pause))
}

// version returns the version of the configuration that an opaque request went by, 0 for any other.
func (s *Session) version() vaneyoke.Revision {
	if m, ok := s.mode.(*forwarded); ok {
		return m.Version
	}
	return 0
}

// firstMs returns the time to the first piece in milliseconds, -1 where none has come.
func (s *Session) firstMs() int64 {
	if s.pace.first.IsZero() {
		return -1
	}
	return s.pace.first.Sub(s.req.ReceivedAt).Milliseconds()
}

// leftMs returns what was left of an opaque request's time when it ended, in milliseconds.
func (s *Session) leftMs() int64 {
	if m, ok := s.mode.(*forwarded); ok {
		return time.Until(m.Deadline).Milliseconds()
	}
	return 0
}

// record writes the session's log line, metrics and span.
func (s *Session) record() {
	m, stats := s.relay.metrics, s.result.Stats
	m.Open.Add(-1)
	m.Tokens.Add(int64(s.result.Usage.Completion))
	m.Discarded.Add(int64(stats.Discarded))
	m.Reprefill.Add(int64(stats.Reprefills))
	m.Results.Add(s.result.Code.Info().Name, 1)
	s.measure()
	s.span.SetAttributes(attribute.Int("code", int(s.result.Code)), attribute.Int("attempts", stats.Attempts))
	s.span.End()
	if s.isPlain() && s.relay.plain.Add(1)%s.relay.config.PlainEvery != 0 {
		return
	}
	s.relay.log.WithFields(logrus.Fields{
		"route":     s.req.Kind,
		"upstream":  s.last,
		"version":   s.version(),
		"prompt":    s.need.Bytes,
		"left_ms":   s.leftMs(),
		"request":   s.req.ID,
		"workspace": s.req.Workspace,
		"policy":    s.req.Rule,
		"code":      int(s.result.Code),
		"tokens":    s.state.Transcript().Len(),
		"attempts":  stats.Attempts,
		"losses":    stats.Losses,
		"discarded": stats.Discarded,
		"first_ms":  s.firstMs(),
		"gap_ms":    s.pace.longest.Milliseconds(),
		"ms":        time.Since(s.req.ReceivedAt).Milliseconds(),
	}).Info("session_ended")
}
