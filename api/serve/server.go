package serve

import (
	"context"
	"errors"
	"log"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/intake"
)

// Config holds a server's limits; a zero value means no limit.
type Config struct {
	ReadHeaderTimeout time.Duration // longest time for receiving a request's header
	IdleTimeout       time.Duration // how long an idle connection is kept open
	MaxHeaderBytes    int           // largest request header, without the request line, and largest request line; 0 for 1 MiB
	Intake            intake.Limits // bounds on connections and the headers of their requests
	ReadBufferBytes   int           // what the system receives for a connection ahead of reads, at first; 0 for the system's own choice
	WriteBufferBytes  int           // size of a connection's send buffer in the kernel; 0 for the system's own choice
	ErrorLog          *log.Logger   // for accept errors; nil means standard error
	OnPanic           func(Panic)   // is told of each handler that panics; nil for none
	OnAbort           func(Abort)   // is told of each request whose caller gets no complete response; nil for none
	OnEvict           func(Evicted) // is told of each connection that is closed before its request is handled, and must not block; nil for none
	// LongerTimeouts returns timeouts that apply in place of those above where they are longer; nil for none.
	LongerTimeouts func() Timeouts
	// HeaderLimit returns what applies in place of MaxHeaderBytes, 0 for nothing; nil for never.
	HeaderLimit func() int
	// WriteError writes the error response for a handler that panicked before its response began; nil means plain text.
	WriteError func(http.ResponseWriter, error)
}

// Timeouts holds the times that callers are given; a zero value means no time of its own.
type Timeouts struct {
	Header time.Duration // for receiving a request's header
	Idle   time.Duration // for which an idle connection is kept open
}

// Server is an HTTP server on one listener. It stops in steps, none of which cuts off a request: DisableKeepAlives, WaitIdle,
// Shutdown.
type Server struct {
	http    *http.Server
	handler http.Handler
	config  Config

	mu                 sync.Mutex
	changed            *sync.Cond // signalled when a connection becomes idle or is closed
	listener           net.Listener
	conns              map[*conn]struct{}
	intake             *intake.Ledger[*conn]
	keepAlivesDisabled bool // responses ask callers to close the connection
	closingIdle        bool // connections are closed when they become idle
	closed             bool // connections are closed at once
	shuttingDown       bool // no new connection is accepted
}

// New returns a server that passes requests to the handler.
func New(handler http.Handler, config Config) *Server {
	s := &Server{handler: handler, config: config, conns: map[*conn]struct{}{}, intake: intake.New[*conn](config.Intake)}
	s.changed = sync.NewCond(&s.mu)
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.handle),
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState:         s.onStateChange,
		ReadHeaderTimeout: config.ReadHeaderTimeout,
		IdleTimeout:       config.IdleTimeout,
		MaxHeaderBytes:    math.MaxInt32, // conn measures headers itself, since the limit may change
		ErrorLog:          config.ErrorLog,
	}
	return s
}

// Serve serves requests on l until Shutdown or Close is called. It returns an error if it stopped for another reason.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	if s.shuttingDown {
		_ = l.Close() // so that net/http finds it closed
	}
	s.mu.Unlock()
	err := s.http.Serve(&listener{Listener: l, server: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		if c.info.Phase == PhaseDiscarding {
			_ = c.Conn.Close() // it may linger already
		}
	}
	s.mu.Unlock()
	return s.http.Close()
}

// Conns describes each open connection.
func (s *Server) Conns() []Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	infos := make([]Conn, 0, len(s.conns))
	for c := range s.conns {
		infos = append(infos, c.info)
	}
	return infos
}

// handle passes a request to the handler.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	caller := CallerOf(r.Context())
	answer := &response{ResponseWriter: w, request: r, conn: caller.conn, started: time.Now()}
	s.enter(caller.conn, PhaseAnswering)
	if caller.WillClose() {
		w.Header().Set("Connection", "close")
	}
	tracked := newBody(s, caller.conn, r)
	answer.requestBody = tracked
	copied := r.WithContext(r.Context()) // a copy, since net/http relies on the body of the original
	copied.Body = tracked
	s.run(answer, copied)
	if err := answer.finish(); err != nil {
		s.abort(answer, copied, AbortError{Cause: AbortWriteFailed, Code: vaneyoke.CodeCallerGone, Err: err})
	}
	tracked.discard(w, r)
}

// enter records that a connection whose request a handler was given enters a phase.
func (s *Server) enter(c *conn, p Phase) {
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.setPhase(p)
}

// onStateChange is the http.Server's ConnState hook; a connection becomes idle after the last byte of a response was written.
func (s *Server) onStateChange(inner net.Conn, state http.ConnState) {
	c, ok := inner.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.setPhase(PhaseIdle)
		c.resting = true
		if s.closingIdle && !hasUnreadData(c.Conn) {
			c.close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
		s.intake.Close(c)
	case http.StateNew, http.StateActive:
		return
	}
	s.changed.Broadcast()
}

// listener registers accepted connections with the server.
type listener struct {
	net.Listener
	server *Server
}

// Accept accepts a connection for which there is room, and registers it with the server.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.server.admit(inner); ok {
			return c, nil
		}
		_ = inner.Close()
	}
}
