package serve

import (
	"context"
	"net"
	"syscall"
	"time"
)

// freshWait is how long a connection may take to bring its first request after the listener was closed, which is more than
// the way there and back between regions.
const freshWait = 200 * time.Millisecond

// Retire has each answer ask its caller to close the connection. Connections that are idle are left open, because a request
// may be on its way on them.
func (s *Server) Retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
}

// CloseIdle closes the connections that are idle, and others as soon as they are.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.closeWhere(func(c *conn) bool { return c.known.Phase == PhaseIdle })
}

// Settle waits until no request is under way, while new ones are still taken, and reports whether that came before ctx ended.
func (s *Server) Settle(ctx context.Context) bool {
	return s.await(ctx, func() bool {
		for c := range s.conns {
			if c.known.Phase.Busy() {
				return false
			}
		}
		return true
	})
}

// End accepts no more connections, and waits until each open one has had its request answered. It reports whether that
// came before ctx ended; where it did not, it can be called again.
func (s *Server) End(ctx context.Context) bool {
	s.stopAccepting()
	s.CloseIdle()
	fresh := time.AfterFunc(freshWait, s.closeFresh)
	defer fresh.Stop()
	return s.await(ctx, func() bool { return len(s.conns) == 0 })
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired, s.ending = true, true
	if s.listener != nil {
		_ = s.listener.Close() // it fails where it was closed before
	}
}

func (s *Server) closeFresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeWhere(func(c *conn) bool { return c.known.Phase == PhaseFresh })
}

// closeWhere closes the connections of a kind, but for those on which a request has arrived that was not read yet.
func (s *Server) closeWhere(is func(*conn) bool) {
	for c := range s.conns {
		if is(c) && !hasArrived(c.Conn) {
			s.closeLocked(c)
		}
	}
	s.changed.Broadcast()
}

// closeLocked closes a connection on which no request is under way.
func (s *Server) closeLocked(c *conn) {
	c.closed = true
	_ = c.Close() // its caller sees the same either way
	delete(s.conns, c)
}

// await waits until a condition holds, and reports whether it did before ctx ended.
func (s *Server) await(ctx context.Context, holds func() bool) bool {
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for !holds() {
		if ctx.Err() != nil {
			return false
		}
		s.changed.Wait()
	}
	return true
}

// hasArrived reports whether bytes wait to be read; where that cannot be told, it says that none do.
func hasArrived(c net.Conn) bool {
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
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = err == nil && n > 0
	})
	return err == nil && arrived
}
