package relay_test

import (
	"bytes"
	"expvar"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/engine"
)

// endingUpstreams answer calls; the process of the first one ends within its answer, which has neither length nor chunks.
type endingUpstreams struct{}

// RoundTrip implements http.RoundTripper.
func (endingUpstreams) RoundTrip(r *http.Request) (*http.Response, error) {
	const whole = `{"text":"whole"}`
	switch {
	case r.URL.Host != "a":
		return &http.Response{StatusCode: http.StatusOK, ContentLength: int64(len(whole)), Body: io.NopCloser(strings.NewReader(whole))}, nil
	case r.Method == http.MethodPost:
		return &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(bytes.NewBufferString(whole[:7]))}, nil
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
