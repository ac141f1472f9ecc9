package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Forwarding is an opaque request, and what its route asks for.
type Forwarding struct {
	Message     *forward.Message
	Service     vaneyoke.ServiceID
	Stream      bool          // whether the answer is a series of numbered events
	Replicate   bool          // whether an engine may keep a replica of the run's memory
	Health      string        // path on which the service's upstreams tell who they are; "" where they do not
	Parts       []string      // of the prompt in order, the last its own; nil for a request without one
	After       string        // id of the last event that the caller holds; "" for none
	Deadline    time.Time     // when the caller stops waiting
	Goal        time.Duration // time to the answer, or to its first event, that is aimed at
	Pause       time.Duration // pause between events that is aimed at
	MaxAttempts int
	Version     vaneyoke.Revision // of the configuration that says so
}

// forwarded answers are passed on as they come; a stream goes on after its last event.
type forwarded struct {
	Forwarding
	last   string       // id of the last event that was let through, or that the caller held
	head   forward.Head // of the first upstream whose answer was let through
	failed *wholeAnswer // the last answer that told of a failure; nil for none
}

type wholeAnswer struct {
	head forward.Head
	body []byte
}

func (*forwarded) mode() {}

// prompt names the prompt, so that it is sent where it may have been read before; "" for none.
func (f *Forwarding) prompt() string {
	if len(f.Parts) == 0 {
		return ""
	}
	return f.Parts[len(f.Parts)-1]
}

// Forward starts an opaque request; its session runs until it ends or is abandoned.
func (r *Relay) Forward(ctx context.Context, req *vaneyoke.Request, f Forwarding) *Session {
	need := placement.Need{
		Kind: vaneyoke.KindService, Service: f.Service, Order: req.Order, PromptBytes: req.PromptBytes, Replicate: f.Replicate,
		Affinity: f.prompt(), AtMostOnce: !req.Repeatable,
	}
	return r.begin(ctx, req, need, &forwarded{Forwarding: f, last: f.After})
}

// isStream reports whether the answer is a series of opaque events; that does not change.
func (s *Session) isStream() bool {
	m, ok := s.mode.(*forwarded)
	return ok && m.Stream
}

// Head returns the start of the answer; it is known as soon as Read has returned something.
func (s *Session) Head() forward.Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.mode.(*forwarded); ok {
		return m.head
	}
	return forward.Head{}
}

// forwardAttempt returns what is sent to an upstream.
func (s *Session) forwardAttempt(e generation.Start, l *link, m *forwarded) *forward.Attempt {
	left := time.Until(m.Deadline)
	return &forward.Attempt{
		Request:     s.req.ID,
		Repeat:      l.retry,
		Message:     m.Message,
		Upstream:    l.upstream,
		Remaining:   max(left-share(left, tellMargin), shortestTold),
		Workspace:   s.req.Workspace,
		Priority:    s.req.Priority,
		Stream:      m.Stream,
		LastEventID: m.last,
		Replica:     l.replica,
		FromReplica: e.FromReplica,
	}
}

// forward sends an attempt and takes in its answer.
func (s *Session) forward(ctx context.Context, e generation.Start, m *forwarded, send *forward.Attempt) {
	attempt := e.Attempt
	exchange, err := s.relay.sender.Send(ctx, send)
	if err != nil {
		s.failed(attempt, err)
		return
	}
	defer func() { _ = exchange.Close() }()
	s.headed(attempt)
	if exchange.IsEventStream() {
		s.passEvents(ctx, e, m, exchange)
		return
	}
	body, err := exchange.Body()
	if err != nil {
		s.failed(attempt, err)
		return
	}
	s.passWhole(attempt, m, wholeAnswer{head: exchange.Head(), body: body})
}

// headed notes that the head of an attempt's answer has come.
func (s *Session) headed(attempt vaneyoke.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.links[attempt].headAt, s.links[attempt].heardAt = now, now
}

// mayBeCached reports whether the caller comes back with a prompt that was read before, so that the time to its first
// piece says nothing of how long prompts take.
func (s *Session) mayBeCached() bool {
	m, ok := s.mode.(*forwarded)
	return ok && m.After != ""
}

// probe asks whether an attempt's upstream is there.
func (s *Session) probe(e generation.Probe) {
	s.mu.Lock()
	l := s.links[e.Attempt]
	s.mu.Unlock()
	alive := s.relay.isThere(s.ctx, l.upstream)
	s.handle(time.Now(), generation.Probed{Attempt: e.Attempt, Alive: alive})
}

// ask asks what an attempt's upstream does for its run.
func (s *Session) ask(e generation.QueryRun) {
	s.mu.Lock()
	l := s.links[e.Attempt]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, s.askWait(e))
	defer cancel()
	work, made := s.workOf(ctx, e, l.upstream)
	s.logAttempt(e.Attempt, l.upstream.ID).WithFields(logrus.Fields{
		"work": work, "made": made, "silent_ms": e.SilentFor.Milliseconds(),
	}).Info("upstream_asked")
	s.handle(time.Now(), generation.RunReported{Attempt: e.Attempt, State: work, Produced: made})
}

// workOf returns what an upstream does for a run, and how many pieces of its answer it has made.
func (s *Session) workOf(ctx context.Context, e generation.QueryRun, upstream vaneyoke.Upstream) (vaneyoke.RunState, vaneyoke.Tokens) {
	if s.relay.mayAsk(ctx, upstream.ID) {
		return s.relay.sender.RunState(ctx, upstream, s.req.ID)
	}
	return s.workWithin(e, upstream)
}

// askWait returns how long an upstream is given to say what it does for a run.
func (s *Session) askWait(e generation.QueryRun) time.Duration {
	if m, ok := s.mode.(*forwarded); ok && e.HasOutput && m.Pause > 0 {
		return min(longestAsk, share(m.Pause, askPauses))
	}
	return longestAsk
}

// passEvents takes in a stream's events.
func (s *Session) passEvents(ctx context.Context, e generation.Start, m *forwarded, exchange forward.Response) {
	attempt := e.Attempt
	received := &generation.Received{Attempt: attempt}
	received.Batch.IDs = []vaneyoke.TokenID{0}
	received.Batch.First = e.From
	for ctx.Err() == nil {
		event, err := exchange.Next()
		if errors.Is(err, io.EOF) {
			s.ended(time.Now(), attempt, vaneyoke.FinishStop)
			return
		}
		if err != nil {
			s.failed(attempt, err)
			return
		}
		received.Batch.Text = event.Data
		s.passEvent(received, m, exchange.Head(), event.ID)
		received.Batch.First++
	}
}

// passEvent gives one event to the state machine, and keeps its id, and the head of the first, where it was let through.
func (s *Session) passEvent(received *generation.Received, m *forwarded, head forward.Head, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.begin(now, received.Attempt)
	s.pacePiece(now, s.links[received.Attempt])
	before := s.state.Transcript().Len()
	s.handleLocked(now, received)
	if s.state.Transcript().Len() == before {
		return
	}
	m.last = id
	if before == 0 {
		m.head = head
	}
}

// passWhole gives a whole answer to the state machine; a failure is tried again where that is allowed.
func (s *Session) passWhole(attempt vaneyoke.Attempt, m *forwarded, answer wholeAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[attempt]
	if l.fenced || s.result.Ended {
		return
	}
	s.answered(l, wholeOutcome(answer.head.Status, time.Since(l.sentAt)))
	if falsePromise(answer.head.Status) {
		s.lostLocked(attempt, generation.CauseFailed, &engine.StatusError{Status: answer.head.Status})
		return
	}
	if answer.head.Status >= http.StatusInternalServerError && s.req.Repeatable {
		m.failed = &answer
		s.lostLocked(attempt, generation.CauseFailed, &engine.StatusError{Status: answer.head.Status})
		return
	}
	if s.state.Transcript().Len() > 0 { // a stream that has begun cannot end in another answer
		s.lostLocked(attempt, generation.CauseMalformed, &engine.StatusError{Status: answer.head.Status})
		return
	}
	s.deliver(attempt, m, answer)
}

// falsePromise reports whether a status promises that the request was not run, which an upstream that did run it must not say.
func falsePromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// deliver makes a whole answer the request's.
func (s *Session) deliver(attempt vaneyoke.Attempt, m *forwarded, answer wholeAnswer) {
	now := time.Now()
	s.begin(now, attempt)
	s.settle(attempt, placement.OutcomeDone)
	s.survived()
	m.head = answer.head
	batch := vaneyoke.Batch{IDs: []vaneyoke.TokenID{0}, Text: answer.body}
	s.handleLocked(now, &generation.Received{Attempt: attempt, Batch: batch})
	s.handleLocked(now, generation.Ended{Attempt: attempt, Reason: vaneyoke.FinishStop})
	s.close(attempt)
}

// LastFailure returns the upstream's own answer to a request that failed at every try; ok is false where there is none.
func (s *Session) LastFailure() (head forward.Head, body []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, isForwarded := s.mode.(*forwarded)
	if !isForwarded || m.failed == nil {
		return forward.Head{}, nil, false
	}
	return m.failed.head, m.failed.body, true
}
