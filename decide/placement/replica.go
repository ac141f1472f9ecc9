package placement

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
)

const (
	// maxReplicaMean is the share of the memory of all reporting upstreams above which no replica is made.
	maxReplicaMean = 0.8
	// maxReplicaShare is the share of an upstream's memory up to which it gets replicas.
	maxReplicaShare = 0.9
)

// PickReplica returns an upstream to keep a replica of a run. It prefers another data centre than the run's, because the upstreams of one data
// centre fail together, and never returns one with a declared limit, or of another software version, which could not go on with the run. Among a few
// random candidates it picks the one with the least memory in use for this node's runs and replicas.
func (s *State) PickReplica(now time.Time, rng *rand.Rand, need Need, primary vaneyoke.Upstream) (vaneyoke.Upstream, bool) {
	for _, remote := range []bool{true, false} {
		s.scratch = s.scratch[:0]
		for _, e := range s.sorted {
			isAllowed := e.upstream.ID != primary.ID && (e.upstream.DataCentre != primary.DataCentre) == remote
			if isAllowed && !e.limit.Declared && e.takesWork(now) && offers(&e.upstream, need) && vaneyoke.PinTo(&primary).Allows(&e.upstream) {
				s.scratch = append(s.scratch, e)
			}
		}
		if len(s.scratch) > 0 {
			e := s.bestReplica(now, rng, need, s.scratch)
			if e == nil {
				return vaneyoke.Upstream{}, false
			}
			e.addSent(now, sentWork{at: now, memory: need.memory()})
			e.replicaBytes += need.PromptBytes
			return e.upstream, true
		}
	}
	return vaneyoke.Upstream{}, false
}

// bestReplica returns the candidate for a replica; nil if the upstreams are short of memory, so that a replica would displace a run.
func (s *State) bestReplica(now time.Time, rng *rand.Rand, need Need, candidates []*entry) *entry {
	if s.IsUneven(need.Service) {
		if share, ok := s.reportedMemory(now, need); ok {
			if share > maxReplicaMean {
				return nil
			}
			return freeForReplica(now, rng, need, candidates)
		}
	}
	return leastMemory(rng, candidates, need.PromptBytes)
}

// reportedMemory returns the share of the memory of all upstreams with a fresh load report that their work will take; ok is false if none reports
// its memory.
func (s *State) reportedMemory(now time.Time, need Need) (share float64, ok bool) {
	inUse, size := 0.0, 0.0
	for _, e := range s.sorted {
		if e.hasFreshReport(now) && e.report.KVSize > 0 && offers(&e.upstream, need) {
			inUse += float64(e.expectedMemory(need))
			size += float64(e.report.KVSize)
		}
	}
	return inUse / max(size, 1), size > 0
}

// freeForReplica returns the candidate with the larger part of its memory free of two random ones that have room for a replica.
func freeForReplica(now time.Time, rng *rand.Rand, need Need, candidates []*entry) *entry {
	share := func(e *entry) float64 {
		return float64(e.expectedMemory(need)+need.memory()) / float64(e.report.KVSize)
	}
	free := lo.Filter(candidates, func(e *entry, _ int) bool {
		return e.hasFreshReport(now) && e.report.KVSize > 0 && share(e) <= maxReplicaShare
	})
	if len(free) == 0 {
		return nil
	}
	a, b := free[rng.IntN(len(free))], free[rng.IntN(len(free))]
	if share(b) < share(a) {
		return b
	}
	return a
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
