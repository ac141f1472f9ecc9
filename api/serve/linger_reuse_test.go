package serve_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/api/serve"
)

// startReused starts a server that refuses POST requests without reading their bodies and says for how long the rest is read; GET requests of /whole are
// answered, and others are broken off.
func startReused(t *testing.T) (server *serve.Server, address string) {
	t.Helper()
	server = serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			serve.CallerOf(r.Context()).ReadUntil(time.Now().Add(time.Hour))
			http.Error(w, "no such route", http.StatusRequestEntityTooLarge)
		case r.URL.Path == "/whole":
			_, _ = io.WriteString(w, "whole")
		default:
			_, _ = io.WriteString(w, "a part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}), serve.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, l.Addr().String()
}

// refuseOnce sends a request whose body comes after its header, and reads its refusal.
func refuseOnce(t *testing.T, server *serve.Server, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn := sendHeader(t, address, "Content-Length: 4")
	waitDiscarding(t, server)
	_, err := io.WriteString(conn, "body")
	must.NoError(t, err)
	reader := bufio.NewReader(conn)
	res, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	must.EqOp(t, http.StatusRequestEntityTooLarge, res.StatusCode)
	must.False(t, res.Close)
	_, err = io.ReadAll(res.Body)
	must.NoError(t, err)
	return conn, reader
}

// Guards against a connection that is kept after a refused request and lingers at its end, without a bound, for a later request that was answered.
func TestLaterRequestOnAKeptConnectionLingers(t *testing.T) {
	server, address := startReused(t)
	conn, reader := refuseOnce(t, server, address)
	_, err := fmt.Fprint(conn, "GET /whole HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	must.NoError(t, err)
	raw, err := io.ReadAll(reader)
	must.NoError(t, err)
	must.StrContains(t, string(raw), "whole")
	for began := time.Now(); len(server.Conns()) > 0; time.Sleep(time.Millisecond) {
		must.Less(t, testTimeout, time.Since(began), must.Sprintf("%+v", server.Conns()))
	}
}

// Guards against an answer that breaks off on a connection that was kept after a refused request, and looks complete to a caller of HTTP/1.0.
func TestLaterAnswerThatBreaksOffLooksComplete(t *testing.T) {
	server, address := startReused(t)
	conn, reader := refuseOnce(t, server, address)
	_, err := fmt.Fprint(conn, "GET /part HTTP/1.0\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	body, ended := readEnd(conn, reader)
	must.EqOp(t, endReset, ended, must.Sprintf("%q", body))
}
