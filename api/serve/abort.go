package serve

import (
	"net/http"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// AbortCause is the reason why a response was not completed; its text is logged.
type AbortCause string

// The reasons.
const (
	AbortCallerGone  AbortCause = "caller_gone"  // the context of the request ended
	AbortInterrupted AbortCause = "interrupted"  // the answer ended midway; the code says why
	AbortWriteFailed AbortCause = "write_failed" // the connection did not take a part of the response
	AbortPanicked    AbortCause = "panicked"     // the handler panicked after its response had begun
	AbortByHandler   AbortCause = "by_handler"   // the handler panicked with http.ErrAbortHandler
)

// AbortError ends a response if a handler panics with it: the connection is closed, so that the response does not look complete.
type AbortError struct {
	Cause AbortCause
	Code  vaneyoke.Code // with which the answer ended; CodeOK for none
	Err   error         // nil for none
	// Unread is how many bytes of the answer the node still held for the caller, and Whole whether it had received the whole of it.
	Unread int
	Whole  bool
}

// Error implements error.
func (e AbortError) Error() string {
	text := "the response is aborted: " + string(e.Cause)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e AbortError) Unwrap() error { return e.Err }

// Abort describes a request whose caller got no complete response.
type Abort struct {
	AbortError
	Request   string // id of the request; "" if the handler has not set one
	Host      string
	Path      string
	SentBytes int64         // of the body that were written
	Age       time.Duration // since the handler began
	BodyAge   time.Duration // from then until the last byte of the request's body was read, -1 if it was not
	ConnAge   time.Duration // since the connection was opened; 0 if that is unknown
}

// abort reports that a response is aborted, and closes its connection.
func (s *Server) abort(w *response, r *http.Request, err AbortError) {
	if s.config.OnAbort != nil {
		caller, now := CallerOf(r.Context()), time.Now()
		a := Abort{AbortError: err, Request: caller.requestID(), Host: r.Host, Path: r.URL.Path, SentBytes: w.sent, Age: now.Sub(w.started), BodyAge: w.requestBody.age(w.started)}
		if opened := caller.OpenedAt(); !opened.IsZero() {
			a.ConnAge = now.Sub(opened)
		}
		s.config.OnAbort(a)
	}
	panic(http.ErrAbortHandler)
}
