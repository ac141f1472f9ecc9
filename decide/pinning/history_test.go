package pinning_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
)

func listed(state vaneyoke.UpstreamState, versions ...vaneyoke.SoftwareVersion) []vaneyoke.Upstream {
	var all []vaneyoke.Upstream
	for _, v := range versions {
		all = append(all, vaneyoke.Upstream{Kind: vaneyoke.KindService, Service: "lm", State: state, Version: v})
	}
	return all
}

// Guards against callers who wait for a version that is gone, or are told so while its upstreams restart under other ids.
func TestVersionsThatAreGone(t *testing.T) {
	start := time.Unix(1000, 0)
	h := pinning.NewHistory()
	gone := func(after time.Duration, version vaneyoke.SoftwareVersion) bool {
		return h.IsGone(start.Add(after), vaneyoke.KindService, "lm", version)
	}
	must.EqOp(t, 0, h.Watched(start))
	h.Update(start, listed(vaneyoke.StateLive, "v1", "v2"))
	must.False(t, gone(time.Hour, "v1")) // it is still listed
	must.False(t, gone(time.Hour, "v3")) // the list may be late
	h.Update(start.Add(time.Minute), append(listed(vaneyoke.StateLive, "v2"), listed(vaneyoke.StateLeaving, "v1", "v2")...))
	must.True(t, gone(time.Minute, "v1"))
	must.False(t, gone(time.Minute, "v2"))
	h.Update(start.Add(2*time.Minute), listed(vaneyoke.StateLive, "v1"))
	must.False(t, gone(2*time.Minute+time.Second, "v2")) // its upstreams may be listed again under other ids
	must.True(t, gone(2*time.Minute+3*time.Second, "v2"))
	h.Update(start.Add(3*time.Minute), listed(vaneyoke.StateLive, "v1", "v2"))
	must.False(t, gone(3*time.Minute, "v2"))
	must.EqOp(t, 3*time.Minute, h.Watched(start.Add(3*time.Minute)))
}

// Guards against streams of a version that has just left, which would go on at the only one that is still listed.
func TestVersionsThatWereListed(t *testing.T) {
	start := time.Unix(1000, 0)
	h := pinning.NewHistory()
	h.Update(start, listed(vaneyoke.StateLive, "v2", "v1", "", "v1"))
	must.Eq(t, []vaneyoke.SoftwareVersion{"", "v1", "v2"}, h.Versions(start, "lm"))
	must.SliceEmpty(t, h.Versions(start, "another"))
	h.Update(start.Add(time.Minute), listed(vaneyoke.StateLive, "v2"))
	must.Eq(t, []vaneyoke.SoftwareVersion{"", "v1", "v2"}, h.Versions(start.Add(2*time.Minute), "lm"))
	h.Update(start.Add(2*time.Minute), listed(vaneyoke.StateLive, "v2"))
	must.Eq(t, []vaneyoke.SoftwareVersion{"v2"}, h.Versions(start.Add(12*time.Minute), "lm"))
	h.Update(start.Add(13*time.Minute), nil)
	must.Eq(t, []vaneyoke.SoftwareVersion{"v2"}, h.Versions(start.Add(13*time.Minute), "lm"))
}
