package lease

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Name names a duty.
type Name string

// Fence is a fencing token: it rises with each holder of a duty; 0 stands for none.
type Fence uint64

// Record is what the store holds of a lease.
type Record struct {
	Holder vaneyoke.VMID
	Life   vaneyoke.Incarnation // of the holder's process
	Fence  Fence
	Free   bool // whether the holder has given the lease up
	Clean  bool // whether nothing that it sent is still under way; counts where it is free
}

// Row is a record and the revision of its row, 0 for no row.
type Row struct {
	Record
	Revision vaneyoke.Revision
}

// Config holds the bounds of a lease.
type Config struct {
	Term   time.Duration // for which a renewal counts, from when it was sent
	Wait   time.Duration // longest time that a call of the duty may take
	Settle time.Duration // for which a new holder does nothing, unless the one before gave the lease up with nothing under way; 0 where the platform checks tokens
}

// renewals is how often a lease is renewed during its term.
const renewals = 3

// margin is the part of the term for which others wait beyond it, since clocks do not run alike.
const margin = 10

func (c Config) renewEvery() time.Duration { return c.Term / renewals }

// lapse is how long a row must stand unchanged before another node takes the lease.
func (c Config) lapse() time.Duration { return c.Term + c.Term/margin }
