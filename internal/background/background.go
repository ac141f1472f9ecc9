// Package background makes calls whose outcome shows elsewhere, a few at a time.
package background

import (
	"context"
	"time"
)

// Calls makes calls in the background; what comes while too many are under way is left out.
type Runner struct {
	under chan struct{} // holds something for each call under way
	wait  time.Duration
}

// New returns calls of which so many may be under way, each for so long at the most.
func New(most int, wait time.Duration) *Runner {
	return &Runner{under: make(chan struct{}, most), wait: wait}
}

// Go makes a call, and hands what came of it to done.
func (c *Runner) Go(call func(ctx context.Context) error, done func(err error)) {
	select {
	case c.under <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.under }()
		ctx, cancel := context.WithTimeout(context.Background(), c.wait)
		defer cancel()
		done(call(ctx))
	}()
}
