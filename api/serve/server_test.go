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

// started is a server whose handler waits to be let go.
type started struct {
	*serve.Server
	address string
	letGo   chan struct{}
}

func start(t *testing.T) *started {
	t.Helper()
	s := &started{letGo: make(chan struct{})}
	s.Server = serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller := serve.CallerOf(r.Context())
		caller.SetRequestID(r.Header.Get("Id"))
		must.False(t, caller.OpenedAt().IsZero())
		<-s.letGo
		fmt.Fprint(w, "answer")
	}), serve.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	s.address = l.Addr().String()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func (s *started) dial(t *testing.T) net.Conn {
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

// until waits until the only connection is in a phase, and returns what is known of it.
func (s *started) until(t *testing.T, phase serve.Phase) serve.Conn {
	t.Helper()
	var known serve.Conn
	must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.Gap(time.Millisecond), wait.BoolFunc(func() bool {
		conns := s.Conns()
		if len(conns) != 1 {
			return false
		}
		known = conns[0]
		return known.Phase == phase
	})))
	return known
}

func TestPhasesOfAConnection(t *testing.T) {
	s := start(t)
	conn := s.dial(t)
	s.until(t, serve.PhaseNew)
	write(t, conn, "GET / HTTP/1.1\r\nHost: x\r\n")
	s.until(t, serve.PhaseReading)
	write(t, conn, "Id: r-1\r\n\r\n")
	s.until(t, serve.PhaseAnswering)
	s.letGo <- struct{}{}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.NoError(t, res.Body.Close())
	known := s.until(t, serve.PhaseIdle)
	must.EqOp(t, "r-1", known.Request)
	write(t, conn, "GET / HT")
	s.until(t, serve.PhaseReading)
	must.NoError(t, conn.Close())
	must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.BoolFunc(func() bool { return len(s.Conns()) == 0 })))
}
