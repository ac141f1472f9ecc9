package usage_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/usage"
)

// TestClockThatJumps has the wall clock jump for 20 s, back and forth, after half a minute.
func TestClockThatJumps(t *testing.T) {
	for _, jump := range []time.Duration{-3 * time.Second, 7 * time.Second} {
		var c usage.Clock
		steady, wall := time.Unix(50, 0), time.Unix(1_700_000_000, 0)
		for since := time.Duration(0); since < 2*time.Minute; since += 250 * time.Millisecond {
			said := wall.Add(since)
			if since > 30*time.Second && since < 50*time.Second {
				said = said.Add(jump)
			}
			c.Sample(steady.Add(since), said)
			must.EqOp(t, wall.Add(since).UnixNano(), c.Wall(steady.Add(since)).UnixNano())
		}
	}
}
