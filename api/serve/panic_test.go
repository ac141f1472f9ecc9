package serve_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
)

// startPanicking starts a server whose handler fails as the path of a request says, and returns its address, and the panics and aborts that it reports.
func startPanicking(t *testing.T) (address string, panics chan serve.Panic, aborts chan serve.Abort) {
	t.Helper()
	panics, aborts = make(chan serve.Panic, 1), make(chan serve.Abort, 1)
	server := serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serve.CallerOf(r.Context()).SetRequestID(r.Header.Get("Id"))
		w.Header().Set("Signature", "of an upstream")
		switch r.URL.Path {
		case "/before":
			panic("no head")
		case "/invalid":
			w.WriteHeader(0)
		case "/after":
			_, _ = io.WriteString(w, "first part")
			_ = http.NewResponseController(w).Flush()
			panic("midway")
		case "/flushed":
			_ = http.NewResponseController(w).Flush()
			panic("no body")
		case "/interrupted":
			_, _ = io.WriteString(w, "first part")
			_ = http.NewResponseController(w).Flush()
			panic(serve.AbortError{Cause: serve.AbortInterrupted, Code: vaneyoke.CodeInterrupted})
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/good":
			_, _ = io.WriteString(w, "answer")
		}
	}), serve.Config{OnPanic: func(p serve.Panic) { panics <- p }, OnAbort: func(a serve.Abort) { aborts <- a }})
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), panics, aborts
}

// Guards against a handler's panic that closes a kept connection without an answer, and whose cause cannot be found by the request's id.
func TestPanicClosesAKeptConnectionWithoutAnAnswer(t *testing.T) {
	cases := map[string]struct {
		answered bool
		text     string // of the panic
	}{
		"/before":  {true, "no head"},
		"/invalid": {true, "invalid WriteHeader code 0"},
		"/after":   {false, "midway"},
		"/flushed": {false, "no body"},
	}
	for path, tc := range cases {
		t.Run(path, func(t *testing.T) {
			address, panics, _ := startPanicking(t)
			conn, err := net.Dial("tcp", address) //nolint:noctx // nothing to cancel
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			write(t, conn, "POST "+path+" HTTP/1.1\r\nHost: x\r\nId: r-1\r\nContent-Length: 4\r\n\r\nbody")
			res, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			body, err := io.ReadAll(res.Body)
			_ = res.Body.Close()
			must.EqOp(t, 1, len(panics))
			p := <-panics
			must.EqOp(t, "r-1", p.Request)
			must.EqOp(t, path, p.Path)
			must.EqOp(t, tc.answered, p.Answered)
			must.StrContains(t, p.Err.Error(), tc.text)
			must.StrContains(t, p.Err.Stack, "startPanicking")
			if !tc.answered {
				must.Error(t, err) // the answer must not look complete
				return
			}
			must.NoError(t, err)
			must.EqOp(t, http.StatusInternalServerError, res.StatusCode)
			must.EqOp(t, "", res.Header.Get("Signature"))
			must.False(t, strings.Contains(string(body), tc.text))
			write(t, conn, "GET /good HTTP/1.1\r\nHost: x\r\n\r\n")
			res, err = http.ReadResponse(reader, nil)
			must.NoError(t, err)
			must.EqOp(t, http.StatusOK, res.StatusCode)
			_ = res.Body.Close()
		})
	}
}

// Guards against an aborted response that is reported as a panic, or that gets an answer.
func TestAbortedResponseIsAnswered(t *testing.T) {
	address, panics, _ := startPanicking(t)
	conn, err := net.Dial("tcp", address) //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	write(t, conn, "GET /abort HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.EqOp(t, 0, len(panics))
}

// Guards against an answer that is not complete and leaves no trace of which request it was and why it ended.
func TestIncompleteAnswerIsNotReported(t *testing.T) {
	cases := map[string]struct {
		cause serve.AbortCause
		code  vaneyoke.Code
		sent  int64
	}{
		"/after":       {serve.AbortPanicked, vaneyoke.CodeInternal, int64(len("first part"))},
		"/flushed":     {serve.AbortPanicked, vaneyoke.CodeInternal, 0},
		"/interrupted": {serve.AbortInterrupted, vaneyoke.CodeInterrupted, int64(len("first part"))},
		"/abort":       {serve.AbortByHandler, vaneyoke.CodeOK, 0},
	}
	for path, tc := range cases {
		t.Run(path, func(t *testing.T) {
			address, _, aborts := startPanicking(t)
			conn, err := net.Dial("tcp", address) //nolint:noctx // nothing to cancel
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			write(t, conn, "GET "+path+" HTTP/1.1\r\nHost: x\r\nId: r-1\r\n\r\n")
			_, err = io.ReadAll(conn) // until the server closes the connection
			must.NoError(t, err)
			must.EqOp(t, 1, len(aborts))
			a := <-aborts
			must.EqOp(t, "r-1", a.Request)
			must.EqOp(t, path, a.Path)
			must.EqOp(t, tc.cause, a.Cause)
			must.EqOp(t, tc.code, a.Code)
			must.EqOp(t, tc.sent, a.SentBytes)
		})
	}
}
