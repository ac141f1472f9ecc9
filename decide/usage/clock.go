package usage

import (
	"slices"
	"time"
)

const (
	sampleEvery = 500 * time.Millisecond // time between two samples of the wall clock
	mostSamples = 121                    // that are kept: a clock that jumps and returns within half of their time moves nothing
)

// Clock tells the time of day from a steady clock and the middle one of what the wall clock has said lately, which a wall clock that jumps for a while
// does not move.
type Clock struct {
	offsets []time.Duration // of the wall clock from the steady one, the oldest first
	last    time.Time       // steady time of the last sample
	offset  time.Duration
}

// Sample takes in what both clocks say.
func (c *Clock) Sample(now, wall time.Time) {
	if len(c.offsets) > 0 && now.Sub(c.last) < sampleEvery {
		return
	}
	c.last = now
	if len(c.offsets) == mostSamples {
		c.offsets = slices.Delete(c.offsets, 0, 1)
	}
	c.offsets = append(c.offsets, time.Duration(wall.UnixNano()-now.UnixNano()))
	sorted := slices.Sorted(slices.Values(c.offsets))
	c.offset = sorted[len(sorted)/2]
}

// Wall returns the time of day at a steady time; it is known after the first sample.
func (c *Clock) Wall(now time.Time) time.Time { return time.Unix(0, now.UnixNano()+int64(c.offset)) }
