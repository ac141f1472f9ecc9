// Package steady tells the time on a clock that also counts while the VM is suspended, which the runtime's own clock does not.
package steady

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/vaneyoke/vaneyoke/internal/pause"
)

// shortest is the shortest suspension that counts; less is the time between two readings of clocks.
const shortest = time.Millisecond

// Clock counts for how long the VM has been suspended.
type Clock struct {
	behind func() time.Duration // by how much the runtime's clock is behind one that counts while the VM is suspended
	first  time.Duration
	total  atomic.Int64 // nanoseconds
}

// New returns a clock that begins now, by what tells how far the runtime's clock is behind.
func New(behind func() time.Duration) *Clock { return &Clock{behind: behind, first: behind()} }

// Suspended returns for how long the VM has been suspended since the clock began.
func (c *Clock) Suspended() time.Duration {
	for {
		known := c.total.Load()
		total := int64(c.behind() - c.first)
		if total < known+int64(shortest) {
			return time.Duration(known)
		}
		if c.total.CompareAndSwap(known, total) {
			return time.Duration(total)
		}
	}
}

// Now returns the present time; only the differences to other times of the clock mean something.
func (c *Clock) Now() time.Time { return time.Now().Add(c.Suspended()) }

// Watch calls woke with the length of each suspension, soon after it, until ctx ends.
func (c *Clock) Watch(ctx context.Context, every time.Duration, woke func(suspended time.Duration)) {
	for before := c.Suspended(); pause.For(ctx, every); {
		if now := c.Suspended(); now > before {
			woke(now - before)
			before = now
		}
	}
}

var system atomic.Pointer[Clock]

func init() { system.Store(New(systemBehind)) }

// System returns the clock of this VM.
func System() *Clock { return system.Load() }

// Now returns the present time on the clock of this VM.
func Now() time.Time { return System().Now() }

// Pretend has another clock stand for this VM's, and returns what ends that; it is for tests.
func ReplaceSystem(c *Clock) (restore func()) {
	before := system.Swap(c)
	return func() { system.Store(before) }
}
