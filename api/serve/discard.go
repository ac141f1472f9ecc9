package serve

import (
	"io"
	"net/http"
	"time"
)

// Limits for reading the rest of a request body that the handler did not read. Closing a connection with unread bytes
// resets it, and the caller would not get the response.
const (
	discardTimeout  = 2 * time.Second
	maxDiscardBytes = 128 << 20
)

// body tracks whether a request's body was read to its end.
type body struct {
	io.ReadCloser
	readStarted bool
	exhausted   bool // also set after an error, since nothing more can be read then
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.readStarted = true
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.exhausted = true
	}
	return n, err
}

// Close leaves the body open for discard, since a handler may close a body that it has not read; net/http closes it in the end.
func (b *body) Close() error { return nil }

// discard reads the rest of the body, up to the limits above. It skips a caller that sent Expect: 100-continue and was never
// asked for its body, since such a caller sends none after it has received the response.
func (b *body) discard(w http.ResponseWriter, r *http.Request) {
	if b.exhausted || r.ContentLength == 0 || (!b.readStarted && r.Header.Get("Expect") != "") {
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))               // cleared by package http once the body is read, and not to be set after that
	_ = control.Flush()                                                       // which may read the rest, too
	_, _ = io.Copy(io.Discard, io.LimitReader(b.ReadCloser, maxDiscardBytes)) // the connection is closed with what is left
}
