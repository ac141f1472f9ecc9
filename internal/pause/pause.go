// Package pause waits for a time that can be cut short.
package pause

import (
	"context"
	"time"
)

// For waits, and reports whether the whole time has passed; it returns early when ctx ends.
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
