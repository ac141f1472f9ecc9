package serve_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/api/serve"
)

const (
	largeBody   = 64 << 20
	testTimeout = 15 * time.Second // far above the server's discardTimeout, for slow machines
)

// startRefusing starts a server that answers every request with 413 without reading its body, and returns its address.
func startRefusing(t *testing.T) string {
	t.Helper()
	server := serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = r.Body.Close() // as a handler does that will not read the rest
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
	}), serve.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// sendHeader opens a connection and sends the header of a POST request.
func sendHeader(t *testing.T, address, header string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address) //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(2*testTimeout)))
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", header)
	must.NoError(t, err)
	return conn
}

// mustBeRefused reads the response, which must be complete.
func mustBeRefused(t *testing.T, conn net.Conn) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.EqOp(t, http.StatusRequestEntityTooLarge, res.StatusCode)
	_, err = io.ReadAll(res.Body)
	must.NoError(t, err)
	_ = res.Body.Close()
}

// TestEarlyResponseSurvivesUnreadBody sends a whole body that the handler does not read before it reads the response. The
// memory needed to discard the body must not grow with its size.
func TestEarlyResponseSurvivesUnreadBody(t *testing.T) {
	address := startRefusing(t)
	chunk := make([]byte, 64<<10)
	cases := map[string]struct {
		header string
		write  func(conn net.Conn) error
	}{
		"with a length": {fmt.Sprintf("Content-Length: %d", largeBody), func(conn net.Conn) error {
			_, err := conn.Write(chunk)
			return err
		}},
		"in chunks": {"Transfer-Encoding: chunked", func(conn net.Conn) error {
			_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk)
			return err
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			conn := sendHeader(t, address, tc.header)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range largeBody / len(chunk) {
				must.NoError(t, tc.write(conn))
			}
			if name == "in chunks" {
				_, err := io.WriteString(conn, "0\r\n\r\n")
				must.NoError(t, err)
			}
			mustBeRefused(t, conn)
			runtime.ReadMemStats(&after)
			if name == "with a length" { // in chunks, the test's own writes allocate too
				must.Less(t, 16<<20, after.TotalAlloc-before.TotalAlloc)
			}
		})
	}
}

// TestDiscardIsBounded sends endless bodies, one as fast as possible and one byte by byte: the server must close the connection.
func TestDiscardIsBounded(t *testing.T) {
	address := startRefusing(t)
	cases := map[string]struct {
		size  int
		pause time.Duration
	}{
		"without end":  {1 << 20, 0},
		"byte by byte": {1, 50 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			conn := sendHeader(t, address, "Content-Length: 1000000000000")
			chunk := make([]byte, tc.size)
			start := time.Now()
			for {
				if _, err := conn.Write(chunk); err != nil {
					break // the server has closed the connection
				}
				must.Less(t, testTimeout, time.Since(start))
				time.Sleep(tc.pause)
			}
		})
	}
}

// TestExpectContinueIsRefusedAtOnce refuses a caller that sent Expect: 100-continue and therefore never sends its body.
func TestExpectContinueIsRefusedAtOnce(t *testing.T) {
	conn := sendHeader(t, startRefusing(t), "Content-Length: 1000000\r\nExpect: 100-continue")
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	mustBeRefused(t, conn)
}
