package placement

import (
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// PickReplica returns an upstream to keep a replica of a run. It prefers another data centre than the run's, because the upstreams of one data
// centre fail together, and never returns one with a declared limit. Among a few random candidates it picks the one with the least memory in
// use for this node's runs and replicas.
func (s *State) PickReplica(now time.Time, rng *rand.Rand, need Need, primary vaneyoke.Upstream) (vaneyoke.Upstream, bool) {
	for _, remote := range []bool{true, false} {
		s.scratch = s.scratch[:0]
		for _, e := range s.sorted {
			isAllowed := e.upstream.ID != primary.ID && (e.upstream.DataCentre != primary.DataCentre) == remote
			if isAllowed && !e.limit.Declared && e.takesWork(now) && offers(&e.upstream, need) && s.mayReplicateTo(&e.upstream, &primary) {
				s.scratch = append(s.scratch, e)
			}
		}
		if len(s.scratch) > 0 {
			e := leastMemory(rng, s.scratch, need.PromptBytes)
			e.replicaBytes += need.PromptBytes
			return e.upstream, true
		}
	}
	return vaneyoke.Upstream{}, false
}

// leastMemory returns the candidate with the least memory in use for this node among a few random ones.
func leastMemory(rng *rand.Rand, candidates []*entry, promptBytes int) *entry {
	chosen := candidates[rng.IntN(len(candidates))]
	for range sampleSize - 1 {
		other := candidates[rng.IntN(len(candidates))]
		if other.memory(promptBytes) < chosen.memory(promptBytes) {
			chosen = other
		}
	}
	return chosen
}

// memory returns the bytes in use on the upstream for this node's runs, each taken to have a prompt of the given size, and its replicas.
func (e *entry) memory(promptBytes int) int { return e.inFlight*promptBytes + e.replicaBytes }

// ReleaseReplica records that a replica is no longer needed.
func (s *State) ReleaseReplica(replica vaneyoke.UpstreamID, need Need) {
	if e, ok := s.entries[replica]; ok {
		e.replicaBytes = max(e.replicaBytes-need.PromptBytes, 0)
	}
}
