package relay_test

import (
	"bytes"
	"context"
	"expvar"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// endingUpstreams answer calls; the process of the first one ends within its answer, which has neither length nor chunks.
type endingUpstreams struct{}

// RoundTrip implements http.RoundTripper.
func (endingUpstreams) RoundTrip(r *http.Request) (*http.Response, error) {
	const whole = `{"text":"whole"}`
	switch {
	case r.URL.Host != "a":
		return &http.Response{StatusCode: http.StatusOK, Request: r, ContentLength: int64(len(whole)), Body: io.NopCloser(strings.NewReader(whole))}, nil
	case r.Method == http.MethodPost:
		return &http.Response{StatusCode: http.StatusOK, Request: r, ContentLength: -1, Body: io.NopCloser(bytes.NewBufferString(whole[:7]))}, nil
	default:
		return nil, io.ErrUnexpectedEOF
	}
}

// Guards against calls of the caller API that are answered as whole with a part of a body that nothing frames, whose upstream's process has ended.
func TestUnframedAnswerToACallIsWholeThoughItsProcessHasEnded(t *testing.T) {
	for name, repeatable := range map[string]bool{"may run again": true, "may not run again": false} {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			client := &http.Client{Transport: endingUpstreams{}}
			config := relay.Config{Generation: generation.DefaultConfig(), UnaryTimeout: time.Minute, CallSilence: time.Minute}
			r := relay.New(engine.New(client, client), nil, &sequentialPlacer{}, noop.NewTracerProvider().Tracer(""), relay.NewMetrics(new(expvar.Map).Init()), log, config)
			defer r.Close()
			session := r.Call(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: repeatable, ReceivedAt: time.Now()}, "shop", "/look", []byte("{}"))
			result, err := session.Wait(t.Context())
			must.NoError(t, err)
			if !repeatable {
				must.EqOp(t, vaneyoke.CodeMayHaveRun, result.Code, must.Sprint(string(session.Answer().Body)))
				return
			}
			must.EqOp(t, vaneyoke.CodeOK, result.Code)
			must.EqOp(t, `{"text":"whole"}`, string(session.Answer().Body))
		})
	}
}

// heldBody is an answer whose body is held for its caller, with as much for a copy of it.
type heldBody struct {
	unaryExchange
	memory  forward.Memory
	framing forward.Framing
}

func (b *heldBody) Head() forward.Head {
	return forward.Head{Status: http.StatusOK, Framing: b.framing}
}
func (b *heldBody) Body() ([]byte, error) {
	body := make([]byte, 1000)
	return body, b.memory.Grow(context.Background(), cap(body)+len(body))
}

// holdingSender answers with bodies that are held; the first upstream's process ends with its answer, which nothing frames.
type holdingSender struct {
	fakeSender
	held func() int64
	then int64 // bytes that were held when the second attempt was sent
}

func (s *holdingSender) Send(_ context.Context, a *forward.Attempt) (forward.Response, error) {
	if a.Upstream.ID == "a" {
		return &heldBody{memory: a.Memory, framing: forward.CloseDelimited}, nil
	}
	s.then = s.held()
	return &heldBody{memory: a.Memory}, nil
}

// Guards against memory that stays taken for a body that is not delivered, since its upstream's process has ended.
func TestLostBodyOfAnEndedProcessStaysAccountedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &holdingSender{}
		r := newForwarder(s)
		s.held = r.BufferedBytes
		buffer := r.OpenBuffer("r", func() {})
		now := time.Now()
		session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
			Message: &forward.Message{}, Service: "shop", Deadline: now.Add(time.Minute), LatencyGoal: 10 * time.Second, MaxAttempts: 3, Buffer: buffer,
		})
		result, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
		must.EqOp(t, 0, s.then)
		must.EqOp(t, 1000, r.BufferedBytes())
		buffer.Close()
		r.Close()
		synctest.Wait()
	})
}
