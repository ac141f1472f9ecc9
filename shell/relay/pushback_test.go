package relay_test

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// pushbackPlacer places attempts on upstreams that push back from a given time on.
type pushbackPlacer struct {
	sequentialPlacer
	from time.Time
}

func (r *pushbackPlacer) RecordSignal(pushback.Signal) (hold, before pushback.Hold, ok bool) {
	return hold, before, false
}

func (r *pushbackPlacer) IsPushedBack(vaneyoke.UpstreamID) bool { return !time.Now().Before(r.from) }

// probeCounter counts the connections that are opened to check whether an upstream is up.
type probeCounter struct {
	countingSender
	probes atomic.Int32
}

func (p *probeCounter) Probe(ctx context.Context, u vaneyoke.Upstream, path forward.Path) bool {
	p.probes.Add(1)
	return p.countingSender.Probe(ctx, u, path)
}

// TestPushedBackUpstreamsAreNotQueried has an upstream push back during a long silence of a generation: it is neither
// queried nor probed, and its answer is waited for.
func TestPushedBackUpstreamsAreNotQueried(t *testing.T) {
	for name, tc := range map[string]struct {
		after   time.Duration
		queried bool
	}{
		"pushes back at once": {time.Millisecond, false},
		"pushes back later":   {time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &probeCounter{countingSender: countingSender{fakeSender: fakeSender{
					answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 1}}, reachable: true, runState: vaneyoke.RunStateQueued,
					waits: map[vaneyoke.UpstreamID]time.Duration{"a": 7 * time.Second},
				}}}
				r := newForwarderWith(s, &pushbackPlacer{from: time.Now().Add(tc.after)})
				session := forwardPrompt(t.Context(), r)
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				must.EqOp(t, tc.queried, s.queries.Load() > 0)
				must.EqOp(t, tc.queried, s.probes.Load() > 0)
				r.Close()
				synctest.Wait()
			})
		})
	}
}

// signalRecorder records the signals of the upstream at a fixed address.
type signalRecorder struct {
	sequentialPlacer
	url     string
	lock    sync.Mutex
	signals []pushback.Signal
}

func (p *signalRecorder) Place(placement.Need, bool) (vaneyoke.Upstream, time.Duration, error) {
	return vaneyoke.Upstream{ID: "a", URL: p.url}, 0, nil
}

func (p *signalRecorder) RecordSignal(signal pushback.Signal) (hold, before pushback.Hold, ok bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.signals = append(p.signals, signal)
	return hold, before, true
}

func (*signalRecorder) IsPushedBack(vaneyoke.UpstreamID) bool { return false }

// TestPushbackOfAnEngineIsRecorded has an engine of the caller API decline an attempt for three seconds.
func TestPushbackOfAnEngineIsRecorded(t *testing.T) {
	for name, continuable := range map[string]bool{"streamed": true, "whole": false} {
		t.Run(name, func(t *testing.T) {
			var declined atomic.Bool
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if declined.CompareAndSwap(false, true) {
					w.Header().Set("Retry-After", "3")
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer server.Close()
			placer := &signalRecorder{url: server.URL}
			log := logrus.New()
			log.SetOutput(io.Discard)
			config := relay.Config{Generation: generation.DefaultConfig(), UnaryTimeout: time.Second}
			config.Generation.MaxLosses = 1
			r := relay.New(engine.New(server.Client(), server.Client()), nil, placer, noop.NewTracerProvider().Tracer(""), relay.NewMetrics(new(expvar.Map).Init()), log, config)
			session := r.Generate(t.Context(), &vaneyoke.Request{ID: "r", Model: "m", Continuable: continuable, Fields: vaneyoke.Fields{}, ReceivedAt: time.Now()})
			_, err := session.Wait(t.Context())
			must.NoError(t, err)
			r.Close()
			must.Len(t, 1, placer.signals)
			must.EqOp(t, 3*time.Second, placer.signals[0].Pushback)
			must.EqOp(t, "a", placer.signals[0].Upstream.ID)
		})
	}
}

// pausingExchange is a stream whose events come after given pauses, and which then sends nothing for the deadline of its caller.
type pausingExchange struct {
	lateExchange
	pauses []time.Duration
}

func (s *pausingExchange) Next() (forward.Event, error) {
	if s.sent == len(s.pauses) {
		time.Sleep(time.Minute)
		return forward.Event{}, io.ErrUnexpectedEOF
	}
	time.Sleep(s.pauses[s.sent])
	s.sent++
	return forward.Event{ID: string(rune('0' + s.sent)), Data: []byte(s.from)}, nil
}

// refusingPlacer refuses the first retry.
type refusingPlacer struct {
	sequentialPlacer
	refusal error // of the first retry; nil once it has been refused
}

func (p *refusingPlacer) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	if err := p.refusal; retry && err != nil {
		p.refusal = nil
		return vaneyoke.Upstream{}, 0, err
	}
	return p.sequentialPlacer.Place(need, retry)
}

// Guards against a stream that waits for a dead upstream, because the replacement of its run was refused when the upstream paused before.
func TestStreamWaitsForADeadUpstreamAfterAPause(t *testing.T) {
	const usual, pause = 50 * time.Millisecond, 1200 * time.Millisecond
	refusals := map[string]error{
		"upstreams push back":    vaneyoke.ErrRetryAfter(vaneyoke.CodePushedBack, 20*time.Second, "push back"),
		"the version is gone":    vaneyoke.Err(vaneyoke.CodeVersionGone, "gone"),
		"the content is blocked": vaneyoke.ErrRetryAfter(vaneyoke.CodeQuarantined, 2*time.Second, "blocked"),
		"none is asked for":      nil,
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pauses := []time.Duration{usual, usual, usual, pause, usual, usual, usual}
				if refusal == nil {
					pauses[3] = usual
				}
				s := &fakeSender{reachable: true, answers: map[vaneyoke.UpstreamID]forward.Response{
					"a": &pausingExchange{lateExchange: lateExchange{from: "a"}, pauses: pauses},
					"b": &lateExchange{from: "b", delay: usual, events: 3},
				}}
				r := newForwarderWith(s, &refusingPlacer{refusal: refusal})
				defer time.Sleep(2 * time.Minute) // until all upstreams have ended
				defer r.Close()
				began := time.Now()
				session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: began}, relay.Forwarding{
					Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: began.Add(time.Minute),
					LatencyGoal: 3 * time.Second, EventIntervalGoal: 700 * time.Millisecond, MaxAttempts: 3,
				})
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				must.EqOp(t, "aaaaaaabbb", string(session.Text()))
				must.Less(t, 4*time.Second, time.Since(began))
			})
		})
	}
}

// refusingGuard is a crash recorder that refuses the first retry.
type refusingGuard struct {
	crashRecorder
	placer refusingPlacer
}

func (g *refusingGuard) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	return g.placer.Place(need, retry)
}

// Guards against a run with a head that is ended by a quarantine of its content, because a replacement of it was asked for as it paused.
func TestQuarantineEndsARunThatPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &crashingSender{fakeSender: fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{
			"a": &lateExchange{from: "a", events: 3, delay: 8 * time.Second},
		}}}
		g := &refusingGuard{placer: refusingPlacer{refusal: vaneyoke.ErrRetryAfter(vaneyoke.CodePushedBack, 20*time.Second, "push back")}}
		r := newForwarderWith(s, g)
		defer time.Sleep(time.Minute) // until all upstreams have ended
		defer r.Close()
		session := forwardRequest(t, r, true)
		time.Sleep(7 * time.Second) // its replacement has been refused
		synctest.Wait()
		must.Nil(t, g.placer.refusal)
		g.lock.Lock()
		g.blocked = true
		g.lock.Unlock()
		r.Quarantine("c")
		result, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
		must.EqOp(t, "aaa", string(session.Text()))
	})
}
