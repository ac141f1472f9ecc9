package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Answer returns the bytes that answer a request, and whether further requests are read from its connection; otherwise it is closed.
type Answer func(r *http.Request) (text string, keep bool)

// Once returns an answer after which the connection is closed.
func Once(text string) Answer {
	return func(*http.Request) (string, bool) { return text, false }
}

// Start starts a server that runs until the test ends, and returns its address.
func Start(tb testing.TB, answer Answer) (address string) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by the test
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn, answer)
		}
	}()
	return l.Addr().String()
}

// serve answers the requests of a connection.
func serve(conn net.Conn, answer Answer) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for keep := true; keep; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		var text string
		text, keep = answer(req)
		if _, err = io.WriteString(conn, text); err != nil {
			return
		}
	}
}
