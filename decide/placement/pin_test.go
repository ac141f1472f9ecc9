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

// Guards against answers that go on at another software version because of a split, a replica, a cached prompt, or the loss of all upstreams of theirs.
func TestPinnedAttemptsLeaveTheirVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	splits := map[string]struct {
		split rollout.Split
		moved bool // whether attempts that are pinned to the new version get no upstream
	}{
		"no split":   {},
		"trial":      {split: rollout.Split{Target: "new", Share: 0.1}},
		"moved":      {split: rollout.Split{Target: "new", Share: 1}},
		"held":       {split: rollout.Split{Held: []vaneyoke.SoftwareVersion{"new"}}},
		"taken back": {split: rollout.Split{Target: "new", Blocked: true}, moved: true},
	}
	for name, tc := range splits {
		t.Run(name, func(t *testing.T) {
			for _, version := range []vaneyoke.SoftwareVersion{"old", "new"} {
				s := twoVersions(4)
				s.SetSplit("lm", tc.split)
				pinned := need
				pinned.Pin = vaneyoke.Pin{IsSet: true, Version: version}
				for n := range 40 {
					pinned.Canary, pinned.Affinity = n%2 == 0, []string{"", fmt.Sprint("prompt ", n)}[n/2%2]
					u, _, ok := s.Pick(now, rng(), pinned)
					must.EqOp(t, tc.moved && version == "new", !ok)
					must.EqOp(t, !ok, s.IsPinnedToBlocked(pinned))
					if !ok {
						continue
					}
					must.EqOp(t, version, u.Version)
					for _, holder := range s.PromptHolders(now, pinned) {
						must.EqOp(t, version, holder.Version)
					}
					other := map[vaneyoke.SoftwareVersion]vaneyoke.UpstreamID{"old": "new0", "new": "old0"}[version]
					pinned.Prefer = vaneyoke.Upstream{URL: "http://" + string(other)}
					u, _, _ = s.Pick(now, rng(), pinned)
					must.EqOp(t, version, u.Version)
					pinned.Prefer = vaneyoke.Upstream{}
				}
			}
		})
	}
}

// Guards against attempts that are sent to another version when all upstreams of their own are down or gone.
func TestPinnedAttemptsOfALostVersionGoElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoVersions(2)
	pinned := need
	pinned.Pin = vaneyoke.Pin{IsSet: true, Version: "old"}
	for _, id := range []vaneyoke.UpstreamID{"old0", "old1"} {
		s.Sent(now, id)
		s.Ended(now, id, placement.OutcomeUnreachable, false)
	}
	u, _, ok := s.Pick(now, rng(), pinned)
	must.True(t, ok) // the tier whose circuit breakers are open
	must.EqOp(t, "old", u.Version)
	s.SetUpstreams([]vaneyoke.Upstream{{ID: "new0", Kind: vaneyoke.KindService, Service: "lm", State: vaneyoke.StateLive, Slots: 8, URL: "http://new0", Version: "new"}})
	_, _, ok = s.Pick(now, rng(), pinned)
	must.False(t, ok)
	must.False(t, s.Offers(pinned))
}

// Guards against replicas at another software version, from which no run may go on.
func TestReplicasAreKeptAtAnotherVersion(t *testing.T) {
	s := twoVersions(4)
	for n := range 40 {
		primary := vaneyoke.Upstream{ID: "old0", DataCentre: vaneyoke.DataCentreID(fmt.Sprint(n % 4)), Version: "old", Service: "lm"}
		replica, ok := s.PickReplica(time.Unix(1000, 0), rng(), need, primary)
		must.True(t, ok)
		must.EqOp(t, "old", replica.Version)
	}
}

// Guards against streams that begin or go on at an upstream which has restarted, at the version that the list names for its earlier incarnation.
func TestVersionOfRestartedUpstreamIsRelied(t *testing.T) {
	now := time.Unix(1000, 0)
	upstream := func(id vaneyoke.UpstreamID, incarnation vaneyoke.Incarnation, version vaneyoke.SoftwareVersion) vaneyoke.Upstream {
		return vaneyoke.Upstream{
			ID: id, Kind: vaneyoke.KindService, Service: "lm", State: vaneyoke.StateLive, Slots: 8, URL: "http://" + string(id), Version: version, Incarnation: incarnation,
		}
	}
	listed := []vaneyoke.Upstream{upstream("a", 5, "v1"), upstream("b", 5, "v1")}
	s := placement.New("a", retry.DefaultBreakerConfig())
	s.SetUpstreams(listed)
	s.Reported(now, "a", vaneyoke.LoadReport{Incarnation: 6})
	s.SetUpstreams(listed) // the old entry again
	stream, pinned, call := need, need, need
	stream.Continuable, pinned.Pin = true, vaneyoke.Pin{IsSet: true, Version: "v1"}
	r := rng()
	picked := func(need placement.Need) map[vaneyoke.UpstreamID]bool {
		found := map[vaneyoke.UpstreamID]bool{}
		for range 60 {
			if u, _, ok := s.Pick(now, r, need); ok {
				found[u.ID] = true
				s.Sent(now, u.ID)
				defer s.Ended(now, u.ID, placement.OutcomeDropped, false)
			}
		}
		return found
	}
	must.Eq(t, map[vaneyoke.UpstreamID]bool{"b": true}, picked(stream))
	must.Eq(t, map[vaneyoke.UpstreamID]bool{"b": true}, picked(pinned))
	must.Eq(t, map[vaneyoke.UpstreamID]bool{"a": true, "b": true}, picked(call))
	s.SetUpstreams(listed[:1])
	must.Eq(t, map[vaneyoke.UpstreamID]bool{"a": true}, picked(stream)) // rather than none
	must.MapEmpty(t, picked(pinned))
	begun := need
	restarted, _ := s.Upstream("a")
	begun.Pin = vaneyoke.PinTo(&restarted)
	must.Eq(t, map[vaneyoke.UpstreamID]bool{"a": true}, picked(begun)) // the process that began it has one version, known or not
	s.Reported(now, "a", vaneyoke.LoadReport{Incarnation: 7})
	must.MapEmpty(t, picked(begun))
	s.SetUpstreams([]vaneyoke.Upstream{upstream("a", 7, "v2"), upstream("b", 5, "v1")})
	u, _ := s.Upstream("a")
	must.False(t, u.VersionUnknown)
	must.EqOp(t, "v2", u.Version)
	s.Reported(now, "a", vaneyoke.LoadReport{Incarnation: 8})
	s.SetUpstreams([]vaneyoke.Upstream{upstream("a", 0, "v2")})
	must.Eq(t, map[vaneyoke.UpstreamID]bool{"a": true}, picked(stream)) // its entry does not state an incarnation
	u, _ = s.Upstream("a")
	must.False(t, u.VersionUnknown)
}

// Guards against a restart that goes unnoticed because a report of just before it is relied on.
func TestReportOfBeforeALossIsRelied(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoVersions(1)
	must.False(t, s.IsConfirmed(now, "old0"))
	s.Reported(now, "old0", vaneyoke.LoadReport{Incarnation: 5, AskedAt: now})
	must.True(t, s.IsConfirmed(now.Add(50*time.Millisecond), "old0"))
	must.False(t, s.IsConfirmed(now.Add(100*time.Millisecond), "old0"))
	for _, outcome := range []placement.Outcome{placement.OutcomeLost, placement.OutcomeFailed, placement.OutcomeUnreachable, placement.OutcomePathLost} {
		s.Reported(now, "old0", vaneyoke.LoadReport{Incarnation: 5, AskedAt: now})
		must.True(t, s.IsConfirmed(now, "old0"))
		s.Sent(now, "old0")
		s.Ended(now.Add(time.Millisecond), "old0", outcome, false)
		must.False(t, s.IsConfirmed(now.Add(2*time.Millisecond), "old0"))
		now = now.Add(10 * time.Millisecond)
	}
}

// Guards against a restart that goes unnoticed because a report that was read late, by a node that had stood still, is taken for one of that moment.
func TestReportReadLateIsReliedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoVersions(1)
	s.Reported(now, "old0", vaneyoke.LoadReport{Incarnation: 5, AskedAt: now.Add(-time.Second)})
	must.False(t, s.IsConfirmed(now, "old0"))
	s.Reported(now, "old0", vaneyoke.LoadReport{Incarnation: 5})
	must.False(t, s.IsConfirmed(now, "old0"))
}
