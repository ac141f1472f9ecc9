package serve

import "syscall"

// maxWindow is the most memory in which the system receives for a connection ahead of the node's reads while a large body arrives.
const maxWindow = 256 << 10

// setWindow bounds the memory in which the system receives for the connection ahead of the node's reads; 0 leaves that to the system.
func (c *conn) setWindow(n int) {
	if c == nil {
		return
	}
	inner, ok := c.Conn.(syscall.Conn)
	if n <= 0 || !ok || c.window.Swap(int64(n)) == int64(n) {
		return
	}
	if raw, err := inner.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { // the connection works without
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n/2) // the system doubles it
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP, n)
		})
	}
}

// widen lets the system receive a quarter of what has been read of a body ahead, so that a large body of a distant caller is not held up: what was read is
// accounted for.
func (c *conn) widen(read int) {
	if c == nil {
		return
	}
	if window := int(c.window.Load()); window > 0 && window < maxWindow && read/4 >= 2*window {
		c.setWindow(min(read/4, maxWindow))
	}
}

// narrow ends what widen did.
func (c *conn) narrow() {
	if c != nil {
		c.setWindow(c.server.config.ReadBufferBytes)
	}
}

// openWindow is like setWindow, for a connection whose window is bounded.
func (c *conn) openWindow(n int) {
	if c != nil && c.server.config.ReadBufferBytes > 0 {
		c.setWindow(n)
	}
}
