package placement

import (
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// PickReplica chooses an upstream that keeps a replica of a run, in another data centre than the run's where one takes work,
// because the upstreams of a data centre fall together, and not one that names a limit. Of a few random ones it takes the one that holds the least memory for
// this node's runs and replicas.
func (s *State) PickReplica(now time.Time, rng *rand.Rand, need Need, primary vaneyoke.Upstream) (vaneyoke.Upstream, bool) {
	for _, elsewhere := range []bool{true, false} {
		s.scratch = s.scratch[:0]
		for _, e := range s.order {
			apart := e.upstream.ID != primary.ID && (e.upstream.DataCentre != primary.DataCentre) == elsewhere
			if apart && !e.limit.Declared && e.takesWork(now) && offers(&e.upstream, need) && s.together(&e.upstream, &primary) {
				s.scratch = append(s.scratch, e)
			}
		}
		if len(s.scratch) > 0 {
			e := emptiest(rng, s.scratch, need.Bytes)
			e.replicaBytes += need.Bytes
			return e.upstream, true
		}
	}
	return vaneyoke.Upstream{}, false
}

// emptiest returns the candidate with the least memory in use for this node among a few random ones.
func emptiest(rng *rand.Rand, candidates []*entry, prompt int) *entry {
	chosen := candidates[rng.IntN(len(candidates))]
	for range choices - 1 {
		other := candidates[rng.IntN(len(candidates))]
		if other.memory(prompt) < chosen.memory(prompt) {
			chosen = other
		}
	}
	return chosen
}

// memory returns how much this node's runs, of prompts like the given one, and replicas keep on the upstream.
func (e *entry) memory(prompt int) int { return e.inFlight*prompt + e.replicaBytes }

// Released notes that a replica is needed no more.
func (s *State) Released(replica vaneyoke.UpstreamID, need Need) {
	if e, ok := s.entries[replica]; ok {
		e.replicaBytes = max(e.replicaBytes-need.Bytes, 0)
	}
}
