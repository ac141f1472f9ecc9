package node

import (
	"expvar"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

func TestStoreCallCounter(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			w.WriteHeader(http.StatusTooManyRequests)
		}
	}))
	total := new(expvar.Map).Init()
	client := &http.Client{Transport: &storeCallCounter{next: http.DefaultTransport, total: total}}
	get := func(path string) {
		res, err := client.Get(server.URL + path)
		if err == nil {
			_ = res.Body.Close()
		}
	}
	get("/rows?table=a")
	get("/rows?table=b")
	get("/busy")
	server.Close()
	get("/rows")
	for key, want := range map[string]string{"/rows 200": "2", "/busy 429": "1", "/rows failed": "1"} {
		must.NotNil(t, total.Get(key), must.Sprint(key))
		must.EqOp(t, want, total.Get(key).String())
	}
}

// TestStoreCallCounterClosesIdleConnections checks that the counter forwards CloseIdleConnections to the transport that it wraps.
func TestStoreCallCounterClosesIdleConnections(t *testing.T) {
	next := &idleCloser{}
	client := &http.Client{Transport: &storeCallCounter{next: next, total: new(expvar.Map).Init()}}
	client.CloseIdleConnections()
	must.EqOp(t, 1, next.closed)
}

// idleCloser counts the calls of CloseIdleConnections.
type idleCloser struct {
	http.RoundTripper
	closed int
}

func (c *idleCloser) CloseIdleConnections() { c.closed++ }
