package gateway

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// onePlacer places each attempt on the same upstream.
type onePlacer struct{ relay.Placer }

func (onePlacer) Admit(placement.Need) {}
func (onePlacer) Place(placement.Need, bool) (vaneyoke.Upstream, time.Duration, error) {
	return vaneyoke.Upstream{ID: "a", URL: "http://a"}, 0, nil
}
func (onePlacer) Ended(vaneyoke.UpstreamID, placement.Outcome, bool) {}
func (onePlacer) FirstToken(vaneyoke.UpstreamID, time.Duration, int) {}

// hangingSender answers no attempt until its context is cancelled.
type hangingSender struct {
	forward.Sender
	sent, ended chan struct{}
}

func (s *hangingSender) Send(ctx context.Context, _ *forward.Attempt) (forward.Response, error) {
	close(s.sent)
	<-ctx.Done()
	close(s.ended)
	return nil, ctx.Err()
}

// slowContext is a context that runs the functions registered with context.AfterFunc in the opposite order, each after the one before it has had its
// effect, as a context that is cancelled on a busy machine may.
type slowContext struct {
	context.Context
	mu    sync.Mutex
	done  chan struct{}
	funcs []func()
}

func (c *slowContext) Done() <-chan struct{} { return c.done }
func (c *slowContext) Err() error {
	select {
	case <-c.done:
		return context.Canceled
	default:
		return nil
	}
}

// AfterFunc implements the method that package context looks for.
func (c *slowContext) AfterFunc(f func()) func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := len(c.funcs)
	c.funcs = append(c.funcs, f)
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.funcs[at] = nil
		return true
	}
}

// cancel calls the functions that are still registered, the last one first; handled is closed when the handler has returned.
func (c *slowContext) cancel(handled <-chan struct{}) {
	close(c.done)
	c.mu.Lock()
	registered := len(c.funcs)
	c.mu.Unlock()
	for at := range slices.Backward(make([]struct{}, registered)) {
		c.mu.Lock()
		f := c.funcs[at]
		c.mu.Unlock()
		if f != nil {
			f()
		}
		if at == registered-1 {
			<-handled
		}
	}
}

// TestRunOutlivesItsCaller has a handler see that its caller has left before the function that abandons the session was called: the run must end.
func TestRunOutlivesItsCaller(t *testing.T) {
	for name, stream := range map[string]bool{"call": false, "stream": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				sender := &hangingSender{sent: make(chan struct{}), ended: make(chan struct{})}
				config := relay.Config{Generation: generation.DefaultConfig()}
				r := relay.New(nil, sender, onePlacer{}, noop.NewTracerProvider().Tracer(""), relay.NewMetrics(new(expvar.Map).Init()), log, config)
				defer r.Close()
				now := time.Now()
				session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", ReceivedAt: now}, relay.Forwarding{
					Message: &forward.Message{}, Service: "shop", Stream: stream, Deadline: now.Add(time.Minute), LatencyGoal: time.Minute, MaxAttempts: 1,
				})
				<-sender.sent
				ctx := &slowContext{Context: context.Background(), done: make(chan struct{})}
				w := httptest.NewRecorder()
				a := &responder{call: &call{http: w}, control: http.NewResponseController(w), session: session, stream: stream}
				handled := make(chan struct{})
				go func() {
					defer close(handled)
					defer func() { _ = recover() }() // it aborts the connection
					a.serve(ctx)
				}()
				synctest.Wait()
				ctx.cancel(handled)
				synctest.Wait()
				must.False(t, session.Running())
				<-sender.ended
			})
		})
	}
}

// Guards against a caller who left in the middle of a stream and is logged as one whose answer was interrupted.
func TestCallerWhoLeftIsReportedAsInterrupted(t *testing.T) {
	for code, cause := range map[vaneyoke.Code]serve.AbortCause{
		vaneyoke.CodeCallerGone: serve.AbortCallerGone, vaneyoke.CodeInterrupted: serve.AbortInterrupted,
	} {
		func() {
			defer func() {
				aborted, ok := recover().(serve.AbortError)
				must.True(t, ok)
				must.EqOp(t, cause, aborted.Cause)
				must.EqOp(t, code, aborted.Code)
			}()
			(&responder{stream: true, sent: 1}).endStream(relay.Result{Ended: true, Code: code})
		}()
	}
}

// oneEvent is the answer of an upstream that sends one event.
type oneEvent struct{ read bool }

func (*oneEvent) Head() forward.Head    { return forward.Head{Status: http.StatusOK} }
func (*oneEvent) IsEventStream() bool   { return true }
func (*oneEvent) Body() ([]byte, error) { return nil, nil }
func (*oneEvent) Close() error          { return nil }
func (e *oneEvent) Next() (forward.Event, error) {
	if e.read {
		return forward.Event{}, io.EOF
	}
	e.read = true
	return forward.Event{ID: "1", Data: []byte("id: 1\ndata: x\n\n")}, nil
}

// oneEventSender answers each attempt with one event.
type oneEventSender struct{ forward.Sender }

func (oneEventSender) Send(context.Context, *forward.Attempt) (forward.Response, error) {
	return &oneEvent{}, nil
}

// stuckWriter takes a response into its buffer, which cannot be written to the connection.
type stuckWriter struct{ *httptest.ResponseRecorder }

func (stuckWriter) FlushError() error { return os.ErrDeadlineExceeded }

// Guards against a stream that counts as delivered whole although the caller's connection did not take its last event.
func TestLastEventThatWasNotTakenCountsAsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		config := relay.Config{Generation: generation.DefaultConfig()}
		r := relay.New(nil, oneEventSender{}, onePlacer{}, noop.NewTracerProvider().Tracer(""), relay.NewMetrics(new(expvar.Map).Init()), log, config)
		defer r.Close()
		now := time.Now()
		session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", ReceivedAt: now}, relay.Forwarding{
			Message: &forward.Message{}, Service: "shop", Stream: true, Deadline: now.Add(time.Minute), LatencyGoal: time.Minute, MaxAttempts: 1,
		})
		w := stuckWriter{httptest.NewRecorder()}
		a := &responder{call: &call{http: w}, writeTimeout: time.Second, control: http.NewResponseController(w), session: session, stream: true}
		defer func() {
			aborted, ok := recover().(serve.AbortError)
			must.True(t, ok)
			must.EqOp(t, serve.AbortWriteFailed, aborted.Cause)
			must.ErrorIs(t, aborted.Err, os.ErrDeadlineExceeded)
		}()
		a.serve(t.Context())
	})
}
