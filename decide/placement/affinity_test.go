package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

var need = placement.Need{Kind: vaneyoke.KindService, Service: "lm", PromptBytes: 1000}

// threeDataCentres returns a state of nine upstreams in three data centres.
func threeDataCentres() *placement.State { return threeDataCentresSeenFrom("a") }

func threeDataCentresSeenFrom(own vaneyoke.DataCentreID) *placement.State {
	s := placement.New(own, retry.DefaultBreakerConfig())
	var all []vaneyoke.Upstream
	for _, dataCentre := range []vaneyoke.DataCentreID{"a", "b", "c"} {
		for n := range 3 {
			id := vaneyoke.UpstreamID(fmt.Sprintf("%s%d", dataCentre, n))
			all = append(all, vaneyoke.Upstream{ID: id, Kind: vaneyoke.KindService, Service: "lm", DataCentre: dataCentre, State: vaneyoke.StateLive, Slots: 8, URL: "http://" + string(id)})
		}
	}
	s.SetUpstreams(all)
	return s
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestAffinityIsTheSameOnEveryNode picks the same upstream for a prompt on every node, and spreads prompts over all upstreams.
func TestAffinityIsTheSameOnEveryNode(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := threeDataCentres(), threeDataCentres()
	counts := map[vaneyoke.UpstreamID]int{}
	for n := range 900 {
		wanted := need
		wanted.Affinity = fmt.Sprint("prompt", n)
		first, _, _ := one.Pick(now, rng(), wanted)
		second, _, _ := other.Pick(now, rand.New(rand.NewPCG(uint64(n), 9)), wanted)
		must.EqOp(t, first.ID, second.ID)
		counts[first.ID]++
	}
	must.MapLen(t, 9, counts)
	for id, n := range counts {
		must.Between(t, 60, n, 140, must.Sprint(id))
	}
}

// TestBusyAffinityUpstreamIsSkipped picks the next affinity upstream while a prompt waits for its first token at the first one.
func TestBusyAffinityUpstreamIsSkipped(t *testing.T) {
	now := time.Unix(1000, 0)
	wanted := need
	wanted.Affinity = "prompt"
	s := threeDataCentres()
	first, _, _ := s.Pick(now, rng(), wanted)
	s.Sent(now, first.ID)
	next, _, ok := s.Pick(now, rng(), wanted)
	must.True(t, ok)
	must.NotEqOp(t, first.ID, next.ID)
}

func TestReplicaIsInAnotherDataCentre(t *testing.T) {
	now := time.Unix(1000, 0)
	s := threeDataCentres()
	r := rng()
	counts := map[vaneyoke.UpstreamID]int{}
	for range 60 {
		u, ok := s.PickReplica(now, r, need, vaneyoke.Upstream{ID: "a0", DataCentre: "a"})
		must.True(t, ok)
		must.NotEqOp(t, "a", u.DataCentre)
		counts[u.ID]++
	}
	for id, n := range counts {
		must.Between(t, 6, n, 14, must.Sprint(id)) // the one with the least memory in use is picked
	}
	s.SetUpstreams([]vaneyoke.Upstream{{ID: "a0", Kind: need.Kind, Service: "lm", DataCentre: "a", State: vaneyoke.StateLive}})
	_, ok := s.PickReplica(now, r, need, vaneyoke.Upstream{ID: "a0", DataCentre: "a"})
	must.False(t, ok)
}

// TestPromptHoldersIncludeEveryChoice has nodes in two data centres pick upstreams for prompts, also after their first choices take no work. A node
// that has seen none of this must find each picked upstream among the prompt's holders.
func TestPromptHoldersIncludeEveryChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	for n := range 200 {
		wanted := need
		wanted.Affinity = fmt.Sprint("prompt", n)
		var holders []vaneyoke.UpstreamID
		for _, u := range threeDataCentresSeenFrom("c").PromptHolders(now, wanted) {
			holders = append(holders, u.ID)
		}
		must.Len(t, 8, holders)
		for _, own := range []vaneyoke.DataCentreID{"a", "b"} {
			s := threeDataCentresSeenFrom(own)
			r := rand.New(rand.NewPCG(uint64(n), 3))
			for range 5 {
				chosen, _, _ := s.Pick(now, r, wanted)
				must.SliceContains(t, holders, chosen.ID)
				s.Sent(now, chosen.ID)
				s.Ended(now, chosen.ID, placement.OutcomeUnreachable, false)
			}
		}
	}
}

// TestGoneUpstreamIsNotPicked has another upstream answer at the address of the only upstream: unlike an unreachable one, it is not used as the
// last resort.
func TestGoneUpstreamIsNotPicked(t *testing.T) {
	now := time.Unix(1000, 0)
	s := placement.New("a", retry.DefaultBreakerConfig())
	s.SetUpstreams([]vaneyoke.Upstream{{ID: "a0", Kind: need.Kind, Service: "lm", DataCentre: "a", State: vaneyoke.StateLive}})
	s.Sent(now, "a0")
	s.Ended(now, "a0", placement.OutcomeUnreachable, false)
	_, _, ok := s.Pick(now, rng(), need)
	must.True(t, ok) // the last resort
	s.Sent(now, "a0")
	s.Ended(now, "a0", placement.OutcomeGone, false)
	_, _, ok = s.Pick(now, rng(), need)
	must.False(t, ok)
}

// TestUnknownUpstreamIsTried starts with one upstream that is known to be fast and others without any sample.
func TestUnknownUpstreamIsTried(t *testing.T) {
	now := time.Unix(1000, 0)
	s := threeDataCentres()
	for range 10 {
		s.Sent(now, "a0")
		s.FirstToken(now, "a0", time.Millisecond, need.PromptBytes)
		s.Ended(now, "a0", placement.OutcomeDone, true)
	}
	others := 0
	r := rng()
	for range 50 {
		u, _, _ := s.Pick(now, r, need)
		if u.ID != "a0" {
			others++
		}
	}
	must.Positive(t, others)
}

func TestPreferredUpstreamIsPickedWhileItTakesWork(t *testing.T) {
	now := time.Unix(1000, 0)
	s := threeDataCentres()
	wanted := need
	wanted.Prefer = vaneyoke.Upstream{ID: "c2", URL: "http://c2"}
	wanted.Avoid = []vaneyoke.UpstreamID{"c2"}
	u, _, _ := s.Pick(now, rng(), wanted)
	must.EqOp(t, "c2", u.ID)
	s.Sent(now, "c2")
	s.Ended(now, "c2", placement.OutcomeUnreachable, false)
	u, _, _ = s.Pick(now, rng(), wanted)
	must.NotEqOp(t, "c2", u.ID)
}

// TestReplicaIsFoundUnderANewID replaces the engine that was to keep a replica: the one now at its address has the replica.
func TestReplicaIsFoundUnderANewID(t *testing.T) {
	now := time.Unix(1000, 0)
	s := threeDataCentres()
	wanted := need
	wanted.Prefer = vaneyoke.Upstream{ID: "old", URL: "http://c2"}
	u, _, _ := s.Pick(now, rng(), wanted)
	must.EqOp(t, "c2", u.ID)
	wanted.Service = "other"
	_, _, ok := s.Pick(now, rng(), wanted)
	must.False(t, ok)
}

// TestPromptGoesToAffinityUpstreamWithFewestRuns has a prompt's affinity upstreams report how many runs they work on. Attempts that this node has
// sent since count too, and old reports do not.
func TestPromptGoesToAffinityUpstreamWithFewestRuns(t *testing.T) {
	now := time.Unix(1000, 0)
	wanted := need
	wanted.Affinity = "prompt"
	pick := func(s *placement.State, at time.Time) vaneyoke.UpstreamID {
		u, _, ok := s.Pick(at, rng(), wanted)
		must.True(t, ok)
		return u.ID
	}
	s := threeDataCentres()
	upstreams := s.AffinityUpstreams(now, wanted)
	must.Len(t, 4, upstreams)
	must.EqOp(t, upstreams[0].ID, pick(s, now)) // no reports yet
	for i, upstream := range upstreams {
		s.Reported(now, upstream.ID, vaneyoke.LoadReport{Runs: 5 - i})
	}
	must.EqOp(t, upstreams[3].ID, pick(s, now))
	s.Reported(now, upstreams[3].ID, vaneyoke.LoadReport{PendingPrompts: 1, Runs: 1})
	must.EqOp(t, upstreams[2].ID, pick(s, now)) // the other one is reading a prompt
	for range 4 {
		s.Sent(now, upstreams[2].ID)
		s.FirstToken(now, upstreams[2].ID, anyDuration, 0)
	}
	must.EqOp(t, upstreams[1].ID, pick(s, now)) // four runs, as the other one has by now
	must.EqOp(t, upstreams[0].ID, pick(s, now.Add(time.Second)), must.Sprint("the reports are too old"))
}

// anyDuration is a time to the first token whose value does not matter.
const anyDuration = time.Millisecond

// TestAffinityUpstreamsTakeWork leaves out upstreams that take no work and those that the request avoids after a failure.
func TestAffinityUpstreamsTakeWork(t *testing.T) {
	now := time.Unix(1000, 0)
	s := threeDataCentres()
	wanted := need
	wanted.Affinity = "prompt"
	before := s.AffinityUpstreams(now, wanted)
	wanted.Avoid = []vaneyoke.UpstreamID{before[0].ID}
	s.Sent(now, before[1].ID)
	s.Ended(now, before[1].ID, placement.OutcomeUnreachable, false)
	after := s.AffinityUpstreams(now, wanted)
	must.Len(t, 4, after)
	must.EqOp(t, before[2].ID, after[0].ID)
	for _, upstream := range after {
		must.NotEqOp(t, before[0].ID, upstream.ID)
		must.NotEqOp(t, before[1].ID, upstream.ID)
	}
}
