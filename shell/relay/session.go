package relay

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
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

	mu           sync.Mutex
	changed      *sync.Cond
	state        *generation.State
	links        map[vaneyoke.Attempt]*link
	timer        *time.Timer
	timerDue     time.Time // when it fires; zero if it is stopped
	result       Result
	answer       engine.Answer       // of a unary session
	lastUpstream vaneyoke.UpstreamID // of the last attempt
	lastEnded    vaneyoke.Attempt    // whose answer was last read to its end; 0 for none
	lastAccepted vaneyoke.Attempt    // that gave the last accepted event of a stream; 0 before its first one
	pace         pace                // of the accepted chunks
	epoch        uint64              // counts the owners of the request from 1
	pin          vaneyoke.Pin        // of its further attempts, set by the first output that may have reached the caller
	pinnedBy     vaneyoke.Upstream   // that gave that output; the zero value if it is not known
	pinChecked   chan struct{}       // closed when the upstream that gave it has been asked for its incarnation; nil if that was known
	repins       int                 // how often the pin was corrected
	registered   pinning.StreamID    // the stream that the registry knows this session to serve; "" for none

	counted      bool          // whether the request was counted as started by an upstream
	provenSafe   bool          // whether an upstream has run the request for so long that it is not one that crashes upstreams
	crashChecked chan struct{} // closed when the check for a crash after the last loss is done; nil if there was none
}

// link is the relay's side of one attempt.
type link struct {
	cancel          context.CancelFunc
	upstream        vaneyoke.Upstream
	replica         vaneyoke.Upstream    // keeps a replica of the run's KV cache; the zero value if there is none
	streamName      string               // the engine's name of the run
	base            vaneyoke.Tokens      // index in the answer of the first token of the run on the engine
	fromReplica     bool                 // whether the run resumes from a replica, so that its first token does not tell how long prefill takes
	started         bool                 // whether its run was started
	pause           readPause            // when its stream was not read because the caller did not read the answer
	continues       bool                 // whether it goes on with an answer that another attempt has begun, here or before its caller came back
	isConfirmed     bool                 // whether the incarnation of the upstream was known for certain when the attempt was sent
	incarnation     vaneyoke.Incarnation // that ran the attempt, as the upstream reported meanwhile; 0 if it has not
	lateIncarnation vaneyoke.Incarnation // that a late report told, until a chunk after it shows that it runs the attempt; 0 for none
	path            forward.Path         // of its connection; forward.AnyPath until it is open
	unsent          bool                 // whether nothing has been sent yet, so that it can be withdrawn
	sentAt          time.Time            // when the run was started, zero for a resumed stream
	isRetry         bool                 // whether it counts against the retry budget
	resumed         bool                 // whether it is attached to an earlier attempt's stream
	gotFirstToken   bool                 // whether its first token has arrived
	suspected       bool                 // whether another attempt was asked for to replace it since its last chunk
	suspectedFor    generation.Cause     // why, last
	lossReported    bool                 // whether the placer knows that its upstream does not go on with it
	fenced          bool                 // whether the attempt was cancelled
	outcomeReported bool                 // whether the placer knows the outcome of the attempt
	head            forward.Head         // of the answer to an opaque request; set together with headAt
	headAt          time.Time            // when the head of its answer arrived; zero if it has not
	firstTokenAt    time.Time            // when its first chunk arrived
	chunks          int                  // number that has arrived
	pace            placement.Pace       // of its chunks
	lastReceivedAt  time.Time            // when the head or the last chunk arrived
	headAtStart     bool                 // whether the head of its answer arrives when its run starts
}

// Result is the outcome of a session; it is zero while the session runs.
type Result struct {
	Ended      bool
	Code       vaneyoke.Code
	Detail     string
	RetryAfter time.Duration
	Reason     vaneyoke.FinishReason
	Usage      vaneyoke.Usage
	Stats      generation.Stats
}

// Err returns the result as an error, or nil if the answer is complete.
func (r Result) Err() error {
	if r.Code == vaneyoke.CodeOK {
		return nil
	}
	message := r.Code.Info().Text
	if r.Detail != "" {
		message += " (" + r.Detail + ")"
	}
	return vaneyoke.ErrRetryAfter(r.Code, r.RetryAfter, "%s", message)
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
	s.timer = time.AfterFunc(time.Hour, func() { s.contain(s.tick) })
	r.metrics.Open.Add(1)
	return s
}

// Request returns the request that the session answers.
func (s *Session) Request() *vaneyoke.Request { return s.req }

// Abandon ends the session because nobody waits for its answer.
func (s *Session) Abandon() { s.handle(time.Now(), generation.CallerGone{}) }

// Read waits until the answer's text is longer than offset bytes or has ended, and returns the new text, which must not
// be modified. Result is zero until the last text has been read.
func (s *Session) Read(ctx context.Context, offset int) ([]byte, Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readable(offset) {
		stop := context.AfterFunc(ctx, s.wake)
		defer stop()
	}
	for !s.readable(offset) {
		if ctx.Err() != nil {
			return nil, Result{}, vaneyoke.WrapErr(vaneyoke.CodeCallerGone, ctx.Err(), "caller is gone")
		}
		s.changed.Wait()
	}
	t := s.state.Transcript()
	if from := max(offset-t.Forgotten, 0); t.Visible > from {
		return t.Text[from:t.Visible:t.Visible], Result{}, nil
	}
	return nil, s.result, nil
}

func (s *Session) readable(offset int) bool {
	t := s.state.Transcript()
	return t.Forgotten+t.Visible > offset || s.result.Ended
}

// Wait waits until the session has ended.
func (s *Session) Wait(ctx context.Context) (Result, error) {
	offset := 0
	for {
		text, result, err := s.Read(ctx, offset)
		if err != nil || result.Ended {
			return result, err
		}
		offset += len(text)
	}
}

// Text returns the text of a session that has ended.
func (s *Session) Text() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Transcript().Text
}

// Unread returns how many bytes of the answer are held beyond an offset, and whether the answer has been received as a whole.
func (s *Session) Unread(offset int) (bytes int, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.state.Transcript()
	return max(t.Forgotten+t.Visible-offset, 0), s.result.Ended && s.result.Code == vaneyoke.CodeOK
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

// handle passes an event to the state machine and executes the resulting effects.
func (s *Session) handle(now time.Time, ev generation.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleLocked(now, ev)
}

func (s *Session) handleLocked(now time.Time, ev generation.Event) {
	if s.relay.ctx.Err() != nil {
		return
	}
	if s.needsForecast(ev) {
		s.state.Handle(now, s.forecast(now))
	}
	for _, effect := range s.state.Handle(now, ev) {
		s.apply(effect)
	}
	_, isChunk := ev.(*generation.Received)
	s.setTimer(now, isChunk && s.state.Transcript().Len() > 1)
}

// setTimer sets the timer for the state machine. After a chunk, one that fires too early is left alone, since it is set again then.
func (s *Session) setTimer(now time.Time, isChunk bool) {
	due := s.state.NextTick()
	switch {
	case s.result.Ended || due.IsZero():
		s.timer.Stop()
		s.timerDue = time.Time{}
	case isChunk && !s.timerDue.IsZero() && !due.Before(s.timerDue):
	default:
		s.timer.Reset(due.Sub(now))
		s.timerDue = due
	}
}

// apply executes an effect; effects that block run in their own goroutines.
func (s *Session) apply(effect generation.Effect) {
	switch e := effect.(type) {
	case generation.Place:
		s.spawn(func() { s.place(e) })
	case generation.NotBegun:
		s.recordNotBegun(e)
	case generation.GivenUp:
		s.recordGivenUp(e)
	case generation.Suspect:
		s.suspect(e)
	case generation.InspectTail:
		upstream := s.links[e.Attempt].upstream
		s.spawn(func() { s.inspectTail(e, upstream) })
	case generation.Probe:
		s.spawn(func() { s.probe(e) })
	case generation.QueryRun:
		s.spawn(func() { s.queryRun(e) })
	case generation.Start:
		s.start(e)
	case generation.Resume:
		s.resume(e)
	case generation.Spliced:
		s.recordSplice(e)
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
	s.unregisterStream()
	s.relay.untrack(s)
	s.recordEnd()
}
