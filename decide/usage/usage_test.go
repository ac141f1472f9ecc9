package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/usage"
)

var scenarios = map[string]func(s *simulation){
	"none": func(*simulation) {},
	"answers lost": func(s *simulation) {
		s.lostAnswers = 0
		if s.elapsed()%(15*time.Second) > 10*time.Second {
			s.lostAnswers = 0.3
		}
	},
	"store down periodically": func(s *simulation) { s.storeDown = s.elapsed()%(20*time.Second) > 17*time.Second },
	"platform down":           func(s *simulation) { s.platformDown = s.elapsed() < 30*time.Second },
}

// TestEveryRequestIsReportedOnce runs scenarios in which no node is killed: the report of each window has the requests that began in it and no others, and
// is in time, however often batches and reports were sent.
func TestEveryRequestIsReportedOnce(t *testing.T) {
	for _, nodes := range []int{1, 6, 90, 1043} {
		for name, scenario := range scenarios {
			t.Run(fmt.Sprint(nodes, "/", name), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					s := newSimulation(t, seed, nodes, mutationNone)
					s.run(60*time.Second, 10, func() { scenario(s) })
					s.lostAnswers, s.storeDown, s.platformDown = 0, false, false
					s.run(85*time.Second, 0, nil)
					must.SliceEmpty(t, s.violations)
					excess, missing, all := s.diff()
					must.EqOp(t, 0, excess, must.Sprint("seed ", seed))
					if name == "answers lost" {
						must.LessEq(t, maxDiff*float64(all), float64(missing), must.Sprint("seed ", seed))
					} else {
						must.EqOp(t, 0, missing, must.Sprint("seed ", seed))
					}
					for window := usage.WindowAt(s.startedAt, windowLength) + 1; s.now.Sub(window.End(windowLength)) > deadline; window++ {
						must.MapContainsKey(t, s.reported, window)
						if name != "platform down" {
							must.LessEq(t, deadline, s.reportedAt[window].Sub(window.End(windowLength)), must.Sprint("window ", window))
						}
					}
					must.LessEq(t, 85*3, s.storeCalls)
				}
			})
		}
	}
}

// TestKilledNodesLoseFewCounts kills nodes repeatedly, the root among them: no window has two different reports, and only a small share of the
// requests is missing.
func TestKilledNodesLoseFewCounts(t *testing.T) {
	for _, nodes := range []int{6, 90} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			missingSum, allSum := 0, 0
			for seed := range uint64(6) {
				s := newSimulation(t, seed, nodes, mutationNone)
				s.run(60*time.Second, 10, func() {
					if s.elapsed()%(7*time.Second) == 0 {
						s.kill(s.root(), time.Second)
						s.kill(s.rng.IntN(len(s.nodes)), time.Second)
					}
				})
				s.run(85*time.Second, 0, nil)
				must.SliceEmpty(t, s.violations, must.Sprint("seed ", seed))
				excess, missing, all := s.diff()
				must.EqOp(t, 0, excess, must.Sprint("seed ", seed))
				missingSum, allSum = missingSum+missing, allSum+all
			}
			t.Logf("%d of %d requests are missing", missingSum, allSum)
			must.LessEq(t, maxDiff*float64(allSum), float64(missingSum))
		})
	}
}

// TestMutationsAreDetected breaks one rule of the nodes at a time. Counts that keep arriving late delay the reports by five minutes at most, so the
// simulation runs for longer.
func TestMutationsAreDetected(t *testing.T) {
	simulate := func(m mutation, lossy time.Duration) *simulation {
		s := newSimulation(t, 1, 6, m)
		s.run(lossy, 10, func() { s.lostAnswers = 0.3 })
		s.lostAnswers = 0
		s.run(7*time.Minute, 0, nil)
		return s
	}
	excess, _, _ := simulate(mutationNoWatermarks, 15*time.Second).diff()
	must.Positive(t, excess)
	must.SliceNotEmpty(t, simulate(mutationSendsUnwritten, time.Minute).violations)
}

// TestCountsFromBeforeTheLedgerExists has a node count a request before the root creates the ledger, and send it afterwards: it is reported.
func TestCountsFromBeforeTheLedgerExists(t *testing.T) {
	s := newSimulation(t, 1, 2, mutationNone)
	s.nodes[1].downUntil = s.now.Add(2 * time.Second) // its counts are not sent until then
	early := usage.WindowAt(s.now, windowLength) - 1
	s.nodes[1].aggregator.CountRequest(early, "w0")
	s.run(40*time.Second, 0, nil)
	must.EqOp(t, 1, s.reported[early]["w0"])
}

// TestLongOutage has the store or the platform be down for a quarter of an hour, while 60 workspaces send requests: all counts are sent and written in
// transactions that the store accepts, and each window is reported once.
func TestLongOutage(t *testing.T) {
	for name, outage := range map[string]func(s *simulation, on bool){
		"store":    func(s *simulation, on bool) { s.storeDown = on },
		"platform": func(s *simulation, on bool) { s.platformDown = on },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, 1, 6, mutationNone)
			s.workspaces = 60
			s.run(15*time.Minute, 4, func() { outage(s, s.elapsed() > 20*time.Second) })
			outage(s, false)
			s.run(20*time.Minute, 0, nil)
			must.SliceEmpty(t, s.violations)
			excess, missing, all := s.diff()
			must.EqOp(t, 0, excess)
			must.EqOp(t, 0, missing, must.Sprint("of ", all))
			must.LessEq(t, 20*60*4, s.storeCalls)
		})
	}
}

// TestBufferedCountsAreBounded has a node count for eleven hours while no other node accepts its counts, of more workspaces than it can buffer: it keeps the
// newest, and returns how many it dropped.
func TestBufferedCountsAreBounded(t *testing.T) {
	aggregator := usage.NewAggregator("vm-0", 1)
	total := 0
	for window := range usage.Window(8000) {
		for i := range 20 {
			aggregator.CountRequest(window, vaneyoke.WorkspaceID(fmt.Sprint("w", i)))
			total++
		}
	}
	dropped, _ := aggregator.Dropped()
	buffered := 0
	for batches := aggregator.NextBatches(); len(batches) > 0; batches = aggregator.NextBatches() {
		buffered += countsIn(batches)
		must.LessEq(t, maxHandoffCounts, countsIn(batches))
		aggregator.Acknowledge(batches)
	}
	must.EqOp(t, total, dropped.Requests+buffered)
	must.LessEq(t, 120_000, buffered)
	must.Positive(t, dropped.Requests)
}

// TestInvalidBatches checks batches that no node of this build sends.
func TestInvalidBatches(t *testing.T) {
	const current = usage.Window(1000)
	for name, b := range map[string]usage.Batch{
		"no origin":         {Seq: 1},
		"negative count":    {Origin: "vm", Seq: 1, Counts: usage.Windows{current: {"w": -1}}},
		"too many":          {Origin: "vm", Seq: 1, Counts: usage.Windows{current: {"w": 1 << 40}}},
		"far in the future": {Origin: "vm", Seq: 1, Counts: usage.Windows{current + 1000: {"w": 1}}},
		"no workspace":      {Origin: "vm", Seq: 1, Counts: usage.Windows{current: {"": 1}}},
	} {
		must.False(t, b.Valid(current), must.Sprint(name))
	}
	must.True(t, (&usage.Batch{Origin: "vm", Seq: 1, Counts: usage.Windows{current: {"w": 1}, current - 500: {"w": 1}}}).Valid(current))
}
