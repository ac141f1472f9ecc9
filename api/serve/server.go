package serve

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// Config holds a server's bounds; zero values bound nothing.
type Config struct {
	ReadHeaderTimeout time.Duration // longest time that a caller may take to send a request's header
	IdleTimeout       time.Duration // how long a connection without a request is kept
	MaxHeaderBytes    int           // largest header of a request
	ErrorLog          *log.Logger   // for panics of handlers and failures to accept; nil for standard error
}

// Server is an HTTP server on one listener. It ends in steps, none of which cuts a request off: Retire, Settle, End.
type Server struct {
	http    *http.Server
	handler http.Handler

	mu       sync.Mutex
	changed  *sync.Cond // when a connection has become idle or is gone
	listener net.Listener
	conns    map[*conn]struct{}
	retired  bool // answers ask callers to close their connection
	closing  bool // idle connections are closed
	ending   bool // no connection is accepted
}

// New returns a server that has the handler answer requests.
func New(handler http.Handler, config Config) *Server {
	s := &Server{handler: handler, conns: map[*conn]struct{}{}}
	s.changed = sync.NewCond(&s.mu)
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.answer),
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState:         s.follow,
		ReadHeaderTimeout: config.ReadHeaderTimeout,
		IdleTimeout:       config.IdleTimeout,
		MaxHeaderBytes:    config.MaxHeaderBytes,
		ErrorLog:          config.ErrorLog,
	}
	return s
}

// Serve answers requests until the server ends or is closed, and returns an error where it ended by itself.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	if s.ending {
		_ = l.Close() // so that package http finds it closed
	}
	s.mu.Unlock()
	err := s.http.Serve(&listener{Listener: l, server: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close closes the listener and all connections where they stand.
func (s *Server) Close() error { return s.http.Close() }

// Conns returns what each open connection is doing.
func (s *Server) Conns() []Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make([]Conn, 0, len(s.conns))
	for c := range s.conns {
		known = append(known, c.known)
	}
	return known
}

// answer hands a request to the handler, unless its connection is closed: a caller that does not wait for answers may have
// sent it together with the one before.
func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	caller := CallerOf(r.Context())
	if !s.answering(caller.conn) {
		panic(http.ErrAbortHandler)
	}
	if caller.WillClose() {
		w.Header().Set("Connection", "close")
	}
	left := &body{ReadCloser: r.Body}
	handed := r.WithContext(r.Context()) // a copy, since package http goes by the body of its own
	handed.Body = left
	s.handler.ServeHTTP(w, handed)
	left.discard(w, r)
}

// answering notes that a handler has a connection's request; ok is false where the server has closed the connection.
func (s *Server) answering(c *conn) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == nil {
		return true
	}
	c.enter(PhaseAnswering)
	return !c.closed
}

// begin notes that a part of a request has come in; ok is false where the server has closed the connection.
func (s *Server) begin(c *conn) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.known.Phase.Busy() && !c.closed {
		c.enter(PhaseReading)
	}
	return !c.closed
}

// follow notes what package http tells of a connection; it is idle after the last byte of its answer was written.
func (s *Server) follow(inner net.Conn, state http.ConnState) {
	c, ok := inner.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.enter(PhaseIdle)
		if s.closing && !hasArrived(c.Conn) {
			s.closeLocked(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	case http.StateNew, http.StateActive:
		return
	}
	s.changed.Broadcast()
}

// listener accepts connections that the server follows.
type listener struct {
	net.Listener
	server *Server
}

// Accept accepts a connection and has the server follow it.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &conn{Conn: inner, server: l.server, opened: now, known: Conn{Since: now, Opened: now}}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	if l.server.ending { // nobody waits for it any more
		c.closed = true
		return c, inner.Close()
	}
	l.server.conns[c] = struct{}{}
	return c, nil
}
