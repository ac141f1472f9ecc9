package fleet_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

// TestBodyOverTheLimitIsAnswered checks that callers and operators get an answer even if they send a far too large body completely before they read.
func TestBodyOverTheLimitIsAnswered(t *testing.T) {
	f := start(t, nil)
	const size = 64 << 20
	cases := map[string]struct{ url, method, path, key string }{
		"callers":   {f.Nodes[0].URL(), http.MethodPost, openai.PathChat, fleet.CallerKey},
		"operators": {f.Nodes[0].AdminURL(), http.MethodPut, "/v1/policies/large", fleet.OperatorKey},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(tc.url, "http://")) //nolint:noctx // nothing to cancel
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			must.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
			_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n"+
				"Content-Length: %d\r\n\r\n", tc.method, tc.path, tc.key, size)
			must.NoError(t, err)
			block := []byte(strings.Repeat(" ", 1<<20))
			for range size / len(block) {
				_, err = conn.Write(block)
				must.NoError(t, err)
			}
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			defer func() { _ = res.Body.Close() }()
			must.EqOp(t, http.StatusRequestEntityTooLarge, res.StatusCode)
			var failure struct {
				Error struct{ Type string } `json:"error"`
			}
			must.NoError(t, json.NewDecoder(res.Body).Decode(&failure))
			must.EqOp(t, "body_too_large", failure.Error.Type)
		})
	}
}
