package detours_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// resets is how often a connection is reset: each time, the system tells either the read or the write.
const resets = 40

// TestResetDuringAWriteLooksComplete has an upstream answer before it has read the request, and reset its connection while the rest is still being sent: the
// node must not take that for the end of an answer that ends with its connection, whichever of read and write the system tells of the reset.
func TestResetDuringAWriteLooksComplete(t *testing.T) {
	for name, ownPath := range map[string]bool{"over its own path": true, "through a helper": false} {
		t.Run(name, func(t *testing.T) {
			for range resets {
				breakOff := make(chan struct{})
				upstream := startUpstream(t, func(c net.Conn) {
					_, _ = c.Write([]byte("the first part"))
					<-breakOff
					_ = c.(*net.TCPConn).SetLinger(0) //nolint:errcheck,forcetypeassert // it is one
					_ = c.Close()
				})
				node, _ := newPair(t, upstream)
				if ownPath {
					node.link.Restore()
				}
				conn := node.dial(t, upstream)
				text := make([]byte, len("the first part"))
				_, err := io.ReadFull(conn, text)
				must.NoError(t, err)
				written := make(chan struct{})
				go func() {
					defer close(written)
					sendUntilRefused(conn, breakOff)
				}()
				_, err = io.ReadAll(conn)
				must.Error(t, err)
				<-written
				must.NoError(t, conn.Close())
			}
		})
	}
}

// sendUntilRefused writes until the connection is broken off, and closes begun after the first part.
func sendUntilRefused(conn net.Conn, begun chan<- struct{}) {
	piece := make([]byte, 1<<20)
	_, err := conn.Write(piece)
	for close(begun); err == nil; {
		_, err = conn.Write(piece)
	}
}

// TestRequestBeyondAWholeAnswerLooksLikeAReset has an upstream end its answer and its connection, which refuses what is sent afterwards: the answer is whole.
func TestRequestBeyondAWholeAnswerLooksLikeAReset(t *testing.T) {
	closed := make(chan struct{})
	upstream := startUpstream(t, func(c net.Conn) {
		_, _ = c.Write([]byte("answer"))
		_ = c.Close()
		close(closed)
	})
	node := newNode(t, "node", 8)
	conn := node.dial(t, upstream)
	<-closed
	var err error
	for err == nil {
		_, err = conn.Write([]byte("the rest of a request"))
	}
	must.ErrorIs(t, err, syscall.EPIPE)
	answer, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.EqOp(t, "answer", string(answer))
}
