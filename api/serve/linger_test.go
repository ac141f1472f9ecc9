package serve_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/api/serve"
)

// startGivingUp starts a server that gives up each body before it has come, refuses the request, and says for how long the rest is read.
func startGivingUp(t *testing.T, readFor time.Duration) (server *serve.Server, address string) {
	t.Helper()
	server = serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		_, _ = io.ReadAll(r.Body)
		serve.CallerOf(r.Context()).ReadUntil(time.Now().Add(readFor))
		http.Error(w, "too late", http.StatusRequestEntityTooLarge)
	}), serve.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, l.Addr().String()
}

// waitDiscarding waits until the server discards what a caller sends.
func waitDiscarding(t *testing.T, server *serve.Server) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		must.Less(t, testTimeout, time.Since(began))
		if conns := server.Conns(); len(conns) == 1 && conns[0].Phase == serve.PhaseDiscarding {
			return
		}
	}
}

// Guards against a refusal that is lost to a caller who is still sending and reads only after that: closing with unread bytes resets the connection.
func TestRefusalIsLostToACallerWhoIsStillSending(t *testing.T) {
	for name, header := range map[string]string{"with a length": "Content-Length: 1000", "in chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, address := startGivingUp(t, testTimeout)
			conn := sendHeader(t, address, header)
			waitDiscarding(t, server)
			for range 10 {
				_, err := io.WriteString(conn, "1\r\nx\r\n")
				must.NoError(t, err)
				time.Sleep(100 * time.Millisecond)
			}
			mustBeRefused(t, conn)
		})
	}
}

// Guards against a connection of a caller who neither reads nor closes that is kept for ever, or that keeps the server from being closed.
func TestRefusedCallerKeepsTheConnection(t *testing.T) {
	t.Run("until its time is over", func(t *testing.T) {
		t.Parallel()
		_, address := startGivingUp(t, 100*time.Millisecond)
		conn := sendHeader(t, address, "Content-Length: 1000")
		mustBeRefused(t, conn)
		for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
			must.Less(t, testTimeout, time.Since(began))
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
		}
	})
	t.Run("until the server is closed", func(t *testing.T) {
		t.Parallel()
		server, address := startGivingUp(t, time.Hour)
		conn := sendHeader(t, address, "Content-Length: 1000")
		mustBeRefused(t, conn)
		waitDiscarding(t, server)
		must.NoError(t, server.Close())
		for began := time.Now(); len(server.Conns()) > 0; time.Sleep(time.Millisecond) {
			must.Less(t, testTimeout, time.Since(began))
		}
	})
}
