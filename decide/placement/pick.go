package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Pick chooses the best of a few random candidates, from the first set in the order that has any, by the expected time to
// the first token; what other nodes have sent shows in how long first tokens take, so that no reports are needed.
// Upstreams to avoid are taken only where there is no other, and those that failed in a row only after them.
func (s *State) Pick(now time.Time, rng *rand.Rand, need Need) (vaneyoke.Upstream, time.Duration, bool) {
	if e := s.preferred(now, need); e != nil {
		return e.upstream, e.first.patient(need.Bytes), true
	}
	candidates := s.mayGet(now, need)
	if len(candidates) == 0 {
		return vaneyoke.Upstream{}, 0, false
	}
	chosen := s.choose(now, rng, need, candidates)
	return chosen.upstream, chosen.first.patient(need.Bytes), true
}

// mayGet returns the upstreams of which one is to get an attempt: the first set, by tier and by the need's order, that has any.
func (s *State) mayGet(now time.Time, need Need) []*entry {
	order := need.Order
	if len(order) == 0 {
		order = anyUpstream
	}
	for _, t := range tiers {
		for _, selector := range order {
			if candidates := s.candidates(now, need, selector, t); len(candidates) > 0 {
				return candidates
			}
		}
	}
	return nil
}

// preferred returns the upstream that a need prefers, or the one that has its address now; nil where neither takes work.
func (s *State) preferred(now time.Time, need Need) *entry {
	if need.Prefer.URL == "" {
		return nil
	}
	for _, e := range s.order {
		if e.upstream.URL == need.Prefer.URL && e.takesWork(now) && offers(&e.upstream, need) && s.suits(need, e, false) {
			return e
		}
	}
	return nil
}

// tier is a set of upstreams that are taken only where the one before it is empty.
type tier struct {
	avoided bool // whether they are among those to avoid
	open    bool // whether breakers are left aside
	other   bool // whether they are of a version that gets the request only where the one that it is meant for has nobody
}

func (s *State) candidates(now time.Time, need Need, selector vaneyoke.Selector, t tier) []*entry {
	s.scratch = s.scratch[:0]
	for _, e := range s.order {
		if !e.mayWork(now) || (!t.open && !e.allows(now, need)) || !offers(&e.upstream, need) || !selector.Matches(&e.upstream) ||
			!s.suits(need, e, t.other) || (need.Free && e.limit.Declared) {
			continue
		}
		if slices.Contains(need.Avoid, e.upstream.ID) == t.avoided {
			s.scratch = append(s.scratch, e)
		}
	}
	return s.scratch
}

// allows reports whether an upstream's failures leave it a request.
func (e *entry) allows(now time.Time, need Need) bool {
	if need.Once {
		return e.breaker.AllowsAfter(now, othersTry)
	}
	return e.breaker.Allows(now)
}

// choose returns the upstream for a need among those that can take it.
func (s *State) choose(now time.Time, rng *rand.Rand, need Need, candidates []*entry) *entry {
	if need.Affinity != "" {
		if e := affine(now, need, candidates); e != nil {
			return e
		}
		if e := leastTold(now, need, candidates); e != nil {
			return e
		}
	}
	return s.best(now, rng, candidates)
}

// best returns the upstream with the lowest cost among a few random ones.
func (s *State) best(now time.Time, rng *rand.Rand, candidates []*entry) *entry {
	chosen := candidates[rng.IntN(len(candidates))]
	usual := usualFirst(now, candidates)
	for range choices - 1 {
		chosen = s.better(now, usual, chosen, candidates[rng.IntN(len(candidates))])
	}
	return chosen
}

// usualFirst returns the mean of the expected times to the first token that are known.
func usualFirst(now time.Time, candidates []*entry) time.Duration {
	sum, known := time.Duration(0), time.Duration(0)
	for _, e := range candidates {
		if e.first.known() {
			sum += e.first.expect(now, 0)
			known++
		}
	}
	if known == 0 {
		return unknownFirst
	}
	return sum / known
}

// better returns the upstream with the lower cost; between equals, the one in the node's own data centre.
func (s *State) better(now time.Time, usual time.Duration, a, b *entry) *entry {
	if costA, costB := a.cost(now, usual), b.cost(now, usual); costA != costB {
		if costB < costA {
			return b
		}
		return a
	}
	if b.upstream.DataCentre == s.dataCentre {
		return b
	}
	return a
}
