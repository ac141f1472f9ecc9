package placement_test

import (
	"cmp"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowChunkTime is how long engines that read 3 tokens a millisecond take for a chunk of a prompt.
const slowChunkTime = outageChunk * time.Millisecond / 3

// deadlineOracle chooses, with full knowledge of all engines, the one with the shortest queue among those with room. A request that would miss its
// latency goal there is rejected, and rejected for good at its retry; or, without rejections, it waits until an engine is idle and is sent anyway after
// half of the caller's time.
type deadlineOracle struct {
	rejects bool
	retried map[*outageRun]bool
}

func (o deadlineOracle) choose(sim *outageSim, r *outageRun) (*outageEngine, time.Duration) {
	overdue := !o.rejects && sim.now-r.arrivedAt > outageTimeout/2
	best := sim.shortestQueue(r, r.generated > 0 || overdue)
	if best == nil || (r.generated == 0 && !overdue && !o.accepts(sim, best, r)) {
		return nil, o.retryAfter(r)
	}
	return best, 0
}

func (o deadlineOracle) accepts(sim *outageSim, e *outageEngine, r *outageRun) bool {
	isIdle := len(e.queue) == 0 && len(e.runs) == 0
	return sim.now-r.arrivedAt+sim.timeToFirstToken(e, r) <= outageLatencyGoal || (!o.rejects && isIdle)
}

// retryAfter returns when a request that was not placed is tried again, 0 for never.
func (o deadlineOracle) retryAfter(r *outageRun) time.Duration {
	switch {
	case !o.rejects:
		return outageTick
	case o.retried[r]:
		return 0
	default:
		o.retried[r] = true
		return time.Second
	}
}

// shortestQueue returns the engine with the fewest tokens to read, among those whose memory would stay at most 80% full or, if ignoreMemory is true,
// among all.
func (sim *outageSim) shortestQueue(r *outageRun, ignoreMemory bool) (best *outageEngine) {
	for _, e := range sim.engines {
		isFull := float64(e.memory()+e.queuedTokens()+r.prompt) > 0.8*float64(sim.memory)
		if !e.isUp(sim.now) || (isFull && !ignoreMemory) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(e.queuedTokens()-e.prefilled, best.queuedTokens()-best.prefilled), cmp.Compare(e.memory(), best.memory())) < 0 {
			best = e
		}
	}
	return best
}

// timeToFirstToken returns how long an engine would take until it has read a prompt.
func (sim *outageSim) timeToFirstToken(e *outageEngine, r *outageRun) time.Duration {
	step := sim.chunkTime + outageStep + time.Duration(float64(len(e.runs))*12.1+float64(e.memory())*0.023)*time.Microsecond
	return time.Duration((e.queuedTokens()-e.prefilled+r.prompt)/outageChunk) * step
}

// TestLateRequestsTakeCapacityFromOthers plays 75 engines that are short of memory, and 180 engines that read only 3 tokens a millisecond. With full
// knowledge, more than the target shares of 0.8 and 0.7 are served in time if requests that would be late are rejected, again at their retry; fewer
// than that if they wait for idle engines and none is rejected. Nodes that use load reports reject no request, and serve more in time than full
// knowledge that ignores lateness.
func TestLateRequestsTakeCapacityFromOthers(t *testing.T) {
	for name, tc := range map[string]struct {
		engines     int
		chunkTime   time.Duration
		targetShare float64
	}{"memory": {75, outageChunkTime, 0.8}, "reading": {180, slowChunkTime, 0.7}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all := func(k outageChooser) func() outageChooser { return func() outageChooser { return k } }
			lateRejected := shareInTimeAt(t, "late rejected", tc.engines, tc.chunkTime, func() outageChooser { return deadlineOracle{rejects: true, retried: map[*outageRun]bool{}} })
			lateLast := shareInTimeAt(t, "late last", tc.engines, tc.chunkTime, all(deadlineOracle{}))
			lateIgnored := shareInTimeAt(t, "lateness ignored", tc.engines, tc.chunkTime, func() outageChooser { return oracle{maxMemoryShare: 100, retried: map[*outageRun]bool{}} })
			byReports := shareInTimeAt(t, "reports", tc.engines, tc.chunkTime, func() outageChooser { return newReportChooser(90, tc.engines, false) })
			must.Greater(t, tc.targetShare, lateRejected)
			must.Less(t, tc.targetShare, lateLast)
			must.Greater(t, lateIgnored, byReports)
		})
	}
}
