package gateway

import (
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/internal/readall"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

// bodyEnd is how the reading of a request's body ended; its text is logged and counted.
type bodyEnd string

// How the reading of a body ended.
const (
	bodyUnread   bodyEnd = "unread" // it was not begun
	bodyWhole    bodyEnd = "whole"
	bodyByCaller bodyEnd = "caller" // the caller ended it, or sent no proper body
	bodyLate     bodyEnd = "late"   // it did not come in its time
	bodyByNode   bodyEnd = "node"   // this node closed the connection
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
	default:
		return bodyByCaller
	}
}

// receiveBody reads the whole body and records how that ended.
func (g *Gateway) receiveBody(c *call, limits route.Limits, maxWait time.Duration) ([]byte, error) {
	body, err := g.readBody(c, limits, maxWait)
	c.bodyEnd = bodyEndOf(err)
	if err == nil {
		c.bodyReceived = time.Now()
	}
	g.metrics.Bodies.Add(string(c.bodyEnd), 1)
	return body, err
}

// readBody reads the whole body, which must arrive before the deadline of the answer. Its errors carry CodeBodyTooLarge, CodeNoMemory, CodeWaitExceeded or
// CodeBadRequest.
func (g *Gateway) readBody(c *call, limits route.Limits, maxWait time.Duration) ([]byte, error) {
	maxBytes := g.config.MaxBodyBytes
	if limits.BodyBytes > 0 {
		maxBytes = limits.BodyBytes
	}
	if c.request.ContentLength > maxBytes {
		return nil, vaneyoke.Err(vaneyoke.CodeBodyTooLarge, "the body is larger than %d bytes", maxBytes)
	}
	if c.request.ContentLength == 0 { // package http reads ahead already, and takes a deadline that expires for the end of the connection
		return nil, nil
	}
	control := http.NewResponseController(c.http)
	_ = control.SetReadDeadline(c.received.Add(maxWait))
	body, err := readReserved(http.MaxBytesReader(c.http, c.request.Body, maxBytes), c.request.ContentLength, c.buffer)
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, vaneyoke.Err(vaneyoke.CodeBodyTooLarge, "the body is larger than %d bytes", maxBytes)
	}
	if vaneyoke.CodeOf(err) == vaneyoke.CodeNoMemory {
		_ = control.SetReadDeadline(time.Time{})
		return nil, vaneyoke.ErrRetryAfter(vaneyoke.CodeNoMemory, randomRetryAfter(maxWait, rand.Float64()), "%s", err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, vaneyoke.ErrRetryAfter(vaneyoke.CodeWaitExceeded, defaultRetryAfter, "the body did not come within the time for the answer")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, vaneyoke.WrapErr(vaneyoke.CodeBadRequest, err, "read body")
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
