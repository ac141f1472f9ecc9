package serve

import (
	"net"
	"time"

	"github.com/vaneyoke/vaneyoke/decide/intake"
)

// EvictReason says why a connection is closed before its request is handled; its text is logged.
type EvictReason string

// The reasons.
const (
	EvictForConn EvictReason = "for_connection" // a new connection needs its room
	EvictRefused EvictReason = "refused"        // it is new, and requests are being handled on all others
)

// Evicted describes a connection that is closed before its request is handled.
type Evicted struct {
	Reason EvictReason
	Conn   Conn
	Open   int // connections that are open
}

// Stats counts the open connections of a server, and the memory that they are accounted for.
type Stats struct {
	Unfinished, Idle, Handling int
	Bytes                      int64
}

// Stats returns the server's current figures.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Unfinished: s.intake.Count(intake.Unfinished), Idle: s.intake.Count(intake.Idle), Handling: s.intake.Count(intake.Handling),
		Bytes: int64(s.intake.Total()),
	}
}

// admit registers an accepted connection; ok is false if there is no room for it.
func (s *Server) admit(inner net.Conn) (c *conn, ok bool) {
	if tcp, isTCP := inner.(*net.TCPConn); isTCP && s.config.WriteBufferBytes > 0 {
		_ = tcp.SetWriteBuffer(s.config.WriteBufferBytes) // the connection works without
	}
	now := time.Now()
	c = &conn{Conn: inner, server: s, opened: now, info: Conn{Since: now, Opened: now}}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown { // Shutdown no longer waits for it
		_ = inner.Close()
		return c, true
	}
	evicted, ok := s.intake.Open(now, c)
	s.evict(evicted, EvictForConn)
	if !ok {
		s.report(c, EvictRefused)
		return nil, false
	}
	s.conns[c] = struct{}{}
	return c, true
}

// account records that a connection enters a phase. The server's mutex is held.
func (c *conn) account(now time.Time, p Phase) {
	switch p {
	case PhaseReading:
		c.server.intake.Begin(now, c)
	case PhaseIdle:
		c.server.intake.Rest(now, c)
	case PhaseReceiving, PhaseAnswering, PhaseDiscarding:
		c.server.intake.Handle(now, c)
	case PhaseNew:
	}
}

// evict closes connections. Those that are idle stay open if a request has begun to arrive, which is then answered. The server's mutex is held.
func (s *Server) evict(conns []*conn, reason EvictReason) {
	for _, c := range conns {
		s.report(c, reason)
		if c.info.Phase == PhaseIdle {
			c.close()
		} else {
			_ = c.Conn.Close() // package http finds it closed
		}
	}
}

// report tells of a connection that is closed. The server's mutex is held.
func (s *Server) report(c *conn, reason EvictReason) {
	if s.config.OnEvict != nil {
		s.config.OnEvict(Evicted{Reason: reason, Conn: c.info, Open: len(s.conns)})
	}
}
