package retry_test

import (
	"time"
	"unsafe"
)

// clockTime mirrors the memory layout of time.Time: with a monotonic reading, the upper bits of wall hold the seconds of the wall clock.
type clockTime struct {
	wall uint64
	ext  int64
	loc  *time.Location
}

const nanosecondBits = 30

// shiftWallClock returns t with its wall clock shifted and the same monotonic reading, as time.Now returns it after the wall clock was set.
func shiftWallClock(t time.Time, by time.Duration) time.Time {
	c := (*clockTime)(unsafe.Pointer(&t))
	c.wall = uint64(int64(c.wall) + int64(by/time.Second)<<nanosecondBits)
	return t
}
