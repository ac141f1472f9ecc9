package httpcheck

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// trailedBody is the body of a response that may have a trailer, which is known at the body's end.
type trailedBody struct {
	io.ReadCloser
	res *http.Response
}

// Read implements io.Reader. A trailer that violates HTTP is an error in place of the end.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if invalid, ok := errors.AsType[textproto.ProtocolError](err); ok {
		return n, violationf("its trailer has a %s", string(invalid)[:min(len(invalid), maxQuotedBytes)])
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name := range b.res.Trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return n, violationf("the name of a field in its trailer is %q", name[:min(len(name), maxQuotedBytes)])
		}
	}
	return n, err
}
