package serve

import (
	"cmp"
	"net"
	"net/http"
	"time"

	"github.com/vaneyoke/vaneyoke/decide/intake"
)

// EvictReason says why a connection is closed before its request is handled; its text is logged.
type EvictReason string

// The reasons.
const (
	EvictForConn   EvictReason = "for_connection" // a new connection needs its room
	EvictForHeader EvictReason = "for_header"     // the header of another connection's request needs its room
	EvictNoRoom    EvictReason = "no_room"        // there is no room for the header of its request
	EvictRefused   EvictReason = "refused"        // it is new, and requests are being handled on all others
	EvictTooLarge  EvictReason = "too_large"      // the header of its request is larger than the limit, and is answered with status 431
)

// Evicted describes a connection that is closed before its request is handled, or after it was answered.
type Evicted struct {
	Reason      EvictReason
	Conn        Conn
	HeaderBytes int // of the current request that were received
	HeaderLines int
	Open        int // connections that are open
}

// Stats counts the open connections of a server, and the memory that they and the headers of their requests are accounted for.
type Stats struct {
	Conns       map[string]int // by phase
	Bytes       int64
	HeaderBytes int64 // of it
}

// Stats returns the server's current figures.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Conns: map[string]int{}, Bytes: int64(s.intake.Total()), HeaderBytes: int64(s.intake.HeaderBytes())}
	for _, p := range []intake.Phase{intake.Unfinished, intake.Growing, intake.Idle, intake.Receiving, intake.Answered, intake.Handling} {
		stats.Conns[p.String()] = s.intake.Count(p)
	}
	return stats
}

// admit registers an accepted connection; ok is false if there is no room for it.
func (s *Server) admit(inner net.Conn) (c *conn, ok bool) {
	if tcp, isTCP := inner.(*net.TCPConn); isTCP && s.config.WriteBufferBytes > 0 {
		_ = tcp.SetWriteBuffer(s.config.WriteBufferBytes) // the connection works without
	}
	now := time.Now()
	c = &conn{Conn: inner, server: s, opened: now, info: Conn{Since: now, Opened: now}}
	c.setWindow(s.config.ReadBufferBytes)
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
		c.server.intake.Enter(now, c, intake.Unfinished)
	case PhaseIdle:
		c.header = headerMeter{}
		c.server.intake.Enter(now, c, intake.Idle)
	case PhaseDiscarding:
		c.server.intake.Enter(now, c, intake.Answered)
	case PhaseReceiving, PhaseAnswering: // until more of the body is waited for
		c.server.intake.Enter(now, c, intake.Handling)
	case PhaseNew:
	}
}

// awaitBody records that a handler waits for more of a request's body than has arrived with its header.
func (c *conn) awaitBody() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.info.Phase == PhaseReceiving {
		c.server.intake.Enter(time.Now(), c, intake.Receiving)
	}
}

// receive records that bytes were received, and accounts for those of a header. It returns an error if no more of them are to be read.
func (s *Server) receive(c *conn, p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.info.Phase.Busy() {
		c.reopen()
	}
	if c.info.Phase.handling() || c.header.ended {
		return nil
	}
	before := c.header.memory()
	c.header.add(p)
	if c.header.exceeds(s.maxHeaderBytes()) {
		s.report(c, EvictTooLarge)
		return errHeaderTooLarge
	}
	if grown := c.header.memory() - before; grown > 0 {
		evicted, ok := s.intake.Grow(time.Now(), c, grown)
		s.evict(evicted, EvictForHeader)
		if !ok {
			s.report(c, EvictNoRoom)
			return errNoRoom
		}
	}
	if c.header.ended {
		s.intake.Enter(time.Now(), c, intake.Handling)
	}
	return nil
}

// maxHeaderBytes returns the largest header of a request that is taken now.
func (s *Server) maxHeaderBytes() int {
	if s.config.HeaderLimit != nil {
		if limit := s.config.HeaderLimit(); limit > 0 {
			return limit
		}
	}
	return cmp.Or(s.config.MaxHeaderBytes, http.DefaultMaxHeaderBytes)
}

// evict closes connections. Those that are idle stay open if a request has begun to arrive, which is then answered. A new one whose first bytes this node has
// been late to read is spared once, and others go in its place. The server's mutex is held.
func (s *Server) evict(conns []*conn, reason EvictReason) {
	for len(conns) > 0 {
		now := time.Now()
		for _, c := range conns {
			switch {
			case c.info.Phase == PhaseNew && !c.spared && (c.arrived.Load() || hasUnreadData(c.Conn)):
				c.spared = true
				s.intake.Enter(now, c, intake.Unfinished)
			case c.info.Phase == PhaseIdle:
				s.report(c, reason)
				c.close()
			default:
				s.report(c, reason)
				_ = c.Conn.Close() // package http finds it closed
			}
		}
		conns = s.intake.Trim(now)
	}
}

// report tells of a connection that is closed. The server's mutex is held.
func (s *Server) report(c *conn, reason EvictReason) {
	if s.config.OnEvict != nil {
		s.config.OnEvict(Evicted{Reason: reason, Conn: c.info, HeaderBytes: c.header.first + c.header.bytes, HeaderLines: c.header.lines, Open: len(s.conns)})
	}
}
