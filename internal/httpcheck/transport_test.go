package httpcheck_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/httpcheck"
)

// rawServer answers the requests of each connection in order with raw bytes.
type rawServer struct {
	url      string
	accepted atomic.Int64 // connections
}

// startServer starts a server that sends the answer to each request, by its number on its connection. The connection is closed after an empty answer.
func startServer(t *testing.T, answer func(n int, send func(string))) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return serve(t, l, "http://"+l.Addr().String(), answer)
}

func serve(t *testing.T, l net.Listener, url string, answer func(n int, send func(string))) *rawServer {
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{url: url}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				for r, n := bufio.NewReader(conn), 1; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					answer(n, func(text string) { _, err = io.WriteString(conn, text) })
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return s
}

func newClient() *http.Client { return httpcheck.Client(&http.Client{Transport: &http.Transport{}}) }

// get returns the body of the answer to a request.
func get(client *http.Client, url string) (string, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, nil)
	if err != nil {
		return "", err
	}
	res, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

func mustViolate(t *testing.T, err error) {
	t.Helper()
	_, ok := errors.AsType[*httpcheck.ViolationError](err)
	must.True(t, ok, must.Sprint(err))
}

const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

// brokenAnswers are answers that are no HTTP. They have no body, so that package net/http keeps the connection of each before anyone has its head.
var brokenAnswers = map[string]string{
	"status 000":      "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
	"blank in a name": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\nContent-Length: 0\r\n\r\n",
	"no content":      "HTTP/1.1 204 None\r\nX Note: y\r\n\r\n",
	"interim answer":  "HTTP/1.1 103 Hints\r\nX Note: y\r\n\r\n" + soundAnswer,
}

// Guards against a connection that is used again after an answer that is no HTTP, so that the next request gets what follows it.
func TestConnectionOfABrokenAnswerIsUsedAgain(t *testing.T) {
	for name, broken := range brokenAnswers {
		for after, earlier := range map[string]int{"first": 1, "third": 3} {
			for kind, follow := range map[string]func(send func(string)){
				"at once": func(send func(string)) { send(broken + "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother") },
				"later": func(send func(string)) {
					send(broken)
					time.Sleep(20 * time.Millisecond)
					send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother")
				},
			} {
				t.Run(name+", "+after+", what follows comes "+kind, func(t *testing.T) {
					t.Parallel()
					var spoiled atomic.Bool
					server := startServer(t, func(n int, send func(string)) {
						if n == earlier && spoiled.CompareAndSwap(false, true) {
							follow(send)
							return
						}
						send(soundAnswer)
					})
					client := newClient()
					for n := 1; n <= 6; n++ {
						body, err := get(client, server.url)
						if n == earlier {
							mustViolate(t, err)
							continue
						}
						must.NoError(t, err)
						must.EqOp(t, "sound", body)
					}
					must.EqOp(t, 2, server.accepted.Load())
				})
			}
		}
	}
}

// Guards against a request that waits for a connection and gets what follows another request's answer that is no HTTP.
func TestWaitingRequestGetsWhatFollowsABrokenAnswer(t *testing.T) {
	for name, broken := range brokenAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, func(_ int, send func(string)) { send(broken + soundAnswer) })
			client := httpcheck.Client(&http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}})
			var wg sync.WaitGroup
			errs := make(chan error, 200)
			for range cap(errs) {
				wg.Go(func() {
					_, err := get(client, server.url)
					errs <- err
				})
			}
			wg.Wait()
			close(errs)
			for err := range errs {
				mustViolate(t, err)
			}
		})
	}
}

// Guards against a request that is sent again, on a new connection, because the answer on a kept one is no HTTP: it may have run.
func TestRequestOfABrokenAnswerIsSentAgain(t *testing.T) {
	var requests atomic.Int64
	server := startServer(t, func(n int, send func(string)) {
		requests.Add(1)
		if n > 1 {
			send("HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n")
			return
		}
		send(soundAnswer)
	})
	client := newClient()
	_, err := get(client, server.url)
	must.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.url, nil)
	must.NoError(t, err)
	_, err = client.Do(req)
	mustViolate(t, err)
	must.EqOp(t, 2, requests.Load())
}

// Guards against answers over TLS that are not checked, or cannot be had.
func TestBrokenAnswerOverTLSPasses(t *testing.T) {
	trusted := httptest.NewTLSServer(http.NotFoundHandler())
	defer trusted.Close()
	config := trusted.TLS.Clone()
	config.NextProtos = []string{"h2", "http/1.1"}
	for name, tc := range map[string]struct {
		answer string
		broken bool
	}{
		"sound": {soundAnswer, false}, "status 000": {brokenAnswers["status 000"], true}, "blank in a name": {brokenAnswers["blank in a name"], true},
	} {
		for _, isHTTP2Wanted := range []bool{false, true} {
			l, err := tls.Listen("tcp", "127.0.0.1:0", config)
			must.NoError(t, err)
			server := serve(t, l, "https://"+l.Addr().String(), func(_ int, send func(string)) { send(tc.answer) })
			transport := trusted.Client().Transport.(*http.Transport).Clone()
			transport.ForceAttemptHTTP2 = isHTTP2Wanted
			client := httpcheck.Client(&http.Client{Transport: transport})
			for range 3 {
				body, err := get(client, server.url)
				if tc.broken {
					mustViolate(t, err)
					continue
				}
				must.NoError(t, err, must.Sprint(name))
				must.EqOp(t, "sound", body)
			}
			if !tc.broken {
				must.EqOp(t, 1, server.accepted.Load())
			}
		}
		_, err := get(newClient(), trusted.URL)
		must.ErrorContains(t, err, "certificate")
	}
}

// Guards against trailers that are no HTTP and pass, and against long ones that take an error's text.
func TestBrokenTrailerPasses(t *testing.T) {
	for trailer, broken := range map[string]bool{
		"": false, "X-Note: y\r\n": false, "X Note: y\r\n": true, "X-Note : y\r\n": true, "X-\x01Note: y\r\n": true,
		strings.Repeat("x", 1000) + " : y\r\n": true, "X-Note: " + strings.Repeat("y", 1000) + "\x01\r\n": true,
	} {
		server := startServer(t, func(_ int, send func(string)) {
			send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n" + trailer + "\r\n")
		})
		client := newClient()
		for range 2 {
			body, err := get(client, server.url)
			must.EqOp(t, "sound", body)
			if !broken {
				must.NoError(t, err)
				continue
			}
			mustViolate(t, err)
			must.Less(t, 200, len(err.Error()))
		}
	}
}

// BenchmarkRoundTrip measures a request on a kept connection with and without the check.
func BenchmarkRoundTrip(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sound") }))
	defer server.Close()
	for name, client := range map[string]*http.Client{"plain": {Transport: &http.Transport{}}, "checked": newClient()} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := get(client, server.URL); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
