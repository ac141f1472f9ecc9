package node

import (
	"bufio"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/samber/do/v2"
	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/process/settings"
)

// Guards against a head without end from another node, the store, the platform or an engine of the caller API, which is read until the memory is gone.
func TestHeadWithoutEndIsReadOn(t *testing.T) {
	const headBytes, acceptedBytes = 32 << 10, 8 << 20 // what the system takes from the sender before it is read
	limits := settings.Limits{HeadBytes: headBytes}
	i := do.New()
	do.ProvideValue(i, settings.Settings{Limits: limits})
	do.ProvideValue(i, new(expvar.Map).Init())
	do.Provide(i, provideStoreClient)
	do.Provide(i, provideControlClient)
	clients := map[string]*http.Client{
		"store": do.MustInvoke[*storeClient](i).http, "control": do.MustInvoke[*controlClient](i).http, "peers": newPeerClient(limits),
		"reports": newReportClient(limits), "duties": newClientFor(limits, dialTimeout, idleTimeout),
		"upstreams": newUpstreamClient(limits), "upstreams once": newSingleUseClient(limits),
	}
	for name, client := range clients {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = l.Close() }()
			sent := make(chan int64, 1)
			go func() { sent <- sendHead(l) }()
			res, err := client.Get("http://" + l.Addr().String()) //nolint:noctx // it ends by itself
			if err == nil {
				_ = res.Body.Close()
			}
			must.ErrorContains(t, err, "exceeded 32768 bytes")
			select {
			case n := <-sent:
				must.LessEq(t, acceptedBytes, n)
			case <-time.After(10 * time.Second):
				t.Fatal("the connection stays open")
			}
		})
	}
}

// sendHead sends a head without end on the first connection, and returns how much was taken of it.
func sendHead(l net.Listener) (sent int64) {
	conn, err := l.Accept()
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	if _, err = http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return 0
	}
	text := "X-Line: " + strings.Repeat("x", 1000) + "\r\n"
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	for err == nil {
		n, failed := io.WriteString(conn, text)
		sent, err = sent+int64(n), failed
	}
	return sent
}

// Guards against a body without end from another node or the platform, which is read until the memory is gone.
func TestBodyWithoutEndIsReadOn(t *testing.T) {
	i := do.New()
	do.ProvideValue(i, settings.Settings{Limits: settings.Limits{HeadBytes: 32 << 10}})
	do.ProvideValue(i, new(expvar.Map).Init())
	do.Provide(i, provideControlClient)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for piece := make([]byte, 32<<10); ; {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	res, err := do.MustInvoke[*controlClient](i).http.Get(server.URL) //nolint:noctx // it ends by itself
	must.NoError(t, err)
	n, err := io.Copy(io.Discard, res.Body)
	must.EqOp(t, maxControlBytes, n)
	must.ErrorContains(t, err, "not complete")
	must.NoError(t, res.Body.Close())
}

// Guards against clients of the store and of other nodes, and of the platform, that take a response for an answer which is no HTTP.
func TestBrokenHeadPasses(t *testing.T) {
	i := do.New()
	do.ProvideValue(i, settings.Settings{Limits: settings.Limits{HeadBytes: 32 << 10}})
	do.ProvideValue(i, new(expvar.Map).Init())
	do.Provide(i, provideStoreClient)
	do.Provide(i, provideControlClient)
	clients := map[string]*http.Client{"store": do.MustInvoke[*storeClient](i).http, "control": do.MustInvoke[*controlClient](i).http}
	for name, client := range clients {
		for _, head := range []string{"000 None\r\n", "200 OK\r\nX Note: y\r\n"} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			go func() {
				if conn, err := l.Accept(); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+head+"Content-Length: 0\r\n\r\n")
				}
			}()
			res, err := client.Get("http://" + l.Addr().String()) //nolint:noctx // it ends by itself
			if err == nil {
				_ = res.Body.Close()
			}
			must.ErrorContains(t, err, "violates HTTP", must.Sprint(name, head))
			must.NoError(t, l.Close())
		}
	}
}
