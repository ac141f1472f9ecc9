package relay_test

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// sequentialPlacer places each attempt on the next upstream.
type sequentialPlacer struct {
	mu      sync.Mutex
	next    int
	retries int // placed retries, less the refunded ones

	incarnation vaneyoke.Incarnation // of each upstream
}

// RefundRetry uncounts a retry.
func (p *sequentialPlacer) RefundRetry(placement.Need) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retries--
}

func (p *sequentialPlacer) Place(_ placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	if retry {
		p.retries++
	}
	id := vaneyoke.UpstreamID(rune('a' + p.next - 1))
	return vaneyoke.Upstream{ID: id, URL: "http://" + string(id), Incarnation: p.incarnation}, 0, nil
}

func (*sequentialPlacer) Admit(placement.Need)                                  {}
func (*sequentialPlacer) PromptHolders(placement.Need) []vaneyoke.Upstream      { return nil }
func (*sequentialPlacer) AffinityUpstreams(placement.Need) []vaneyoke.Upstream  { return nil }
func (*sequentialPlacer) HasRoom(placement.Need) bool                           { return true }
func (*sequentialPlacer) SpilloverUpstreams(placement.Need) []vaneyoke.Upstream { return nil }
func (*sequentialPlacer) Reported(vaneyoke.UpstreamID, vaneyoke.LoadReport)     {}
func (*sequentialPlacer) PickReplica(placement.Need, vaneyoke.Upstream) (vaneyoke.Upstream, bool) {
	return vaneyoke.Upstream{}, false
}
func (*sequentialPlacer) ReleaseReplica(vaneyoke.UpstreamID, placement.Need) {}
func (*sequentialPlacer) FirstToken(vaneyoke.UpstreamID, time.Duration, int) {}
func (*sequentialPlacer) Resumed(vaneyoke.UpstreamID)                        {}
func (*sequentialPlacer) Ended(vaneyoke.UpstreamID, placement.Outcome, bool) {}

// lateExchange is an answer that continues after its attempt was abandoned, as with bytes that have already arrived.
type lateExchange struct {
	from   string
	delay  time.Duration // before each event, even after the attempt was abandoned
	events int
	breaks bool // whether the connection breaks after the events
	sent   int
	after  int // number of the last event that the node has
}

func (s *lateExchange) goOnAfter(lastEventID string) { s.after, _ = strconv.Atoi(lastEventID) }

func (s *lateExchange) Head() forward.Head {
	return forward.Head{Status: http.StatusOK, Header: http.Header{"From": {s.from}}}
}
func (*lateExchange) IsEventStream() bool   { return true }
func (*lateExchange) Body() ([]byte, error) { return nil, io.ErrUnexpectedEOF }
func (*lateExchange) Close() error          { return nil }
func (s *lateExchange) Next() (forward.Event, error) {
	time.Sleep(s.delay)
	if s.sent == s.events && s.breaks {
		return forward.Event{}, io.ErrUnexpectedEOF
	}
	if s.sent == s.events {
		return forward.Event{}, io.EOF
	}
	s.sent++
	return forward.Event{ID: strconv.Itoa(s.after + s.sent), Data: []byte(s.from)}, nil
}

// fakeSender answers attempts with the exchanges of their upstreams.
type fakeSender struct {
	answers    map[vaneyoke.UpstreamID]forward.Response
	waits      map[vaneyoke.UpstreamID]time.Duration       // before the head arrives
	reachable  bool                                        // whether the first upstream accepts connections
	runState   vaneyoke.RunState                           // of each run, as every upstream reports it
	identities map[vaneyoke.UpstreamID]vaneyoke.UpstreamID // the upstream at the address of another, if it is known
}

func (s *fakeSender) Send(_ context.Context, a *forward.Attempt) (forward.Response, error) {
	time.Sleep(s.waits[a.Upstream.ID])
	if exchange, ok := s.answers[a.Upstream.ID]; ok {
		if e, ok := exchange.(interface{ goOnAfter(lastEventID string) }); ok {
			e.goOnAfter(a.LastEventID)
		}
		return exchange, nil
	}
	return nil, &engine.NotSentError{Reason: "connection refused"}
}

func (*fakeSender) LoadReport(context.Context, vaneyoke.Upstream) (vaneyoke.LoadReport, bool) {
	return vaneyoke.LoadReport{}, false
}
func (*fakeSender) HoldsPrompt(context.Context, vaneyoke.Upstream, []string) bool { return false }
func (s *fakeSender) RunState(context.Context, vaneyoke.Upstream, forward.Path, vaneyoke.RequestID) (vaneyoke.RunState, vaneyoke.Tokens) {
	return s.runState, 0
}
func (s *fakeSender) Identity(_ context.Context, u vaneyoke.Upstream, _ string) (vaneyoke.UpstreamID, bool) {
	id, ok := s.identities[u.ID]
	return id, ok
}
func (s *fakeSender) Probe(_ context.Context, u vaneyoke.Upstream, _ forward.Path) bool {
	return s.reachable || u.ID != "a"
}

func newForwarder(s forward.Sender) *relay.Relay { return newForwarderWith(s, &sequentialPlacer{}) }

func newForwarderWith(s forward.Sender, placer relay.Placer) *relay.Relay {
	return newForwarderCounting(s, placer, relay.NewMetrics(new(expvar.Map).Init()))
}

func newForwarderCounting(s forward.Sender, placer relay.Placer, metrics *relay.Metrics) *relay.Relay {
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := relay.Config{Generation: generation.DefaultConfig()}
	return relay.New(nil, s, placer, noop.NewTracerProvider().Tracer(""), metrics, log, config)
}

// forwardStream starts a stream that may be lost twice.
func forwardStream(t *testing.T, r *relay.Relay) *relay.Session {
	now := time.Now()
	return r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
		Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: now.Add(time.Minute),
		LatencyGoal: 10 * time.Second, EventIntervalGoal: 10 * time.Second, MaxAttempts: 3,
	})
}

// TestLateOutputOfAbandonedAttemptIsNotMixedIn has the first attempt's answer arrive after a probe has found its
// upstream gone: neither its events nor its head may appear in the answer of the second attempt.
func TestLateOutputOfAbandonedAttemptIsNotMixedIn(t *testing.T) {
	cases := map[string]struct{ headWait, eventWait time.Duration }{
		"head in time, event late": {0, 900 * time.Millisecond},
		"head and event late":      {900 * time.Millisecond, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSender{
					answers: map[vaneyoke.UpstreamID]forward.Response{
						"a": &lateExchange{from: "a", delay: tc.eventWait, events: 3},
						"b": &lateExchange{from: "b", delay: time.Second, events: 3},
					},
					waits: map[vaneyoke.UpstreamID]time.Duration{"a": tc.headWait},
				}
				r := newForwarder(s)
				session := forwardStream(t, r)
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				must.EqOp(t, "bbb", string(session.Text()))
				must.EqOp(t, "b", session.Head().Header.Get("From"))
				r.Close()
				synctest.Wait()
			})
		})
	}
}

// TestInterruptEndsSessionsAndRefusesNewOnes interrupts a relay: the running request is reported as possibly run, and a
// later one as not run, which no upstream gets.
func TestInterruptEndsSessionsAndRefusesNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{
			answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 1}, "b": &lateExchange{from: "b", events: 1}},
			waits:   map[vaneyoke.UpstreamID]time.Duration{"a": time.Second},
		}
		r := newForwarder(s)
		start := func() *relay.Session {
			now := time.Now()
			return r.Forward(t.Context(), &vaneyoke.Request{ID: "r", ReceivedAt: now}, relay.Forwarding{
				Message: &forward.Message{}, Service: "shop", Stream: true, Deadline: now.Add(time.Minute), LatencyGoal: 10 * time.Second, MaxAttempts: 1,
			})
		}
		before := start()
		time.Sleep(100 * time.Millisecond)
		must.EqOp(t, 1, r.Interrupt())
		after := start()
		for session, code := range map[*relay.Session]vaneyoke.Code{before: vaneyoke.CodeMayHaveRun, after: vaneyoke.CodeStopping} {
			result, err := session.Wait(t.Context())
			must.NoError(t, err)
			must.EqOp(t, code, result.Code)
		}
		must.EqOp(t, 0, r.Interrupt())
		time.Sleep(time.Minute)
		must.Zero(t, s.answers["b"].(*lateExchange).sent)
		r.Close()
		synctest.Wait()
	})
}

// TestSlowStreamWithoutGoalsIsNotAbandoned forwards a request without goals: a slow upstream keeps its run.
func TestSlowStreamWithoutGoalsIsNotAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{
			answers: map[vaneyoke.UpstreamID]forward.Response{
				"a": &lateExchange{from: "a", delay: 390 * time.Millisecond, events: 5}, // the first one arrives before the upstream is probed
			},
			runState: vaneyoke.RunStateRunning,
		}
		r := newForwarder(s)
		now := time.Now()
		session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
			Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: now.Add(time.Minute), MaxAttempts: 3,
		})
		result, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
		must.EqOp(t, "aaaaa", string(session.Text()))
		must.EqOp(t, 1, result.Stats.Attempts)
		r.Close()
		synctest.Wait()
	})
}

// TestUnsentRetriesAreRefunded has the first upstream break the stream and the next two refuse connections: only the
// attempt that reached the fourth counts as a retry.
func TestUnsentRetriesAreRefunded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{
			"a": &lateExchange{from: "a", breaks: true},
			"d": &lateExchange{from: "d", events: 3},
		}}
		placer := &sequentialPlacer{}
		now := time.Now()
		session := newForwarderWith(s, placer).Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
			Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: now.Add(time.Minute),
			LatencyGoal: 10 * time.Second, EventIntervalGoal: 10 * time.Second, MaxAttempts: 5,
		})
		_, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, 4, placer.next)
		must.EqOp(t, 1, placer.retries)
	})
}

// stalePlacer places attempts in sequence, and reports whether its list may be stale.
type stalePlacer struct {
	sequentialPlacer
	mayBeStale bool
	replaced   []vaneyoke.UpstreamID
}

func (p *stalePlacer) MayBeStale() bool { return p.mayBeStale }
func (p *stalePlacer) RecordReplaced(_ placement.Need, _ bool, id vaneyoke.UpstreamID) {
	p.replaced = append(p.replaced, id)
}

// TestReplacedUpstreamsAreDetectedBeforeAnAttempt has other upstreams at the addresses of the first two while the list
// may be stale: neither gets the generation, and no attempt is spent on them. A call, and a generation with a current
// list, check no identity.
func TestReplacedUpstreamsAreDetectedBeforeAnAttempt(t *testing.T) {
	cases := map[string]struct {
		mayBeStale, stream bool
		replaced           int
		head               string
	}{
		"generation, stale list":   {true, true, 2, "c"},
		"generation, current list": {false, true, 0, "a"},
		"call, stale list":         {true, false, 0, "a"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSender{
					answers:    map[vaneyoke.UpstreamID]forward.Response{},
					identities: map[vaneyoke.UpstreamID]vaneyoke.UpstreamID{"a": "x", "b": "y", "c": "c"},
				}
				for _, id := range []vaneyoke.UpstreamID{"a", "b", "c"} {
					s.answers[id] = &lateExchange{from: string(id), events: 2}
				}
				placer := &stalePlacer{mayBeStale: tc.mayBeStale}
				now := time.Now()
				session := newForwarderWith(s, placer).Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
					Message: &forward.Message{}, Service: "lm", Stream: tc.stream, HealthPath: "/who", Deadline: now.Add(time.Minute),
					LatencyGoal: 10 * time.Second, EventIntervalGoal: 10 * time.Second, MaxAttempts: 3,
				})
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				must.EqOp(t, 1, result.Stats.Attempts)
				must.Len(t, tc.replaced, placer.replaced)
				must.EqOp(t, tc.head, session.Head().Header.Get("From"))
			})
		})
	}
}

// TestRunUnknownToItsUpstreamMovesWithinTheGoal has the first upstream accept the request and then report no such run:
// the answer must begin elsewhere within the goal. An upstream with the run in its queue is waited for.
func TestRunUnknownToItsUpstreamMovesWithinTheGoal(t *testing.T) {
	const goal = 4500 * time.Millisecond
	for state, head := range map[vaneyoke.RunState]string{vaneyoke.RunStateNone: "b", vaneyoke.RunStateQueued: "a"} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeSender{
				answers: map[vaneyoke.UpstreamID]forward.Response{
					"a": &lateExchange{from: "a", events: 2}, "b": &lateExchange{from: "b", delay: time.Second, events: 2},
				},
				waits: map[vaneyoke.UpstreamID]time.Duration{"a": 2 * goal}, runState: state, reachable: true,
			}
			r := newForwarder(s)
			now := time.Now()
			session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
				Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: now.Add(time.Minute), LatencyGoal: goal, EventIntervalGoal: goal, MaxAttempts: 5,
			})
			_, _, err := session.Read(t.Context(), 0)
			must.NoError(t, err)
			must.EqOp(t, head, session.Head().Header.Get("From"))
			if head == "b" {
				must.Less(t, goal, time.Since(now))
			}
			r.Close()
			time.Sleep(time.Minute)
			synctest.Wait()
		})
	}
}
