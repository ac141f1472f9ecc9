package mesh

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/rawserver"
)

// Guards against another node's answer that is no HTTP and is taken for the status of its tables, for its tables, or for a lent retry.
func TestBrokenHeadOfAnotherNodeIsTaken(t *testing.T) {
	for _, head := range []string{"000 None\r\n", "200 OK\r\nX Note: y\r\n", "200 OK\r\nContent-Length : 2\r\n", "200 OK\r\n Content-Length: 2\r\n"} {
		t.Run(strings.TrimSpace(head), func(t *testing.T) {
			const status = `{"complete":true}`
			address := rawserver.Start(t, rawserver.Once(fmt.Sprintf("HTTP/1.1 %sContent-Length: %d\r\nConnection: close\r\n\r\n%s", head, len(status), status)))
			m := feed.Member{VM: "another", Address: address}
			n := idleNode()
			_, err := n.requestStatus(t.Context(), m)
			must.ErrorContains(t, err, "violates HTTP")
			_, err = n.follow(t.Context(), m)
			must.ErrorContains(t, err, "violates HTTP")
			must.False(t, NewLender(n, nil).requestRetry(t.Context(), m, "lm"))
		})
	}
}
