// Package steady provides a clock that advances while the VM is suspended. The monotonic clock of the Go runtime does not.
package steady

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/vaneyoke/vaneyoke/internal/pause"
)

// minSuspension is the shortest suspension that is recorded; a smaller difference is the time between the readings of the two clocks.
const minSuspension = time.Millisecond

// Clock measures for how long the VM has been suspended.
type Clock struct {
	bootOffset    func() time.Duration // the boot-time clock, which advances during suspension, minus the monotonic clock
	initialOffset time.Duration
	suspended     atomic.Int64 // nanoseconds
}

// New returns a Clock that starts now and calls bootOffset for the time by which the monotonic clock lags behind the boot-time clock.
func New(bootOffset func() time.Duration) *Clock {
	return &Clock{bootOffset: bootOffset, initialOffset: bootOffset()}
}

// Suspended returns the total time for which the VM has been suspended since the clock started.
func (c *Clock) Suspended() time.Duration {
	for {
		recorded := c.suspended.Load()
		suspended := int64(c.bootOffset() - c.initialOffset)
		if suspended < recorded+int64(minSuspension) {
			return time.Duration(recorded)
		}
		if c.suspended.CompareAndSwap(recorded, suspended) {
			return time.Duration(suspended)
		}
	}
}

// Now returns the current time. Only differences between times of the same clock are meaningful.
func (c *Clock) Now() time.Time { return time.Now().Add(c.Suspended()) }

// Watch checks for suspensions at the given interval and calls onResume with the length of each, until ctx ends.
func (c *Clock) Watch(ctx context.Context, interval time.Duration, onResume func(suspended time.Duration)) {
	for before := c.Suspended(); pause.For(ctx, interval); {
		if now := c.Suspended(); now > before {
			onResume(now - before)
			before = now
		}
	}
}

var system atomic.Pointer[Clock]

func init() { system.Store(New(systemBootOffset)) }

// System returns the clock of this VM.
func System() *Clock { return system.Load() }

// Now returns the current time on the clock of this VM.
func Now() time.Time { return System().Now() }

// ReplaceSystem replaces the clock of this VM in tests, and returns a function that restores it.
func ReplaceSystem(c *Clock) (restore func()) {
	before := system.Swap(c)
	return func() { system.Store(before) }
}
