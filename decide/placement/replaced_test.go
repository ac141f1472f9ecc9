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

// Guards against a live upstream that gets no work for good because a row of an earlier one at its address came back for a while.
func TestLiveUpstreamIsNotReplacedByAnEarlierRow(t *testing.T) {
	for name, born := range map[string]vaneyoke.Incarnation{"start times are stated": 100, "none is stated": 0} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := placement.New("a", retry.DefaultBreakerConfig())
			earlier := vaneyoke.Upstream{ID: "earlier", Kind: need.Kind, Service: "another", State: vaneyoke.StateLive, URL: "http://x", Incarnation: born}
			live := vaneyoke.Upstream{ID: "live", Kind: need.Kind, Service: "lm", State: vaneyoke.StateLive, URL: "http://x", Incarnation: 2 * born}
			s.SetUpstreams([]vaneyoke.Upstream{earlier})
			s.SetUpstreams([]vaneyoke.Upstream{live})
			s.SetUpstreams([]vaneyoke.Upstream{live, earlier})
			must.False(t, s.AcceptsWork(now, "earlier"))
			u, _, ok := s.Pick(now, rng(), need)
			must.True(t, ok)
			must.EqOp(t, "live", u.ID)
			s.SetUpstreams([]vaneyoke.Upstream{live})
			u, _, ok = s.Pick(now, rng(), need)
			must.True(t, ok)
			must.EqOp(t, "live", u.ID)
		})
	}
}
