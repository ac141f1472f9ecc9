package serve

import (
	"context"
	"net"
	"syscall"
	"time"
)

// newConnTimeout is how long a new connection may take to send its first request after the listener was closed. It exceeds
// the round-trip time between regions.
const newConnTimeout = 200 * time.Millisecond

// DisableKeepAlives makes each response ask the caller to close the connection. Idle connections stay open, because a
// request may be in transit on them.
func (s *Server) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAlivesDisabled = true
}

// CloseIdle closes idle connections, and the others as soon as they become idle.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closingIdle = true
	s.closeMatching(func(c *conn) bool { return c.info.Phase == PhaseIdle })
}

// WidenWriteBuffers lets the system take more of the responses that are being written, as far as its own limit goes: it goes on sending after the process
// has ended.
func (s *Server) WidenWriteBuffers(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && c.info.Phase == PhaseAnswering {
			_ = tcp.SetWriteBuffer(bytes) // it fails only on a closed connection
		}
	}
}

// WaitIdle waits until no request is in progress, while new ones are still accepted. It returns false if ctx ended first.
func (s *Server) WaitIdle(ctx context.Context) bool {
	return s.waitFor(ctx, func() bool {
		for c := range s.conns {
			if c.info.Phase.Busy() {
				return false
			}
		}
		return true
	})
}

// Shutdown stops accepting connections and waits until the requests on all open ones are answered. It returns false if ctx
// ended first; it can then be called again.
func (s *Server) Shutdown(ctx context.Context) bool {
	s.stopAccepting()
	s.CloseIdle()
	timer := time.AfterFunc(newConnTimeout, s.closeNew)
	defer timer.Stop()
	return s.waitFor(ctx, func() bool { return len(s.conns) == 0 })
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAlivesDisabled, s.shuttingDown = true, true
	if s.listener != nil {
		_ = s.listener.Close() // fails if it is already closed
	}
}

func (s *Server) closeNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeMatching(func(c *conn) bool { return c.info.Phase == PhaseNew })
}

// closeMatching closes the matching connections, except those with received data that has not been read yet. They are gone from the server once package
// http has closed them.
func (s *Server) closeMatching(match func(*conn) bool) {
	for c := range s.conns {
		if match(c) && !hasUnreadData(c.Conn) {
			c.close()
		}
	}
}

// waitFor waits until the condition holds. It returns false if ctx ended first.
func (s *Server) waitFor(ctx context.Context, condition func() bool) bool {
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for !condition() {
		if ctx.Err() != nil {
			return false
		}
		s.changed.Wait()
	}
	return true
}

// hasUnreadData reports whether received bytes wait to be read; it returns false if that cannot be determined.
func hasUnreadData(c net.Conn) bool {
	inner, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = err == nil && n > 0
	})
	return err == nil && arrived
}
