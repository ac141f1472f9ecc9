package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

func limitedState(ids ...vaneyoke.UpstreamID) *placement.State {
	s := placement.New("a", retry.DefaultBreakerConfig())
	var all []vaneyoke.Upstream
	for _, id := range ids {
		all = append(all, vaneyoke.Upstream{ID: id, Kind: vaneyoke.KindService, Service: "shop", State: vaneyoke.StateLive, Slots: 6, URL: "http://" + string(id)})
	}
	s.SetUpstreams(all)
	return s
}

var limit = vaneyoke.Limit{Declared: true, Rate: 2}

// TestWithheldUpstreamsGetNothing has the limits of two of three upstreams leave nothing: requests go to the third; where that names one, too, the
// callers are told to come back one after the other.
func TestWithheldUpstreamsGetNothing(t *testing.T) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	call := placement.Need{Kind: vaneyoke.KindService, Service: "shop"}
	s := limitedState("u0", "u1", "u2")
	picked := func(need placement.Need) map[vaneyoke.UpstreamID]bool {
		found := map[vaneyoke.UpstreamID]bool{}
		for range 50 {
			if u, _, ok := s.Pick(now, rng, need); ok {
				found[u.ID] = true
			}
		}
		return found
	}
	for _, id := range []vaneyoke.UpstreamID{"u0", "u1"} {
		s.SetLimit(id, limit)
	}
	must.MapLen(t, 3, picked(call)) // what they offer is used
	free := call
	free.Free = true
	must.Eq(t, map[vaneyoke.UpstreamID]bool{"u2": true}, picked(free))
	s.Withheld(now, "u0", 300*time.Millisecond, 400*time.Millisecond)
	s.Withheld(now, "u1", 200*time.Millisecond, 900*time.Millisecond)
	must.Eq(t, map[vaneyoke.UpstreamID]bool{"u2": true}, picked(call))
	s.SetLimit("u2", limit)
	s.Withheld(now, "u2", time.Second, time.Second)
	must.MapEmpty(t, picked(call))
	var turns []time.Duration
	for range 4 {
		after, ok := s.ComeBack(now, call)
		must.True(t, ok)
		turns = append(turns, after)
	}
	must.Eq(t, []time.Duration{400 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond, time.Second}, turns)
	now = now.Add(250 * time.Millisecond)
	must.Eq(t, map[vaneyoke.UpstreamID]bool{"u1": true}, picked(call))
	s.SetLimit("u2", vaneyoke.Limit{}) // it has ended
	must.MapContainsKey(t, picked(call), "u2")
	_, ok := s.ComeBack(now, placement.Need{Kind: vaneyoke.KindService, Service: "other"})
	must.False(t, ok)
}

// TestUpstreamsInNeedAreSparedQuestionsAndReplicas asks whom a prompt's report, rest or replica is looked for at.
func TestUpstreamsInNeedAreSparedQuestionsAndReplicas(t *testing.T) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	prompt := placement.Need{Kind: vaneyoke.KindService, Service: "shop", Affinity: "p", Bytes: 100, Replicate: true}
	s := limitedState("u0", "u1", "u2")
	s.SetLimit("u0", limit)
	for _, asked := range [][]vaneyoke.Upstream{s.Homes(now, prompt), s.Holders(now, prompt)} {
		must.Len(t, 2, asked)
		for _, u := range asked {
			must.NotEqOp(t, "u0", u.ID)
		}
	}
	for range 30 {
		replica, ok := s.PickReplica(now, rng, prompt, vaneyoke.Upstream{ID: "u1"})
		must.True(t, ok)
		must.EqOp(t, "u2", replica.ID)
	}
	s.SetLimit("u2", limit)
	_, ok := s.PickReplica(now, rng, prompt, vaneyoke.Upstream{ID: "u1"})
	must.False(t, ok)
}

// TestLimitOfAnUpstreamThatIsNotListedYet is known before the list is.
func TestLimitOfAnUpstreamThatIsNotListedYet(t *testing.T) {
	now := time.Unix(1000, 0)
	s := limitedState("u1")
	s.SetLimit("u0", limit)
	s.SetUpstreams([]vaneyoke.Upstream{{ID: "u0", Kind: vaneyoke.KindService, Service: "shop", State: vaneyoke.StateLive, URL: "http://u0"}})
	must.SliceEmpty(t, s.Homes(now, placement.Need{Kind: vaneyoke.KindService, Service: "shop", Affinity: "p"}))
}
