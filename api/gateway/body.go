package gateway

import (
	"context"
	"io"

	"github.com/vaneyoke/vaneyoke/shell/relay"
)

// bodyReader accounts for a request's body while it is read, and reads no further while the node holds too much.
type bodyReader struct {
	io.Reader
	ctx    context.Context
	buffer *relay.Buffer
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n == 0 {
		return n, err
	}
	if failed := b.buffer.Receive(b.ctx, n); failed != nil {
		return n, failed
	}
	return n, err
}
