package relay_test

import (
	"bytes"
	"context"
	"expvar"
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
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// timedSender has each attempt take a second to its head, and then breaks those of the request "broken" after a time.
type timedSender struct {
	fakeSender
	breakAfter time.Duration

	mu    sync.Mutex
	sends map[vaneyoke.RequestID]int
}

func (s *timedSender) Send(_ context.Context, a *forward.Attempt) (forward.Response, error) {
	s.mu.Lock()
	s.sends[a.Request]++
	s.mu.Unlock()
	time.Sleep(time.Second)
	if a.Request == "broken" {
		time.Sleep(s.breakAfter)
		return &lateExchange{breaks: true}, nil
	}
	return &lateExchange{from: "x", delay: 100 * time.Millisecond, events: 20}, nil
}

func (s *timedSender) sentOf(request vaneyoke.RequestID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sends[request]
}

// replicatingPlacer counts the replicas that it was asked for.
type replicatingPlacer struct {
	sequentialPlacer
	replicas int
}

func (p *replicatingPlacer) PickReplica(placement.Need, vaneyoke.Upstream) (vaneyoke.Upstream, bool) {
	p.replicas++
	return vaneyoke.Upstream{}, false
}

// usefulRelay is a relay that has answered enough streams to know how long they take: 1.1 s to the first chunk and 1.9 s from then.
type usefulRelay struct {
	*relay.Relay
	sender  *timedSender
	placer  *replicatingPlacer
	metrics *relay.Metrics
	log     bytes.Buffer
}

func newUsefulRelay(t *testing.T, usefulOnly bool) *usefulRelay {
	u := &usefulRelay{
		sender: &timedSender{fakeSender: fakeSender{reachable: true, runState: vaneyoke.RunStateRunning}, sends: map[vaneyoke.RequestID]int{}},
		placer: &replicatingPlacer{}, metrics: relay.NewMetrics(new(expvar.Map).Init()),
	}
	config := relay.Config{Generation: generation.DefaultConfig()}
	config.Generation.UsefulOnly = usefulOnly
	log := logrus.New()
	log.SetOutput(&u.log)
	u.Relay = relay.New(nil, u.sender, u.placer, noop.NewTracerProvider().Tracer(""), u.metrics, log, config)
	for i := range 8 {
		result := u.ask(t, vaneyoke.RequestID("known-"+strconv.Itoa(i)), 20*time.Second)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
	}
	return u
}

// ask sends a request with a prompt of 5,000 tokens and an answer of at most 20, and waits for its end.
func (u *usefulRelay) ask(t *testing.T, id vaneyoke.RequestID, timeout time.Duration) relay.Result {
	now := time.Now()
	session := u.Forward(t.Context(), &vaneyoke.Request{ID: id, Kind: "stream", Repeatable: true, ReceivedAt: now, PromptBytes: 5000}, relay.Forwarding{
		Message: &forward.Message{}, Service: "lm", Stream: true, Replicate: true, AnswerTokens: 20, Deadline: now.Add(timeout),
		LatencyGoal: 20 * time.Second, EventIntervalGoal: 20 * time.Second, MaxAttempts: 5,
	})
	result, err := session.Wait(t.Context())
	must.NoError(t, err)
	return result
}

// TestPromptIsSentAgainTooLate breaks the first attempt when no other can end in time: the caller is told at once.
func TestPromptIsSentAgainTooLate(t *testing.T) {
	cases := map[string]struct {
		usefulOnly bool
		broken     time.Duration // after the request
		sends      int
		took       time.Duration
		saved      int64
	}{
		"late":              {true, 8 * time.Second, 1, 8 * time.Second, 5000},
		"in time":           {true, 4 * time.Second, 2, 8 * time.Second, 5000},
		"late, rule is off": {false, 8 * time.Second, 2, 10 * time.Second, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newUsefulRelay(t, tc.usefulOnly)
				u.sender.breakAfter = tc.broken - time.Second
				before := time.Now()
				result := u.ask(t, "broken", 10*time.Second)
				must.EqOp(t, vaneyoke.CodeTimedOut, result.Code)
				must.EqOp(t, tc.took, time.Since(before).Round(10*time.Millisecond))
				must.EqOp(t, tc.sends, u.sender.sentOf("broken"))
				must.EqOp(t, tc.saved, u.metrics.Saved.Value())
				must.EqOp(t, tc.usefulOnly, bytes.Contains(u.log.Bytes(), []byte("attempt_not_begun")))
				u.Close()
				time.Sleep(time.Minute)
				synctest.Wait()
			})
		})
	}
}

func TestReplicaIsKeptForACallerWithoutTime(t *testing.T) {
	cases := map[string]struct {
		usefulOnly bool
		timeout    time.Duration
		replicas   int
	}{
		"in time":              {true, 20 * time.Second, 1},
		"no time":              {true, 2 * time.Second, 0},
		"no time, rule is off": {false, 2 * time.Second, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newUsefulRelay(t, tc.usefulOnly)
				before := u.placer.replicas
				u.ask(t, "last", tc.timeout)
				must.EqOp(t, tc.replicas, u.placer.replicas-before)
				u.Close()
				time.Sleep(time.Minute)
				synctest.Wait()
			})
		})
	}
}
