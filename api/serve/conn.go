package serve

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Phase is the state of a connection.
type Phase int

// The phases of a connection; String gives their names in logs.
const (
	PhaseNew        Phase = iota // opened, no data received yet
	PhaseReading                 // the header of a request has been received in part
	PhaseReceiving               // a handler waits for the rest of a request's body
	PhaseAnswering               // a handler runs, or its response is being written
	PhaseDiscarding              // the response has been written before the rest of the request came
	PhaseIdle                    // the last response has been written
)

// String returns the phase's name in logs.
func (p Phase) String() string {
	switch p {
	case PhaseNew:
		return "fresh"
	case PhaseReading:
		return "reading"
	case PhaseReceiving:
		return "receiving"
	case PhaseAnswering:
		return "answering"
	case PhaseDiscarding:
		return "discarding"
	case PhaseIdle:
		return "idle"
	default:
		return "unknown"
	}
}

// Busy reports whether closing the connection would cut off a request, or a response that its caller reads only after sending.
func (p Phase) Busy() bool { return p == PhaseReading || p.handling() }

// handling reports whether the request has been passed to a handler.
func (p Phase) handling() bool {
	return p == PhaseReceiving || p == PhaseAnswering || p == PhaseDiscarding
}

// Conn describes one connection.
type Conn struct {
	Phase   Phase
	Since   time.Time // start of the phase
	Opened  time.Time
	Request string // id of the last request; "" if the handler has not set one
}

// conn is a caller's connection. The server's mutex guards the fields below it.
type conn struct {
	net.Conn
	server  *Server
	opened  time.Time
	arrived atomic.Bool  // whether the first bytes have been read, which may not have been recorded yet
	window  atomic.Int64 // bytes that the system receives ahead of reads; 0 for its own choice

	info     Conn
	header   headerMeter // of the request that is arriving or being handled
	deadline time.Time   // by which package http wants to read the next data; zero for none
	reading  time.Time   // until when what the caller still sends is read after its response; zero if the connection is closed at once
	lingers  bool        // whether closing the connection waits for that
	spared   bool        // whether it was not evicted as it had unread data
	closing  bool        // the read deadline has been moved to the past, so that package http closes the connection unless a request has begun
	resting  bool        // package http has not set the deadline of the idle connection yet
}

// Read reads from the connection, and records that a request has begun to arrive and how large its header is.
func (c *conn) Read(p []byte) (int, error) {
	c.awaitBody()
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	c.arrived.Store(true)
	if failed := c.server.receive(c, p[:n]); failed != nil {
		if failed == errHeaderTooLarge { //nolint:errorlint // it is returned as it is
			c.refuseHeader()
		}
		return 0, failed
	}
	return n, err
}

// SetReadDeadline sets the read deadline. On a connection that is being closed it takes effect if a request has begun: package http sets another
// deadline on an idle connection only once it has data of a request, which may have been read together with the request before.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.info.Phase == PhaseIdle && !c.resting {
		c.reopen()
	}
	c.resting = false
	t = c.server.extend(t, c.info.Phase)
	c.deadline = t
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// extend returns when a read has to end that package http gives until t, by the timeout of the phase.
func (s *Server) extend(t time.Time, phase Phase) time.Time {
	if s.config.LongerTimeouts == nil || t.IsZero() || phase.handling() {
		return t
	}
	longer := s.config.LongerTimeouts()
	if phase == PhaseIdle {
		return t.Add(max(longer.Idle-s.config.IdleTimeout, 0))
	}
	return t.Add(max(longer.Header-s.config.ReadHeaderTimeout, 0))
}

// reopen records that a request has begun to arrive, for which the connection stays open.
func (c *conn) reopen() {
	c.setPhase(PhaseReading)
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.deadline) // it fails only on a closed connection, which the next read finds out
	}
}

// close has package http close the connection, unless data of a request have been taken from the system before.
func (c *conn) close() {
	c.closing = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // it fails only on a closed connection
}

// lingerOnClose has Close read on if the handler has said until when.
func (c *conn) lingerOnClose() {
	if c == nil {
		return
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.lingers = !c.reading.IsZero()
	if least := time.Now().Add(discardTimeout); c.reading.Before(least) { // the time for its answer may be over as it is refused
		c.reading = least
	}
}

// Close closes the connection. One that lingers is closed for sending only until its caller closes it: closing with unread bytes resets a connection, and a
// caller that reads the response only after it has sent its request would not get it.
func (c *conn) Close() error {
	if until, ok := c.lingerTime(); ok && c.CloseWrite() == nil && c.Conn.SetReadDeadline(until) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxDiscardBytes))
	}
	return c.Conn.Close()
}

// lingerTime returns until when a connection that is to be closed lingers; ok is false if it does not.
func (c *conn) lingerTime() (until time.Time, ok bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	ok = c.lingers && !c.server.closed
	c.lingers = false
	return c.reading, ok
}

// resetOnClose sets whether the connection is reset when it is closed, also by the system after the process has ended.
func (c *conn) resetOnClose(reset bool) {
	if c == nil {
		return
	}
	seconds := -1 // the system goes on sending after a close
	if reset {
		seconds = 0
	}
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(seconds) // it fails only on a closed connection
	}
}

// CloseWrite closes the sending direction only, so that a caller that is still sending its request can read the response.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// setPhase starts a phase. A phase with a new request clears the id of the one before.
func (c *conn) setPhase(p Phase) {
	if p.Busy() && !c.info.Phase.handling() {
		c.info.Request, c.reading, c.lingers = "", time.Time{}, false
	}
	now := time.Now()
	c.info.Phase, c.info.Since = p, now
	c.account(now, p)
}
