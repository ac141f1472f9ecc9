package detours

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/decide/overlay"
	"github.com/vaneyoke/vaneyoke/internal/pause"
)

// Path is the HTTP path at which a node opens a detour to an upstream for another node.
const Path = "/detours"

const (
	addressKey    = "address"             // query key of the upstream's address
	lastResortKey = "last_resort"         // query key of the milliseconds in which an answer is due, set if no other way connects
	helperTimeout = 60 * time.Millisecond // bound of the connection to the upstream
	bufferBytes   = 8 << 10               // read at a time, in each direction
	// lingerTimeout bounds how long the rest of what a node sends is read after the upstream has ended its connection: closing with unread bytes
	// resets the connection and may lose the end of the answer.
	lingerTimeout = time.Second
	// dependentTTL is for how long a node that got a detour is taken to need the next one.
	dependentTTL = time.Second
	responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// Server opens detours for other nodes. It connects over the node's own paths only, and only to listed upstreams.
type Server struct {
	dialer *Dialer
	most   int // detours that it keeps open
	log    logrus.FieldLogger
	counts *expvar.Map

	mu       sync.Mutex
	changed  *sync.Cond
	open     map[*passage]struct{}
	opening  int
	stopping bool

	lameDuck    *LameDuck // nil until the node stops
	neededUntil time.Time // until when nodes that got a detour may ask again
}

// LameDuck says which detours a stopping node still opens for nodes that have no other way to an upstream.
type LameDuck struct {
	Deadline time.Time // when all answers must have been received
	AnyUntil time.Time // until when it opens those whose answers may be due later as well
}

// mayOpen reports whether a detour over which an answer is due within a time may be opened.
func (l *LameDuck) mayOpen(now time.Time, dueMs int64) bool {
	return now.Before(l.AnyUntil) || dueMs >= 0 && dueMs <= l.Deadline.Sub(now).Milliseconds()
}

// NewServer returns a server that keeps at most the given number of detours open; its metrics are published under "detours" in vars.
func NewServer(dialer *Dialer, most int, vars *expvar.Map, log logrus.FieldLogger) *Server {
	s := &Server{dialer: dialer, most: most, log: log, counts: new(expvar.Map).Init(), open: map[*passage]struct{}{}}
	s.changed = sync.NewCond(&s.mu)
	s.counts.Set("open", expvar.Func(func() any { return s.Open() }))
	vars.Set("detours", s.counts)
	return s
}

// Open returns the number of open detours.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// ServeHTTP opens a detour. It answers 404 for an address that no listed upstream has, 412 while the node stops unless it is the last resort and the answer
// is due in time, 503 once the node has stopped, 429 if it keeps as many as it may, 424 if its own path may be lost, and 502 if it reaches other upstreams
// but not this one.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	address := query.Get(addressKey)
	if status := s.reserve(address, query.Get(lastResortKey)); status != http.StatusOK {
		s.refuse(w, status)
		return
	}
	defer s.unreserve()
	ctx, cancel := context.WithTimeout(r.Context(), helperTimeout)
	defer cancel()
	upstream, err := s.dialer.dialDirect(ctx, "tcp", address)
	if err != nil {
		s.refuse(w, statusOf(s.dialer.helpAfterMiss()))
		return
	}
	node, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = upstream.Close()
		s.refuse(w, http.StatusInternalServerError)
		return
	}
	p := &passage{node: node, received: buffered.Reader, upstream: upstream, opened: time.Now()}
	if !s.add(p) {
		p.breakOff()
		return
	}
	s.counts.Add("opened_total", 1)
	go s.pass(p, address)
}

func (s *Server) refuse(w http.ResponseWriter, status int) {
	s.counts.Add(fmt.Sprintf("refused_total %d", status), 1)
	w.WriteHeader(status)
}

// reserve makes room for a detour, or returns the status with which it is refused.
func (s *Server) reserve(address, lastResort string) int {
	dueMs, err := strconv.ParseInt(lastResort, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopping:
		return http.StatusServiceUnavailable
	case !s.dialer.isListed(address):
		return http.StatusNotFound
	case s.lameDuck != nil && (err != nil || !s.lameDuck.mayOpen(time.Now(), dueMs)):
		return http.StatusPreconditionFailed
	case len(s.open)+s.opening >= s.most:
		return http.StatusTooManyRequests
	}
	status := statusOf(s.dialer.help(address))
	if status == http.StatusOK {
		s.opening++
	}
	return status
}

func (s *Server) unreserve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening--
	s.changed.Broadcast()
}

// statusOf returns the status that stands for what this node can do.
func statusOf(help overlay.Help) int {
	switch help {
	case overlay.HelpConnects:
		return http.StatusOK
	case overlay.HelpMissed:
		return http.StatusBadGateway
	default:
		return http.StatusFailedDependency
	}
}

func (s *Server) add(p *passage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.open[p] = struct{}{}
	s.neededUntil = p.opened.Add(dependentTTL)
	return true
}

// pass passes bytes on until the detour ends.
func (s *Server) pass(p *passage, address string) {
	sent, received, err := p.run()
	s.mu.Lock()
	delete(s.open, p)
	s.changed.Broadcast()
	s.mu.Unlock()
	s.counts.Add("bytes_total", sent+received)
	s.log.WithFields(logrus.Fields{
		"address": address, "peer": p.node.RemoteAddr(), "ms": time.Since(p.opened).Milliseconds(), "sent_bytes": sent, "received_bytes": received, "error": err,
	}).Debug("detour_ended")
}

// EnterLameDuck makes the server open detours only as the last resort.
func (s *Server) EnterLameDuck(plan LameDuck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lameDuck = &plan
}

// Stop refuses new detours.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Drain waits until no detour is open and no node depends on this one, or ctx is done, and refuses new detours from then on.
func (s *Server) Drain(ctx context.Context) {
	for ended := false; !ended; {
		s.WaitIdle(ctx)
		var dependent time.Duration
		if dependent, ended = s.endIntake(ctx); !ended {
			pause.For(ctx, dependent)
		}
	}
}

// endIntake refuses new detours from now on unless one is open or a node depends on this one, and returns for how long it does.
func (s *Server) endIntake(ctx context.Context) (dependent time.Duration, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if dependent = time.Until(s.neededUntil); ctx.Err() == nil && (len(s.open)+s.opening > 0 || dependent > 0) {
		return dependent, false
	}
	s.stopping = true
	return 0, true
}

// WaitIdle waits until no detour is open, and reports whether that happened before ctx is done.
func (s *Server) WaitIdle(ctx context.Context) bool {
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.open)+s.opening > 0 && ctx.Err() == nil {
		s.changed.Wait()
	}
	return len(s.open)+s.opening == 0
}

// Close breaks all detours off.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for p := range s.open {
		p.breakOff()
	}
}

// passage is a detour that this node carries for another one.
type passage struct {
	node     net.Conn
	received *bufio.Reader // of node
	upstream net.Conn
	opened   time.Time
}

// breakOff closes both connections. The node does not take that for the end of an answer, since the last chunk is missing.
func (p *passage) breakOff() { _, _ = p.node.Close(), p.upstream.Close() }

// run passes bytes on until either end closes or breaks off its connection. It returns the bytes sent to the upstream and received from it.
func (p *passage) run() (sent, received int64, err error) {
	if _, err := io.WriteString(p.node, responseHead); err != nil {
		p.breakOff()
		return 0, 0, err
	}
	requestEnded := make(chan int64, 1)
	go func() {
		n, _ := io.CopyBuffer(writerOnly{p.upstream}, readerOnly{p.received}, make([]byte, bufferBytes))
		_ = p.upstream.Close() // the node has left: the upstream must not go on working for it
		requestEnded <- n
	}()
	received, err = p.passAnswer()
	if err == nil {
		err = p.endAnswer()
	}
	if err != nil {
		p.breakOff()
		return <-requestEnded, received, err
	}
	_ = p.node.SetReadDeadline(time.Now().Add(lingerTimeout))
	sent = <-requestEnded
	_ = p.node.Close()
	return sent, received, nil
}

// passAnswer passes on what the upstream sends, in chunks.
func (p *passage) passAnswer() (received int64, err error) {
	out := bufio.NewWriterSize(p.node, bufferBytes)
	chunks := httputil.NewChunkedWriter(out)
	buffer := make([]byte, bufferBytes)
	for {
		n, err := p.upstream.Read(buffer)
		if n > 0 {
			received += int64(n)
			if _, err := chunks.Write(buffer[:n]); err != nil {
				return received, err
			}
			if err := out.Flush(); err != nil {
				return received, err
			}
		}
		if err == io.EOF { //nolint:errorlint // a wrapped one would not be the upstream's own end
			return received, nil
		}
		if err != nil {
			return received, err
		}
	}
}

// endAnswer says that the upstream has ended its connection.
func (p *passage) endAnswer() error {
	if _, err := io.WriteString(p.node, "0\r\n\r\n"); err != nil {
		return err
	}
	if c, ok := p.node.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// writerOnly and readerOnly hide the methods by which io.Copy would bypass its buffer.
type writerOnly struct{ io.Writer }

type readerOnly struct{ io.Reader }
