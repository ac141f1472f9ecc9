package placement

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
)

const (
	// homeUpstreams is how many upstreams a prompt of which others share little may be sent to by its affinity: enough of them that the least
	// loaded one is about the least loaded of all. They are those that are searched for the prompt.
	homeUpstreams = promptHolders
	// minSharedPart is the part of a prompt that others have to share for it to be sent to the upstreams that may have it cached.
	minSharedPart = 0.25
	// workTolerance is how much more work than the least one a chosen upstream may have, in prompts: nodes that have the same load reports would
	// otherwise all choose the same upstream.
	workTolerance = 0.5
)

// sharesLittle reports whether other prompts begin with a small part of the prompt only.
func (n *Need) sharesLittle() bool {
	return n.Affinity != "" && float64(n.SharedTokens) < minSharedPart*float64(n.PromptBytes)
}

// homes returns how many upstreams a prompt may be sent to by its affinity.
func (s *State) homes(need Need) int {
	if s.IsUneven(need.Service) && need.sharesLittle() {
		return homeUpstreams
	}
	return affinityUpstreams
}

// leastWorkOf returns the upstream with about the least work left: of those that may have the prompt cached, if it shares much with others and one
// of them is free, otherwise of all; nil if there is no fresh report.
func (s *State) leastWorkOf(now time.Time, rng *rand.Rand, need Need, candidates []*entry) *entry {
	if !need.sharesLittle() {
		free := lo.Filter(topByHash(need.Affinity, candidates, s.homes(need)), func(e *entry, _ int) bool { return e.isFreeNow(now, need) })
		if e := s.leastWork(now, rng, need, free); e != nil {
			return e
		}
	}
	return s.leastWork(now, rng, need, candidates)
}

// leastWork returns a random one of the upstreams with about the least work left, among those with a fresh load report; those with room are
// preferred. It returns nil if there is no fresh report.
func (s *State) leastWork(now time.Time, rng *rand.Rand, need Need, candidates []*entry) *entry {
	reporting := lo.Filter(candidates, func(e *entry, _ int) bool { return e.hasFreshReport(now) && !e.declines.isRecent(now) })
	if withRoom := lo.Filter(reporting, func(e *entry, _ int) bool { return e.fits(now, need) }); len(withRoom) > 0 {
		reporting = withRoom
	}
	if len(reporting) == 0 {
		return nil
	}
	work := lo.Map(reporting, func(e *entry, _ int) float64 { return e.workLeft(now, need) })
	limit := lo.Min(work) + workTolerance*float64(need.PromptBytes)
	good := lo.Filter(reporting, func(_ *entry, i int) bool { return work[i] <= limit })
	return good[rng.IntN(len(good))]
}

// workLeft returns the tokens that an upstream has to prefill up to the first token of a prompt, times how slow it is. Memory that the prompt would
// take from others counts as prefilled again.
func (e *entry) workLeft(now time.Time, need Need) float64 {
	work := float64(e.queuedTokens(now, need)) + float64(need.PromptBytes)
	if e.report.KVSize > 0 {
		memory := float64(e.expectedMemory(need) + need.memory())
		work += max(memory-fullMemoryShare*float64(e.report.KVSize), 0)
		work += float64(need.PromptBytes) * memory / float64(e.report.KVSize)
	}
	return work * float64(e.slowness.current(now))
}

// isFreeNow reports whether an upstream has room for a prompt and none to read before it.
func (e *entry) isFreeNow(now time.Time, need Need) bool {
	return e.hasFreshReport(now) && e.queuedTokens(now, need) == 0 && !e.declines.isRecent(now) && e.fits(now, need)
}
