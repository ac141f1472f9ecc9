package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStreamsAtAStoppingNode holds which streams a node that was told to stop takes, and when it has the others come back.
func TestStreamsAtAStoppingNode(t *testing.T) {
	since := time.Unix(1000, 0)
	s := &Stopping{Since: since, Until: since.Add(7700 * time.Millisecond), Calm: 2200 * time.Millisecond, Streams: 2500 * time.Millisecond}
	before := since.Add(-time.Minute)
	cases := map[string]struct {
		stopping  *Stopping
		at        time.Duration // after it was told to stop
		opened    time.Time
		resumable bool
		refused   bool
		after     time.Duration
	}{
		"does not stop":                     {nil, 0, before, false, false, 0},
		"soon, can go on elsewhere":         {s, 2 * time.Second, before, true, false, 0},
		"soon, cannot":                      {s, 0, before, false, true, retryElsewhere},
		"later, kept connection":            {s, 2500 * time.Millisecond, before, true, true, retryElsewhere},
		"later, from before it was known":   {s, 3 * time.Second, since.Add(2 * time.Second), true, true, retryElsewhere},
		"later, others take none":           {s, 4 * time.Second, since.Add(4 * time.Second), true, true, 3700 * time.Millisecond},
		"at the end, others take none":      {s, 8 * time.Second, since.Add(8 * time.Second), true, true, retryElsewhere},
		"connection of which nothing known": {s, 4 * time.Second, time.Time{}, true, true, retryElsewhere},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			after, refused := tc.stopping.refusal(since.Add(tc.at), tc.opened, tc.resumable)
			must.EqOp(t, tc.refused, refused)
			must.EqOp(t, tc.after, after)
		})
	}
}
