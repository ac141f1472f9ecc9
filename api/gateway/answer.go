package gateway

import (
	"context"
	"errors"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// responder writes a session's answer to one caller.
type responder struct {
	*call
	writeTimeout time.Duration // longest time that the caller may take to read one write
	control      *http.ResponseController
	session      *relay.Session
	stream       bool // whether the answer is an event stream
	sent         int  // bytes of the answer that were written
}

// serve forwards the answer until it ends or the caller disconnects.
func (a *responder) serve(ctx context.Context) {
	defer a.session.Abandon() // stop may come before the call of the function that it unregisters
	stop := abandonOnDisconnect(ctx, a.session)
	defer stop()
	if a.stream {
		a.writeEvents(ctx)
		return
	}
	result, err := a.session.Wait(ctx)
	if err != nil {
		panic(a.callerGone(err))
	}
	a.writeResult(result)
}

// writeResult writes the answer in one body.
func (a *responder) writeResult(result relay.Result) {
	if result.Code != vaneyoke.CodeOK {
		a.writeError(result)
		return
	}
	a.write(a.session.Head(), a.session.Text())
}

func (a *responder) write(head forward.Head, body []byte) {
	copyHeader(a.http.Header(), head.Header)
	a.announceClose()
	a.http.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.http.WriteHeader(head.Status)
	for offset := 0; offset < len(body); {
		n := min(len(body)-offset, maxWrite)
		if err := a.writePiece(body[offset : offset+n]); err != nil {
			panic(a.writeFailed(err))
		}
		offset += n
		a.sent = offset
		a.session.Delivered(offset)
	}
}

// maxWrite is the largest part of a body that is written at once.
const maxWrite = 64 << 10

// errCutOff says that the caller was cut off because it does not read.
var errCutOff = errors.New("the caller was cut off")

// writePiece writes a part of the answer, which the caller must take within the write timeout.
func (a *responder) writePiece(p []byte) error {
	if a.isCut.Load() {
		return errCutOff
	}
	_ = a.control.SetWriteDeadline(time.Now().Add(a.writeTimeout))
	_, err := a.http.Write(p)
	a.recordTimeout(err)
	return err
}

// writeAndFlush writes events and hands them to the system.
func (a *responder) writeAndFlush(p []byte) error {
	if err := a.writePiece(p); err != nil {
		return err
	}
	err := a.control.Flush()
	a.recordTimeout(err)
	return err
}

// recordTimeout records that the caller is cut off if it did not take a part of the answer in time.
func (a *responder) recordTimeout(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && !a.isCut.Load() {
		a.buffer.CutOff(err)
	}
}

func (a *responder) callerGone(err error) serve.AbortError {
	return serve.AbortError{Cause: serve.AbortCallerGone, Code: vaneyoke.CodeCallerGone, Err: err}
}

func (a *responder) writeFailed(err error) serve.AbortError {
	unread, whole := a.session.Unread(a.sent)
	return serve.AbortError{Cause: serve.AbortWriteFailed, Code: vaneyoke.CodeCallerGone, Err: err, Unread: unread, Whole: whole}
}

// writeEvents forwards events as they arrive.
func (a *responder) writeEvents(ctx context.Context) {
	for {
		text, result, err := a.session.Read(ctx, a.sent)
		if err != nil {
			panic(a.callerGone(err))
		}
		if result.Ended {
			a.endStream(result)
			return
		}
		if a.sent == 0 {
			copyHeader(a.http.Header(), a.session.Head().Header)
			a.announceClose()
			a.http.WriteHeader(a.session.Head().Status)
		}
		if err := a.writeAndFlush(text); err != nil {
			aborted := a.writeFailed(err)
			a.session.Abandon()
			panic(aborted)
		}
		a.sent += len(text)
		a.session.Delivered(a.sent)
	}
}

// endStream ends a stream. An incomplete one is aborted, so that the caller does not take it for complete.
func (a *responder) endStream(result relay.Result) {
	switch {
	case result.Code == vaneyoke.CodeOK && a.sent == 0:
		a.write(a.session.Head(), nil)
	case result.Code == vaneyoke.CodeOK:
	case a.sent == 0:
		a.writeError(result)
	case result.Code == vaneyoke.CodeCallerGone: // the session may end before Read notices that the caller left
		panic(a.callerGone(result.Err()))
	default:
		panic(serve.AbortError{Cause: serve.AbortInterrupted, Code: result.Code, Err: result.Err()})
	}
}

// writeError writes an error response; the upstream's own error response takes precedence over the node's.
func (a *responder) writeError(result relay.Result) {
	if head, body, ok := a.session.LastFailure(); ok {
		a.write(head, body)
		return
	}
	a.announceClose()
	writeFailure(a.http, result.Code, result.RetryAfter, result.Err().Error())
}

// statusOf returns the HTTP status for a code. A 503 guarantees that the request was not run and will not be.
func statusOf(code vaneyoke.Code) int {
	info := code.Info()
	switch {
	case code == vaneyoke.CodeUnknownModel:
		return http.StatusServiceUnavailable
	case info.Status == http.StatusServiceUnavailable && !info.NotRun:
		return http.StatusBadGateway
	case info.Status < http.StatusBadRequest || info.Status >= 600:
		return http.StatusBadGateway
	case code == vaneyoke.CodeCallerGone:
		return http.StatusBadGateway
	default:
		return info.Status
	}
}

// WriteError writes the response to a request whose handler panicked.
func WriteError(w http.ResponseWriter, err error) {
	code := vaneyoke.CodeOf(err)
	writeFailure(w, code, 0, code.Info().Text)
}

// writeFailure writes the node's own error response. Retry-After is in seconds and may be fractional.
func writeFailure(w http.ResponseWriter, code vaneyoke.Code, retryAfter time.Duration, text string) {
	header, status := w.Header(), statusOf(code)
	if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && (!code.IsFinal() || retryAfter > 0) {
		if retryAfter <= 0 {
			retryAfter = defaultRetryAfter
		}
		seconds := math.Ceil(retryAfter.Seconds()*1000) / 1000
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

// announceClose tells the caller if its connection will be closed after the response.
func (a *responder) announceClose() {
	if a.caller.WillClose() {
		a.http.Header().Set("Connection", "close")
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
