package lease

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Name names a duty.
type Name string

// FencingToken rises with each holder of a duty; 0 stands for none.
type FencingToken uint64

// Record is the stored state of a lease.
type Record struct {
	Holder      vaneyoke.VMID
	Incarnation vaneyoke.Incarnation // of the holder's process
	Token       FencingToken
	Released    bool // whether the holder has released the lease
	Drained     bool // whether none of the holder's calls was in flight at the release; meaningful only where Released is set
}

// Row is a record and the revision of its row, 0 for no row.
type Row struct {
	Record
	Revision vaneyoke.Revision
}

// Config holds the timing of a lease.
type Config struct {
	TTL           time.Duration // a renewal is valid for this long from when it was sent
	CallTimeout   time.Duration // longest duration of a call of the duty
	TakeoverDelay time.Duration // time for which a new holder is inactive, unless the previous one released the lease drained; 0 where the platform checks tokens
}

// renewalsPerTTL is how often a lease is renewed during its TTL.
const renewalsPerTTL = 3

// clockDriftDivisor sets the part of the TTL for which other nodes wait beyond it, because clocks run at different rates.
const clockDriftDivisor = 10

func (c Config) renewInterval() time.Duration { return c.TTL / renewalsPerTTL }

// takeoverAfter is how long a row must remain unchanged before another node takes over the lease.
func (c Config) takeoverAfter() time.Duration { return c.TTL + c.TTL/clockDriftDivisor }
