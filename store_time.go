package vaneyoke

import "time"

// StoreTime is a time on the store's monotonic clock.
type StoreTime time.Duration

// Add returns the time a duration later.
func (t StoreTime) Add(d time.Duration) StoreTime { return t + StoreTime(d) }

// Sub returns the duration since an earlier time.
func (t StoreTime) Sub(earlier StoreTime) time.Duration { return time.Duration(t - earlier) }

// Milliseconds returns the time in whole milliseconds.
func (t StoreTime) Milliseconds() int64 { return time.Duration(t).Milliseconds() }

// StoreTimeFromMs returns a time that is given in milliseconds.
func StoreTimeFromMs(ms int64) StoreTime { return StoreTime(time.Duration(ms) * time.Millisecond) }
