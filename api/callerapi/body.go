package callerapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke/api/serve"
)

// refusedReadTime is for how long the node reads what the caller of a refused request still sends.
const refusedReadTime = 30 * time.Second

// Stop refuses the requests whose bodies are not complete. The directory must not be ready any more.
func (a *API) Stop() { a.beginStop() }

// refuseIncomplete has requests refused whose bodies are not complete when the node stops: they would be refused with their last byte, and one that never
// comes holds up the stop.
func (a *API) refuseIncomplete(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, caller: serve.CallerOf(r.Context()), control: http.NewResponseController(w), ready: a.directory.Ready}
		defer context.AfterFunc(a.stopBegun, b.interrupt)()
		copied := r.WithContext(r.Context()) // a copy, since the server relies on the body of the original
		copied.Body = b
		next.ServeHTTP(w, copied)
	})
}

// body is the body of a request, whose reading ends when the node stops.
type body struct {
	io.ReadCloser
	caller  serve.Caller
	control *http.ResponseController
	ready   func() error

	mu            sync.Mutex
	ended         bool // whether it has been read to its end, or an error
	isInterrupted bool
}

// Read implements io.Reader. Once the reading is interrupted, the error says why the node takes no requests.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	if b.isInterrupted && errors.Is(err, os.ErrDeadlineExceeded) {
		if refusal := b.ready(); refusal != nil {
			b.caller.ReadUntil(time.Now().Add(refusedReadTime))
			return n, refusal
		}
	}
	return n, err
}

// interrupt ends the reading, unless the body is complete.
func (b *body) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.isInterrupted = true
		_ = b.control.SetReadDeadline(time.Now()) // it fails only on a closed connection, which the next read finds out
	}
}
