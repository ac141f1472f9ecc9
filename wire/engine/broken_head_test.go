package engine

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/internal/rawserver"
)

// brokenHeads are the first bytes of answers that are no HTTP.
var brokenHeads = map[string]string{
	"status 000":               "HTTP/1.1 000 None\r\n",
	"status 042":               "HTTP/1.1 042 Low\r\n",
	"status 101":               "HTTP/1.1 101 Switching Protocols\r\n",
	"status 600":               "HTTP/1.1 600 High\r\n",
	"blank in a name, 200":     "HTTP/1.1 200 OK\r\nX Note: y\r\n",
	"blank in a name, 400":     "HTTP/1.1 400 Bad\r\nX Note: y\r\n",
	"blank in a name, 404":     "HTTP/1.1 404 None\r\nX Note: y\r\n",
	"blank in a name, 410":     "HTTP/1.1 410 Gone\r\nX-Note : y\r\n",
	"blank in a name, 429":     "HTTP/1.1 429 Many\r\nRetry-After: 3\r\nX-Note : y\r\n",
	"blank in a name, 503":     "HTTP/1.1 503 Full\r\nRetry-After: 3\r\n X-Note: y\r\n",
	"length with a blank":      "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n",
	"chunks with a blank":      "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"redirect with a blank":    "HTTP/1.1 307 Elsewhere\r\nLocation: /elsewhere\r\nX Note: y\r\n",
	"control byte in a name":   "HTTP/1.1 200 OK\r\nX-\x01Note: y\r\n",
	"interim answer, blank":    "HTTP/1.1 103 Hints\r\nX Note: y\r\n\r\nHTTP/1.1 200 OK\r\n",
	"blank after interim ones": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Note : y\r\n",
}

// startBroken starts an engine whose answers have a broken head, no body, and what would be a sound answer behind them.
func startBroken(t *testing.T, head string) (url string, requests *atomic.Int64) {
	requests = new(atomic.Int64)
	address := rawserver.Start(t, func(*http.Request) (string, bool) {
		requests.Add(1)
		return head + "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", true
	})
	return "http://" + address, requests
}

// Guards against an engine's answer that is no HTTP and is taken for an answer, a refusal, "not run" or "not known", or for a sign that its process runs.
func TestBrokenHeadIsTakenForAnAnswer(t *testing.T) {
	for name, head := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			url, requests := startBroken(t, head)
			client := New(&http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
			run := openai.EngineRequest{Path: "/v1/completions"}
			sends := map[string]func() error{
				"call":      func() error { _, err := client.Call(t.Context(), url+"/look", "r", []byte("{}")); return err },
				"call once": func() error { _, err := client.CallOnce(t.Context(), url+"/buy", "r", []byte("{}")); return err },
				"start":     func() error { _, err := client.Start(t.Context(), url, "r.1.1", run, 0, false); return err },
				"start that may be sent again": func() error {
					_, err := client.Start(t.Context(), url, "r.1.2", run, 0, true)
					return err
				},
				"resume": func() error { _, err := client.Resume(t.Context(), url, "r.1.1", 0, 3); return err },
				"cancel": func() error { return client.Cancel(t.Context(), url, "r.1.1") },
				"tail": func() error {
					_, err := client.IncompleteTokens(t.Context(), url, "m", []vaneyoke.TokenID{1, 2})
					return err
				},
			}
			for kind, send := range sends {
				for range 3 {
					before := requests.Load()
					err := send()
					_, malformed := errors.AsType[*MalformedError](err)
					_, closed := errors.AsType[*ClosedError](err)
					must.True(t, malformed || closed, must.Sprint(kind, ": ", err))
					must.EqOp(t, before+1, requests.Load(), must.Sprint(kind))
				}
			}
			must.False(t, client.Reachable(t.Context(), url))
		})
	}
}

// Guards against an engine's answer whose trailer is no HTTP and is taken for an answer, or for a refusal.
func TestBrokenTrailerIsTakenForAnAnswer(t *testing.T) {
	for _, status := range []string{"200 OK", "400 Bad", "410 Gone", "503 Full"} {
		for _, trailer := range []string{"X Note: y", "X-Note : y", "X-\x01Note: y"} {
			t.Run(status+", "+trailer, func(t *testing.T) {
				url := "http://" + rawserver.Start(t, rawserver.Once("HTTP/1.1 "+status+"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"+trailer+"\r\n\r\n"))
				client := New(http.DefaultClient, http.DefaultClient)
				_, err := client.CallOnce(t.Context(), url, "r", nil)
				_, closed := errors.AsType[*ClosedError](err)
				must.True(t, closed, must.Sprint(err))
				if status == "200 OK" || status == "410 Gone" {
					return // no body is read of a stream that is not known
				}
				_, err = client.Resume(t.Context(), url, "r.1.1", 0, 0)
				_, closed = errors.AsType[*ClosedError](err)
				must.True(t, closed, must.Sprint(err))
			})
		}
	}
}
