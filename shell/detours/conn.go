package detours

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// directConn is a connection over the node's own path. The system tells of a reset once: when it tells a write, a read finds the connection ended, as after a
// close by the upstream.
type directConn struct {
	net.Conn

	mu   sync.Mutex // held while writing
	lost error      // that a write was told of; nil for none
}

// Write implements net.Conn.
func (c *directConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if errno, ok := errors.AsType[syscall.Errno](err); ok && errno != syscall.EPIPE { // which follows a close by the upstream, too
		c.lost = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the upstream closed the connection.
func (c *directConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF || !isDisconnected(c.Conn) { //nolint:errorlint // net.Conn returns it as it is
		return n, err
	}
	c.mu.Lock() // a write returns at once on a connection that is gone
	defer c.mu.Unlock()
	if c.lost != nil {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: c.lost}
	}
	return n, io.EOF
}

// isDisconnected reports whether nothing can be sent on a connection any more, as after a reset or a close by this node. After a close by the other end
// something still can.
func isDisconnected(conn net.Conn) bool {
	inner, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	var peerErr error
	err = raw.Control(func(fd uintptr) { _, peerErr = syscall.Getpeername(int(fd)) })
	return err != nil || peerErr != nil
}
