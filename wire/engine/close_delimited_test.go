package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// serveOnce answers the first request with a body that ends with its connection, and answers further ones only if the process serves on.
func serveOnce(t *testing.T, head, body string, servesOn bool) (url string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				_ = conn.Close()
				continue
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if first && !servesOn {
				_ = listener.Close()
			}
			if !first {
				head, body = "Content-Length: 0\r\n", ""
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Connection: close\r\n\r\n"+body)
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against answers that count as whole although the process that gave them ended within them, and against whole ones that do not.
func TestAnswerOfAnEndedProcessCountsAsWhole(t *testing.T) {
	for name, tc := range map[string]struct {
		head     string
		servesOn bool
		isWhole  bool
	}{
		"process ended":                {},
		"process serves on":            {servesOn: true, isWhole: true},
		"process ended, length stated": {head: "Content-Length: 4\r\n", isWhole: true},
	} {
		t.Run(name, func(t *testing.T) {
			client := New(&http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
			url := serveOnce(t, tc.head, "half", tc.servesOn) + "/do"
			answer, err := client.CallOnce(t.Context(), url, "r", nil)
			if !tc.isWhole {
				must.Error(t, err)
				return
			}
			must.NoError(t, err)
			must.EqOp(t, "half", string(answer.Body))
		})
	}
}
