package engine

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// NotSentError says that the engine did not run the request.
type NotSentError struct {
	Reason   string
	Pushback time.Duration // for which the engine wants nothing more; 0 where it does not say
}

// DeclinedError says that an upstream got the request and did not run it.
type DeclinedError struct {
	Status   int
	Replaced bool // whether another upstream has its address
}

// StatusError says that an upstream answered with a status that ends the attempt.
type StatusError struct{ Status int }

// RefusedError says that the engine refused the request as wrong.
type RefusedError struct {
	Status int
	Body   []byte
}

// NoStreamError says that the engine holds no such stream.
type StreamNotFoundError struct{}

// MalformedError says that the engine's answer broke the protocol.
type MalformedError struct{ Reason string }

// ClosedError says that the connection ended before the answer did.
type ClosedError struct{ Err error }

// Error returns the reason.
func (e *NotSentError) Error() string { return "engine did not run the request: " + e.Reason }

// Error returns the status.
func (e *DeclinedError) Error() string {
	return fmt.Sprintf("upstream declined with status %d", e.Status)
}

// Error returns the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("upstream answered with status %d", e.Status)
}

// Error returns the engine's status.
func (e *RefusedError) Error() string { return fmt.Sprintf("engine refused with status %d", e.Status) }

// Error says that the stream is unknown.
func (e *StreamNotFoundError) Error() string { return "engine holds no such stream" }

// Error returns the reason.
func (e *MalformedError) Error() string { return "engine broke its protocol: " + e.Reason }

// Error returns the cause.
func (e *ClosedError) Error() string { return "engine closed the stream: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Err }

// SendFailure tells a request that cannot have reached the engine from one that may have.
func ClassifySendError(err error) error {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return &NotSentError{Reason: op.Err.Error()}
	}
	return &ClosedError{Err: err}
}

// statusFailure reads an engine's status other than 200.
func statusFailure(status int, pushback time.Duration, body []byte) error {
	switch {
	case IsPushbackStatus(status):
		return &NotSentError{Reason: http.StatusText(status), Pushback: pushback}
	case status >= http.StatusInternalServerError:
		return &ClosedError{Err: fmt.Errorf("status %d", status)}
	default:
		return &RefusedError{Status: status, Body: body}
	}
}
