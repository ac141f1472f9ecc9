// Package readall reads bodies into memory that is reserved before it is allocated.
package readall

import (
	"errors"
	"fmt"
	"io"
)

// firstBytes is the size of the buffer that is read into first.
const firstBytes = 4 << 10

// Memory is asked before memory is allocated, and told what is free again.
type Memory struct {
	Reserve func(n int) error
	Release func(n int)
}

// TooLargeError reports that there was more to read than may be read.
type TooLargeError struct{ MaxBytes int }

// Error returns the bound.
func (e *TooLargeError) Error() string { return fmt.Sprintf("it has more than %d bytes", e.MaxBytes) }

// Read reads to the end, at most maxBytes. The buffer doubles; its memory stays reserved, also after an error. Errors are those of Reserve and of the reader, or a
// TooLargeError.
func Read(r io.Reader, maxBytes int, memory Memory) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			if len(body) >= maxBytes {
				return body, checkEnd(r, maxBytes)
			}
			grown, err := grow(body, maxBytes, memory)
			if err != nil {
				return body, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// grow returns a copy of a body with room for as much again, but not more than maxBytes.
func grow(body []byte, maxBytes int, memory Memory) ([]byte, error) {
	size := min(max(2*cap(body), firstBytes), maxBytes)
	if err := memory.Reserve(size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), body...)
	memory.Release(cap(body))
	return grown, nil
}

// checkEnd returns a TooLargeError unless there is nothing more to read.
func checkEnd(r io.Reader, maxBytes int) error {
	var next [1]byte
	switch _, err := io.ReadFull(r, next[:]); {
	case err == nil:
		return &TooLargeError{MaxBytes: maxBytes}
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}
