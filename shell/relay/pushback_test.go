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

// resting places attempts on upstreams that push back from a moment after the first attempt was placed.
type resting struct {
	inTurn
	from time.Time
}

func (r *resting) Signalled(pushback.Signal) (hold, before pushback.Hold, ok bool) {
	return hold, before, false
}

func (r *resting) IsPushedBack(vaneyoke.UpstreamID) bool { return !time.Now().Before(r.from) }

// probed counts connections that are opened to find out whether an upstream is there.
type probed struct {
	counted
	probes atomic.Int32
}

func (p *probed) Probe(ctx context.Context, u vaneyoke.Upstream) bool {
	p.probes.Add(1)
	return p.counted.Probe(ctx, u)
}

// TestPushedBackUpstreamsAreNotAsked has an upstream push back while it works on a generation that is silent for long: it is neither asked nor
// probed, and its answer is waited for.
func TestPushedBackUpstreamsAreNotAsked(t *testing.T) {
	for name, tc := range map[string]struct {
		after time.Duration
		asked bool
	}{
		"it pushes back":       {time.Millisecond, false},
		"it pushes back later": {time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &probed{counted: counted{sender: sender{
					answers: map[vaneyoke.UpstreamID]forward.Response{"a": &stubborn{from: "a", events: 1}}, reached: true, work: vaneyoke.RunStateQueued,
					waits: map[vaneyoke.UpstreamID]time.Duration{"a": 7 * time.Second},
				}}}
				r := newForwarderWith(s, &resting{from: time.Now().Add(tc.after)})
				session := askPrompt(t.Context(), r)
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				must.EqOp(t, tc.asked, s.questions.Load() > 0)
				must.EqOp(t, tc.asked, s.probes.Load() > 0)
				r.Close()
				synctest.Wait()
			})
		})
	}
}

// told keeps the signals of the upstream at an address.
type told struct {
	inTurn
	url     string
	lock    sync.Mutex
	signals []pushback.Signal
}

func (p *told) Place(placement.Need, bool) (vaneyoke.Upstream, time.Duration, error) {
	return vaneyoke.Upstream{ID: "a", URL: p.url}, 0, nil
}

func (p *told) Signalled(signal pushback.Signal) (hold, before pushback.Hold, ok bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.signals = append(p.signals, signal)
	return hold, before, true
}

func (*told) IsPushedBack(vaneyoke.UpstreamID) bool { return false }

// TestPushbackOfAGeneratingEngineIsTakenIn has an engine of the caller API turn an attempt away for three seconds.
func TestPushbackOfAGeneratingEngineIsTakenIn(t *testing.T) {
	for name, continuable := range map[string]bool{"streamed": true, "whole": false} {
		t.Run(name, func(t *testing.T) {
			var turned atomic.Bool
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if turned.CompareAndSwap(false, true) {
					w.Header().Set("Retry-After", "3")
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer server.Close()
			placer := &told{url: server.URL}
			log := logrus.New()
			log.SetOutput(io.Discard)
			config := relay.Config{Generation: generation.DefaultConfig(), WholeLimit: time.Second}
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
