package engine

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against tokens that are taken for others, because an event is given the id of another one, or a mixture of two.
func TestTokensAreTakenForOthers(t *testing.T) {
	const tokens = 5
	data := func(n int) string {
		return fmt.Sprintf(`{"choices":[{"token_ids":[%d],"text":"%c"}]}`, n, 'a'+n-1)
	}
	cases := map[string]func(n int) string{
		"id first":                    func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, data(n)) },
		"no id":                       func(n int) string { return fmt.Sprintf("data: %s\n\n", data(n)) },
		"id after the data":           func(n int) string { return fmt.Sprintf("data: %s\nid: %d\n\n", data(n), n) },
		"id before and after":         func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\nid: %d\n\n", n, data(n), n) },
		"id in a keep-alive before":   func(n int) string { return fmt.Sprintf("id: %d\n\nid: %d\ndata: %s\n\n", n-1, n, data(n)) },
		"id in a keep-alive after":    func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\nid: %d\n\n", n, data(n), n) },
		"id only in a keep-alive":     func(n int) string { return fmt.Sprintf("data: %s\n\nid: %d\n\n", data(n), n) },
		"two ids":                     func(n int) string { return fmt.Sprintf("id: %d\nid: %d\ndata: %s\n\n", 0, n, data(n)) },
		"two ids, the first of a run": func(n int) string { return fmt.Sprintf("id: %d\nid: %d\ndata: %s\n\n", n, n, data(n)) },
		"every second without id": func(n int) string {
			if n%2 == 0 {
				return fmt.Sprintf("data: %s\n\n", data(n))
			}
			return fmt.Sprintf("id: %d\ndata: %s\n\n", n, data(n))
		},
		"every second id after the data": func(n int) string {
			if n%2 == 0 {
				return fmt.Sprintf("data: %s\nid: %d\n\n", data(n), n)
			}
			return fmt.Sprintf("id: %d\ndata: %s\n\n", n, data(n))
		},
		"zeros before": func(n int) string { return fmt.Sprintf("id: %03d\ndata: %s\n\n", n, data(n)) },
		"a plus":       func(n int) string { return fmt.Sprintf("id: +%d\ndata: %s\n\n", n, data(n)) },
		"a minus":      func(n int) string { return fmt.Sprintf("id: -%d\ndata: %s\n\n", n, data(n)) },
		"below one":    func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n-3, data(n)) },
		"in CR LF":     func(n int) string { return fmt.Sprintf("id: %d\r\ndata: %s\r\n\r\n", n, data(n)) },
		"comments":     func(n int) string { return fmt.Sprintf(": alive\n\nid: %d\n: alive\ndata: %s\n\n", n, data(n)) },
		"an event":     func(n int) string { return fmt.Sprintf("event: token\nid: %d\ndata: %s\n\n", n, data(n)) },
	}
	for name, event := range cases {
		t.Run(name, func(t *testing.T) {
			var b strings.Builder
			for n := 1; n <= tokens; n++ {
				b.WriteString(event(n))
			}
			s := newStream(io.NopCloser(strings.NewReader(b.String())), 0, 0)
			for {
				message, err := s.Next()
				if err != nil {
					t.Log(err)
					return
				}
				if m, ok := message.(*Tokens); ok {
					must.EqOp(t, string(rune('a'+m.Batch.First)), string(m.Batch.Text), must.Sprint("token ", m.Batch.First))
				}
			}
		})
	}
}

// Guards against an answer in one body that nothing frames, that ends within it and is taken for whole.
func TestAnswerInOneBodyIsClosedEarly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 64<<10))
		_ = l.Close() // the process ends
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"choices\":[{\"te")
		_ = conn.Close()
	}()
	answer, err := New(http.DefaultClient, http.DefaultClient).Call(t.Context(), "http://"+l.Addr().String()+"/v1/completions", "r", []byte("{}"))
	must.Error(t, err, must.Sprint(string(answer.Body)))
}
