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

// maxStoreMs bounds times that are read, so that durations can be added to them.
const maxStoreMs = int64(100 * 365 * 24 * time.Hour / time.Millisecond)

// StoreTimeFromMs returns a time that is given in milliseconds, from 0 to a hundred years.
func StoreTimeFromMs(ms int64) StoreTime {
	return StoreTime(time.Duration(min(max(ms, 0), maxStoreMs)) * time.Millisecond)
}
