package relay

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/wire/engine"
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

	counted  bool          // whether the request was counted as one that an upstream began
	proven   bool          // whether an upstream has run the request for so long that it does not end those that do
	verified chan struct{} // closed when it is known what the last loss tells of the request; nil for none
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
	retry       bool              // whether it counts against the retry budget
	resumed     bool              // whether it is attached to an earlier attempt's stream
	begun       bool              // whether its first token has come
	fenced      bool              // whether the attempt was cancelled
	settled     bool              // whether the placer knows how the attempt came out
	headAt      time.Time         // when the head of its answer came; the zero time where it has not
	begunAt     time.Time         // when its first piece came
	pieces      int               // that have come
	heardAt     time.Time         // when the head or the last piece came
	headFirst   bool              // whether the head of its answer comes as its run begins
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
	due := s.state.NextTick()
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
	case generation.InspectTail:
		go s.inspect(e, s.links[e.Attempt].upstream)
	case generation.Probe:
		go s.probe(e)
	case generation.QueryRun:
		go s.ask(e)
	case generation.Start:
		s.start(e)
	case generation.Resume:
		s.resume(e)
	case generation.Cancel:
		s.cancel(e)
	case generation.Deliver:
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
	s.relay.unfollow(s)
	s.record()
}
