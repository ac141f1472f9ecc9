package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Pick returns the best of a few random candidates by the expected time to the first token, and the time to the first token to allow for.
// Candidates come from the first non-empty set in the order of preference. Other nodes' load shows in the time to the first token, so that no
// load reports are needed. Upstreams to avoid are used only if there is no other, and those with an open circuit breaker only after them.
func (s *State) Pick(now time.Time, rng *rand.Rand, need Need) (vaneyoke.Upstream, time.Duration, bool) {
	if e := s.preferred(now, need); e != nil {
		return e.upstream, e.firstToken.upperBound(need.PromptBytes), true
	}
	candidates := s.candidates(now, need)
	if len(candidates) == 0 {
		return vaneyoke.Upstream{}, 0, false
	}
	chosen := s.choose(now, rng, need, candidates)
	return chosen.upstream, chosen.firstToken.upperBound(need.PromptBytes), true
}

// candidates returns the upstreams that may get an attempt: the first non-empty set by tier, then by the need's order of preference.
func (s *State) candidates(now time.Time, need Need) []*entry {
	order := need.Order
	if len(order) == 0 {
		order = anyUpstream
	}
	for _, t := range tiers {
		for _, selector := range order {
			if candidates := s.candidatesInTier(now, need, selector, t); len(candidates) > 0 {
				return candidates
			}
		}
	}
	return nil
}

// preferred returns the upstream that a need prefers or the one now at its address, or nil if it takes no work.
func (s *State) preferred(now time.Time, need Need) *entry {
	if need.Prefer.URL == "" {
		return nil
	}
	for _, e := range s.sorted {
		if e.upstream.URL == need.Prefer.URL && e.takesWork(now) && s.hasBrittleRoom(now, e) && offers(&e.upstream, need) && s.matchesSplit(need, e, false) {
			return e
		}
	}
	return nil
}

// tier selects a set of candidates that is used only if all tiers before it are empty.
type tier struct {
	avoided         bool // whether it holds the upstreams to avoid
	ignoreBreaker   bool // whether open circuit breakers are ignored
	fallbackVersion bool // whether it holds versions that get the request only if its own version has no upstream
}

// candidatesInTier returns a tier's upstreams that match the need and the selector; the result is valid until the next call.
func (s *State) candidatesInTier(now time.Time, need Need, selector vaneyoke.Selector, t tier) []*entry {
	s.scratch = s.scratch[:0]
	for _, e := range s.sorted {
		if !e.isEligible(now) || (!t.ignoreBreaker && !e.breakerAllows(now, need)) || !offers(&e.upstream, need) || !selector.Matches(&e.upstream) ||
			!s.matchesSplit(need, e, t.fallbackVersion) || (need.Unlimited && e.limit.Declared) || !s.hasBrittleRoom(now, e) {
			continue
		}
		if isAvoided(e, need) == t.avoided {
			s.scratch = append(s.scratch, e)
		}
	}
	return s.scratch
}

// isAvoided reports whether an upstream is used only if there is no other.
func isAvoided(e *entry, need Need) bool {
	return slices.Contains(need.Avoid, e.upstream.ID) || (need.Continuable && (e.upstream.VersionUnknown || (e.isAnnounced && !need.Pin.IsSet)))
}

// breakerAllows reports whether the circuit breaker lets the request through.
func (e *entry) breakerAllows(now time.Time, need Need) bool {
	if need.AtMostOnce {
		return e.breaker.AllowsAfter(now, atMostOnceTrialDelay)
	}
	return e.breaker.Allows(now)
}

// choose returns the upstream for a need among its candidates.
func (s *State) choose(now time.Time, rng *rand.Rand, need Need, candidates []*entry) *entry {
	if need.Affinity != "" && s.IsUneven(need.Service) {
		if e := s.leastWorkOf(now, rng, need, candidates); e != nil {
			return e
		}
	} else if need.Affinity != "" {
		if e := bestAffinity(now, need, candidates); e != nil {
			return e
		}
		if e := leastReportedLoad(now, need, candidates); e != nil {
			return e
		}
	}
	return s.best(now, rng, candidates)
}

// best returns the candidate with the lowest cost among a few random ones.
func (s *State) best(now time.Time, rng *rand.Rand, candidates []*entry) *entry {
	chosen := candidates[rng.IntN(len(candidates))]
	fallback := meanFirstToken(now, candidates)
	for range sampleSize - 1 {
		chosen = s.better(now, fallback, chosen, candidates[rng.IntN(len(candidates))])
	}
	return chosen
}

// meanFirstToken returns the mean of the known estimates of the time to the first token.
func meanFirstToken(now time.Time, candidates []*entry) time.Duration {
	sum, known := time.Duration(0), time.Duration(0)
	for _, e := range candidates {
		if e.firstToken.known() {
			sum += e.firstToken.expected(now, 0)
			known++
		}
	}
	if known == 0 {
		return defaultFirstToken
	}
	return sum / known
}

// better returns the upstream with the lower cost, or between equals the one in the node's own data centre.
func (s *State) better(now time.Time, fallback time.Duration, a, b *entry) *entry {
	if costA, costB := a.cost(now, fallback), b.cost(now, fallback); costA != costB {
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
