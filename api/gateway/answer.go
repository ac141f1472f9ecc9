package gateway

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// answer gives a session's answer to one caller.
type answer struct {
	*call
	writeTimeout time.Duration // longest time that the caller may take to read a piece
	control      *http.ResponseController
	session      *relay.Session
	stream       bool // whether the answer is a series of events
}

// give passes the answer on until it has ended or its caller has left.
func (a *answer) give(ctx context.Context) {
	stop := watchCaller(ctx, a.session)
	defer stop()
	if a.stream {
		a.passOn(ctx)
		return
	}
	result, err := a.session.Wait(ctx)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a.whole(result)
}

// whole answers in one body.
func (a *answer) whole(result relay.Result) {
	if result.Code != vaneyoke.CodeOK {
		a.fail(result)
		return
	}
	a.write(a.session.Head(), a.session.Text())
}

func (a *answer) write(head forward.Head, body []byte) {
	copyHeader(a.http.Header(), head.Header)
	a.announceEnd()
	a.http.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.http.WriteHeader(head.Status)
	_ = a.control.SetWriteDeadline(time.Now().Add(a.writeTimeout))
	_, _ = a.http.Write(body)
}

// passOn passes events on as they come.
func (a *answer) passOn(ctx context.Context) {
	from := 0
	for {
		text, result, err := a.session.Read(ctx, from)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if result.Ended {
			a.end(result, from)
			return
		}
		if from == 0 {
			copyHeader(a.http.Header(), a.session.Head().Header)
			a.announceEnd()
			a.http.WriteHeader(a.session.Head().Status)
		}
		from += len(text)
		_ = a.control.SetWriteDeadline(time.Now().Add(a.writeTimeout))
		if _, err := a.http.Write(text); err != nil {
			a.session.Abandon()
			panic(http.ErrAbortHandler)
		}
		_ = a.control.Flush()
	}
}

// end closes a stream; one that is not whole must not look so.
func (a *answer) end(result relay.Result, given int) {
	switch {
	case result.Code == vaneyoke.CodeOK && given == 0:
		a.write(a.session.Head(), nil)
	case result.Code == vaneyoke.CodeOK:
	case given == 0:
		a.fail(result)
	default:
		panic(http.ErrAbortHandler)
	}
}

// fail answers that the request failed; an upstream's own failure goes before the node's.
func (a *answer) fail(result relay.Result) {
	if head, body, ok := a.session.LastFailure(); ok {
		a.write(head, body)
		return
	}
	a.announceEnd()
	writeFailure(a.http, statusOf(result.Code), result.RetryAfter, result.Err().Error())
}

// statusOf returns the status of a failure; 503 promises that nothing was run and never will be.
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

// writeFailure answers with the node's own failure; Retry-After is in seconds and may have a fraction.
func writeFailure(w http.ResponseWriter, status int, retryAfter time.Duration, text string) {
	header := w.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		if retryAfter <= 0 {
			retryAfter = retryUnknown
		}
		seconds := math.Ceil(retryAfter.Seconds()*1000) / 1000
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

// announceEnd tells the caller where its connection ends with the answer.
func (a *answer) announceEnd() {
	if a.caller.WillClose() {
		a.http.Header().Set("Connection", "close")
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
