package mesh

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// endedContext is a context that has ended and has not yet called the functions registered with context.AfterFunc, as on a busy machine.
type endedContext struct{ context.Context }

func (endedContext) Err() error { return context.Canceled }

// AfterFunc implements the method that package context looks for.
func (endedContext) AfterFunc(func()) func() bool { return func() bool { return true } }

// TestAddressStaysTakenAfterAStop has a node read a datagram after its context has ended, and before the function that closes its socket was called:
// the socket stayed open, and the address could not be used again.
func TestAddressStaysTakenAfterAStop(t *testing.T) {
	free, err := net.ListenPacket("udp4", "127.0.0.1:0")
	must.NoError(t, err)
	address := free.LocalAddr().String()
	must.NoError(t, free.Close())
	n := idleNode()
	n.self.Address = address
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.listen(endedContext{t.Context()})
	}()
	sender, err := net.Dial("udp4", address)
	must.NoError(t, err)
	defer func() { _ = sender.Close() }()
	for waiting := true; waiting; {
		_, _ = sender.Write([]byte("late")) // refused until the node listens
		select {
		case <-stopped:
			waiting = false
		case <-time.After(time.Millisecond):
		}
	}
	again, err := net.ListenPacket("udp4", address)
	must.NoError(t, err)
	must.NoError(t, again.Close())
}
