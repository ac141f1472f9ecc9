package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

const (
	affinityUpstreams  = 4                      // upstreams that a prompt may be sent to by its affinity
	spilloverUpstreams = 8                      // random others that are asked for load reports if all of these are busy
	promptHolders      = 2 * affinityUpstreams  // upstreams that are searched for a prompt, since the first ones may not have taken work
	reportTTL          = 400 * time.Millisecond // how long a load report is used
	// maxMemoryShare is the share of an upstream's memory up to which it gets prompts; the rest is for growing runs and replicas. On 75 engines
	// short of memory, 0.85 served more requests in time than 0.75.
	maxMemoryShare = 0.85
)

// bestAffinity returns, of a prompt's affinity upstreams, the one with the fewest runs among those that have room, have no prompt waiting for its
// first token and rejected nothing recently; nil if there is none. The affinity upstreams are those with the highest hash of prompt and upstream ID
// (rendezvous hashing), the same on every node, so that a repeated prompt finds the upstream that has it cached. Reading a prompt slows the other
// runs on its upstream, and slower runs are more often hit by a failure.
func bestAffinity(now time.Time, need Need, candidates []*entry) *entry {
	var chosen *entry
	for _, e := range topByHash(need.Affinity, candidates, affinityUpstreams) {
		if e.awaitingFirstToken > 0 || e.reportsQueue(now) || e.declines.isRecent(now) || !e.hasRoom(now, need) {
			continue
		}
		if chosen == nil || e.runs(now) < chosen.runs(now) {
			chosen = e
		}
	}
	return chosen
}

// AffinityUpstreams returns the upstreams that a prompt's affinity selects, so that they can be asked for load reports. Upstreams with a declared
// limit are left out, because queries would count against it.
func (s *State) AffinityUpstreams(now time.Time, need Need) []vaneyoke.Upstream {
	return lo.FilterMap(topByHash(need.Affinity, s.candidates(now, need), s.homes(need)), func(e *entry, _ int) (vaneyoke.Upstream, bool) {
		return e.upstream, !e.limit.Declared
	})
}

// SpilloverUpstreams returns random upstreams to ask for load reports if every affinity upstream of a prompt is busy or did not report; nil if one
// is free.
func (s *State) SpilloverUpstreams(now time.Time, rng *rand.Rand, need Need) []vaneyoke.Upstream {
	candidates := s.candidates(now, need)
	if s.hasIdleAffinity(now, need, candidates) {
		return nil
	}
	sample := make([]vaneyoke.Upstream, 0, spilloverUpstreams)
	seen := 0
	for _, e := range candidates { // reservoir sampling: each one that qualifies has the same chance
		if e.hasFreshReport(now) || e.limit.Declared {
			continue
		}
		seen++
		if len(sample) < spilloverUpstreams {
			sample = append(sample, e.upstream)
		} else if i := rng.IntN(seen); i < spilloverUpstreams {
			sample[i] = e.upstream
		}
	}
	return sample
}

// hasIdleAffinity reports whether an affinity upstream of a prompt has room and no prompt to read before it.
func (s *State) hasIdleAffinity(now time.Time, need Need, candidates []*entry) bool {
	if !s.IsUneven(need.Service) {
		return bestAffinity(now, need, candidates) != nil
	}
	return slices.ContainsFunc(topByHash(need.Affinity, candidates, s.homes(need)), func(e *entry) bool { return e.isFreeNow(now, need) })
}

// leastReportedLoad returns the upstream with the fewest queued prompts, then the least memory in use, then the fewest runs, among those with a
// fresh report; those with room are preferred. It returns nil if there is no fresh report.
func leastReportedLoad(now time.Time, need Need, candidates []*entry) *entry {
	reporting := lo.Filter(candidates, func(e *entry, _ int) bool { return e.hasFreshReport(now) && !e.declines.isRecent(now) })
	if withRoom := lo.Filter(reporting, func(e *entry, _ int) bool { return e.hasRoom(now, need) }); len(withRoom) > 0 {
		reporting = withRoom
	}
	return lo.MinBy(reporting, func(a, b *entry) bool {
		return cmp.Or(
			cmp.Compare(a.queuedPrompts(), b.queuedPrompts()), cmp.Compare(a.report.KVInUse, b.report.KVInUse), cmp.Compare(a.runs(now), b.runs(now)),
		) < 0
	})
}

// HasRoom reports whether any candidate for a prompt has room for it according to its load report, or none has a fresh report. A prompt sent to an
// upstream without room displaces runs or replicas.
func (s *State) HasRoom(now time.Time, need Need) bool {
	if s.IsUneven(need.Service) {
		return s.Assess(now, need).Free
	}
	anyReported := false
	for _, e := range s.candidates(now, need) {
		if e.hasFreshReport(now) {
			if e.hasRoom(now, need) {
				return true
			}
			anyReported = true
		}
	}
	return !anyReported
}

// hasRoom reports whether the upstream's memory has room for a prompt besides its queued ones, which are taken to be as long, and for the growth
// of runs. It is true if there is no fresh report of its memory, and if it is idle.
func (e *entry) hasRoom(now time.Time, need Need) bool {
	if !e.hasFreshReport(now) || e.report.KVSize == 0 || (e.report.KVInUse == 0 && e.queuedPrompts() == 0) {
		return true
	}
	wanted := int(e.report.KVInUse) + (e.queuedPrompts()+1)*need.PromptBytes
	return float64(wanted) <= maxMemoryShare*float64(e.report.KVSize)
}

// queuedPrompts returns how many prompts the upstream has yet to read.
func (e *entry) queuedPrompts() int { return max(e.report.PendingPrompts, e.awaitingFirstToken) }

// PromptHolders returns the upstreams that may have a prompt in memory, because its affinity selects them.
func (s *State) PromptHolders(now time.Time, need Need) []vaneyoke.Upstream {
	candidates := lo.Filter(s.sorted, func(e *entry, _ int) bool {
		return e.takesWork(now) && offers(&e.upstream, need) && s.matchesSplit(need, e, false) && !e.limit.Declared
	})
	return lo.Map(topByHash(need.Affinity, candidates, promptHolders), func(e *entry, _ int) vaneyoke.Upstream { return e.upstream })
}

// Reported records a load report of an upstream.
func (s *State) Reported(now time.Time, id vaneyoke.UpstreamID, report vaneyoke.LoadReport) {
	e, ok := s.entries[id]
	if !ok || (report.Incarnation != 0 && report.Incarnation < e.upstream.Incarnation) { // of an earlier incarnation
		return
	}
	if report.Incarnation > e.upstream.Incarnation {
		if e.upstream.Incarnation != 0 {
			s.resetAfterRestart(e)
			e.upstream.VersionUnknown = true
		}
		e.upstream.Incarnation = report.Incarnation
	}
	e.report, e.reportedAt = report, now
}

// hasFreshReport reports whether the latest load report is recent enough to use.
func (e *entry) hasFreshReport(now time.Time) bool { return now.Sub(e.reportedAt) < reportTTL }

// runs returns how many runs the upstream works on; without a fresh report it assumes at least one.
func (e *entry) runs(now time.Time) int {
	if e.hasFreshReport(now) {
		return max(e.report.Runs, e.inFlight)
	}
	return max(e.inFlight, 1)
}

// reportsQueue reports whether a fresh report shows queued prompts.
func (e *entry) reportsQueue(now time.Time) bool {
	return e.report.PendingPrompts > 0 && e.hasFreshReport(now)
}

// ranked is a candidate and its rendezvous hash.
type ranked struct {
	entry *entry
	hash  uint64
}

// topByHash returns up to limit candidates with the highest hash of affinity and ID, highest first. It keeps no more than these in memory, since
// there may be many thousands of candidates.
func topByHash(affinity string, candidates []*entry, limit int) []*entry {
	if limit <= 0 {
		return nil
	}
	key := rendezvous.NewHasher(affinity)
	top := make([]ranked, 0, limit+1)
	for _, e := range candidates {
		hash := key.Score(string(e.upstream.ID))
		if len(top) == limit && hash <= top[limit-1].hash {
			continue
		}
		i := len(top)
		for i > 0 && top[i-1].hash < hash {
			i--
		}
		top = slices.Insert(top, i, ranked{entry: e, hash: hash})
		top = top[:min(len(top), limit)]
	}
	return lo.Map(top, func(r ranked, _ int) *entry { return r.entry })
}
