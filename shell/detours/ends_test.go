package detours_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// ending is a connection whose upstream ends it in a way that the test knows.
type ending struct {
	answer  []byte
	request int  // bytes that the node sends
	reads   bool // whether the upstream reads the whole request before it answers
	resets  bool
}

// newEnding draws an ending; an upstream that closes with unread bytes resets its connection, too.
func newEnding(rng *mathrand.Rand) ending {
	e := ending{answer: make([]byte, rng.IntN(200_000)), request: rng.IntN(1 << 20), resets: rng.IntN(2) == 0}
	for i := range e.answer {
		e.answer[i] = byte(rng.Uint32())
	}
	e.reads = !e.resets || rng.IntN(2) == 0
	return e
}

// serve answers on the upstream's end of a connection.
func (e ending) serve(c net.Conn, rng *mathrand.Rand) {
	if e.reads {
		_, _ = io.CopyN(io.Discard, c, int64(e.request))
	}
	for rest := e.answer; len(rest) > 0; {
		n := min(1+rng.IntN(20_000), len(rest))
		_, _ = c.Write(rest[:n])
		rest = rest[n:]
	}
	if e.resets {
		_ = c.(*net.TCPConn).SetLinger(0) //nolint:errcheck,forcetypeassert // it is one
	}
	_ = c.Close()
}

// Guards against an answer that ends with its connection and whose node takes a reset for the end, or the end for a reset.
func TestEndsOfConnectionsAreNotToldApart(t *testing.T) {
	const conns = 60
	for name, ownPath := range map[string]bool{"over its own path": true, "through a helper": false} {
		t.Run(name, func(t *testing.T) {
			rng := mathrand.New(mathrand.NewPCG(1, 2))
			for number := range conns {
				e := newEnding(rng)
				connected := make(chan struct{})
				upstream := startUpstream(t, func(c net.Conn) {
					<-connected
					e.serve(c, mathrand.New(mathrand.NewPCG(3, uint64(number))))
				})
				node, _ := newPair(t, upstream)
				if ownPath {
					node.link.Restore()
				}
				conn := node.dialUntilConnected(t, upstream)
				close(connected)
				var sending sync.WaitGroup
				sending.Go(func() { _, _ = conn.Write(make([]byte, e.request)) })
				received, err := io.ReadAll(conn)
				must.EqOp(t, e.resets, err != nil, must.Sprintf("connection %d: %d of %d bytes, %v", number, len(received), len(e.answer), err))
				must.True(t, bytes.HasPrefix(e.answer, received))
				must.True(t, e.resets || len(received) == len(e.answer))
				must.NoError(t, conn.Close())
				sending.Wait()
			}
		})
	}
}

// dialUntilConnected connects to an upstream, again while no way connects in its time.
func (n *testNode) dialUntilConnected(t *testing.T, upstream string) net.Conn {
	for start := time.Now(); time.Since(start) < maxWait; {
		conn, err := n.dialer.DialContext(t.Context(), "tcp", upstream)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			must.NoError(t, conn.SetDeadline(time.Now().Add(maxWait)))
			return conn
		}
		t.Log(err)
	}
	return n.dial(t, upstream)
}

// upstreamKey is the environment variable by which TestHelperProcess is a helper for an upstream.
const upstreamKey = "DETOURS_TEST_UPSTREAM"

// TestHelperProcess is the process of TestKilledHelperLooksLikeTheEndOfTheAnswer.
func TestHelperProcess(t *testing.T) {
	upstream := os.Getenv(upstreamKey)
	if upstream == "" {
		return
	}
	helper := newNode(t, "helper", 8)
	helper.dialer.SetUpstreams(map[string]vaneyoke.UpstreamID{upstream: "up"})
	fmt.Println("helper " + helper.address)
	select {} // until it is killed
}

// startHelper starts a process that is a helper for an upstream.
func startHelper(t *testing.T, upstream string) (process *exec.Cmd, address string) {
	process = exec.Command(os.Args[0], "-test.run=^TestHelperProcess$") //nolint:gosec,noctx // this program
	process.Env = append(os.Environ(), upstreamKey+"="+upstream)
	out, err := process.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, process.Start())
	t.Cleanup(func() { _ = process.Process.Kill(); _ = process.Wait() })
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if address, ok := strings.CutPrefix(lines.Text(), "helper "); ok {
			return process, address
		}
	}
	t.Fatal("the helper has not started")
	return nil, ""
}

// Guards against an answer that ends with its connection and looks whole because its helper was killed: the system then closes both connections.
func TestKilledHelperLooksLikeTheEndOfTheAnswer(t *testing.T) {
	for _, sent := range []int{0, 1, 100_000} {
		t.Run(fmt.Sprint(sent, " bytes"), func(t *testing.T) {
			held := make(chan struct{})
			t.Cleanup(func() { close(held) })
			upstream := startUpstream(t, func(c net.Conn) {
				_, _ = c.Write(make([]byte, sent))
				<-held
				_ = c.Close()
			})
			process, address := startHelper(t, upstream)
			node := newNode(t, "node", 8)
			node.dialer.SetMembers([]feed.Member{helperMember(address)})
			node.cut()
			conn := node.dial(t, upstream)
			must.EqOp(t, forward.PathThrough("helper"), forward.PathOf(conn))
			_, err := io.ReadFull(conn, make([]byte, sent))
			must.NoError(t, err)
			must.NoError(t, process.Process.Kill())
			_, err = conn.Read(make([]byte, 1))
			must.Error(t, err)
			must.True(t, err != io.EOF) //nolint:errorlint // net.Conn returns it as it is
		})
	}
}
