package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

const (
	homes       = 4                      // upstreams that a prompt may be sent to for its affinity
	reportHolds = 400 * time.Millisecond // for which a report counts
	slowTimes   = 2.5                    // times the usual time to the first token that make an upstream too slow for affinity
)

// affine returns the first of a prompt's homes that is neither waiting for a first token nor slow, nil for none.
// The homes are the upstreams with the highest hash of prompt and id, the same on every node: a prompt that comes
// again, on whatever node, goes to where it was read before.
func affine(now time.Time, prompt string, candidates []*entry) *entry {
	usual := usualFirst(now, candidates)
	limit := slowTimes * float64(usual)
	for _, e := range homesOf(prompt, candidates) {
		if e.waiting == 0 && !e.reportedBusy(now) && float64(e.first.expect(now, usual)) <= limit {
			return e
		}
	}
	return nil
}

// Reported notes how many prompts an upstream has still to read.
func (s *State) Reported(now time.Time, id vaneyoke.UpstreamID, prompts int) {
	if e, ok := s.entries[id]; ok {
		e.reported, e.reportedAt = prompts, now
	}
}

// reportedBusy reports whether the upstream said a short while ago that it has prompts to read.
func (e *entry) reportedBusy(now time.Time) bool {
	return e.reported > 0 && now.Sub(e.reportedAt) < reportHolds
}

// homesOf returns a prompt's homes, the first choice first.
func homesOf(prompt string, candidates []*entry) []*entry {
	type ranked struct {
		entry *entry
		hash  uint64
	}
	all := make([]ranked, len(candidates))
	for i, e := range candidates {
		all[i] = ranked{entry: e, hash: rendezvous.Score(prompt, string(e.upstream.ID))}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	chosen := make([]*entry, min(homes, len(all)))
	for i := range chosen {
		chosen[i] = all[i].entry
	}
	return chosen
}
