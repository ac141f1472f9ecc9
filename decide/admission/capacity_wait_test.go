package admission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/admission"
)

// TestCapacityWait checks for room ten times per latency goal, at least every half second, for up to half of the caller's time.
func TestCapacityWait(t *testing.T) {
	for name, tc := range map[string]struct {
		timeout, goal, remaining, wait time.Duration
		ok                             bool
	}{
		"begins":                       {20 * time.Second, 4 * time.Second, 20 * time.Second, 400 * time.Millisecond, true},
		"long goal":                    {20 * time.Second, time.Minute, 20 * time.Second, 500 * time.Millisecond, true},
		"just before half of the time": {20 * time.Second, 4 * time.Second, 10*time.Second + 401*time.Millisecond, 400 * time.Millisecond, true},
		"half of the time":             {20 * time.Second, 4 * time.Second, 10*time.Second + 400*time.Millisecond, 400 * time.Millisecond, false},
		"no time left":                 {20 * time.Second, 4 * time.Second, -time.Second, 400 * time.Millisecond, false},
		"no goal":                      {20 * time.Second, 0, 20 * time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			wait, ok := admission.CapacityWait{Timeout: tc.timeout, LatencyGoal: tc.goal}.NextCheck(tc.remaining)
			must.EqOp(t, tc.wait, wait)
			must.EqOp(t, tc.ok, ok)
		})
	}
}
