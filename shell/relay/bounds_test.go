package relay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an upstream that stops long before its caller does, so that the answer ends incomplete with time left.
func TestUpstreamStopsLongBeforeItsCaller(t *testing.T) {
	for remaining, margin := range map[time.Duration]time.Duration{
		25 * time.Second: 30 * time.Millisecond, 1500 * time.Millisecond: 30 * time.Millisecond, 500 * time.Millisecond: 10 * time.Millisecond,
	} {
		must.EqOp(t, remaining-margin, upstreamTime(remaining))
	}
	must.EqOp(t, time.Millisecond, upstreamTime(-time.Second))
}
