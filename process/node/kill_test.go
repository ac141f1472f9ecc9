package node

import (
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

// requireClosed fails the test unless a connection is closed by its other end.
func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := conn.Read(make([]byte, 1))
	must.Error(t, err)
	must.False(t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint(err))
}

func dial(t *testing.T, address net.Addr) net.Conn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address.String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against events that a killed node gives its callers when it cannot tell other nodes of their streams any more.
func TestKilledNodeServesAfterItsMessagesHaveEnded(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	t.Run("gateway", func(t *testing.T) {
		s, err := settings.Parse([]byte("[node]\nvm = vm-1\ndata_centre = a\nadmin = 127.0.0.1:0\n[gateway]\nlisten = 127.0.0.1:0\nreadiness = 127.0.0.1:0\nstore = 127.0.0.1:1\n"), "node.ini")
		must.NoError(t, err)
		n, err := BuildGateway(s, log)
		must.NoError(t, err)
		must.NoError(t, n.Start(t.Context()))
		conn, stop := dial(t, n.listeners[0].Addr()), n.stop
		n.stop = func() {
			requireClosed(t, conn)
			stop()
		}
		n.Kill()
	})
	t.Run("caller API", func(t *testing.T) {
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		must.NoError(t, err)
		server := serve.New(http.NotFoundHandler(), serve.Config{ErrorLog: serverErrors(log)})
		r := relay.New(nil, nil, nil, noop.NewTracerProvider().Tracer(""), relay.NewMetrics(new(expvar.Map).Init()), log, relay.Config{})
		n := &Node{servers: []*serve.Server{server}, relay: r}
		n.tasks.Go(func() { must.NoError(t, server.Serve(l)) })
		conn := dial(t, l.Addr())
		n.stop = func() { requireClosed(t, conn) }
		n.Kill()
	})
}
