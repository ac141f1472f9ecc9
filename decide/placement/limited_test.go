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

// TestUpstreamsAtTheirLimitGetNothing has two of three upstreams reach their rate limits: requests go to the third. When that is at its limit, too,
// callers get retry-after times that follow one another.
func TestUpstreamsAtTheirLimitGetNothing(t *testing.T) {
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
	must.MapLen(t, 3, picked(call)) // below their limits all are used
	unlimited := call
	unlimited.Unlimited = true
	must.Eq(t, map[vaneyoke.UpstreamID]bool{"u2": true}, picked(unlimited))
	s.LimitReached(now, "u0", 300*time.Millisecond, 400*time.Millisecond)
	s.LimitReached(now, "u1", 200*time.Millisecond, 900*time.Millisecond)
	must.Eq(t, map[vaneyoke.UpstreamID]bool{"u2": true}, picked(call))
	s.SetLimit("u2", limit)
	s.LimitReached(now, "u2", time.Second, time.Second)
	must.MapEmpty(t, picked(call))
	var retryAfter []time.Duration
	for range 4 {
		after, ok := s.LimitRetryAfter(now, call)
		must.True(t, ok)
		retryAfter = append(retryAfter, after)
	}
	must.Eq(t, []time.Duration{400 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond, time.Second}, retryAfter)
	now = now.Add(250 * time.Millisecond)
	must.Eq(t, map[vaneyoke.UpstreamID]bool{"u1": true}, picked(call))
	s.SetLimit("u2", vaneyoke.Limit{}) // its limit has been removed
	must.MapContainsKey(t, picked(call), "u2")
	_, ok := s.LimitRetryAfter(now, placement.Need{Kind: vaneyoke.KindService, Service: "other"})
	must.False(t, ok)
}

// TestLimitedUpstreamsGetNoQueriesOrReplicas leaves upstreams with a declared limit out of report queries, prompt searches and replicas.
func TestLimitedUpstreamsGetNoQueriesOrReplicas(t *testing.T) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	prompt := placement.Need{Kind: vaneyoke.KindService, Service: "shop", Affinity: "p", PromptBytes: 100, Replicate: true}
	s := limitedState("u0", "u1", "u2")
	s.SetLimit("u0", limit)
	for _, targets := range [][]vaneyoke.Upstream{s.AffinityUpstreams(now, prompt), s.PromptHolders(now, prompt)} {
		must.Len(t, 2, targets)
		for _, u := range targets {
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

// TestLimitOfUnlistedUpstreamIsKept sets the limit of an upstream before it is listed.
func TestLimitOfUnlistedUpstreamIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	s := limitedState("u1")
	s.SetLimit("u0", limit)
	s.SetUpstreams([]vaneyoke.Upstream{{ID: "u0", Kind: vaneyoke.KindService, Service: "shop", State: vaneyoke.StateLive, URL: "http://u0"}})
	must.SliceEmpty(t, s.AffinityUpstreams(now, placement.Need{Kind: vaneyoke.KindService, Service: "shop", Affinity: "p"}))
}
