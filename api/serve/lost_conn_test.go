package serve_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/api/serve"
)

// gatedListener accepts connections that hold what a read has taken from the system until the gate opens, once it is set.
type gatedListener struct {
	net.Listener
	taken chan struct{} // gets a value for each read that is held
	gate  chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: inner.(*net.TCPConn), listener: l}, nil
}

// gatedConn is a connection of a gatedListener.
type gatedConn struct {
	*net.TCPConn
	listener *gatedListener
}

// Read reads from the connection.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 1 { // the background read of package http takes one byte
		c.listener.taken <- struct{}{}
		<-c.listener.gate
	}
	return n, err
}

// startAnswering starts a server that answers each request at once, on connections whose reads are held.
func startAnswering(t *testing.T) (*testServer, *gatedListener) {
	s := serve.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") }), serve.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	gated := &gatedListener{Listener: l, taken: make(chan struct{}, 1), gate: make(chan struct{}, 1)}
	go func() { _ = s.Serve(gated) }()
	t.Cleanup(func() { _ = s.Close() })
	return &testServer{Server: s, address: l.Addr().String()}, gated
}

// Guards against a request that was taken from the system and dropped, since its connection was closed before the server had seen it.
func TestRequestIsDroppedBetweenReadAndClose(t *testing.T) {
	closing := map[string]func(t *testing.T, s *testServer){
		"idle connections are closed": func(_ *testing.T, s *testServer) { s.CloseIdle() },
		"the server shuts down":       func(t *testing.T, s *testServer) { s.Shutdown(withTimeout(t, 2*serve.NewConnTimeout)) },
	}
	for name, closeConns := range closing {
		for _, first := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", first request ", first), func(t *testing.T) {
				s, gated := startAnswering(t)
				conn := s.dial(t)
				if !first {
					gated.gate <- struct{}{}
					write(t, conn, request)
					<-gated.taken
					_, err := readResponse(conn)
					must.NoError(t, err)
					s.waitForPhase(t, serve.PhaseIdle)
				}
				write(t, conn, request)
				<-gated.taken
				closeConns(t, s)
				gated.gate <- struct{}{}
				res, err := readResponse(conn)
				must.NoError(t, err)
				must.EqOp(t, http.StatusOK, res.StatusCode)
				must.True(t, s.Shutdown(withTimeout(t, waitTimeout)))
			})
		}
	}
}
