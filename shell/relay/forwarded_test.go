package relay_test

import (
	"context"
	"expvar"
	"io"
	"net/http"
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

// inTurn places attempts on upstreams in their order.
type inTurn struct {
	mu      sync.Mutex
	next    int
	retries int // that were placed, less those that were never sent

	incarnation vaneyoke.Incarnation // of each upstream
}

// Unsent takes a retry back.
func (p *inTurn) Unsent(placement.Need) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retries--
}

func (p *inTurn) Place(_ placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	if retry {
		p.retries++
	}
	id := vaneyoke.UpstreamID(rune('a' + p.next - 1))
	return vaneyoke.Upstream{ID: id, URL: "http://" + string(id), Incarnation: p.incarnation}, 0, nil
}

func (*inTurn) Admit(placement.Need)                              {}
func (*inTurn) Holders(placement.Need) []vaneyoke.Upstream        { return nil }
func (*inTurn) Homes(placement.Need) []vaneyoke.Upstream          { return nil }
func (*inTurn) HasRoom(placement.Need) bool                       { return true }
func (*inTurn) Spares(placement.Need) []vaneyoke.Upstream         { return nil }
func (*inTurn) Reported(vaneyoke.UpstreamID, vaneyoke.LoadReport) {}
func (*inTurn) Replica(placement.Need, vaneyoke.Upstream) (vaneyoke.Upstream, bool) {
	return vaneyoke.Upstream{}, false
}
func (*inTurn) Released(vaneyoke.UpstreamID, placement.Need)       {}
func (*inTurn) FirstToken(vaneyoke.UpstreamID, time.Duration, int) {}
func (*inTurn) Resumed(vaneyoke.UpstreamID)                        {}
func (*inTurn) Ended(vaneyoke.UpstreamID, placement.Outcome, bool) {}

// stubborn is an upstream's answer that goes on after its attempt was given up, as one does whose bytes were already there.
type stubborn struct {
	from   string
	delay  time.Duration // before each event, whatever becomes of the attempt
	events int
	breaks bool // whether it breaks off after its events
	given  int
}

func (s *stubborn) Head() forward.Head {
	return forward.Head{Status: http.StatusOK, Header: http.Header{"From": {s.from}}}
}
func (*stubborn) IsEventStream() bool   { return true }
func (*stubborn) Body() ([]byte, error) { return nil, io.ErrUnexpectedEOF }
func (*stubborn) Close() error          { return nil }
func (s *stubborn) Next() (forward.Event, error) {
	time.Sleep(s.delay)
	if s.given == s.events && s.breaks {
		return forward.Event{}, io.ErrUnexpectedEOF
	}
	if s.given == s.events {
		return forward.Event{}, io.EOF
	}
	s.given++
	return forward.Event{ID: string(rune('0' + s.given)), Data: []byte(s.from)}, nil
}

// sender answers attempts with the exchanges of their upstreams.
type sender struct {
	answers map[vaneyoke.UpstreamID]forward.Response
	waits   map[vaneyoke.UpstreamID]time.Duration       // before the head comes
	reached bool                                        // whether the first upstream takes connections
	work    vaneyoke.RunState                           // that every upstream says it does
	has     map[vaneyoke.UpstreamID]vaneyoke.UpstreamID // who has the address of an upstream, as far as it says so
}

func (s *sender) Send(_ context.Context, a *forward.Attempt) (forward.Response, error) {
	time.Sleep(s.waits[a.Upstream.ID])
	if exchange, ok := s.answers[a.Upstream.ID]; ok {
		return exchange, nil
	}
	return nil, &engine.NotSentError{Reason: "nobody there"}
}

func (*sender) LoadReport(context.Context, vaneyoke.Upstream) (vaneyoke.LoadReport, bool) {
	return vaneyoke.LoadReport{}, false
}
func (*sender) HoldsPrompt(context.Context, vaneyoke.Upstream, []string) bool { return false }
func (s *sender) RunState(context.Context, vaneyoke.Upstream, vaneyoke.RequestID) (vaneyoke.RunState, vaneyoke.Tokens) {
	return s.work, 0
}
func (s *sender) Identity(_ context.Context, u vaneyoke.Upstream, _ string) (vaneyoke.UpstreamID, bool) {
	id, ok := s.has[u.ID]
	return id, ok
}
func (s *sender) Probe(_ context.Context, u vaneyoke.Upstream) bool { return s.reached || u.ID != "a" }

func newForwarder(s forward.Sender) *relay.Relay { return newForwarderWith(s, &inTurn{}) }

func newForwarderWith(s forward.Sender, placer relay.Placer) *relay.Relay {
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := relay.Config{Generation: generation.DefaultConfig()}
	return relay.New(nil, s, placer, noop.NewTracerProvider().Tracer(""), relay.NewMetrics(new(expvar.Map).Init()), log, config)
}

// TestLateAnswerOfAGivenUpAttemptIsNotMixed has the first attempt's answer come after a probe has found its upstream gone:
// neither its events nor its head may stand in the answer of the second.
func TestLateAnswerOfAGivenUpAttemptIsNotMixed(t *testing.T) {
	cases := map[string]struct{ headWait, eventWait time.Duration }{
		"head was there, event late": {0, 500 * time.Millisecond},
		"head and event late":        {500 * time.Millisecond, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &sender{
					answers: map[vaneyoke.UpstreamID]forward.Response{
						"a": &stubborn{from: "a", delay: tc.eventWait, events: 3},
						"b": &stubborn{from: "b", delay: time.Second, events: 3},
					},
					waits: map[vaneyoke.UpstreamID]time.Duration{"a": tc.headWait},
				}
				r := newForwarder(s)
				now := time.Now()
				session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
					Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: now.Add(time.Minute),
					Goal: 10 * time.Second, Pause: 10 * time.Second, MaxAttempts: 3,
				})
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

// TestNothingBeginsAfterAnInterrupt interrupts a relay: the answer that is under way is told as one that may have run, and a
// later one as not run, which no upstream gets.
func TestNothingBeginsAfterAnInterrupt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sender{
			answers: map[vaneyoke.UpstreamID]forward.Response{"a": &stubborn{from: "a", events: 1}, "b": &stubborn{from: "b", events: 1}},
			waits:   map[vaneyoke.UpstreamID]time.Duration{"a": time.Second},
		}
		r := newForwarder(s)
		begin := func() *relay.Session {
			now := time.Now()
			return r.Forward(t.Context(), &vaneyoke.Request{ID: "r", ReceivedAt: now}, relay.Forwarding{
				Message: &forward.Message{}, Service: "shop", Stream: true, Deadline: now.Add(time.Minute), Goal: 10 * time.Second, MaxAttempts: 1,
			})
		}
		before := begin()
		time.Sleep(100 * time.Millisecond)
		must.EqOp(t, 1, r.Interrupt())
		after := begin()
		for session, code := range map[*relay.Session]vaneyoke.Code{before: vaneyoke.CodeMayHaveRun, after: vaneyoke.CodeStopping} {
			result, err := session.Wait(t.Context())
			must.NoError(t, err)
			must.EqOp(t, code, result.Code)
		}
		must.EqOp(t, 0, r.Interrupt())
		time.Sleep(time.Minute)
		must.Zero(t, s.answers["b"].(*stubborn).given)
		r.Close()
		synctest.Wait()
	})
}

// TestRouteThatAimsAtNothing gives no goal and no pause: an upstream that works at its ease is left to it.
func TestRouteThatAimsAtNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sender{
			answers: map[vaneyoke.UpstreamID]forward.Response{
				"a": &stubborn{from: "a", delay: 390 * time.Millisecond, events: 5}, // the first one before it is probed
			},
			work: vaneyoke.RunStateRunning,
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

// TestRetriesThatReachNobodyCostNothing has the first upstream break off and the next two refuse connections: only the attempt
// that reached the fourth counts as a retry.
func TestRetriesThatReachNobodyCostNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sender{answers: map[vaneyoke.UpstreamID]forward.Response{
			"a": &stubborn{from: "a", breaks: true},
			"d": &stubborn{from: "d", events: 3},
		}}
		placer := &inTurn{}
		now := time.Now()
		session := newForwarderWith(s, placer).Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
			Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: now.Add(time.Minute),
			Goal: 10 * time.Second, Pause: 10 * time.Second, MaxAttempts: 5,
		})
		_, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, 4, placer.next)
		must.EqOp(t, 1, placer.retries)
	})
}

// doubtfulPlacer places attempts on upstreams in turn, and says whether its list may be out of date.
type doubtfulPlacer struct {
	inTurn
	doubts   bool
	replaced []vaneyoke.UpstreamID
}

func (p *doubtfulPlacer) Doubts() bool { return p.doubts }
func (p *doubtfulPlacer) Replaced(_ placement.Need, _ bool, id vaneyoke.UpstreamID) {
	p.replaced = append(p.replaced, id)
}

// TestReplacedUpstreamsAreFoundBeforeTheAttempt has others at the addresses of the first two upstreams while the list may be out
// of date: neither gets the generation, and no attempt is spent on them. A call, and a generation whose list is true, ask nobody.
func TestReplacedUpstreamsAreFoundBeforeTheAttempt(t *testing.T) {
	cases := map[string]struct {
		doubts, stream bool
		replaced       int
		head           string
	}{
		"generation, list in doubt": {true, true, 2, "c"},
		"generation, list true":     {false, true, 0, "a"},
		"call, list in doubt":       {true, false, 0, "a"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &sender{
					answers: map[vaneyoke.UpstreamID]forward.Response{},
					has:     map[vaneyoke.UpstreamID]vaneyoke.UpstreamID{"a": "x", "b": "y", "c": "c"},
				}
				for _, id := range []vaneyoke.UpstreamID{"a", "b", "c"} {
					s.answers[id] = &stubborn{from: string(id), events: 2}
				}
				placer := &doubtfulPlacer{doubts: tc.doubts}
				now := time.Now()
				session := newForwarderWith(s, placer).Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
					Message: &forward.Message{}, Service: "lm", Stream: tc.stream, Health: "/who", Deadline: now.Add(time.Minute),
					Goal: 10 * time.Second, Pause: 10 * time.Second, MaxAttempts: 3,
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

// TestUpstreamThatForgotARunIsLeftWithinTheGoal has the first upstream take the request and know nothing of it: the answer has to begin
// elsewhere with time left of the goal. One that still has prompts to read is waited for.
func TestUpstreamThatForgotARunIsLeftWithinTheGoal(t *testing.T) {
	const goal = 4500 * time.Millisecond
	for work, head := range map[vaneyoke.RunState]string{vaneyoke.RunStateNone: "b", vaneyoke.RunStateQueued: "a"} {
		synctest.Test(t, func(t *testing.T) {
			s := &sender{
				answers: map[vaneyoke.UpstreamID]forward.Response{
					"a": &stubborn{from: "a", events: 2}, "b": &stubborn{from: "b", delay: time.Second, events: 2},
				},
				waits: map[vaneyoke.UpstreamID]time.Duration{"a": 2 * goal}, work: work, reached: true,
			}
			r := newForwarder(s)
			now := time.Now()
			session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
				Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: now.Add(time.Minute), Goal: goal, Pause: goal, MaxAttempts: 5,
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
