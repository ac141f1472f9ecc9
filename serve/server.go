package serve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Config holds a server's bounds; zero values bound nothing.
type Config struct {
	HeaderWait  time.Duration // longest time that a caller may take to send a request's header
	IdleWait    time.Duration // how long a connection without a request is kept
	HeaderBytes int           // largest header of a request
}

// Server is an HTTP server on one listener.
type Server struct {
	http    *http.Server
	handler http.Handler

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server that has the handler answer requests.
func New(handler http.Handler, config Config) *Server {
	s := &Server{handler: handler, conns: map[*conn]struct{}{}}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.answer),
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState:         s.changed,
		ReadHeaderTimeout: config.HeaderWait,
		IdleTimeout:       config.IdleWait,
		MaxHeaderBytes:    config.HeaderBytes,
	}
	return s
}

// Serve answers requests until the server is closed; the error is that of http.Server.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(&listener{Listener: l, server: s}) }

// CloseIdle closes the connections that are idle, and others as soon as they are.
func (s *Server) CloseIdle() { s.http.SetKeepAlivesEnabled(false) }

// Close closes the listener and all connections where they stand.
func (s *Server) Close() error { return s.http.Close() }

// Conns returns what each open connection is doing.
func (s *Server) Conns() []Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make([]Conn, 0, len(s.conns))
	for c := range s.conns {
		known = append(known, c.look())
	}
	return known
}

// answer hands a request to the handler.
func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r.Context()); c != nil {
		c.setPhase(PhaseAnswering)
	}
	s.handler.ServeHTTP(w, r)
}

// changed follows the connections as package http tells of them; one is idle after the last byte of its answer was written.
func (s *Server) changed(inner net.Conn, state http.ConnState) {
	c, ok := inner.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setPhase(PhaseIdle)
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
	case http.StateNew, http.StateActive:
	}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
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
	c := newConn(inner, l.server)
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}
