package admission

import "time"

// Bounds of a wait.
const (
	maxWaitShare     = 0.5 // share of the caller's timeout; the rest is left for the answer, which is still wanted late
	checkShare       = 0.1 // share of the goal between two checks, so that one more check leaves nine tenths of the goal
	maxCheckInterval = 500 * time.Millisecond
)

// CapacityWait bounds how long a prompt waits until an upstream has room for it.
type CapacityWait struct {
	Timeout     time.Duration // the caller's total time
	LatencyGoal time.Duration // for the time to the first token
}

// NextCheck returns the time until the next check for room; ok is false if too little of the caller's time remains, and the prompt is to be sent
// without room.
func (w CapacityWait) NextCheck(remaining time.Duration) (wait time.Duration, ok bool) {
	wait = min(time.Duration(checkShare*float64(w.LatencyGoal)), maxCheckInterval)
	return wait, wait > 0 && remaining-wait > time.Duration((1-maxWaitShare)*float64(w.Timeout))
}
