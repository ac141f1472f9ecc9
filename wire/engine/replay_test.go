package engine

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/openai"
)

// An engine received a run on a reused connection and exited. The transport replayed the request by itself, got a refused
// connection, and the client reported a request that no engine had received, although it may have run:
//
//	attempt_lost age_ms=6 attempt=3 cause=not_sent error="engine did not run the request: connect: connection refused"
func TestRefusedReplayMayHaveRun(t *testing.T) {
	var listener net.Listener
	var runs atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathDetokenize {
			return
		}
		runs.Add(1)
		_ = listener.Close()
		panic(http.ErrAbortHandler)
	}))
	listener = server.Listener
	server.Start()
	defer server.Close()
	c := New(&http.Client{Transport: &http.Transport{}}, http.DefaultClient)
	_, err := c.Call(t.Context(), server.URL+PathDetokenize, "r0", nil) // leaves a connection open for reuse
	must.NoError(t, err)
	_, err = c.Start(t.Context(), server.URL, "r1", openai.EngineRequest{Path: openai.PathCompletions}, 0, true)
	must.EqOp(t, 1, runs.Load())
	_, isClosed := errors.AsType[*ClosedError](err)
	must.True(t, isClosed, must.Sprint(err))
	_, err = c.Start(t.Context(), server.URL, "r2", openai.EngineRequest{Path: openai.PathCompletions}, 0, true)
	_, isNotSent := errors.AsType[*NotSentError](err)
	must.True(t, isNotSent, must.Sprint(err))
}
