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

var need = placement.Need{Kind: vaneyoke.KindService, Service: "lm", Bytes: 1000}

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

// TestPromptHasAHome picks the same upstream for a prompt on every node, and spreads prompts over all.
func TestPromptHasAHome(t *testing.T) {
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

// TestBusyHomeIsPassedOver goes to the next home where the first owes a first token.
func TestBusyHomeIsPassedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	wanted := need
	wanted.Affinity = "prompt"
	s := threeDataCentres()
	home, _, _ := s.Pick(now, rng(), wanted)
	s.Sent(now, home.ID)
	next, _, ok := s.Pick(now, rng(), wanted)
	must.True(t, ok)
	must.NotEqOp(t, home.ID, next.ID)
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
		must.Between(t, 6, n, 14, must.Sprint(id)) // the one that keeps the least is taken
	}
	s.SetUpstreams([]vaneyoke.Upstream{{ID: "a0", Kind: need.Kind, Service: "lm", DataCentre: "a", State: vaneyoke.StateLive}})
	_, ok := s.PickReplica(now, r, need, vaneyoke.Upstream{ID: "a0", DataCentre: "a"})
	must.False(t, ok)
}

// TestHoldersOfAPrompt has nodes in two data centres choose upstreams for prompts, also where the first choices take no work;
// another node, that knows of none of it, finds them among the holders.
func TestHoldersOfAPrompt(t *testing.T) {
	now := time.Unix(1000, 0)
	for n := range 200 {
		wanted := need
		wanted.Affinity = fmt.Sprint("prompt", n)
		var holders []vaneyoke.UpstreamID
		for _, u := range threeDataCentresSeenFrom("c").Holders(now, wanted) {
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

// TestUpstreamWhoseAddressAnotherHas gets nothing more, whatever else is left.
func TestUpstreamWhoseAddressAnotherHas(t *testing.T) {
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

// TestUnknownUpstreamIsTried starts with one upstream that is known to be fast and one that is not known.
func TestUnknownUpstreamIsTried(t *testing.T) {
	now := time.Unix(1000, 0)
	s := threeDataCentres()
	for range 10 {
		s.Sent(now, "a0")
		s.FirstToken(now, "a0", time.Millisecond, need.Bytes)
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

func TestPreferredUpstreamIsTakenWhereItTakesWork(t *testing.T) {
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

// TestReplicaIsFoundUnderANewID replaces the engine that was to keep a replica; the one at its address has the replica.
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

// TestPromptGoesToTheHomeWithTheFewestRuns has a prompt's homes tell how many runs they work on; what they told a while ago,
// and what this node has sent since, count too.
func TestPromptGoesToTheHomeWithTheFewestRuns(t *testing.T) {
	now := time.Unix(1000, 0)
	wanted := need
	wanted.Affinity = "prompt"
	pick := func(s *placement.State, at time.Time) vaneyoke.UpstreamID {
		u, _, ok := s.Pick(at, rng(), wanted)
		must.True(t, ok)
		return u.ID
	}
	s := threeDataCentres()
	homes := s.Homes(now, wanted)
	must.Len(t, 4, homes)
	must.EqOp(t, homes[0].ID, pick(s, now)) // nobody has told anything
	for i, home := range homes {
		s.Reported(now, home.ID, vaneyoke.LoadReport{Runs: 5 - i})
	}
	must.EqOp(t, homes[3].ID, pick(s, now))
	s.Reported(now, homes[3].ID, vaneyoke.LoadReport{PendingPrompts: 1, Runs: 1})
	must.EqOp(t, homes[2].ID, pick(s, now)) // the other reads a prompt
	for range 4 {
		s.Sent(now, homes[2].ID)
		s.FirstToken(now, homes[2].ID, unitOfTime, 0)
	}
	must.EqOp(t, homes[1].ID, pick(s, now)) // has four runs, as the other has by now
	must.EqOp(t, homes[0].ID, pick(s, now.Add(time.Second)), must.Sprint("by reports of old"))
}

// unitOfTime stands for a first token that says nothing.
const unitOfTime = time.Millisecond

// TestHomesTakeWork leaves upstreams that take no work, and those that lost this answer, out of a prompt's homes.
func TestHomesTakeWork(t *testing.T) {
	now := time.Unix(1000, 0)
	s := threeDataCentres()
	wanted := need
	wanted.Affinity = "prompt"
	before := s.Homes(now, wanted)
	wanted.Avoid = []vaneyoke.UpstreamID{before[0].ID}
	s.Sent(now, before[1].ID)
	s.Ended(now, before[1].ID, placement.OutcomeUnreachable, false)
	after := s.Homes(now, wanted)
	must.Len(t, 4, after)
	must.EqOp(t, before[2].ID, after[0].ID)
	for _, home := range after {
		must.NotEqOp(t, before[0].ID, home.ID)
		must.NotEqOp(t, before[1].ID, home.ID)
	}
}
