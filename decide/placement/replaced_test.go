package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

// TestUpstreamIsReplacedAtItsAddress lists a new upstream at the address of one that is still listed: the earlier one gets no more work.
func TestUpstreamIsReplacedAtItsAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	s := placement.New("a", retry.DefaultBreakerConfig())
	old := vaneyoke.Upstream{ID: "old", Kind: need.Kind, Service: "lm", State: vaneyoke.StateLive, URL: "http://x"}
	next := old
	next.ID = "next"
	s.SetUpstreams([]vaneyoke.Upstream{old})
	s.SetUpstreams([]vaneyoke.Upstream{old, next})
	for range 20 {
		u, _, ok := s.Pick(now, rng(), need)
		must.True(t, ok)
		must.EqOp(t, "next", u.ID)
	}
}
