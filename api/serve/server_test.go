package serve_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/vaneyoke/vaneyoke/api/serve"
)

// testServer is a running server whose handler blocks until it is released.
type testServer struct {
	*serve.Server
	address string
	release chan struct{}
}

func start(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{release: make(chan struct{})}
	s.Server = serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller := serve.CallerOf(r.Context())
		caller.SetRequestID(r.Header.Get("Id"))
		must.False(t, caller.OpenedAt().IsZero())
		<-s.release
		fmt.Fprint(w, "answer")
	}), serve.Config{})
	s.listen(t)
	return s
}

func (s *testServer) listen(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	s.address = l.Addr().String()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address) //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	must.NoError(t, err)
}

// waitForPhase waits until the only connection is in the given phase, and returns its description.
func (s *testServer) waitForPhase(t *testing.T, phase serve.Phase) serve.Conn {
	t.Helper()
	var info serve.Conn
	must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.Gap(time.Millisecond), wait.BoolFunc(func() bool {
		conns := s.Conns()
		if len(conns) != 1 {
			return false
		}
		info = conns[0]
		return info.Phase == phase
	})))
	return info
}

func TestConnectionPhases(t *testing.T) {
	s := start(t)
	conn := s.dial(t)
	s.waitForPhase(t, serve.PhaseNew)
	write(t, conn, "GET / HTTP/1.1\r\nHost: x\r\n")
	s.waitForPhase(t, serve.PhaseReading)
	write(t, conn, "Id: r-1\r\n\r\n")
	s.waitForPhase(t, serve.PhaseAnswering)
	s.release <- struct{}{}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.NoError(t, res.Body.Close())
	info := s.waitForPhase(t, serve.PhaseIdle)
	must.EqOp(t, "r-1", info.Request)
	write(t, conn, "GET / HT")
	s.waitForPhase(t, serve.PhaseReading)
	must.NoError(t, conn.Close())
	must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.BoolFunc(func() bool { return len(s.Conns()) == 0 })))
}
