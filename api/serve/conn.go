package serve

import (
	"net"
	"time"
)

// Phase is the state of a connection.
type Phase int

// The phases of a connection; String gives their names in logs.
const (
	PhaseNew       Phase = iota // opened, no data received yet
	PhaseReading                // a request has been received in part
	PhaseAnswering              // a handler runs, or its response is being written
	PhaseIdle                   // the last response has been written
)

// String returns the phase's name in logs.
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

// Busy reports whether closing the connection would cut off a request.
func (p Phase) Busy() bool { return p == PhaseReading || p == PhaseAnswering }

// Conn describes one connection.
type Conn struct {
	Phase   Phase
	Since   time.Time // start of the phase
	Opened  time.Time
	Request string // id of the last request; "" if the handler has not set one
}

// conn is a caller's connection. The server's mutex guards info and closedByServer.
type conn struct {
	net.Conn
	server         *Server
	opened         time.Time
	info           Conn
	closedByServer bool // while no request was in progress
}

// Read reads from the connection and records that a request has begun to arrive. If the server has closed the connection
// meanwhile, it discards the data, so that no handler starts a request whose response could not be written.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.server.startReading(c) {
		return 0, net.ErrClosed
	}
	return n, err
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
	c.info.Phase, c.info.Since = p, time.Now()
	if p.Busy() {
		c.info.Request = ""
	}
}
