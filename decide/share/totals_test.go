package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

func totals(urgent share.Flow, workspaces map[vaneyoke.WorkspaceID]share.Flow, others share.Flow, active int) share.Totals {
	return share.Totals{MeasuredAt: time.Unix(1000, 0), Nodes: 60, Services: map[vaneyoke.ServiceID]share.ServiceTotals{
		"chat": {Urgencies: map[share.Urgency]share.Flow{1: urgent}, Workspaces: workspaces, Others: others, Active: active},
	}}
}

// TestOveruseIsMisjudged checks the ratio of what a workspace had to its max-min fair share.
func TestOveruseIsMisjudged(t *testing.T) {
	waits := share.Flow{Waiting: 1}
	flow := func(offered, admitted, waiting vaneyoke.Tokens) share.Flow {
		return share.Flow{Offered: offered, Admitted: admitted, Waiting: waiting}
	}
	for name, c := range map[string]struct {
		totals share.Totals
		want   map[vaneyoke.WorkspaceID]float64
	}{
		"nothing is known": {share.Totals{}, map[vaneyoke.WorkspaceID]float64{"a": 1}},
		"nothing waits": {
			totals(share.Flow{}, map[vaneyoke.WorkspaceID]share.Flow{"a": flow(900, 900, 0), "b": flow(10, 10, 0)}, share.Flow{}, 2),
			map[vaneyoke.WorkspaceID]float64{"a": 1, "b": 1},
		},
		"all that others ask is met": {
			totals(waits, map[vaneyoke.WorkspaceID]share.Flow{"a": flow(900, 500, 400), "b": flow(10, 10, 0)}, share.Flow{}, 2),
			map[vaneyoke.WorkspaceID]float64{"a": 1, "b": 1, "unknown": 1},
		},
		"both ask more than half": {
			totals(waits, map[vaneyoke.WorkspaceID]share.Flow{"a": flow(900, 300, 0), "b": flow(500, 100, 0)}, share.Flow{}, 2),
			map[vaneyoke.WorkspaceID]float64{"a": 1.5, "b": 1},
		},
		"one asks little, two share the rest": {
			totals(waits, map[vaneyoke.WorkspaceID]share.Flow{"a": flow(900, 280, 0), "b": flow(500, 120, 0), "c": flow(20, 0, 20)}, share.Flow{}, 3),
			map[vaneyoke.WorkspaceID]float64{"a": 280. / 180, "b": 1, "c": 1},
		},
		"the others are ten": {
			totals(waits, map[vaneyoke.WorkspaceID]share.Flow{"a": flow(200, 100, 0)}, flow(150, 80, 50), 11),
			map[vaneyoke.WorkspaceID]float64{"a": 100. / 16.3636363636},
		},
		"the number of others is not known": {
			totals(waits, map[vaneyoke.WorkspaceID]share.Flow{"a": flow(200, 100, 0)}, flow(50, 20, 30), 0),
			map[vaneyoke.WorkspaceID]float64{"a": 100. / 60},
		},
		"rejected only": {
			totals(share.Flow{Rejected: 1}, map[vaneyoke.WorkspaceID]share.Flow{"a": flow(100, 100, 0), "b": flow(100, 20, 0)}, share.Flow{}, 2),
			map[vaneyoke.WorkspaceID]float64{"a": 100. / 60, "b": 1},
		},
		"nothing was admitted": {
			totals(waits, map[vaneyoke.WorkspaceID]share.Flow{"a": flow(100, 0, 0)}, share.Flow{}, 1),
			map[vaneyoke.WorkspaceID]float64{"a": 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for workspace, want := range c.want {
				must.InDelta(t, want, c.totals.Overuse("chat", workspace), 1e-6, must.Sprint(workspace))
				must.EqOp(t, 1, c.totals.Overuse("other", workspace))
			}
		})
	}
}

// TestLessUrgentWorkIsTakenForMoreUrgent checks which waiting work precedes an urgency.
func TestLessUrgentWorkIsTakenForMoreUrgent(t *testing.T) {
	for _, flow := range []share.Flow{{Waiting: 5}, {Rejected: 1}} {
		all := totals(flow, nil, share.Flow{}, 0)
		must.False(t, all.MoreUrgentWaits("chat", 0))
		must.False(t, all.MoreUrgentWaits("chat", 1))
		must.True(t, all.MoreUrgentWaits("chat", 2))
		must.False(t, all.MoreUrgentWaits("other", 2))
	}
	met := totals(share.Flow{Offered: 9, Admitted: 9}, nil, share.Flow{}, 0)
	must.False(t, met.MoreUrgentWaits("chat", 2))
}

// TestLateRequestsIgnoreThoseInTime checks which waiting work precedes late requests of an urgency.
func TestLateRequestsIgnoreThoseInTime(t *testing.T) {
	waits := totals(share.Flow{Waiting: 5}, nil, share.Flow{}, 0)
	must.False(t, waits.WaitsInTime("chat", 0))
	must.True(t, waits.WaitsInTime("chat", 1))
	must.True(t, waits.WaitsInTime("chat", 2))
	must.False(t, waits.WaitsInTime("other", 2))
	must.False(t, totals(share.Flow{Rejected: 1}, nil, share.Flow{}, 0).WaitsInTime("chat", 1))
	must.False(t, totals(share.Flow{Admitted: 50, Waiting: 5}, nil, share.Flow{}, 0).WaitsInTime("chat", 1))
	must.True(t, totals(share.Flow{Admitted: 50, Waiting: 6}, nil, share.Flow{}, 0).WaitsInTime("chat", 1))
}

// TestOldTotalsCountAsFresh checks when totals are too old, and that totals of nothing are never fresh.
func TestOldTotalsCountAsFresh(t *testing.T) {
	all := totals(share.Flow{}, nil, share.Flow{}, 0)
	must.True(t, all.Fresh(all.MeasuredAt.Add(3*time.Second)))
	must.False(t, all.Fresh(all.MeasuredAt.Add(3*time.Second+1)))
	must.False(t, share.Totals{}.Fresh(time.Time{}))
}

// TestSameWorkspaceIsCountedTwice estimates the number of workspaces that many nodes count at the same time.
func TestSameWorkspaceIsCountedTwice(t *testing.T) {
	for _, count := range []int{0, 1, 10, 100, 400} {
		var all share.Sketch
		for range 5 {
			var node share.Sketch
			for i := range count {
				node.Add(vaneyoke.WorkspaceID(fmt.Sprint("workspace-", i)))
			}
			all.Merge(node)
		}
		must.InDelta(t, float64(count), float64(all.Count()), 1+0.15*float64(count))
	}
}

// TestSmallWaitsAnywhereRestrictNobody has a fleet that admits 300,000 tokens a second let some more urgent work wait: a single waiting token
// anywhere restricted all less urgent work, and the workspaces over their fair share.
func TestSmallWaitsAnywhereRestrictNobody(t *testing.T) {
	for name, tc := range map[string]struct {
		urgent, routine share.Flow
		restricts       bool
	}{
		"one token":                       {share.Flow{Admitted: 100_000, Waiting: 1}, share.Flow{Admitted: 200_000}, false},
		"a tenth of a second":             {share.Flow{Admitted: 100_000, Waiting: 30_000}, share.Flow{Admitted: 200_000}, false},
		"more than that":                  {share.Flow{Admitted: 100_000, Waiting: 30_001}, share.Flow{Admitted: 200_000}, true},
		"a request of a small service":    {share.Flow{Admitted: 800, Waiting: 500}, share.Flow{Admitted: 800}, true},
		"nothing is admitted":             {share.Flow{Waiting: 1}, share.Flow{}, true},
		"one is rejected":                 {share.Flow{Admitted: 100_000, Rejected: 1}, share.Flow{Admitted: 200_000}, true},
		"only less urgent work waits":     {share.Flow{Admitted: 100_000}, share.Flow{Admitted: 200_000, Waiting: 90_000}, false},
		"only less urgent work is denied": {share.Flow{Admitted: 100_000}, share.Flow{Admitted: 200_000, Rejected: 9}, false},
	} {
		t.Run(name, func(t *testing.T) {
			all := share.Totals{Services: map[vaneyoke.ServiceID]share.ServiceTotals{"chat": {
				Urgencies:  map[share.Urgency]share.Flow{1: tc.urgent, 2: tc.routine},
				Workspaces: map[vaneyoke.WorkspaceID]share.Flow{"a": {Offered: 900, Admitted: 300}, "b": {Offered: 500, Admitted: 100}}, Active: 2,
			}}}
			must.EqOp(t, tc.restricts, all.MoreUrgentWaits("chat", 2))
			must.False(t, all.MoreUrgentWaits("chat", 1))
			contended := tc.restricts || tc.routine.Waiting > 30_000 || tc.routine.Rejected > 0
			must.EqOp(t, contended, all.Overuse("chat", "a") > 1)
		})
	}
}
