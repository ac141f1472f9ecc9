package detours_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"expvar"
	"io"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/overlay"
	"github.com/vaneyoke/vaneyoke/internal/cutline"
	"github.com/vaneyoke/vaneyoke/shell/detours"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

const maxWait = 10 * time.Second // longest wait for an expected event; reaching it fails the test

// testNode is a node that connects to upstreams, and does so for others.
type testNode struct {
	dialer  *detours.Dialer
	server  *detours.Server
	link    *cutline.Dialer
	vars    *expvar.Map
	address string
}

// newNode starts a node that keeps a number of detours open at most.
func newNode(t *testing.T, vm vaneyoke.VMID, most int) *testNode {
	n := &testNode{link: cutline.New(&net.Dialer{Timeout: 100 * time.Millisecond}), vars: new(expvar.Map).Init()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	state := overlay.New("a", mathrand.New(mathrand.NewPCG(1, 1)))
	n.dialer = detours.NewDialer(vm, state, n.link, detours.NewMetrics(n.vars), log)
	n.server = detours.NewServer(n.dialer, most, n.vars, log)
	mux := http.NewServeMux()
	mux.Handle("POST "+detours.Path, n.server)
	n.address = startServer(t, mux)
	t.Cleanup(n.server.Close)
	return n
}

func startServer(t *testing.T, handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by the test
	must.NoError(t, err)
	server := serve.New(handler, serve.Config{})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// newPair returns a node that is cut from an upstream, and its only helper.
func newPair(t *testing.T, upstream string) (node, helper *testNode) {
	node, helper = newNode(t, "node", 8), newNode(t, "helper", 8)
	for _, n := range []*testNode{node, helper} {
		n.dialer.SetUpstreams(map[string]vaneyoke.UpstreamID{upstream: "up"})
	}
	node.dialer.SetMembers([]feed.Member{{VM: "node", Protocol: feed.ProtocolCurrent}, helperMember(helper.address)})
	node.cut()
	return node, helper
}

func helperMember(address string) feed.Member {
	return feed.Member{VM: "helper", DataCentre: "a", Address: address, Protocol: feed.ProtocolDetours}
}

func (n *testNode) cut() { n.link.Cut(cutline.Reset, func(string) bool { return true }) }

// startUpstream starts an upstream that passes each connection to serve.
func startUpstream(t *testing.T, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by the test
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

func (n *testNode) dial(t *testing.T, upstream string) net.Conn {
	t.Helper()
	conn, err := n.dialer.DialContext(t.Context(), "tcp", upstream)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(maxWait)))
	return conn
}

// TestDetourPassesBytesUnchanged sends random bytes through a detour in both directions, and ends the connection at the upstream.
func TestDetourPassesBytesUnchanged(t *testing.T) {
	request, answer := make([]byte, 300_000), make([]byte, 500_000)
	_, _ = rand.Read(request)
	_, _ = rand.Read(answer)
	got := make(chan []byte, 1)
	upstream := startUpstream(t, func(c net.Conn) {
		received := make([]byte, len(request))
		_, _ = io.ReadFull(c, received)
		got <- received
		for rest := answer; len(rest) > 0; {
			size, _ := rand.Int(rand.Reader, big.NewInt(20_000))
			n := min(int(size.Int64())+1, len(rest))
			_, _ = c.Write(rest[:n])
			rest = rest[n:]
		}
		_ = c.Close()
	})
	node, _ := newPair(t, upstream)
	conn := node.dial(t, upstream)
	must.EqOp(t, forward.PathThrough("helper"), forward.PathOf(conn))
	_, err := conn.Write(request)
	must.NoError(t, err)
	must.True(t, bytes.Equal(request, <-got))
	received, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.True(t, bytes.Equal(answer, received))
}

// TestBrokenDetourLooksComplete breaks a detour off in several ways: the node must not take that for the end of an answer that ends with its connection.
func TestBrokenDetourLooksComplete(t *testing.T) {
	for _, broken := range []string{"upstream resets", "helper ends", "helper's link resets"} {
		t.Run(broken, func(t *testing.T) {
			begun, breakOff := make(chan struct{}), make(chan struct{})
			upstream := startUpstream(t, func(c net.Conn) {
				_, _ = c.Write([]byte("the first part"))
				close(begun)
				<-breakOff
				if broken == "upstream resets" {
					_ = c.(*net.TCPConn).SetLinger(0) //nolint:errcheck,forcetypeassert // it is one
					_ = c.Close()
				}
			})
			node, helper := newPair(t, upstream)
			conn := node.dial(t, upstream)
			<-begun
			text := make([]byte, len("the first part"))
			_, err := io.ReadFull(conn, text)
			must.NoError(t, err)
			switch broken {
			case "helper ends":
				helper.server.Close()
			case "helper's link resets":
				helper.link.Cut(cutline.Reset, func(string) bool { return true })
			}
			close(breakOff)
			_, err = conn.Read(text)
			must.Error(t, err)
			must.False(t, errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF))
		})
	}
}

// TestUpstreamWorksOnForNodeThatLeft closes a detour at the node: the upstream's connection must be closed soon.
func TestUpstreamWorksOnForNodeThatLeft(t *testing.T) {
	closed := make(chan struct{})
	upstream := startUpstream(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	node, helper := newPair(t, upstream)
	conn := node.dial(t, upstream)
	_, err := conn.Write([]byte("a request"))
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream's connection is still open")
	}
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	must.True(t, helper.server.WaitIdle(ctx))
}

// TestDetoursAreRefused asks for detours that a node does not give.
func TestDetoursAreRefused(t *testing.T) {
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	upstream := startUpstream(t, func(c net.Conn) { <-held; _ = c.Close() })
	cases := map[string]struct {
		prepare func(n *testNode)
		address string
		status  int
	}{
		"address of no upstream":  {func(*testNode) {}, "127.0.0.1:22", http.StatusNotFound},
		"no address":              {func(*testNode) {}, "", http.StatusNotFound},
		"while it stops":          {func(n *testNode) { n.server.Stop() }, upstream, http.StatusServiceUnavailable},
		"its own path fails":      {(*testNode).cut, upstream, http.StatusFailedDependency},
		"upstream that is down":   {func(n *testNode) { reach(t, n, 2) }, "127.0.0.1:1", http.StatusBadGateway},
		"as many as it may serve": {func(n *testNode) { openDetours(t, n, upstream, 2) }, upstream, http.StatusTooManyRequests},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, "helper", 2)
			n.dialer.SetUpstreams(map[string]vaneyoke.UpstreamID{upstream: "up", "127.0.0.1:1": "down"})
			tc.prepare(n)
			res := httptest.NewRecorder()
			n.server.ServeHTTP(res, httptest.NewRequest(http.MethodPost, detours.Path+"?address="+tc.address, nil))
			must.EqOp(t, tc.status, res.Code)
			must.EqOp(t, "1", n.vars.Get("detours").(*expvar.Map).Get("refused_total "+strconv.Itoa(tc.status)).String()) //nolint:errcheck,forcetypeassert // it is one
		})
	}
}

// reach makes a node connect to a number of other upstreams.
func reach(t *testing.T, n *testNode, count int) {
	for range count {
		conn, err := n.dialer.DialContext(t.Context(), "tcp", startUpstream(t, func(c net.Conn) { _ = c.Close() }))
		must.NoError(t, err)
		must.NoError(t, conn.Close())
	}
}

// openDetours opens detours through a node.
func openDetours(t *testing.T, n *testNode, upstream string, count int) {
	node := newNode(t, "node", 0)
	node.dialer.SetMembers([]feed.Member{helperMember(n.address)})
	node.cut()
	for range count {
		node.dial(t, upstream)
	}
}

// TestStopWaitsForDetours checks that a stopping helper lets open detours end, and gives no new ones.
func TestStopWaitsForDetours(t *testing.T) {
	release := make(chan struct{})
	upstream := startUpstream(t, func(c net.Conn) {
		<-release
		_, _ = c.Write([]byte("answer"))
		_ = c.Close()
	})
	node, helper := newPair(t, upstream)
	conn := node.dial(t, upstream)
	helper.server.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	must.False(t, helper.server.WaitIdle(ctx))
	_, err := node.dialer.DialContext(t.Context(), "tcp", upstream)
	_, unconfirmed := errors.AsType[*engine.UnconfirmedError](err)
	must.True(t, unconfirmed)
	close(release)
	answer, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.EqOp(t, "answer", string(answer))
	must.True(t, helper.server.WaitIdle(t.Context()))
}

// TestUnusableHelpersDelayConnections has some helpers not answer, answer nonsense, or be of an earlier build: another one must be used, soon.
func TestUnusableHelpersDelayConnections(t *testing.T) {
	upstream := startUpstream(t, func(c net.Conn) { _ = c.Close() })
	silent := startUpstream(t, func(c net.Conn) { time.Sleep(maxWait); _ = c.Close() })
	nonsense := startUpstream(t, func(c net.Conn) { _, _ = c.Write([]byte(strings.Repeat("x", 10_000))); _ = c.Close() })
	earlier := startServer(t, http.NotFoundHandler())
	gone, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed at once
	must.NoError(t, err)
	must.NoError(t, gone.Close())
	node, helper := newPair(t, upstream)
	members := []feed.Member{helperMember(helper.address), {VM: "of no row", Address: earlier}}
	for vm, address := range map[vaneyoke.VMID]string{"silent": silent, "nonsense": nonsense, "earlier": earlier, "gone": gone.Addr().String()} {
		members = append(members, feed.Member{VM: vm, DataCentre: "a", Address: address, Protocol: feed.ProtocolDetours})
	}
	node.dialer.SetMembers(members)
	for range 20 {
		began := time.Now()
		must.NoError(t, node.dial(t, upstream).Close())
		must.Less(t, 400*time.Millisecond, time.Since(began))
	}
}

// TestPathIsUsedAgain checks that a node returns to its own path after it has been restored.
func TestPathIsUsedAgain(t *testing.T) {
	upstream := startUpstream(t, func(c net.Conn) { _ = c.Close() })
	node, _ := newPair(t, upstream)
	must.EqOp(t, forward.PathThrough("helper"), forward.PathOf(node.dial(t, upstream)))
	must.EqOp(t, overlay.Summary{Lost: 1}, node.dialer.Summary())
	must.True(t, node.dialer.IsOwnPathLost(t.Context(), upstream))
	node.link.Restore()
	began := time.Now()
	for forward.PathOf(node.dial(t, upstream)) != forward.DirectPath {
		must.Less(t, 2*time.Second, time.Since(began))
		time.Sleep(10 * time.Millisecond)
	}
	must.False(t, node.dialer.IsOwnPathLost(t.Context(), upstream))
}

// Guards against a connection attempt that timed out over all paths and is not repeated, as its error does not say so.
func TestTimeoutOverAllPathsIsNotToldFromARefusal(t *testing.T) {
	for name, tc := range map[string]struct {
		cut     func(node, helper *testNode, upstream string)
		timeout bool
	}{
		"all paths time out": {func(node, _ *testNode, _ string) {
			node.link.Cut(cutline.Silent, func(string) bool { return true })
		}, true},
		"own path times out, the helper misses": {func(node, helper *testNode, upstream string) {
			node.link.Cut(cutline.Silent, func(address string) bool { return address == upstream })
			helper.link.Cut(cutline.Silent, func(address string) bool { return address == upstream })
		}, true},
		"refused": {func(node, helper *testNode, _ string) {
			node.link.Restore()
			helper.link.Restore()
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			down, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed at once
			must.NoError(t, err)
			must.NoError(t, down.Close())
			upstream := down.Addr().String()
			node, helper := newPair(t, upstream)
			tc.cut(node, helper, upstream)
			_, err = node.dialer.DialContext(t.Context(), "tcp", upstream)
			must.Error(t, err)
			netErr, ok := errors.AsType[net.Error](err)
			must.True(t, ok)
			must.EqOp(t, tc.timeout, netErr.Timeout(), must.Sprint(err))
		})
	}
}

// TestUpstreamThatIsDownIsNoLostPath checks that the node tells an upstream that helpers miss as well from a lost path of its own.
func TestUpstreamThatIsDownIsNoLostPath(t *testing.T) {
	down, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed at once
	must.NoError(t, err)
	must.NoError(t, down.Close())
	address := down.Addr().String()
	node, helper := newPair(t, address)
	node.link.Restore()
	reach(t, helper, 2)
	_, err = node.dialer.DialContext(t.Context(), "tcp", address)
	must.Error(t, err)
	_, unconfirmed := errors.AsType[*engine.UnconfirmedError](err)
	must.False(t, unconfirmed)
	must.False(t, node.dialer.IsOwnPathLost(t.Context(), address))
	_, isDial := errors.AsType[*net.OpError](err)
	must.True(t, isDial)
	dials := node.link.Dials()
	_, err = node.dialer.DialPath(t.Context(), forward.PathThrough("helper"), address)
	must.Error(t, err)
	_, err = node.dialer.DialPath(t.Context(), forward.PathThrough("nobody"), address)
	must.Error(t, err)
	must.EqOp(t, dials, node.link.Dials())
}
