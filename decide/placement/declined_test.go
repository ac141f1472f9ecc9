package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
)

// TestUpstreamThatDeclinesIsNotPreferred has one of three upstreams reject all calls immediately, without a pushback. It had the least work and the
// oldest sample of the time to the first token, so that it looked best and got more calls than the other two together.
func TestUpstreamThatDeclinesIsNotPreferred(t *testing.T) {
	const calls, pause, duration = 200, 120 * time.Millisecond, 15 * time.Millisecond
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	call := placement.Need{Kind: vaneyoke.KindService, Service: "shop"}
	s := limitedState("u0", "u1", "u2")
	for _, id := range []vaneyoke.UpstreamID{"u0", "u1", "u2"} { // all have a sample of the time to the first token
		s.Sent(now, id)
		s.FirstToken(now, id, duration, 0)
		s.Ended(now, id, placement.OutcomeDone, true)
	}
	got := map[vaneyoke.UpstreamID]int{}
	declines := func(id vaneyoke.UpstreamID) bool { return id == "u0" }
	send := func() {
		u, _, ok := s.Pick(now, rng, call)
		must.True(t, ok)
		got[u.ID]++
		s.Sent(now, u.ID)
		if declines(u.ID) {
			s.Ended(now.Add(time.Millisecond), u.ID, placement.OutcomeDeclined, false)
			return
		}
		s.FirstToken(now.Add(duration), u.ID, duration, 0)
		s.Ended(now.Add(duration), u.ID, placement.OutcomeDone, true)
	}
	for range calls {
		send()
		now = now.Add(pause)
	}
	t.Logf("the upstream that rejects calls got %d of %d", got["u0"], calls)
	must.LessEq(t, calls/10, got["u0"])
	must.Positive(t, got["u0"]) // it is still tried now and then

	declines = func(vaneyoke.UpstreamID) bool { return false }
	clear(got)
	for range calls {
		send()
		now = now.Add(pause)
	}
	must.GreaterEq(t, calls/5, got["u0"]) // an even share would be a third
}

// TestAllDecline has all upstreams reject calls: each is tried as often as the others.
func TestAllDecline(t *testing.T) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	call := placement.Need{Kind: vaneyoke.KindService, Service: "shop"}
	s := limitedState("u0", "u1", "u2")
	got := map[vaneyoke.UpstreamID]int{}
	for range 300 {
		u, _, ok := s.Pick(now, rng, call)
		must.True(t, ok)
		got[u.ID]++
		s.Sent(now, u.ID)
		s.Ended(now, u.ID, placement.OutcomeDeclined, false)
		now = now.Add(20 * time.Millisecond)
	}
	for _, id := range []vaneyoke.UpstreamID{"u0", "u1", "u2"} {
		must.Between(t, 80, got[id], 120)
	}
}

// TestDecliningAffinityUpstreamIsSkipped has the upstream that a prompt goes to reject it: other upstreams get it for about a second.
func TestDecliningAffinityUpstreamIsSkipped(t *testing.T) {
	now := time.Unix(1000, 0)
	prompt := placement.Need{Kind: vaneyoke.KindService, Service: "shop", Affinity: "p", PromptBytes: 100}
	s := limitedState("u0", "u1", "u2", "u3", "u4")
	first, _, _ := s.Pick(now, rng(), prompt)
	for _, id := range []vaneyoke.UpstreamID{"u0", "u1", "u2", "u3", "u4"} {
		s.Reported(now, id, vaneyoke.LoadReport{})
	}
	s.Sent(now, first.ID)
	s.Ended(now, first.ID, placement.OutcomeDeclined, false)
	for range 30 {
		u, _, ok := s.Pick(now, rng(), prompt)
		must.True(t, ok)
		must.NotEqOp(t, first.ID, u.ID)
	}
	u, _, _ := s.Pick(now.Add(1100*time.Millisecond), rng(), prompt)
	must.EqOp(t, first.ID, u.ID)
}
