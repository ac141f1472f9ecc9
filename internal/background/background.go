// Package background runs calls in the background with limited concurrency.
package background

import (
	"context"
	"time"
)

// Runner runs calls in the background. It drops a call if too many are in flight.
type Runner struct {
	slots   chan struct{} // holds an element for each call in flight
	timeout time.Duration
}

// New returns a Runner with at most maxConcurrent calls in flight, each with the given timeout.
func New(maxConcurrent int, timeout time.Duration) *Runner {
	return &Runner{slots: make(chan struct{}, maxConcurrent), timeout: timeout}
}

// Go runs call and passes its error to done. If too many calls are in flight, it does nothing.
func (r *Runner) Go(call func(ctx context.Context) error, done func(err error)) {
	select {
	case r.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-r.slots }()
		ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
		defer cancel()
		done(call(ctx))
	}()
}
