package serve

import (
	"net"
	"time"
)

// Phase says what a connection is doing.
type Phase int

// The phases of a connection.
const (
	PhaseNew       Phase = iota // it was opened, and nothing has come in
	PhaseReading                // a part of a request has come in
	PhaseAnswering              // a handler has the request, or its answer is on the way out
	PhaseIdle                   // the last answer has been written
)

// String returns the phase as it stands in logs.
func (p Phase) String() string {
	switch p {
	case PhaseNew:
		return "fresh"
	case PhaseReading:
		return "reading"
	case PhaseAnswering:
		return "answering"
	case PhaseIdle:
		return "idle"
	default:
		return "unknown"
	}
}

// Busy reports whether closing the connection would cut a request off.
func (p Phase) Busy() bool { return p == PhaseReading || p == PhaseAnswering }

// Conn is what is known of one connection.
type Conn struct {
	Phase   Phase
	Since   time.Time // when the phase began
	Opened  time.Time
	Request string // id of the last request; "" where the handler has not told it
}

// conn is a caller's connection; the server's lock guards what is known of it.
type conn struct {
	net.Conn
	server *Server
	opened time.Time
	known  Conn
	closed bool // by the server, while no request was on the way
}

// Read reads, and notes that a request has begun to come in. Of a connection that was closed at the same moment it returns
// nothing, so that no request is begun whose answer cannot be written.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.server.begin(c) {
		return 0, net.ErrClosed
	}
	return n, err
}

// CloseWrite ends what is sent and leaves the other direction open, so that a caller that is still sending can read its answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// enter begins a phase; the id of an earlier request does not stand for the one that comes.
func (c *conn) enter(p Phase) {
	c.known.Phase, c.known.Since = p, time.Now()
	if p.Busy() {
		c.known.Request = ""
	}
}
