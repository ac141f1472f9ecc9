package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/process/settings"
)

// TestRemovalGraceStaysBelowDrainWithin checks that an upstream whose entry expired during an outage of the store, and which is gone for
// good, gets no requests after the time within which leaving upstreams are drained.
func TestRemovalGraceStaysBelowDrainWithin(t *testing.T) {
	for _, tc := range []struct{ grace, drain, want time.Duration }{
		{1600 * time.Millisecond, 2 * time.Second, 1600 * time.Millisecond},
		{1600 * time.Millisecond, 3 * time.Second, 1600 * time.Millisecond},
		{1600 * time.Millisecond, time.Second, 800 * time.Millisecond},
		{0, 2 * time.Second, 0},
	} {
		got := removalGrace(settings.Gateway{RemovalGrace: tc.grace, DrainWithin: tc.drain})
		must.EqOp(t, tc.want, got)
		must.Less(t, tc.drain, got)
	}
}
