// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether the whole time has passed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
