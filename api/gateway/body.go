package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/readall"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

// bodyEnd is how the reading of a request's body ended; its text is logged and counted.
type bodyEnd string

// How the reading of a body ended.
const (
	bodyUnread   bodyEnd = "unread" // it was not begun
	bodyWhole    bodyEnd = "whole"
	bodyByCaller bodyEnd = "caller"   // the caller ended it, or sent no proper body
	bodyLate     bodyEnd = "late"     // it did not come in its time
	bodyStopping bodyEnd = "stopping" // it did not come before the stopping node could no longer send the request on
	bodyByNode   bodyEnd = "node"     // this node closed the connection
	bodyTooLarge bodyEnd = "too_large"
	bodyNoMemory bodyEnd = "no_memory"
)

// bodyEndOf returns how the reading of a body ended.
func bodyEndOf(err error) bodyEnd {
	switch {
	case err == nil:
		return bodyWhole
	case errors.Is(err, net.ErrClosed):
		return bodyByNode
	case vaneyoke.CodeOf(err) == vaneyoke.CodeBodyTooLarge:
		return bodyTooLarge
	case vaneyoke.CodeOf(err) == vaneyoke.CodeNoMemory:
		return bodyNoMemory
	case vaneyoke.CodeOf(err) == vaneyoke.CodeWaitExceeded:
		return bodyLate
	case vaneyoke.CodeOf(err) == vaneyoke.CodeStopping:
		return bodyStopping
	default:
		return bodyByCaller
	}
}

// receiveBody reads the whole body and records how that ended.
func (g *Gateway) receiveBody(c *call, d decision) ([]byte, error) {
	body, err := g.readBody(c, d)
	c.bodyEnd = bodyEndOf(err)
	if err == nil {
		c.bodyReceived = time.Now()
	}
	g.metrics.Bodies.Add(string(c.bodyEnd), 1)
	return body, err
}

// readBody reads the whole body, which must arrive before the deadline of the answer, and before a stopping node can no longer send the request on. Its
// errors carry CodeBodyTooLarge, CodeNoMemory, CodeWaitExceeded, CodeStopping or CodeBadRequest.
func (g *Gateway) readBody(c *call, d decision) ([]byte, error) {
	maxBytes := g.config.MaxBodyBytes
	if limit := d.table.Limits().BodyBytes; limit > 0 {
		maxBytes = limit
	}
	if c.request.ContentLength > maxBytes {
		return nil, vaneyoke.Err(vaneyoke.CodeBodyTooLarge, "the body is larger than %d bytes", maxBytes)
	}
	if c.request.ContentLength == 0 { // package http reads ahead already, and takes a deadline that expires for the end of the connection
		return nil, nil
	}
	wait := g.beginBodyWait(c, d)
	body, err := readReserved(http.MaxBytesReader(c.http, c.request.Body, maxBytes), c.request.ContentLength, c.buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		wait.end()
		return nil, g.lateBody(time.Now(), c, d)
	}
	wait.reset()
	return body, bodyError(err, maxBytes, d.deadline.Sub(c.received))
}

// bodyError returns the error with which a request is refused whose body could not be read, nil for nil.
func bodyError(err error, maxBytes int64, maxWait time.Duration) error {
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return vaneyoke.Err(vaneyoke.CodeBodyTooLarge, "the body is larger than %d bytes", maxBytes)
	}
	switch {
	case vaneyoke.CodeOf(err) == vaneyoke.CodeNoMemory:
		return vaneyoke.ErrRetryAfter(vaneyoke.CodeNoMemory, randomRetryAfter(maxWait, rand.Float64()), "%s", err)
	case errors.Is(err, net.ErrClosed):
		return vaneyoke.WrapErr(vaneyoke.CodeStopping, err, "the node closed the connection before the body had come")
	default:
		return vaneyoke.WrapErr(vaneyoke.CodeBadRequest, err, "read body")
	}
}

// lateBody returns the error for a body that has not come in time.
func (g *Gateway) lateBody(now time.Time, c *call, d decision) error {
	if s := g.stopping.Load(); s != nil && now.Before(d.deadline) {
		return vaneyoke.ErrRetryAfter(vaneyoke.CodeStopping, s.retryAfter(now, c.incoming(d)), "the node is stopping, and the body has not come")
	}
	return vaneyoke.ErrRetryAfter(vaneyoke.CodeWaitExceeded, defaultRetryAfter, "the body did not come within the time for the answer")
}

// bodyWait bounds the time for which a body is waited for. A stop that begins meanwhile may shorten it.
type bodyWait struct {
	stopWatching func() bool

	mu      sync.Mutex
	control *http.ResponseController
	ended   bool
}

func (g *Gateway) beginBodyWait(c *call, d decision) *bodyWait {
	w := &bodyWait{control: http.NewResponseController(c.http)}
	w.until(d.deadline)
	w.stopWatching = context.AfterFunc(g.stopBegun, func() {
		if end := g.stopping.Load().acceptsUntil(c.incoming(d)); end.Before(d.deadline) {
			w.until(end)
		}
	})
	return w
}

// until ends the wait at a time.
func (w *bodyWait) until(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		_ = w.control.SetReadDeadline(t) // it fails only on a closed connection, which the next read finds out
	}
}

// end leaves the bound as it is. One that has passed keeps package http from waiting for the rest of the body before it sends the response.
func (w *bodyWait) end() {
	w.stopWatching()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
}

// reset takes the bound away, which would end the connection after the body has come.
func (w *bodyWait) reset() {
	w.end()
	_ = w.control.SetReadDeadline(time.Time{}) // it fails only on a closed connection
}

// readReserved reads a body of a length, negative if it is not known. The memory is reserved before it is allocated, so that what is accounted for is what
// the body takes. Errors carry CodeNoMemory or are those of the reader.
func readReserved(r io.Reader, length int64, buffer *relay.Buffer) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length > 0 {
		if err := buffer.Reserve(int(length)); err != nil {
			return nil, err
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	return readall.Read(r, math.MaxInt, readall.Memory{Reserve: buffer.Reserve, Release: buffer.Release})
}
