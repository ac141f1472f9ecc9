package usage_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/usage"
)

// TestWallClockJumpsAreIgnored has the wall clock jump for 20 s, forwards or backwards, after half a minute: the time that the clock derives does not change.
func TestWallClockJumpsAreIgnored(t *testing.T) {
	for _, jump := range []time.Duration{-3 * time.Second, 7 * time.Second} {
		var c usage.Clock
		monotonic, wall := time.Unix(50, 0), time.Unix(1_700_000_000, 0)
		for since := time.Duration(0); since < 2*time.Minute; since += 250 * time.Millisecond {
			reading := wall.Add(since)
			if since > 30*time.Second && since < 50*time.Second {
				reading = reading.Add(jump)
			}
			c.Sample(monotonic.Add(since), reading)
			must.EqOp(t, wall.Add(since).UnixNano(), c.Wall(monotonic.Add(since)).UnixNano())
		}
	}
}
