package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRetriesAreSpread checks the retry times of callers that are refused while no node can serve them: each is in proportion
// to the caller's own wait, leaves time for the answer, and retries of callers refused together are spread.
func TestRetriesAreSpread(t *testing.T) {
	for _, wait := range []time.Duration{time.Second, 25 * time.Second} {
		earliest, latest := randomRetryAfter(wait, 0), randomRetryAfter(wait, 0.999)
		must.EqOp(t, wait/20, earliest)
		must.LessEq(t, wait/10, latest)
		must.GreaterEq(t, wait/25, latest-earliest)
	}
	must.EqOp(t, defaultRetryAfter, randomRetryAfter(0, 0.5)) // a caller without a longest wait
}
