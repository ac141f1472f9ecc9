package node

import (
	"expvar"
	"net/http"
	"strconv"
)

// storeCallCounter is an http.RoundTripper that counts the calls to the store by path and outcome: the status, or "failed" without a response.
type storeCallCounter struct {
	next  http.RoundTripper
	total *expvar.Map
}

// RoundTrip executes a call and counts it.
func (c *storeCallCounter) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := c.next.RoundTrip(req)
	outcome := "failed"
	if err == nil {
		outcome = strconv.Itoa(res.StatusCode)
	}
	c.total.Add(req.URL.Path+" "+outcome, 1)
	return res, err
}

// CloseIdleConnections closes idle connections, whose state the store may have lost.
func (c *storeCallCounter) CloseIdleConnections() {
	if closer, ok := c.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
