package cutline

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Mode is how a partition shows.
type Mode int

// The modes of a partition.
const (
	Silent     Mode = iota // new connections time out, open ones hang
	Reset                  // new connections are refused, open ones are reset
	RefuseOnly             // new connections are refused, open ones go on
)

// Dialer connects like a net.Dialer, except to the addresses that it is cut from.
type Dialer struct {
	dialer *net.Dialer

	mu    sync.Mutex
	mode  Mode
	isCut func(address string) bool // nil while there is no partition
	ended chan struct{}             // closed when the partition ends
	conns map[*conn]struct{}
	dials int
}

// New returns a dialer that is cut from no address.
func New(dialer *net.Dialer) *Dialer {
	return &Dialer{dialer: dialer, ended: make(chan struct{}), conns: map[*conn]struct{}{}}
}

// Cut starts a partition from the addresses for which isCut returns true; it replaces an earlier one.
func (d *Dialer) Cut(mode Mode, isCut func(address string) bool) {
	d.Restore()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode, d.isCut = mode, isCut
	for c := range d.conns {
		if mode == Reset && isCut(c.address) {
			c.reset()
		}
	}
}

// Restore ends the partition. Bytes that open connections received meanwhile arrive then.
func (d *Dialer) Restore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isCut = nil
	close(d.ended)
	d.ended = make(chan struct{})
}

// Dials returns how many connections were attempted so far.
func (d *Dialer) Dials() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials
}

// DialContext connects to an address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	d.dials++
	mode, isCut := d.mode, d.isCut != nil && d.isCut(address)
	d.mu.Unlock()
	if isCut && mode != Silent {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	if isCut {
		timeout := time.NewTimer(d.dialer.Timeout)
		defer timeout.Stop()
		select {
		case <-ctx.Done():
		case <-timeout.C:
		}
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	}
	inner, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, dialer: d, address: address, closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
	return c, nil
}

// hold returns a channel that is closed when the partition from an address ends; nil if open connections to it are not held up.
func (d *Dialer) hold(address string) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isCut == nil || d.mode != Silent || !d.isCut(address) {
		return nil
	}
	return d.ended
}

// conn is a connection that hangs or is reset by a partition.
type conn struct {
	net.Conn
	dialer  *Dialer
	address string
	closing sync.Once
	closed  chan struct{}
}

// Read reads bytes, those that arrive during a silent partition only after its end.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if held := c.dialer.hold(c.address); held != nil {
		select {
		case <-held:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// Write writes bytes, which are lost in a silent partition.
func (c *conn) Write(p []byte) (int, error) {
	if c.dialer.hold(c.address) != nil {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SyscallConn gives access to the connection's socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return inner.SyscallConn()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	c.dialer.mu.Lock()
	delete(c.dialer.conns, c)
	c.dialer.mu.Unlock()
	return c.Conn.Close()
}

// reset breaks the connection off for both ends.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
