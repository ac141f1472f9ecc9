package detours_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/rawserver"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Guards against a helper's answer that is no HTTP and is taken for a connection to an upstream.
func TestBrokenHeadOfAHelperIsTakenForAConnection(t *testing.T) {
	const chunk = "5\r\nhello\r\n0\r\n\r\n"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX Note: y\r\n", "HTTP/1.1 200 OK\r\nX-Note : y\r\n", "HTTP/1.1 200 OK\r\nX-First: x\r\n X-Note: y\r\n",
	} {
		address := rawserver.Start(t, rawserver.Once(head+"Transfer-Encoding: chunked\r\n\r\n"+chunk))
		node := newNode(t, "node", 0)
		node.dialer.SetMembers([]feed.Member{helperMember(address)})
		conn, err := node.dialer.DialPath(t.Context(), forward.PathThrough("helper"), "10.0.0.1:80")
		if err == nil {
			_ = conn.Close()
		}
		must.Error(t, err, must.Sprint(head))
	}
}
