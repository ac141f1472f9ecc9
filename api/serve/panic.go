package serve

import (
	"net/http"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/recovered"
)

// Panic describes a handler that panicked.
type Panic struct {
	Request  string // id of the request; "" if the handler has not set one
	Host     string
	Path     string
	Err      *recovered.Error
	Answered bool // whether the caller got an error response; otherwise its connection was closed in the middle of the response
}

// response is a handler's response; it records whether it has begun and how much of it was written.
type response struct {
	http.ResponseWriter
	request     *http.Request
	conn        *conn     // nil if it is unknown
	started     time.Time // when the handler began
	requestBody *body
	begun       bool
	flushed     bool
	sent        int64 // bytes of the body
	// isCloseDelimited is set if the end of the body is marked by that of the connection only, as for callers of HTTP/1.0, who know no chunks.
	isCloseDelimited bool
}

// bufferedBytes is up to which size of a body that was not flushed package http states its length.
const bufferedBytes = 2048

// begin records that the response begins. Where the end of the connection marks that of the body, the connection is to be reset unless finish is called, also
// if the process is killed: a plain close would make the body look complete.
func (r *response) begin(status int) {
	if r.begun || status < http.StatusOK {
		return
	}
	hasBody := r.request.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
	if hasBody && !r.request.ProtoAtLeast(1, 1) && r.Header().Get("Content-Length") == "" {
		r.isCloseDelimited = true
		r.conn.resetOnClose(true)
	}
}

// finish lets the connection of a whole response end plainly.
func (r *response) finish() error {
	if !r.isCloseDelimited {
		return nil
	}
	if r.flushed || r.sent > bufferedBytes {
		if err := r.FlushError(); err != nil {
			return err
		}
	}
	r.conn.resetOnClose(false)
	return nil
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	r.begin(status)
	r.ResponseWriter.WriteHeader(status) // panics if the status is invalid
	r.begun = r.begun || status >= http.StatusOK
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	r.begin(http.StatusOK)
	r.begun = true
	n, err := r.ResponseWriter.Write(p)
	r.sent += int64(n)
	return n, err
}

// Flush implements http.Flusher.
func (r *response) Flush() { _ = r.FlushError() }

// FlushError is called by http.ResponseController.
func (r *response) FlushError() error {
	r.begin(http.StatusOK)
	r.begun, r.flushed = true, true
	return http.NewResponseController(r.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// run calls the handler. If it panics before its response has begun, the caller gets an error response in its place, and the connection goes on. Otherwise,
// and after an AbortError, the connection is closed, so that the response does not look complete.
func (s *Server) run(w *response, r *http.Request) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if value == http.ErrAbortHandler { //nolint:errorlint // package http compares it in the same way
			s.abort(w, r, AbortError{Cause: AbortByHandler})
		}
		if aborted, ok := value.(AbortError); ok { //nolint:errorlint // a panic's value is not wrapped
			s.abort(w, r, aborted)
		}
		err := recovered.New(value)
		if s.config.OnPanic != nil {
			s.config.OnPanic(Panic{Request: CallerOf(r.Context()).requestID(), Host: r.Host, Path: r.URL.Path, Err: err, Answered: !w.begun})
		}
		if w.begun {
			s.abort(w, r, AbortError{Cause: AbortPanicked, Code: vaneyoke.CodeInternal, Err: err})
		}
		s.writeError(w, vaneyoke.WrapErr(vaneyoke.CodeInternal, err, "the handler of the request panicked"))
	}()
	s.handler.ServeHTTP(w, r)
}

// writeError writes an error response without the headers that the handler has set for its own; a handler's decision to close the connection holds.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	connection := w.Header().Values("Connection")
	clear(w.Header())
	for _, value := range connection {
		w.Header().Add("Connection", value)
	}
	if s.config.WriteError != nil {
		s.config.WriteError(w, err)
		return
	}
	info := vaneyoke.CodeOf(err).Info()
	http.Error(w, info.Text, info.Status)
}
