package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
)

// TestReplicaDisplacesARun has engines report how much memory they use, and checks which one gets a replica.
func TestReplicaDisplacesARun(t *testing.T) {
	for name, tc := range map[string]struct {
		inUse map[vaneyoke.UpstreamID]vaneyoke.Tokens
		want  []vaneyoke.UpstreamID // nil for none
	}{
		"nothing reported":    {nil, []vaneyoke.UpstreamID{"b", "c", "d"}},
		"one free":            {map[vaneyoke.UpstreamID]vaneyoke.Tokens{"a": 5000, "b": 50_000, "c": 10_000}, []vaneyoke.UpstreamID{"c"}},
		"none free":           {map[vaneyoke.UpstreamID]vaneyoke.Tokens{"a": 5000, "b": 50_000, "c": 45_000}, nil},
		"all short of memory": {map[vaneyoke.UpstreamID]vaneyoke.Tokens{"a": 50_000, "b": 50_000, "c": 35_000, "d": 50_000}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				now, s, rng := time.Unix(1000, 0), stateWith("a", "b", "c", "d"), rand.New(rand.NewPCG(seed, 1))
				s.SetUneven("lm", true)
				for id, tokens := range tc.inUse {
					s.Reported(now, id, vaneyoke.LoadReport{Runs: int(tokens / 5800), KVInUse: tokens, KVSize: 55_000})
				}
				u, ok := s.PickReplica(now, rng, longNeed, vaneyoke.Upstream{ID: "a", Service: "lm"})
				must.EqOp(t, tc.want != nil, ok)
				if ok {
					must.SliceContains(t, tc.want, u.ID)
				}
			}
		})
	}
}

// TestRepeatedPromptMissesItsEngine places prompts of which others share little on idle engines: each is found where a resumed stream looks for it,
// and no engine gets most of them.
func TestRepeatedPromptMissesItsEngine(t *testing.T) {
	var ids []vaneyoke.UpstreamID
	for i := range 40 {
		ids = append(ids, vaneyoke.UpstreamID(fmt.Sprint("e", i)))
	}
	now, s, rng, got := time.Unix(1000, 0), stateWith(ids...), rand.New(rand.NewPCG(1, 1)), map[vaneyoke.UpstreamID]int{}
	s.SetUneven("lm", true)
	for i := range 400 {
		now = now.Add(time.Second)
		wanted := longNeed
		wanted.SharedTokens, wanted.Affinity = 200, fmt.Sprint("p", i)
		asked := s.AffinityUpstreams(now, wanted)
		for _, u := range asked {
			s.Reported(now, u.ID, vaneyoke.LoadReport{KVSize: 55_000})
		}
		must.SliceEmpty(t, s.SpilloverUpstreams(now, rng, wanted))
		chosen, _, _ := s.Pick(now, rng, wanted)
		must.True(t, slices.ContainsFunc(s.PromptHolders(now, wanted), func(u vaneyoke.Upstream) bool { return u.ID == chosen.ID }))
		got[chosen.ID]++
	}
	for _, n := range got {
		must.LessEq(t, 25, n)
	}
}

// TestSharedPromptLeavesItsHomes places a prompt of which others share most: it goes to one of the four upstreams that may have it cached while one
// of them is free, even if others have less to do.
func TestSharedPromptLeavesItsHomes(t *testing.T) {
	var ids []vaneyoke.UpstreamID
	for i := range 40 {
		ids = append(ids, vaneyoke.UpstreamID(fmt.Sprint("e", i)))
	}
	now, s, rng := time.Unix(1000, 0), stateWith(ids...), rand.New(rand.NewPCG(1, 1))
	s.SetUneven("lm", true)
	wanted := longNeed
	wanted.SharedTokens = 5000
	homes := s.AffinityUpstreams(now, wanted)
	must.SliceLen(t, 4, homes)
	for _, id := range ids {
		s.Reported(now, id, vaneyoke.LoadReport{KVSize: 55_000})
	}
	for i, u := range homes {
		s.Reported(now, u.ID, vaneyoke.LoadReport{PendingPrompts: min(i, 1), Runs: 4, KVInUse: 25_000, KVSize: 55_000})
	}
	for range 50 {
		chosen, _, _ := s.Pick(now, rng, wanted)
		must.EqOp(t, homes[0].ID, chosen.ID)
	}
	s.Reported(now, homes[0].ID, vaneyoke.LoadReport{PendingPrompts: 1, Runs: 4, KVInUse: 25_000, KVSize: 55_000})
	chosen, _, _ := s.Pick(now, rng, wanted)
	must.False(t, slices.ContainsFunc(homes, func(u vaneyoke.Upstream) bool { return u.ID == chosen.ID }))
}

// TestAllNodesChooseTheSameEngine gives many nodes the same reports, of engines of which half have about the same to do: all of these are chosen,
// and none of the others, nor the one that is slow.
func TestAllNodesChooseTheSameEngine(t *testing.T) {
	now, got := time.Unix(1000, 0), map[vaneyoke.UpstreamID]int{}
	for seed := range uint64(200) {
		s := stateWith("a", "b", "c", "d", "e")
		s.SetUneven("lm", true)
		for i, id := range []vaneyoke.UpstreamID{"a", "b", "c", "d", "e"} {
			pending := 0
			if id == "e" {
				pending = 2
			}
			s.Reported(now, id, vaneyoke.LoadReport{PendingPrompts: pending, Runs: 2, KVInUse: vaneyoke.Tokens(10_000 + 100*i), KVSize: 55_000})
		}
		for range 3 {
			s.RecordSlowness(now, "d", 0, 3)
		}
		chosen, _, _ := s.Pick(now, rand.New(rand.NewPCG(seed, 1)), longNeed)
		got[chosen.ID]++
	}
	must.MapLen(t, 3, got)
	for _, id := range []vaneyoke.UpstreamID{"a", "b", "c"} {
		must.Between(t, 40, got[id], 95)
	}
}

// TestNoReportsEndTheChoice has no engine report anything.
func TestNoReportsEndTheChoice(t *testing.T) {
	now, s := time.Unix(1000, 0), stateWith("a", "b")
	s.SetSpread(placement.SpreadOn)
	must.True(t, s.HasRoom(now, longNeed))
	_, _, ok := s.Pick(now, rand.New(rand.NewPCG(1, 1)), longNeed)
	must.True(t, ok)
}
