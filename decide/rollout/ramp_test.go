package rollout_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

// TestRampIsRevertedAtDeadlineWithoutVerdict reaches the deadline during the ramp while the deciding node knows too few answers, because the
// node that had counted them has ended. The rollout must be reverted, since completing it would stop the old upstreams.
func TestRampIsRevertedAtDeadlineWithoutVerdict(t *testing.T) {
	const deadline = vaneyoke.StoreTime(time.Hour)
	for name, tc := range map[string]struct {
		left  time.Duration
		known int // good answers of the target and of the baseline, each
		want  rollout.Stage
	}{
		"before the deadline":               {3 * time.Second, 0, 0},
		"near the deadline":                 {500 * time.Millisecond, 0, rollout.StageReverted},
		"after the deadline":                {-time.Second, 0, rollout.StageReverted},
		"good near the deadline":            {500 * time.Millisecond, 4000, rollout.StageFull},
		"too few answers near the deadline": {500 * time.Millisecond, 3, rollout.StageReverted},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := rollout.New("vm-9", rollout.Config{Exposure: exposure})
			s.Handle(now, rollout.OrdersUpdated{Orders: []rollout.Order{{Service: service, Target: "new", Within: 8 * time.Second, Revision: 10}}})
			s.Handle(now, rollout.RecordsUpdated{Rows: []rollout.Row{{Revision: 11, Record: rollout.Record{
				Service: service, Target: "new", Order: 10, Stage: rollout.StageRamp, Deadline: deadline, WrittenBy: "vm-0",
			}}}})
			stats := rollout.VersionStats{Answers: tc.known, Latency: rollout.Histogram{5: tc.known}}
			s.Handle(now, rollout.ReportReceived{From: "vm-1", Reports: []rollout.Report{{
				ID: rollout.ID{Service: service, Order: 10}, Stage: rollout.StageRamp, Tally: rollout.Tally{"r": {Baseline: stats, Target: stats}},
			}}})
			now = now.Add(2 * time.Second)
			s.Handle(now, rollout.ReportReceived{From: "vm-1", Reports: []rollout.Report{{
				ID: rollout.ID{Service: service, Order: 10}, Stage: rollout.StageRamp, Tally: rollout.Tally{"r": {Baseline: stats, Target: stats}},
			}}})
			s.Handle(now, rollout.Tick{ReadsStore: true})
			var got rollout.Stage
			for _, effect := range append(s.Handle(now, rollout.ClockRead{At: deadline - vaneyoke.StoreTime(tc.left)}), s.Handle(now, rollout.Tick{ReadsStore: true})...) {
				if write, ok := effect.(rollout.Write); ok {
					got = write.Record.Stage
				}
			}
			must.EqOp(t, tc.want, got)
		})
	}
}

// TestInvalidReportsDelayCompletion receives impossible reports from a child node of an unknown build: they delay the rollout, and their
// counts are ignored.
func TestInvalidReportsDelayCompletion(t *testing.T) {
	for name, report := range map[string]rollout.Report{
		"unknown later stage": {Stage: 99},
		"negative stage":      {Stage: -1},
		"negative running":    {Stage: rollout.StageFull, Running: -3},
		"negative answers":    {Stage: rollout.StageFull, Running: 1, Tally: rollout.Tally{"r": {Target: rollout.VersionStats{Answers: -5, Failed: -9}}}},
		"unknown bucket":      {Stage: rollout.StageFull, Running: 1, Tally: rollout.Tally{"r": {Target: rollout.VersionStats{Latency: rollout.Histogram{-1: 3, 99: 1 << 40}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := rollout.New("vm-9", rollout.Config{Exposure: exposure})
			s.Handle(now, rollout.RecordsUpdated{Rows: []rollout.Row{{Revision: 11, Record: rollout.Record{Service: service, Target: "new", Order: 10, Stage: rollout.StageFull}}}})
			report.ID = rollout.ID{Service: service, Order: 10}
			s.Handle(now, rollout.ReportReceived{From: "vm-1", Reports: []rollout.Report{report}})
			reports := s.Reports()
			must.Len(t, 1, reports)
			must.True(t, reports[0].Stage < rollout.StageFull || reports[0].Running > 0) // the rollout is not complete
			for _, stats := range reports[0].Tally {
				must.GreaterEq(t, 0, stats.Target.Answers)
				must.MapEmpty(t, stats.Target.Latency)
			}
		})
	}
}
