package pinning_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
)

type routeTargets = map[pinning.RouteName][]vaneyoke.ServiceID

type serviceList = []vaneyoke.ServiceID

// rowOf returns a service's record with one version.
func rowOf(service vaneyoke.ServiceID, stage pinning.VersionStage) pinning.ServiceVersions {
	return pinning.ServiceVersions{Service: service, Complete: true, Revision: 1, Versions: []pinning.ServiceVersion{{Version: "v1", Stage: stage}}}
}

// Guards against a stream that goes on at another service, since the one that began it is none of those to which its route leads now.
func TestServiceThatRouteHasLeftIsForgotten(t *testing.T) {
	to := func(services ...vaneyoke.ServiceID) routeTargets { return routeTargets{"tell": services} }
	both := []pinning.ServiceVersions{rowOf("a", pinning.StageAdmitted), rowOf("b", pinning.StageAdmitted)}
	cases := map[string]struct {
		rows   []pinning.ServiceVersions
		tables []routeTargets // a second apart
		asked  vaneyoke.ServiceID
		after  time.Duration
		former serviceList
		mixed  serviceList
	}{
		"the route stays": {both, []routeTargets{to("a", "b"), to("a", "b")}, "a", 0, nil, nil},
		"it moves":        {both, []routeTargets{to("a"), to("b")}, "b", 0, serviceList{"a"}, serviceList{"a", "b"}},
		"it moves before the store has any record": {nil, []routeTargets{to("a"), to("b")}, "b", 0, serviceList{"a"}, serviceList{"a", "b"}},
		"it moves twice":                              {both, []routeTargets{to("a"), to("b"), to("c")}, "c", 0, serviceList{"a", "b"}, serviceList{"a", "b", "c"}},
		"it comes back":                               {both, []routeTargets{to("a"), to("b"), to("a")}, "a", 0, serviceList{"b"}, serviceList{"a", "b"}},
		"it leads to one of two":                      {both, []routeTargets{to("a", "b"), to("b")}, "b", 0, serviceList{"a"}, serviceList{"a", "b"}},
		"it is gone meanwhile":                        {both, []routeTargets{to("a"), {}, to("b")}, "b", 0, serviceList{"a"}, serviceList{"a", "b"}},
		"another route leads to both":                 {both, []routeTargets{{"tell": {"a"}, "say": {"a", "b"}}, {"tell": {"b"}, "say": {"a", "b"}}}, "b", 0, serviceList{"a"}, serviceList{"a", "b"}},
		"another route moves":                         {both, []routeTargets{{"tell": {"a"}, "say": {"b"}}, {"tell": {"a"}, "say": {"c"}}}, "a", 0, nil, serviceList{"b", "c"}},
		"moved so long ago that no caller comes back": {nil, []routeTargets{to("a"), to("b")}, "b", time.Minute, nil, nil},
		"the store's record still has its versions":   {both, []routeTargets{to("a"), to("b")}, "b", time.Minute, serviceList{"a"}, serviceList{"a", "b"}},
		"moved before this node started":              {both, []routeTargets{to("b")}, "b", 0, serviceList{"a"}, serviceList{"a", "b"}},
		"announced there, but never begun":            {[]pinning.ServiceVersions{rowOf("a", pinning.StageAnnounced)}, []routeTargets{to("b")}, "b", 0, nil, nil},
		"no configuration is known":                   {both, nil, "b", 0, nil, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r, now := pinning.NewVersionRegistry(), epoch
			r.SetRows(tc.rows)
			for _, table := range tc.tables {
				r.SetRoutes(now, table)
				now = now.Add(time.Second)
			}
			r.ForgetRoutes(now.Add(tc.after), 50*time.Second)
			must.Eq(t, tc.former, r.Former(serviceList{tc.asked}))
			must.Eq(t, tc.mixed, r.Mixed())
		})
	}
}

// Guards against a record that names the versions of a service for good to which no route of streams leads any more, and against one that is written again and again.
func TestVersionsOfAServiceWithoutStreamsAreForgotten(t *testing.T) {
	r := pinning.NewVersionRegistry()
	r.SetUpstreams(listed(vaneyoke.StateLive, "v1"))
	r.SetRows([]pinning.ServiceVersions{rowOf("lm", pinning.StageAdmitted)})
	r.SetRoutes(epoch, routeTargets{"tell": {"lm-next"}})
	must.Eq(t, serviceList{"lm"}, r.Outdated())
	row, stages := stagesAfter(rowOf("lm", pinning.StageAdmitted), recordConfig, listedFor{r.Listed("lm"), 49 * time.Second})
	must.Eq(t, []string{"v1:retired"}, stages)
	row, _ = stagesAfter(row, recordConfig, listedFor{r.Listed("lm"), 51 * time.Second})
	must.SliceEmpty(t, row.Versions)
	r.SetRows([]pinning.ServiceVersions{row})
	must.SliceEmpty(t, r.Outdated())
	must.SliceEmpty(t, r.Mixed())
	must.MapEmpty(t, r.Announced())
	r.SetRoutes(epoch, routeTargets{"tell": {"lm"}})
	must.Eq(t, serviceList{"lm"}, r.Outdated())
	versions, isComplete := r.Candidates("lm")
	must.Eq(t, versionList{"v1"}, versions)
	must.True(t, isComplete)
}
