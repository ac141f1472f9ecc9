package httpcheck

import (
	"io"
	"net"
	"sync"
)

// conn is a connection that carries responses. A response whose head violates HTTP ends it before package net/http has the whole head, so that it is
// neither returned nor is the connection kept.
type conn struct {
	net.Conn

	mu        sync.Mutex
	head      headScanner
	violation error // the first one; nil if there is none
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.violated(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	scanned, violation := c.head.scan(p[:n])
	if violation != nil {
		// What precedes it is returned, since the transport sends some requests again if the first byte of a response is missing.
		c.violation = violation
		return scanned, violation
	}
	return n, err
}

// violated returns the violation that ended the connection, nil if there was none.
func (c *conn) violated() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violation
}

// expectResponse prepares for the next response.
func (c *conn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.expectHead()
}

// reader is a reader that checks the head of one response.
type reader struct {
	io.Reader
	head headScanner
}

// NewReader returns a reader that fails where the head of the response in r violates HTTP.
func NewReader(r io.Reader) io.Reader { return &reader{Reader: r} }

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if scanned, violation := r.head.scan(p[:n]); violation != nil {
		return scanned, violation
	}
	return n, err
}
