package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

// Guards against streams that begin at a version before all nodes have recorded theirs, and against requests that find no upstream because of that.
func TestAnnouncedVersionsBeginNoStreams(t *testing.T) {
	now := time.Unix(1000, 0)
	upstream := func(id vaneyoke.UpstreamID, version vaneyoke.SoftwareVersion) vaneyoke.Upstream {
		return vaneyoke.Upstream{ID: id, Kind: need.Kind, Service: need.Service, State: vaneyoke.StateLive, URL: "http://" + string(id), Version: version}
	}
	before, after := upstream("before", "v1"), upstream("after", "v2")
	leaving := before
	leaving.State = vaneyoke.StateLeaving
	stream, pinned := need, need
	stream.Continuable, pinned.Continuable = true, true
	pinned.Pin = vaneyoke.PinTo(&after)
	cases := map[string]struct {
		upstreams []vaneyoke.Upstream
		need      placement.Need
		want      map[vaneyoke.UpstreamID]bool
	}{
		"a stream":                                {[]vaneyoke.Upstream{before, after}, stream, map[vaneyoke.UpstreamID]bool{"before": true}},
		"a stream, the others take no work":       {[]vaneyoke.Upstream{leaving, after}, stream, map[vaneyoke.UpstreamID]bool{"after": true}},
		"a stream that it has begun":              {[]vaneyoke.Upstream{before, after}, pinned, map[vaneyoke.UpstreamID]bool{"after": true}},
		"a request that nobody else goes on with": {[]vaneyoke.Upstream{before, after}, need, map[vaneyoke.UpstreamID]bool{"before": true, "after": true}},
	}
	for name, tc := range cases {
		for how, listsFirst := range map[string]bool{"announced before it is listed": false, "announced after": true} {
			t.Run(name+", "+how, func(t *testing.T) {
				s, random := placement.New("a", retry.DefaultBreakerConfig()), rng()
				announced := map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion{need.Service: {"v2"}}
				if !listsFirst {
					s.SetAnnounced(announced)
				}
				s.SetUpstreams(tc.upstreams)
				s.SetAnnounced(announced)
				got := map[vaneyoke.UpstreamID]bool{}
				for range 50 {
					u, _, ok := s.Pick(now, random, tc.need)
					must.True(t, ok)
					got[u.ID] = true
				}
				must.Eq(t, tc.want, got)
				s.SetAnnounced(nil)
				if !tc.need.Pin.IsSet && len(tc.want) == 1 && tc.want["before"] {
					for range 50 {
						u, _, _ := s.Pick(now, random, tc.need)
						got[u.ID] = true
					}
					must.MapLen(t, 2, got)
				}
			})
		}
	}
}
