package serve

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Limits for reading the rest of a request body that the handler did not read, so that the connection can be used again.
const (
	discardTimeout  = 2 * time.Second
	maxDiscardBytes = 128 << 20
	discardWindow   = 64 << 10 // that the system receives ahead, so that a large body comes to its end in time
)

// body tracks whether a request's body was read to its end, and records in the phase of its connection that a handler waits for it.
type body struct {
	io.ReadCloser
	server      *Server
	conn        *conn // nil if it is unknown
	readStarted bool
	bytes       int       // that were read
	exhausted   bool      // also set after an error, since nothing more can be read then
	received    time.Time // when its end was read; zero if it has not been
}

func newBody(s *Server, c *conn, r *http.Request) *body {
	b := &body{ReadCloser: r.Body, server: s, conn: c}
	if r.ContentLength == 0 {
		b.received = time.Now()
	}
	return b
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if !b.readStarted {
		b.readStarted = true
		b.server.enter(b.conn, PhaseReceiving)
	}
	n, err := b.ReadCloser.Read(p)
	b.bytes += n
	b.conn.widen(b.bytes)
	if err != nil && !b.exhausted {
		b.exhausted = true
		b.conn.narrow()
		b.server.enter(b.conn, PhaseAnswering)
		if err == io.EOF { //nolint:errorlint // package http returns it as it is
			b.received = time.Now()
		}
	}
	return n, err
}

// age returns how long after a moment the end of the body was read, -1 if it has not been.
func (b *body) age(since time.Time) time.Duration {
	if b == nil || b.received.IsZero() {
		return -1
	}
	return max(b.received.Sub(since), 0)
}

// Close leaves the body open for discard, since a handler may close a body that it has not read; net/http closes it in the end.
func (b *body) Close() error { return nil }

// discard reads the rest of the body, up to the limits above. It skips a caller that sent Expect: 100-continue and was never
// asked for its body, since such a caller sends none after it has received the response.
func (b *body) discard(w http.ResponseWriter, r *http.Request) {
	if !b.received.IsZero() || (!b.readStarted && r.Header.Get("Expect") != "") {
		return
	}
	b.server.enter(b.conn, PhaseDiscarding)
	b.conn.openWindow(discardWindow)
	if !b.exhausted && b.discardInTime(http.NewResponseController(w)) {
		return
	}
	b.conn.lingerOnClose()
}

// discardInTime reads the rest of the body, and reports whether it came to its end.
func (b *body) discardInTime(control *http.ResponseController) bool {
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout)) // cleared by package http once the body is read, and not to be set after that
	_ = control.Flush()                                         // which may read the rest, too
	n, err := io.Copy(io.Discard, io.LimitReader(b.ReadCloser, maxDiscardBytes))
	return err == nil && n < maxDiscardBytes || errors.Is(err, http.ErrBodyReadAfterClose) // flushing has read the rest
}
