package pinning

import (
	"cmp"
	"slices"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

// rankedMember is a member and its rendezvous score for a stream.
type rankedMember struct {
	Member
	score uint64
}

// rankMembers returns the first of the other nodes in the order in which they keep a stream's record: by rendezvous hashing, the best of each data
// centre first, then the second of each, so that the loss of a data centre leaves records elsewhere.
func (s *State) rankMembers(stream StreamID, limit int) []Member {
	key := rendezvous.NewHasher(string(stream))
	byDataCentre := map[vaneyoke.DataCentreID][]rankedMember{}
	for _, m := range s.members {
		byDataCentre[m.DataCentre] = insertRanked(byDataCentre[m.DataCentre], rankedMember{m, key.Score(string(m.VM))}, limit)
	}
	var ranked []Member
	for round := 0; len(ranked) < limit; round++ {
		var next []rankedMember
		for _, best := range byDataCentre {
			if round < len(best) {
				next = append(next, best[round])
			}
		}
		if len(next) == 0 {
			return ranked
		}
		slices.SortFunc(next, func(a, b rankedMember) int { return cmp.Compare(b.score, a.score) })
		for _, m := range next {
			ranked = append(ranked, m.Member)
		}
	}
	return ranked[:limit]
}

// insertRanked inserts a member into a list of those with the highest scores.
func insertRanked(best []rankedMember, m rankedMember, limit int) []rankedMember {
	if len(best) == limit && m.score <= best[limit-1].score {
		return best
	}
	i, _ := slices.BinarySearchFunc(best, m.score, func(other rankedMember, score uint64) int { return cmp.Compare(score, other.score) })
	best = slices.Insert(best, i, m)
	return best[:min(len(best), limit)]
}
