package recovered

import (
	"fmt"
	"path/filepath"
	"runtime"
	"strings"
)

const (
	maxFrames = 12
	maxText   = 500 // bytes of the panic's text that are kept
)

// Error is a panic.
type Error struct {
	text  string
	Stack string // the functions that were being called with their lines, the innermost first
}

// Error implements error.
func (e *Error) Error() string { return "panic: " + e.text }

// New returns the error for a value that recover has returned. It must be called by the deferred function that called recover.
func New(value any) *Error {
	text := fmt.Sprint(value)
	return &Error{text: text[:min(len(text), maxText)], Stack: stack()}
}

// stack returns the calls that led to the panic.
func stack() string {
	const skip = 3 // runtime.Callers, stack and New
	callers := make([]uintptr, maxFrames+8)
	frames := runtime.CallersFrames(callers[:runtime.Callers(skip, callers)])
	var calls []string
	for {
		frame, more := frames.Next()
		if frame.Function == "runtime.gopanic" {
			calls = calls[:0] // the calls of the deferred function
		} else {
			calls = append(calls, fmt.Sprintf("%s (%s:%d)", filepath.Base(frame.Function), filepath.Base(frame.File), frame.Line))
		}
		if !more || len(calls) == maxFrames {
			return strings.Join(calls, ", ")
		}
	}
}
