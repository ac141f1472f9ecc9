package pinning_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
)

type versionList = []vaneyoke.SoftwareVersion

var recordConfig = pinning.VersionsConfig{AdmissionDelay: time.Second, Retention: 50 * time.Second, Uptime: time.Hour}

const hour = vaneyoke.StoreTime(time.Hour)

// stagesAfter returns a record's versions after lists of upstreams, each of which holds for a while.
func stagesAfter(s pinning.ServiceVersions, config pinning.VersionsConfig, lists ...listedFor) (pinning.ServiceVersions, []string) {
	now := hour
	for _, l := range lists {
		for until := now.Add(l.lasts); now < until; {
			next, changed, due := s.Advance(now, l.versions, config)
			if changed { // what has not changed is not written
				next.Revision++
				s = next
			}
			if due == 0 {
				due = l.lasts
			}
			now = min(now.Add(due), until)
		}
	}
	var stages []string
	for _, v := range s.Versions {
		stages = append(stages, v.String())
	}
	return s, stages
}

type listedFor struct {
	versions versionList
	lasts    time.Duration
}

// Guards against versions that begin streams before all nodes record theirs, and against versions that are forgotten while callers may come back.
func TestStagesOfVersions(t *testing.T) {
	recorded := pinning.ServiceVersions{Service: "lm", Complete: true, Revision: 1, Versions: []pinning.ServiceVersion{{Version: "v1", Stage: pinning.StageAdmitted, Since: 1}}}
	restarted := recordConfig
	restarted.Uptime = 0
	announced := pinning.ServiceVersions{Service: "lm", Complete: true, Revision: 2, Versions: []pinning.ServiceVersion{
		{Version: "v1", Stage: pinning.StageAdmitted, Since: 1}, {Version: "v2", Stage: pinning.StageAnnounced, Since: hour - 1},
	}}
	both := versionList{"v1", "v2"}
	cases := map[string]struct {
		from   pinning.ServiceVersions
		config pinning.VersionsConfig
		lists  []listedFor
		want   []string
	}{
		"a new one is announced":                        {recorded, recordConfig, []listedFor{{both, 900 * time.Millisecond}}, []string{"v1:admitted", "v2:announced"}},
		"and admitted":                                  {recorded, recordConfig, []listedFor{{both, 1100 * time.Millisecond}}, []string{"v1:admitted", "v2:admitted"}},
		"another list that lacks it is older":           {recorded, recordConfig, []listedFor{{both, 100 * time.Millisecond}, {versionList{"v1"}, 500 * time.Millisecond}}, []string{"v1:admitted", "v2:announced"}},
		"one that leaves stays for a while":             {recorded, recordConfig, []listedFor{{both, 10 * time.Second}, {versionList{"v2"}, 49 * time.Second}}, []string{"v1:retired", "v2:admitted"}},
		"and is forgotten then":                         {recorded, recordConfig, []listedFor{{both, 10 * time.Second}, {versionList{"v2"}, 51 * time.Second}}, []string{"v2:admitted"}},
		"one that comes back":                           {recorded, recordConfig, []listedFor{{both, 10 * time.Second}, {versionList{"v2"}, 10 * time.Second}, {both, 3 * time.Second}}, []string{"v1:admitted", "v2:admitted"}},
		"one that replaces all others":                  {recorded, recordConfig, []listedFor{{versionList{"v2"}, 100 * time.Millisecond}}, []string{"v1:retired", "v2:admitted"}},
		"admitted late by a process that just started":  {announced, restarted, []listedFor{{both, 5 * time.Millisecond}}, []string{"v1:admitted", "v2:announced"}},
		"one that began streams while no other could":   {announced, restarted, []listedFor{{versionList{"v2"}, 5 * time.Millisecond}, {both, 5 * time.Millisecond}}, []string{"v1:retired", "v2:admitted"}},
		"and the other is back":                         {announced, restarted, []listedFor{{versionList{"v2"}, 2 * time.Second}, {both, 3 * time.Second}}, []string{"v1:admitted", "v2:admitted"}},
		"admitted at once by one that has run for long": {announced, recordConfig, []listedFor{{both, 1100 * time.Millisecond}}, []string{"v1:admitted", "v2:admitted"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, stages := stagesAfter(tc.from, tc.config, tc.lists...)
			must.Eq(t, tc.want, stages)
		})
	}
}

// Guards against a record that is held to name all versions although earlier builds may have begun streams before it was begun.
func TestRecordIsCompleteOnceNoEarlierStreamIsLeft(t *testing.T) {
	first := recordConfig
	first.NoEarlierBuilds = true
	s, _ := stagesAfter(pinning.ServiceVersions{Service: "lm"}, first, listedFor{versionList{"v1"}, time.Second})
	must.True(t, s.Complete)
	s, _ = stagesAfter(pinning.ServiceVersions{Service: "lm"}, recordConfig, listedFor{versionList{"v1"}, 49 * time.Second})
	must.False(t, s.Complete)
	s, _ = stagesAfter(s, recordConfig, listedFor{versionList{"v1"}, 51 * time.Second})
	must.True(t, s.Complete)
}

// Guards against a version that is not recorded yet and counts for none that may have begun streams, though no other could begin them.
func TestVersionThatServesAloneCounts(t *testing.T) {
	r := pinning.NewVersionRegistry()
	r.SetRoutes(epoch, map[pinning.RouteName][]vaneyoke.ServiceID{"tell": {"lm"}})
	r.SetRows([]pinning.ServiceVersions{{Service: "lm", Complete: true, Versions: []pinning.ServiceVersion{{Version: "v1", Stage: pinning.StageAdmitted}}}})
	r.SetUpstreams(listed(vaneyoke.StateLive, "v1", "v2"))
	versions, isComplete := r.Candidates("lm")
	must.True(t, isComplete)
	must.Eq(t, versionList{"v1"}, versions)
	must.Eq(t, map[vaneyoke.ServiceID]versionList{"lm": {"v2"}}, r.Announced())
	must.Eq(t, []vaneyoke.ServiceID{"lm"}, r.Mixed())
	r.SetUpstreams(listed(vaneyoke.StateLive, "v2"))
	versions, _ = r.Candidates("lm")
	must.Eq(t, versionList{"v1", "v2"}, versions)
}
