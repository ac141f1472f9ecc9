package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/vaneyoke/vaneyoke/process/settings"
)

// newTransport returns a transport that connects with dial, and reads no more of a head than the settings allow.
func newTransport(limits settings.Limits, dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{DialContext: dial, MaxResponseHeaderBytes: int64(limits.HeadBytes)}
}

// maxControlBytes is the largest body of a call between nodes, and of a response of the platform: twice the largest answer that is kept there.
const maxControlBytes = 64 << 20

// boundedBodies is an http.RoundTripper whose responses end with an error after maxControlBytes.
type boundedBodies struct{ http.RoundTripper }

// RoundTrip executes a request.
func (b boundedBodies) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := b.RoundTripper.RoundTrip(req)
	if err == nil {
		res.Body = &boundedBody{ReadCloser: res.Body, left: maxControlBytes}
	}
	return res, err
}

// CloseIdleConnections closes idle connections.
func (b boundedBodies) CloseIdleConnections() {
	if closer, ok := b.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// boundedBody is a body that ends with an error if it is too long.
type boundedBody struct {
	io.ReadCloser
	left int
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("the body is not complete after %d bytes, and no more are read", maxControlBytes)
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
