package serve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/api/serve"
)

const waitTimeout = 10 * time.Second // longest wait for an expected event

const request = "GET / HTTP/1.1\r\nHost: x\r\nId: r\r\n\r\n"

// readResponse reads one whole response.
func readResponse(conn net.Conn) (*http.Response, error) {
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(res.Body)
	return res, err
}

// withTimeout returns a context that ends after d.
func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestShutdownWaitsForEachRequest shuts down a server while one request is being answered, one is received in part, and one
// connection has sent none yet: all must be answered, with a notice that the connection will be closed.
func TestShutdownWaitsForEachRequest(t *testing.T) {
	s := start(t)
	answering, reading, unused, idle := s.dial(t), s.dial(t), s.dial(t), s.dial(t)
	write(t, idle, request)
	s.release <- struct{}{}
	_, err := readResponse(idle)
	must.NoError(t, err)
	write(t, answering, request)
	write(t, reading, request[:20])
	for reached := 0; reached < 3; time.Sleep(time.Millisecond) {
		reached = 0
		for _, c := range s.Conns() {
			if c.Phase == serve.PhaseAnswering || c.Phase == serve.PhaseReading || c.Phase == serve.PhaseIdle {
				reached++
			}
		}
	}
	done := make(chan bool, 1)
	ctx := withTimeout(t, waitTimeout)
	go func() { done <- s.Shutdown(ctx) }()
	_, err = readResponse(idle)
	must.Error(t, err) // closed, since no request was in progress
	write(t, reading, request[20:])
	write(t, unused, request)
	for range 3 {
		s.release <- struct{}{}
	}
	for i, conn := range []net.Conn{answering, reading, unused} {
		res, err := readResponse(conn)
		must.NoError(t, err)
		must.True(t, res.Close || i == 0) // the first was started before the shutdown
	}
	must.True(t, <-done)
	must.SliceEmpty(t, s.Conns())
}

// TestShutdownStopsWaitingWithItsContext has a request outlast the context of Shutdown, which can then be called again.
func TestShutdownStopsWaitingWithItsContext(t *testing.T) {
	s := start(t)
	conn := s.dial(t)
	write(t, conn, request)
	s.waitForPhase(t, serve.PhaseAnswering)
	must.False(t, s.WaitIdle(withTimeout(t, 20*time.Millisecond)))
	must.False(t, s.Shutdown(withTimeout(t, 20*time.Millisecond)))
	close(s.release)
	must.True(t, s.Shutdown(withTimeout(t, waitTimeout)))
	_, err := readResponse(conn)
	must.NoError(t, err)
}

// TestDisableKeepAlivesLeavesIdleConnectionsOpen checks that a request on an idle connection is still answered, and that the
// caller is told not to reuse the connection.
func TestDisableKeepAlivesLeavesIdleConnectionsOpen(t *testing.T) {
	s := start(t)
	close(s.release)
	conn := s.dial(t)
	write(t, conn, request)
	_, err := readResponse(conn)
	must.NoError(t, err)
	s.waitForPhase(t, serve.PhaseIdle)
	s.DisableKeepAlives()
	must.True(t, s.WaitIdle(withTimeout(t, waitTimeout)))
	write(t, conn, request)
	res, err := readResponse(conn)
	must.NoError(t, err)
	must.True(t, res.Close)
}

// TestNoRequestIsStartedOnAClosedConnection has callers send requests on keep-alive connections while idle ones are being
// closed: each request whose handler ran must be answered.
func TestNoRequestIsStartedOnAClosedConnection(t *testing.T) {
	for range 50 {
		var mu sync.Mutex
		started := map[string]bool{}
		s := serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			started[r.Header.Get("Id")] = true
			mu.Unlock()
			fmt.Fprint(w, strings.Repeat("x", 100))
		}), serve.Config{})
		l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
		must.NoError(t, err)
		go func() { _ = s.Serve(l) }()
		server := &testServer{Server: s, address: l.Addr().String()}
		var callers sync.WaitGroup
		consistent := make([]bool, 8)
		ready := make(chan struct{}, len(consistent))
		for i := range consistent {
			conn := server.dial(t)
			callers.Go(func() {
				for n := 0; ; n++ {
					if n == 1 {
						ready <- struct{}{}
					}
					id := fmt.Sprintf("%d-%d", i, n)
					_, sendErr := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nId: %s\r\n\r\n", id)
					_, answerErr := readResponse(conn)
					if sendErr == nil && answerErr == nil {
						continue
					}
					mu.Lock()
					consistent[i] = !started[id]
					mu.Unlock()
					return
				}
			})
		}
		for range consistent {
			<-ready
		}
		must.True(t, s.Shutdown(withTimeout(t, waitTimeout)))
		callers.Wait()
		must.SliceNotContains(t, consistent, false)
	}
}

// TestPipelinedRequestIsNotStartedOnAClosedConnection has a caller send two requests at once, and shuts the server down while
// the first is answered: the second has been read with the first, and has to be answered, too.
func TestPipelinedRequestIsNotStartedOnAClosedConnection(t *testing.T) {
	var started atomic.Int32
	inFirst, release := make(chan struct{}), make(chan struct{})
	s := serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started.Add(1)
		if r.URL.Path == "/1" {
			close(inFirst)
			<-release
		}
		_, _ = w.Write([]byte("answer"))
	}), serve.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	conn, err := net.Dial("tcp", l.Addr().String()) //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	write(t, conn, "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\naPOST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nb")
	<-inFirst
	done := make(chan bool, 1)
	ctx := withTimeout(t, waitTimeout)
	go func() { done <- s.Shutdown(ctx) }()
	time.Sleep(20 * time.Millisecond) // let Shutdown begin
	close(release)
	reader := bufio.NewReader(conn)
	answers := 0
	for {
		_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		body, err := io.ReadAll(res.Body)
		must.NoError(t, err)
		must.EqOp(t, "answer", string(body))
		answers++
	}
	must.True(t, <-done)
	must.EqOp(t, 2, int(started.Load()))
	must.EqOp(t, 2, answers)
}

// TestNewRequestClearsRequestID checks that a connection with a new request does not report the id of an answered one.
func TestNewRequestClearsRequestID(t *testing.T) {
	s := start(t)
	conn := s.dial(t)
	write(t, conn, request)
	s.release <- struct{}{}
	_, err := readResponse(conn)
	must.NoError(t, err)
	s.waitForPhase(t, serve.PhaseIdle)
	write(t, conn, request[:20])
	info := s.waitForPhase(t, serve.PhaseReading)
	must.EqOp(t, "", info.Request)
}

// TestWillCloseChangesDuringARequest has a handler check WillClose before and after DisableKeepAlives is called: a response
// written afterwards must announce that the connection will be closed.
func TestWillCloseChangesDuringARequest(t *testing.T) {
	release := make(chan struct{})
	s := serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.False(t, serve.CallerOf(r.Context()).WillClose())
		<-release
		must.True(t, serve.CallerOf(r.Context()).WillClose())
		fmt.Fprint(w, "answer")
	}), serve.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	server := &testServer{Server: s, address: l.Addr().String()}
	conn := server.dial(t)
	write(t, conn, request)
	server.waitForPhase(t, serve.PhaseAnswering)
	s.DisableKeepAlives()
	close(release)
	_, err = readResponse(conn)
	must.NoError(t, err)
}

// pausedListener accepts connections whose reads block while pause is locked.
type pausedListener struct {
	net.Listener
	pause *sync.RWMutex
}

func (l *pausedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausedConn{TCPConn: inner.(*net.TCPConn), pause: l.pause}, nil
}

// pausedConn keeps received data unread while pause is locked.
type pausedConn struct {
	*net.TCPConn
	pause *sync.RWMutex
}

// Read waits for data to arrive, and reads it once pause is unlocked.
func (c *pausedConn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	waitErr := raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN //nolint:errorlint // a plain errno
	})
	c.pause.RLock()
	defer c.pause.RUnlock()
	if waitErr != nil {
		return 0, waitErr
	}
	return c.TCPConn.Read(p)
}

// TestReceivedRequestIsNotCutOff closes idle connections after a request has arrived and before the server reads it.
func TestReceivedRequestIsNotCutOff(t *testing.T) {
	var hold sync.RWMutex
	s := serve.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") }), serve.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	go func() { _ = s.Serve(&pausedListener{Listener: l, pause: &hold}) }()
	t.Cleanup(func() { _ = s.Close() })
	server := &testServer{Server: s, address: l.Addr().String()}
	conn := server.dial(t)
	write(t, conn, request)
	_, err = readResponse(conn)
	must.NoError(t, err)
	server.waitForPhase(t, serve.PhaseIdle)
	hold.Lock()
	write(t, conn, request)
	time.Sleep(20 * time.Millisecond) // wait for it to arrive
	s.DisableKeepAlives()
	s.CloseIdle()
	hold.Unlock()
	res, err := readResponse(conn)
	must.NoError(t, err)
	must.True(t, res.Close)
}
