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

const patient = 10 * time.Second // longest wait for something that is to happen; reaching it fails the test

const ask = "GET / HTTP/1.1\r\nHost: x\r\nId: r\r\n\r\n"

// answerOn reads one whole answer.
func answerOn(conn net.Conn) (*http.Response, error) {
	_ = conn.SetReadDeadline(time.Now().Add(patient))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(res.Body)
	return res, err
}

// within returns a context that ends after a while.
func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestEndWaitsForEachRequest ends a server while one request is being answered, one is half read, and one connection has
// brought none yet: all are answered, and the callers told that the connection ends.
func TestEndWaitsForEachRequest(t *testing.T) {
	s := start(t)
	answering, half, fresh, idle := s.dial(t), s.dial(t), s.dial(t), s.dial(t)
	write(t, idle, ask)
	s.letGo <- struct{}{}
	_, err := answerOn(idle)
	must.NoError(t, err)
	write(t, answering, ask)
	write(t, half, ask[:20])
	for reached := 0; reached < 3; time.Sleep(time.Millisecond) {
		reached = 0
		for _, c := range s.Conns() {
			if c.Phase == serve.PhaseAnswering || c.Phase == serve.PhaseReading || c.Phase == serve.PhaseIdle {
				reached++
			}
		}
	}
	ended := make(chan bool, 1)
	ctx := within(t, patient)
	go func() { ended <- s.End(ctx) }()
	_, err = answerOn(idle)
	must.Error(t, err) // closed, with nothing on the way
	write(t, half, ask[20:])
	write(t, fresh, ask)
	for range 3 {
		s.letGo <- struct{}{}
	}
	for i, conn := range []net.Conn{answering, half, fresh} {
		res, err := answerOn(conn)
		must.NoError(t, err)
		must.True(t, res.Close || i == 0) // the first was begun before
	}
	must.True(t, <-ended)
	must.SliceEmpty(t, s.Conns())
}

// TestEndGivesUpWithItsContext has a request outlast the end, which can be asked for again.
func TestEndGivesUpWithItsContext(t *testing.T) {
	s := start(t)
	conn := s.dial(t)
	write(t, conn, ask)
	s.until(t, serve.PhaseAnswering)
	must.False(t, s.Settle(within(t, 20*time.Millisecond)))
	must.False(t, s.End(within(t, 20*time.Millisecond)))
	close(s.letGo)
	must.True(t, s.End(within(t, patient)))
	_, err := answerOn(conn)
	must.NoError(t, err)
}

// TestRetiredServerLeavesIdleConnectionsOpen holds that a request on a kept connection is still answered, and that the
// caller is told to use the connection no more.
func TestRetiredServerLeavesIdleConnectionsOpen(t *testing.T) {
	s := start(t)
	close(s.letGo)
	conn := s.dial(t)
	write(t, conn, ask)
	_, err := answerOn(conn)
	must.NoError(t, err)
	s.until(t, serve.PhaseIdle)
	s.Retire()
	must.True(t, s.Settle(within(t, patient)))
	write(t, conn, ask)
	res, err := answerOn(conn)
	must.NoError(t, err)
	must.True(t, res.Close)
}

// TestNoRequestIsBegunOnAClosedConnection has callers send requests on kept connections at the moment at which the idle ones
// are closed: a request whose handler ran has its answer.
func TestNoRequestIsBegunOnAClosedConnection(t *testing.T) {
	for range 50 {
		var mu sync.Mutex
		begun := map[string]bool{}
		s := serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			begun[r.Header.Get("Id")] = true
			mu.Unlock()
			fmt.Fprint(w, strings.Repeat("x", 100))
		}), serve.Config{})
		l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
		must.NoError(t, err)
		go func() { _ = s.Serve(l) }()
		kept := &started{Server: s, address: l.Addr().String()}
		var callers sync.WaitGroup
		answered := make([]bool, 8)
		ready := make(chan struct{}, len(answered))
		for i := range answered {
			conn := kept.dial(t)
			callers.Go(func() {
				for n := 0; ; n++ {
					if n == 1 {
						ready <- struct{}{}
					}
					id := fmt.Sprintf("%d-%d", i, n)
					_, sendErr := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nId: %s\r\n\r\n", id)
					_, answerErr := answerOn(conn)
					if sendErr == nil && answerErr == nil {
						continue
					}
					mu.Lock()
					answered[i] = !begun[id]
					mu.Unlock()
					return
				}
			})
		}
		for range answered {
			<-ready
		}
		must.True(t, s.End(within(t, patient)))
		callers.Wait()
		must.SliceNotContains(t, answered, false)
	}
}

// TestPipelinedRequestIsNotBegunOnAClosedConnection has a caller send two requests at once, and the server end while
// the first is answered: the second may be answered or left unread, but no handler may begin it once its connection is closed.
func TestPipelinedRequestIsNotBegunOnAClosedConnection(t *testing.T) {
	var begun atomic.Int32
	inFirst, letGo := make(chan struct{}), make(chan struct{})
	s := serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		if r.URL.Path == "/1" {
			close(inFirst)
			<-letGo
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
	ended := make(chan bool, 1)
	ctx := within(t, patient)
	go func() { ended <- s.End(ctx) }()
	time.Sleep(20 * time.Millisecond) // so that End has begun
	close(letGo)
	reader := bufio.NewReader(conn)
	answers := 0
	for {
		_ = conn.SetReadDeadline(time.Now().Add(patient))
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		buf := make([]byte, 6)
		_, _ = res.Body.Read(buf)
		answers++
	}
	must.True(t, <-ended)
	time.Sleep(50 * time.Millisecond)
	must.EqOp(t, int(begun.Load()), answers, must.Sprintf("%d requests begun, %d answered; End returned", begun.Load(), answers))
}

// TestConnTellsOfNoEarlierRequest holds that what is told of a connection is not laid to a request that was answered.
func TestConnTellsOfNoEarlierRequest(t *testing.T) {
	s := start(t)
	conn := s.dial(t)
	write(t, conn, ask)
	s.letGo <- struct{}{}
	_, err := answerOn(conn)
	must.NoError(t, err)
	s.until(t, serve.PhaseIdle)
	write(t, conn, ask[:20])
	known := s.until(t, serve.PhaseReading)
	must.EqOp(t, "", known.Request)
}

// TestAnswerOfBeforeTheStopAnnouncesTheEnd has a handler that was under way when the server was retired ask, as it answers,
// whether the connection ends.
func TestAnswerOfBeforeTheStopAnnouncesTheEnd(t *testing.T) {
	letGo := make(chan struct{})
	s := serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.False(t, serve.CallerOf(r.Context()).Ending())
		<-letGo
		must.True(t, serve.CallerOf(r.Context()).Ending())
		fmt.Fprint(w, "answer")
	}), serve.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	kept := &started{Server: s, address: l.Addr().String()}
	conn := kept.dial(t)
	write(t, conn, ask)
	kept.until(t, serve.PhaseAnswering)
	s.Retire()
	close(letGo)
	_, err = answerOn(conn)
	must.NoError(t, err)
}

// heldListener accepts connections that read only when they are let.
type heldListener struct {
	net.Listener
	hold *sync.RWMutex
}

func (l *heldListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: inner.(*net.TCPConn), hold: l.hold}, nil
}

// heldConn keeps what has arrived from being read while it is held.
type heldConn struct {
	*net.TCPConn
	hold *sync.RWMutex
}

// Read waits for something to arrive, and reads it when it is let.
func (c *heldConn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	waitErr := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN //nolint:errorlint // an errno as it is
	})
	c.hold.RLock()
	defer c.hold.RUnlock()
	if waitErr != nil {
		return 0, waitErr
	}
	return c.TCPConn.Read(p)
}

// TestRequestThatHasArrivedIsNotCutOff closes the idle connections after a request has come in and before the server reads it.
func TestRequestThatHasArrivedIsNotCutOff(t *testing.T) {
	var hold sync.RWMutex
	s := serve.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") }), serve.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	go func() { _ = s.Serve(&heldListener{Listener: l, hold: &hold}) }()
	t.Cleanup(func() { _ = s.Close() })
	kept := &started{Server: s, address: l.Addr().String()}
	conn := kept.dial(t)
	write(t, conn, ask)
	_, err = answerOn(conn)
	must.NoError(t, err)
	kept.until(t, serve.PhaseIdle)
	hold.Lock()
	write(t, conn, ask)
	time.Sleep(20 * time.Millisecond) // for it to arrive
	s.Retire()
	s.CloseIdle()
	hold.Unlock()
	res, err := answerOn(conn)
	must.NoError(t, err)
	must.True(t, res.Close)
}
