package usage

import (
	"slices"
	"time"
)

const (
	sampleInterval = 500 * time.Millisecond // minimum time between two samples of the wall clock
	maxSamples     = 121                    // samples kept: a jump that is reversed within half of their time span changes nothing
)

// Clock derives the wall-clock time from a monotonic clock and the median offset of recent samples of the wall clock, which a temporary jump of the
// wall clock does not change.
type Clock struct {
	offsets    []time.Duration // of the wall clock from the monotonic clock, oldest first
	lastSample time.Time       // monotonic time
	offset     time.Duration
}

// Sample records a reading of both clocks.
func (c *Clock) Sample(now, wall time.Time) {
	if len(c.offsets) > 0 && now.Sub(c.lastSample) < sampleInterval {
		return
	}
	c.lastSample = now
	if len(c.offsets) == maxSamples {
		c.offsets = slices.Delete(c.offsets, 0, 1)
	}
	c.offsets = append(c.offsets, time.Duration(wall.UnixNano()-now.UnixNano()))
	sorted := slices.Sorted(slices.Values(c.offsets))
	c.offset = sorted[len(sorted)/2]
}

// Wall returns the wall-clock time at a monotonic time; it is valid after the first sample.
func (c *Clock) Wall(now time.Time) time.Time { return time.Unix(0, now.UnixNano()+int64(c.offset)) }
