package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

// TestRestartUnderSameIDForgetsFailures restarts an upstream under its ID. State of its earlier incarnation must not apply to the new one: nodes sent it
// no work ever again, because another upstream had used its address meanwhile, or until its circuit breaker closed.
func TestRestartUnderSameIDForgetsFailures(t *testing.T) {
	now := time.Unix(1000, 0)
	before := vaneyoke.Upstream{ID: "u", Kind: need.Kind, Service: "lm", State: vaneyoke.StateLive, URL: "http://x", Incarnation: 5}
	restarted := before
	restarted.Incarnation = 6
	failures := map[string]func(s *placement.State){
		"another is listed at its address": func(s *placement.State) {
			other := before
			other.ID = "other"
			s.SetUpstreams([]vaneyoke.Upstream{before, other})
			s.SetUpstreams([]vaneyoke.Upstream{before})
		},
		"another answered at its address": func(s *placement.State) {
			s.Sent(now, "u")
			s.Ended(now, "u", placement.OutcomeGone, false)
		},
		"a node gossiped that another has its address": func(s *placement.State) { s.RecordGossip(now, "u", gossip.KindReplaced) },
		"a node gossiped that it is unreachable":       func(s *placement.State) { s.RecordGossip(now, "u", gossip.KindUnreachable) },
	}
	restarts := map[string]func(s *placement.State){
		"listed with the new incarnation": func(s *placement.State) { s.SetUpstreams([]vaneyoke.Upstream{restarted}) },
		"reported by the upstream":        func(s *placement.State) { s.Reported(now, "u", vaneyoke.LoadReport{Incarnation: 6}) },
	}
	for name, fail := range failures {
		for how, restart := range restarts {
			t.Run(name+", "+how, func(t *testing.T) {
				s := placement.New("a", retry.DefaultBreakerConfig())
				s.SetUpstreams([]vaneyoke.Upstream{before})
				fail(s)
				must.False(t, s.AcceptsWork(now, "u"))
				restart(s)
				must.True(t, s.AcceptsWork(now, "u"))
				s.SetUpstreams([]vaneyoke.Upstream{before}) // an old list does not restore the earlier incarnation
				must.EqOp(t, 6, s.Loads(now)[0].Upstream.Incarnation)
			})
		}
	}
}

// TestReportOfEarlierIncarnationIsIgnored delivers a late load report of an incarnation that has ended, along with its runs and replicas.
func TestReportOfEarlierIncarnationIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	u := vaneyoke.Upstream{ID: "u", Kind: need.Kind, Service: "lm", State: vaneyoke.StateLive, URL: "http://x", Incarnation: 5}
	s := placement.New("a", retry.DefaultBreakerConfig())
	s.SetUpstreams([]vaneyoke.Upstream{u})
	s.Reported(now, "u", vaneyoke.LoadReport{Incarnation: 6})
	s.Reported(now, "u", vaneyoke.LoadReport{Incarnation: 5, PendingPrompts: 9}) // arrives late
	prompt := need
	prompt.Affinity = "p"
	must.SliceEmpty(t, s.SpilloverUpstreams(now, rng(), prompt))
}

// TestGoneExpires has gossip about an earlier incarnation arrive after the entry of the new one: it must not exclude the upstream for good.
func TestGoneExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	u := vaneyoke.Upstream{ID: "u", Kind: need.Kind, Service: "lm", State: vaneyoke.StateLive, URL: "http://x", Incarnation: 6}
	s := placement.New("a", retry.DefaultBreakerConfig())
	s.SetUpstreams([]vaneyoke.Upstream{u})
	s.RecordGossip(now, "u", gossip.KindReplaced)
	must.False(t, s.AcceptsWork(now, "u"))
	must.True(t, s.AcceptsWork(now.Add(6*time.Second), "u"))
}
