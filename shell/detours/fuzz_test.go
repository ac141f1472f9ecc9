package detours_test

import (
	"context"
	"io"
	"net"
	"regexp"
	"testing"
	"time"

	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// lastChunk is the end of a response in chunks, perhaps with trailers.
var lastChunk = regexp.MustCompile(`(?s)\n0+[ \t]*(;[^\n]*)?\r?\n(.*\r\n)?\r\n`)

// FuzzDetourResponses has a helper answer arbitrary bytes: a connection either is refused or yields what its chunks hold, and never ends well unless the
// last chunk has come.
func FuzzDetourResponses(f *testing.F) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\n0\r\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nhel",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\n\r\nabc",
		"HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 424 Failed Dependency\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 999 \r\n\r\n", "", "\x00\x01",
	} {
		f.Add([]byte(response))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by the test
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		go func() {
			if c, err := l.Accept(); err == nil {
				_, _ = c.Write(response)
				_ = c.Close()
			}
		}()
		node := newNode(t, "node", 0)
		node.dialer.SetMembers([]feed.Member{helperMember(l.Addr().String())})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		conn, err := node.dialer.DialPath(ctx, forward.PathThrough("helper"), "10.0.0.1:80")
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		received, err := io.ReadAll(conn)
		if len(received) > len(response) {
			t.Fatalf("%d bytes arrived of %d", len(received), len(response))
		}
		if err == nil && !lastChunk.Match(response) {
			t.Fatalf("%q ended well", response)
		}
	})
}
