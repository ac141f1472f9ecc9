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

// An upstream may start again under the id that it had. What was known of its earlier life says nothing of the new one: nodes left such an
// upstream aside for good, because another one had had its address meanwhile, or for as long as its circuit breaker was open.
func TestUpstreamStartsAgainUnderItsID(t *testing.T) {
	now := time.Unix(1000, 0)
	first := vaneyoke.Upstream{ID: "u", Kind: need.Kind, Service: "lm", State: vaneyoke.StateLive, URL: "http://x", Incarnation: 5}
	again := first
	again.Incarnation = 6
	spoilt := map[string]func(s *placement.State){
		"another had its address": func(s *placement.State) {
			other := first
			other.ID = "other"
			s.SetUpstreams([]vaneyoke.Upstream{first, other})
			s.SetUpstreams([]vaneyoke.Upstream{first})
		},
		"another answered at its address": func(s *placement.State) {
			s.Sent(now, "u")
			s.Ended(now, "u", placement.OutcomeGone, false)
		},
		"a node told that another has its address": func(s *placement.State) { s.Heard(now, "u", gossip.KindReplaced) },
		"it could not be reached":                  func(s *placement.State) { s.Heard(now, "u", gossip.KindUnreachable) },
	}
	returns := map[string]func(s *placement.State){
		"its entry says so": func(s *placement.State) { s.SetUpstreams([]vaneyoke.Upstream{again}) },
		"it says so itself": func(s *placement.State) { s.Reported(now, "u", vaneyoke.Report{Incarnation: 6}) },
	}
	for name, spoil := range spoilt {
		for how, comeBack := range returns {
			t.Run(name+", "+how, func(t *testing.T) {
				s := placement.New("a", retry.DefaultBreakerConfig())
				s.SetUpstreams([]vaneyoke.Upstream{first})
				spoil(s)
				must.False(t, s.TakesWork(now, "u"))
				comeBack(s)
				must.True(t, s.TakesWork(now, "u"))
				s.SetUpstreams([]vaneyoke.Upstream{first}) // an old list does not bring the earlier life back
				must.EqOp(t, 6, s.Loads(now)[0].Upstream.Incarnation)
			})
		}
	}
}

// TestReportOfAnEarlierLife is what an upstream told before it ended: its runs and replicas are no more.
func TestReportOfAnEarlierLife(t *testing.T) {
	now := time.Unix(1000, 0)
	u := vaneyoke.Upstream{ID: "u", Kind: need.Kind, Service: "lm", State: vaneyoke.StateLive, URL: "http://x", Incarnation: 5}
	s := placement.New("a", retry.DefaultBreakerConfig())
	s.SetUpstreams([]vaneyoke.Upstream{u})
	s.Reported(now, "u", vaneyoke.Report{Incarnation: 6})
	s.Reported(now, "u", vaneyoke.Report{Incarnation: 5, Prompts: 9}) // came late
	prompt := need
	prompt.Affinity = "p"
	must.SliceEmpty(t, s.Spares(now, rng(), prompt))
}

// TestGoneIsNotForEver has a late word about an earlier life come after the entry of the new one: it holds for a while only.
func TestGoneIsNotForEver(t *testing.T) {
	now := time.Unix(1000, 0)
	u := vaneyoke.Upstream{ID: "u", Kind: need.Kind, Service: "lm", State: vaneyoke.StateLive, URL: "http://x", Incarnation: 6}
	s := placement.New("a", retry.DefaultBreakerConfig())
	s.SetUpstreams([]vaneyoke.Upstream{u})
	s.Heard(now, "u", gossip.KindReplaced)
	must.False(t, s.TakesWork(now, "u"))
	must.True(t, s.TakesWork(now.Add(6*time.Second), "u"))
}
