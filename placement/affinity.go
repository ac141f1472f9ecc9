package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	homes     = 4   // upstreams that a prompt may be sent to for its affinity
	slowTimes = 2.5 // times the usual time to the first token that make an upstream too slow for affinity
)

// affine returns the first of a prompt's homes that is neither waiting for a first token nor slow, nil for none.
// The homes are the upstreams with the highest hash of prompt and id, the same on every node: a prompt that comes
// again, on whatever node, goes to where it was read before.
func affine(now time.Time, prompt string, candidates []*entry) *entry {
	usual := usualFirst(now, candidates)
	limit := slowTimes * float64(usual)
	for _, e := range homesOf(prompt, candidates) {
		if e.waiting == 0 && float64(e.first.expect(now, usual)) <= limit {
			return e
		}
	}
	return nil
}

// homesOf returns a prompt's homes, the first choice first.
func homesOf(prompt string, candidates []*entry) []*entry {
	type ranked struct {
		entry *entry
		hash  uint64
	}
	all := make([]ranked, len(candidates))
	for i, e := range candidates {
		all[i] = ranked{entry: e, hash: xxhash.Sum64String(prompt + "\x00" + string(e.upstream.ID))}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	chosen := make([]*entry, min(homes, len(all)))
	for i := range chosen {
		chosen[i] = all[i].entry
	}
	return chosen
}
