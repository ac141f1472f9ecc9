package relay_test

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/internal/rawserver"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/engine"
)

// answerHTTP returns the address of an upstream that answers each request with raw bytes, and the count of requests but for those that end a run.
func answerHTTP(t *testing.T, answer func(r *http.Request) string) (address string, requests *atomic.Int64) {
	requests = new(atomic.Int64)
	return rawserver.Start(t, func(r *http.Request) (string, bool) {
		if r.Method == http.MethodPost {
			requests.Add(1)
		}
		return answer(r), false
	}), requests
}

// newBrokenRelay returns a relay whose first upstream is at one address, and all further ones at another.
func newBrokenRelay(t *testing.T, broken, sound string) *relay.Relay {
	dial := func(ctx context.Context, network, host string) (net.Conn, error) {
		address := sound
		if host == "a:80" {
			address = broken
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	config := relay.Config{Generation: generation.DefaultConfig(), UnaryTimeout: time.Minute, CallSilence: time.Minute}
	r := relay.New(engine.New(client, client), nil, &sequentialPlacer{}, noop.NewTracerProvider().Tracer(""), relay.NewMetrics(new(expvar.Map).Init()), log, config)
	t.Cleanup(r.Close)
	return r
}

// Guards against calls and generations of the caller API that end with an upstream's answer which is no HTTP, though another upstream has a sound one; of
// a call that may run once its caller is told that it may have run.
func TestBrokenHeadEndsACall(t *testing.T) {
	const whole = `{"text":"whole"}`
	for _, head := range []string{
		"000 None\r\n", "042 Low\r\n", "101 Switching Protocols\r\n", "200 OK\r\nX Note: y\r\n", "200 OK\r\nContent-Length : 5\r\n", "400 Bad\r\nX-Note : y\r\n",
		"404 None\r\nX Note: y\r\n", "429 Many\r\nX Note: y\r\n", "503 Full\r\nX Note: y\r\n",
	} {
		t.Run(head, func(t *testing.T) {
			for kind, repeatable := range map[string]bool{"may run again": true, "may not run again": false} {
				broken, attempts := answerHTTP(t, func(*http.Request) string { return "HTTP/1.1 " + head + "Connection: close\r\n\r\nof a broken answer" })
				sound, further := answerHTTP(t, func(*http.Request) string {
					return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(whole), whole)
				})
				r := newBrokenRelay(t, broken, sound)
				session := r.Call(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: repeatable, ReceivedAt: time.Now()}, "shop", "/look", []byte("{}"))
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, 1, attempts.Load())
				if !repeatable {
					must.EqOp(t, vaneyoke.CodeMayHaveRun, result.Code, must.Sprint(kind, string(session.Answer().Body)))
					must.Zero(t, further.Load())
					continue
				}
				must.EqOp(t, vaneyoke.CodeOK, result.Code, must.Sprint(kind))
				must.EqOp(t, whole, string(session.Answer().Body))
			}
		})
	}
}

// Guards against a stream of the caller API that ends, or is refused, with an upstream's answer which is no HTTP, at its start or where it is resumed.
func TestBrokenHeadEndsAStream(t *testing.T) {
	event := func(n int, end string) string {
		return fmt.Sprintf("id: %d\ndata: {\"prompt_token_ids\":[7],\"choices\":[{\"token_ids\":[%d],\"text\":\"%d\",\"finish_reason\":%q}]}\n\n", n, n, n, end)
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(event(1, "")), event(1, "")) // breaks off
	for _, status := range []string{"000 None\r\n", "101 Switching Protocols\r\n", "200 OK\r\nX Note: y\r\n", "400 Bad\r\nX Note: y\r\n", "404 None\r\nX-Note : y\r\n", "410 Gone\r\nX Note: y\r\n"} {
		for name, begins := range map[string]string{"at its start": "", "where it is resumed": chunked} {
			t.Run(status+name, func(t *testing.T) {
				first := true
				broken, _ := answerHTTP(t, func(*http.Request) string {
					if isFirst := first; isFirst && begins != "" {
						first = false
						return begins
					}
					return "HTTP/1.1 " + status + "Connection: close\r\n\r\n" + event(1, "") + event(2, "") + event(3, "stop")
				})
				sound, _ := answerHTTP(t, func(r *http.Request) string {
					switch {
					case r.URL.Path == engine.PathDetokenize:
						return "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nConnection: close\r\n\r\n{\"prompt\":\"1\"}"
					case begins != "": // it goes on after the first token
						return head + event(1, "stop")
					default:
						return head + event(1, "") + event(2, "stop")
					}
				})
				r := newBrokenRelay(t, broken, sound)
				req := &vaneyoke.Request{ID: "r", Model: "m", Repeatable: true, Continuable: true, Endpoint: vaneyoke.EndpointCompletions, Prompt: []vaneyoke.TokenID{7}, Fields: vaneyoke.Fields{}, MaxTokens: 10, ReceivedAt: time.Now()}
				result, err := r.Generate(t.Context(), req).Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code, must.Sprint(result))
				must.EqOp(t, 2, result.Usage.Completion)
			})
		}
	}
}
