package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

// twoVersions returns a state with the same number of upstreams of an old and of a new version.
func twoVersions(each int) *placement.State {
	s := placement.New("a", retry.DefaultBreakerConfig())
	var all []vaneyoke.Upstream
	for i := range 2 * each {
		version := vaneyoke.SoftwareVersion("old")
		if i%2 == 1 {
			version = "new"
		}
		id := vaneyoke.UpstreamID(fmt.Sprint(version, i/2))
		all = append(all, vaneyoke.Upstream{
			ID: id, Kind: vaneyoke.KindService, Service: "lm", DataCentre: vaneyoke.DataCentreID(fmt.Sprint(i / 2 % 3)),
			State: vaneyoke.StateLive, Slots: 8, URL: "http://" + string(id), Version: version,
		})
	}
	s.SetUpstreams(all)
	return s
}

// TestVersionsThatGetRequests lists which versions get regular and canary requests for each split.
func TestVersionsThatGetRequests(t *testing.T) {
	type versions map[vaneyoke.SoftwareVersion]bool
	cases := map[string]struct {
		split                 rollout.Split
		regular, canary       versions
		targetOnly, oldFailed versions // regular requests if only the target is listed, and if the old version is unreachable
	}{
		"no share yet": {rollout.Split{Target: "new"}, versions{"old": true}, versions{"old": true}, versions{"new": true}, versions{"old": true}},
		"trial":        {rollout.Split{Target: "new", Share: 0.1}, versions{"old": true}, versions{"new": true}, versions{"new": true}, versions{"old": true}},
		"moved":        {rollout.Split{Target: "new", Share: 1}, versions{"new": true}, versions{"new": true}, versions{"new": true}, versions{"new": true}},
		"reverted":     {rollout.Split{Target: "new", Blocked: true}, versions{"old": true}, versions{"old": true}, nil, versions{"old": true}},
		"held":         {rollout.Split{Held: []vaneyoke.SoftwareVersion{"new"}}, versions{"old": true}, versions{"old": true}, versions{"new": true}, versions{"old": true}},
		"no split":     {rollout.Split{}, versions{"old": true, "new": true}, versions{"old": true, "new": true}, versions{"new": true}, versions{"old": true, "new": true}},
	}
	now := time.Unix(1000, 0)
	got := func(s *placement.State, canary bool, affinity string) versions {
		var found versions
		for n := range 60 {
			wanted := need
			wanted.Canary = canary
			if affinity != "" {
				wanted.Affinity = fmt.Sprint(affinity, n)
			}
			if u, _, ok := s.Pick(now, rng(), wanted); ok {
				if found == nil {
					found = versions{}
				}
				found[u.Version] = true
			}
		}
		return found
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := twoVersions(10)
			s.SetSplit("lm", tc.split)
			must.Eq(t, tc.regular, got(s, false, "p"))
			must.Eq(t, tc.canary, got(s, true, "p"))
			oldFailed := twoVersions(10)
			oldFailed.SetSplit("lm", tc.split)
			for i := range 10 {
				id := vaneyoke.UpstreamID(fmt.Sprint("old", i))
				oldFailed.Sent(now, id)
				oldFailed.Ended(now, id, placement.OutcomeUnreachable, false)
			}
			if name != "no split" {
				must.Eq(t, tc.oldFailed, got(oldFailed, false, ""))
			}
			s.SetUpstreams([]vaneyoke.Upstream{{ID: "new0", Kind: vaneyoke.KindService, Service: "lm", State: vaneyoke.StateLive, URL: "http://new0", Version: "new"}})
			must.Eq(t, tc.targetOnly, got(s, false, ""))
		})
	}
}

// TestCanaryRequestsUseFewUpstreams has canary requests go to the same share of the target's upstreams, and to the same upstreams on every node. A
// replica of a run of the old version stays on that version.
func TestCanaryRequestsUseFewUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := twoVersions(30), twoVersions(30)
	canaries := map[vaneyoke.UpstreamID]bool{}
	for _, s := range []*placement.State{one, other} {
		s.SetSplit("lm", rollout.Split{Target: "new", Share: 0.1})
		for n := range 200 {
			wanted := need
			wanted.Canary, wanted.Affinity = true, fmt.Sprint("p", n)
			u, _, ok := s.Pick(now, rng(), wanted)
			must.True(t, ok)
			must.EqOp(t, "new", u.Version)
			canaries[u.ID] = true
		}
	}
	must.MapLen(t, 3, canaries)
	r := rng()
	for range 100 {
		replica, ok := one.PickReplica(now, r, need, vaneyoke.Upstream{ID: "old0", Service: "lm", DataCentre: "0", Version: "old"})
		must.True(t, ok)
		must.EqOp(t, "old", replica.Version)
	}
	drawn := 0
	for range 10_000 {
		if one.DrawCanary(r, "lm") {
			drawn++
		}
	}
	must.Between(t, 900, drawn, 1100)
}
