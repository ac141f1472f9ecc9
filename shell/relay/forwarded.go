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
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Forwarding is an opaque request with the settings of its route.
type Forwarding struct {
	Message           *forward.Message
	Service           vaneyoke.ServiceID
	Stream            bool               // whether the answer is a sequence of numbered events
	Replicate         bool               // whether an engine may keep a replica of the run's KV cache
	HealthPath        string             // path on which the service's upstreams return their identity; "" if they have none
	AnswerTokens      vaneyoke.Tokens    // most tokens of the answer; 0 if unknown
	SharedTokens      vaneyoke.Tokens    // tokens at the start of the prompt that others may share; all of them if unknown
	PromptParts       []string           // ids of the prompt's parts in order, the last one identifies the whole prompt; nil for a request without a prompt
	ResumeAfter       string             // id of the last event that the caller has; "" if it has none
	Resumes           vaneyoke.RequestID // attempt that brought the first event to a caller who has events; "" if unknown
	Deadline          time.Time          // when the caller stops waiting
	LatencyGoal       time.Duration      // for the answer, or for its first event
	EventIntervalGoal time.Duration      // between two events
	MaxAttempts       int
	Origin            pinning.Origin    // of the events that the caller has; the zero value if it has none
	ConfigRevision    vaneyoke.Revision // revision of the configuration with these settings
	Buffer            *Buffer           // accounts for what is held for the caller; nil for no account
	// Recheck decides anew whether the request may be sent on, once it has waited for an upstream: its error refuses it. nil if it always may.
	Recheck func(now time.Time) error
}

// forwarded answers are passed on as they arrive; after a loss, a stream resumes after its last event.
type forwarded struct {
	Forwarding
	lastEventID string    // id of the last accepted event, or of the last event that the caller had
	lastFailure *response // the last response with a server error; nil if there is none
}

type response struct {
	head forward.Head
	body []byte
}

func (*forwarded) mode() {}

// affinityKey identifies the prompt, so that it is sent to an upstream that may have it cached; "" if there is no
// prompt.
func (f *Forwarding) affinityKey() string {
	if len(f.PromptParts) == 0 {
		return ""
	}
	return f.PromptParts[len(f.PromptParts)-1]
}

// Forward starts an opaque request; its session runs until it ends or is abandoned.
func (r *Relay) Forward(ctx context.Context, req *vaneyoke.Request, f Forwarding) *Session {
	need := placement.Need{
		Kind: vaneyoke.KindService, Service: f.Service, Order: req.Order, PromptBytes: req.PromptBytes, Replicate: f.Replicate,
		AnswerTokens: f.AnswerTokens, SharedTokens: f.SharedTokens, Affinity: f.affinityKey(), AtMostOnce: !req.Repeatable,
		Continuable: f.Stream && req.Repeatable,
	}
	return r.startSession(ctx, req, need, &forwarded{Forwarding: f, lastEventID: f.ResumeAfter}, 1)
}

// isStream reports whether the answer is a sequence of opaque events; this does not change during the session.
func (s *Session) isStream() bool {
	m, ok := s.mode.(*forwarded)
	return ok && m.Stream
}

// Head returns the head of the attempt that the answer began with. It panics unless Read has returned data or the end of a complete answer.
func (s *Session) Head() forward.Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[s.state.Origin()]
	if l == nil || l.headAt.IsZero() {
		panic("relay: the answer has no head")
	}
	return l.head
}

// forwardAttempt returns the message for an upstream.
func (s *Session) forwardAttempt(e generation.Start, l *link, m *forwarded) *forward.Attempt {
	return &forward.Attempt{
		Request:     s.req.ID,
		Repeat:      l.isRetry,
		Message:     m.Message,
		Upstream:    l.upstream,
		Remaining:   upstreamTime(time.Until(m.Deadline)),
		Workspace:   s.req.Workspace,
		Priority:    s.req.Priority,
		Stream:      m.Stream,
		LastEventID: m.lastEventID,
		Replica:     l.replica,
		FromReplica: e.FromReplica,
		Memory:      m.Buffer,
	}
}

// forward sends an attempt and handles its answer.
func (s *Session) forward(ctx context.Context, e generation.Start, m *forwarded, outgoing *forward.Attempt) {
	attempt := e.Attempt
	exchange, err := s.send(ctx, attempt, outgoing)
	if err != nil {
		s.handleError(attempt, err)
		return
	}
	defer func() { _ = exchange.Close() }()
	s.recordHead(attempt, exchange.Head())
	if exchange.IsEventStream() {
		s.handleEvents(ctx, e, m, exchange, s.confirmContinuation(ctx, attempt))
		return
	}
	body, err := exchange.Body()
	if err != nil {
		s.handleError(attempt, err)
		return
	}
	if err := s.checkCloseDelimited(attempt, exchange.Head().Framing); err != nil {
		m.Buffer.Shrink(cap(body) + len(body)) // and the copy
		s.handleError(attempt, err)
		return
	}
	s.handleResponse(attempt, m, response{head: exchange.Head(), body: body})
}

// send sends an attempt, unless it is withdrawn before anything was sent.
func (s *Session) send(ctx context.Context, attempt vaneyoke.Attempt, outgoing *forward.Attempt) (forward.Response, error) {
	gate := func(path forward.Path) bool { return s.passGate(attempt, path) }
	if sender, ok := s.relay.sender.(forward.GatedSender); ok {
		return sender.SendGated(ctx, outgoing, gate)
	}
	if !gate(forward.DirectPath) {
		return nil, &engine.NotSentError{Reason: "withdrawn"}
	}
	return s.relay.sender.Send(ctx, outgoing)
}

// passGate reports whether an attempt may be sent, and records that it is and over which path.
func (s *Session) passGate(attempt vaneyoke.Attempt, path forward.Path) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[attempt]
	if l.fenced {
		return false
	}
	l.unsent, l.path, l.isConfirmed = false, path, s.isConfirmed(l.upstream)
	s.handleLocked(time.Now(), generation.Sent{Attempt: attempt})
	return true
}

// withdrawUnsent withdraws the attempts of which nothing has been sent. The answer must end next.
func (s *Session) withdrawUnsent(now time.Time) {
	for attempt, l := range s.links {
		if l.unsent && !l.fenced {
			s.handleLocked(now, generation.Unsent{Attempt: attempt})
		}
	}
}

// recordHead records the head of an attempt's answer.
func (s *Session) recordHead(attempt vaneyoke.Attempt, head forward.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, now := s.links[attempt], time.Now()
	l.head, l.headAt, l.lastReceivedAt = head, now, now
}

// mayBeCached reports whether the caller has received a part of the answer before, so that the prompt may be cached and
// the time to the first chunk does not tell how long its prefill takes.
func (s *Session) mayBeCached() bool {
	m, ok := s.mode.(*forwarded)
	return ok && m.ResumeAfter != ""
}

// connectionOf returns the upstream of an attempt and the path of its connection.
func (s *Session) connectionOf(attempt vaneyoke.Attempt) (vaneyoke.Upstream, forward.Path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[attempt]
	return l.upstream, l.path
}

// probe checks whether an attempt's upstream accepts connections.
func (s *Session) probe(e generation.Probe) {
	upstream, path := s.connectionOf(e.Attempt)
	reachable := s.relay.isReachable(s.ctx, upstream, path)
	s.handle(time.Now(), generation.Probed{Attempt: e.Attempt, Alive: reachable})
}

// queryRun asks an attempt's upstream for the state of its run.
func (s *Session) queryRun(e generation.QueryRun) {
	upstream, path := s.connectionOf(e.Attempt)
	ctx, cancel := context.WithTimeout(s.ctx, s.queryTimeout(e))
	defer cancel()
	state, produced := s.runState(ctx, e, upstream, path)
	s.logAttempt(e.Attempt, upstream.ID).WithFields(logrus.Fields{
		"work": state, "made": produced, "silent_ms": e.SilentFor.Milliseconds(),
	}).Info("upstream_asked")
	s.handle(time.Now(), generation.RunReported{Attempt: e.Attempt, State: state, Produced: produced})
}

// runState returns the state of a run on an upstream and the number of chunks that it has produced. The upstream is asked over the path of the run's
// connection: over another one it may say that it works on a run whose answer cannot arrive.
func (s *Session) runState(ctx context.Context, e generation.QueryRun, upstream vaneyoke.Upstream, path forward.Path) (vaneyoke.RunState, vaneyoke.Tokens) {
	if s.relay.mayQuery(ctx, upstream.ID) {
		return s.relay.sender.RunState(ctx, upstream, path, s.req.ID)
	}
	return s.inferRunState(e, upstream, path)
}

// queryTimeout returns how long to wait for an upstream's answer to a query.
func (s *Session) queryTimeout(e generation.QueryRun) time.Duration {
	if m, ok := s.mode.(*forwarded); ok && e.HasOutput && m.EventIntervalGoal > 0 {
		return min(maxQueryTimeout, scale(m.EventIntervalGoal, queryTimeoutFactor))
	}
	return maxQueryTimeout
}

// handleEvents handles the events of a stream once it is known that the chosen process gives them.
func (s *Session) handleEvents(ctx context.Context, e generation.Start, m *forwarded, exchange forward.Response, isChosen func() bool) {
	attempt := e.Attempt
	received := &generation.Received{Attempt: attempt}
	received.Batch.IDs = []vaneyoke.TokenID{0}
	received.Batch.First = e.From
	for ctx.Err() == nil {
		event, err := exchange.Next()
		isEnd := errors.Is(err, io.EOF)
		if err != nil && !isEnd {
			s.handleError(attempt, err)
			return
		}
		if !isChosen() {
			return
		}
		if isEnd {
			s.handleStreamEnd(attempt, exchange.Head().Framing)
			return
		}
		received.Batch.Text = event.Data
		received.Number, _ = vaneyoke.ParseEventNumber(event.ID)
		s.handleEvent(received, m, event.ID)
		received.Batch.First++
		s.awaitReader(ctx, attempt, m.Buffer)
	}
}

// handleEvent passes one event to the state machine; if it was accepted, it keeps the event's id.
func (s *Session) handleEvent(received *generation.Received, m *forwarded, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.recordFirstToken(now, received.Attempt)
	s.recordChunk(now, s.links[received.Attempt])
	s.confirmLateReport(s.links[received.Attempt])
	lenBefore := s.state.Transcript().Len()
	s.handleLocked(now, received)
	if s.state.Transcript().Len() == lenBefore {
		return
	}
	m.Buffer.buffered(now, len(received.Batch.Text))
	m.lastEventID = id
	s.lastAccepted = received.Attempt
	if lenBefore == 0 {
		s.pinTo(received.Attempt)
		s.registerStream()
		s.confirmPin(received.Attempt)
	}
}

// handleResponse passes a complete response to the state machine; a failure is retried if allowed.
func (s *Session) handleResponse(attempt vaneyoke.Attempt, m *forwarded, resp response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[attempt]
	if l.fenced || s.result.Ended {
		return
	}
	s.recordAnswer(l, answerOf(resp.head.Status, time.Since(l.sentAt)))
	if claimsNotRun(resp.head.Status) {
		s.handleLossLocked(attempt, generation.CauseFailed, &engine.StatusError{Status: resp.head.Status})
		return
	}
	if resp.head.Status >= http.StatusInternalServerError && s.req.Repeatable {
		m.lastFailure = &resp
		s.handleLossLocked(attempt, generation.CauseFailed, &engine.StatusError{Status: resp.head.Status})
		return
	}
	if s.state.Transcript().Len() > 0 { // a stream that has begun must not end in a complete response
		s.handleLossLocked(attempt, generation.CauseMalformed, &engine.StatusError{Status: resp.head.Status})
		return
	}
	s.deliverResponse(attempt, m, resp)
}

// claimsNotRun reports whether a status promises that the request was not run; an upstream that did run it must not
// return one of these.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// deliverResponse makes a complete response the answer to the request.
func (s *Session) deliverResponse(attempt vaneyoke.Attempt, m *forwarded, resp response) {
	now := time.Now()
	s.recordFirstToken(now, attempt)
	s.recordEnding(attempt)
	s.reportOutcome(attempt, placement.OutcomeDone)
	s.recordCompletion()
	m.Buffer.delivering(now, len(resp.body))
	batch := vaneyoke.Batch{IDs: []vaneyoke.TokenID{0}, Text: resp.body}
	s.handleLocked(now, &generation.Received{Attempt: attempt, Batch: batch})
	m.Buffer.Shrink(cap(resp.body)) // the transcript has a copy
	s.handleLocked(now, generation.Ended{Attempt: attempt, Reason: vaneyoke.FinishStop})
	s.closeLink(attempt)
}

// LastFailure returns the upstream's own response to a request that failed on every attempt; ok is false if there is
// none.
func (s *Session) LastFailure() (head forward.Head, body []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, isForwarded := s.mode.(*forwarded)
	if !isForwarded || m.lastFailure == nil {
		return forward.Head{}, nil, false
	}
	return m.lastFailure.head, m.lastFailure.body, true
}
