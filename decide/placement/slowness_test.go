package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

const usualInterval = 40 * time.Millisecond

// paced records the pace of four streams for a while, once a second each; the first one is on an upstream that is slower by a factor. It returns the
// factors of that upstream that others are to be told.
func paced(s *placement.State, now *time.Time, duration time.Duration, factor float64) (told []gossip.Factor) {
	for range int(duration / time.Second) {
		*now = now.Add(time.Second)
		for _, id := range []vaneyoke.UpstreamID{"b", "c", "d"} {
			_, _ = s.Paced(*now, id, usualInterval)
		}
		if f, isNews := s.Paced(*now, "a", time.Duration(factor*float64(usualInterval))); isNews {
			told = append(told, f)
		}
	}
	return told
}

// factorOf returns how slow a node takes an upstream to be.
func factorOf(s *placement.State, now time.Time, id vaneyoke.UpstreamID) float64 {
	for _, l := range s.Loads(now) {
		if l.Upstream.ID == id {
			return float64(l.Factor)
		}
	}
	return 0
}

// TestShortSpellIsTakenForASlowEngine slows an engine for one second, then for five, and then no more.
func TestShortSpellIsTakenForASlowEngine(t *testing.T) {
	now, s := time.Unix(1000, 0), stateWith("a", "b", "c", "d")
	must.SliceEmpty(t, paced(s, &now, 20*time.Second, 1))
	must.SliceEmpty(t, paced(s, &now, time.Second, 3))
	must.EqOp(t, 1, factorOf(s, now, "a"))
	must.SliceEmpty(t, paced(s, &now, 10*time.Second, 1))
	must.SliceNotEmpty(t, paced(s, &now, 6*time.Second, 3))
	must.Between(t, 1.8, factorOf(s, now, "a"), 3.1)
	must.Between(t, 0.9, factorOf(s, now, "b"), 1.1)
	paced(s, &now, 10*time.Second, 1)
	must.Between(t, 0.8, factorOf(s, now, "a"), 1.4)
}

// TestSlowEngineIsNeverTriedAgain records nothing of a slow engine any more.
func TestSlowEngineIsNeverTriedAgain(t *testing.T) {
	now, s := time.Unix(1000, 0), stateWith("a", "b", "c", "d")
	paced(s, &now, 20*time.Second, 4)
	must.Greater(t, 2, factorOf(s, now, "a"))
	must.Less(t, 1.2, factorOf(s, now.Add(time.Minute), "a"))
}

// TestFactorsAreToldTooOften has an engine be slow for a minute: the factor is told at most every three seconds, and not at all by a node that has
// heard it.
func TestFactorsAreToldTooOften(t *testing.T) {
	now, s, other := time.Unix(1000, 0), stateWith("a", "b", "c", "d"), stateWith("a", "b", "c", "d")
	told := paced(s, &now, time.Minute, 3)
	must.Between(t, 1, len(told), 20)
	count := 0
	for range 60 {
		now = now.Add(time.Second)
		other.RecordSlowness(now, "a", 0, 3)
		count += len(paced(other, &now, time.Second, 3))
	}
	must.Zero(t, count)
}

// TestHostileFactorsAreBelieved tells factors that cannot be, a single odd one, and one of an engine that is not listed.
func TestHostileFactorsAreBelieved(t *testing.T) {
	now, s := time.Unix(1000, 0), stateWith("a", "b", "c", "d")
	for _, factor := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 0, -3, 1e300, 0.01, 100} {
		for range 10 {
			s.RecordSlowness(now, "a", 0, gossip.Factor(factor))
		}
	}
	s.RecordSlowness(now, "gone", 0, 3)
	must.EqOp(t, 1, factorOf(s, now, "a"))
	s.RecordSlowness(now, "b", 0, 8) // a single node says so
	must.EqOp(t, 1, factorOf(s, now, "b"))
	for range 10 {
		s.RecordSlowness(now, "c", 0, 8)
	}
	must.Greater(t, 4, factorOf(s, now, "c"))
	paced(s, &now, 20*time.Second, 1) // what the node sees itself goes first
	must.Between(t, 0.8, factorOf(s, now, "c"), 1.4)
}

// TestSlownessOutlivesARestart restarts a slow engine under its ID, while others still tell that it is slow.
func TestSlownessOutlivesARestart(t *testing.T) {
	now := time.Unix(1000, 0)
	list := func(incarnation vaneyoke.Incarnation) []vaneyoke.Upstream {
		return []vaneyoke.Upstream{{ID: "a", Kind: longNeed.Kind, Service: longNeed.Service, State: vaneyoke.StateLive, URL: "http://a", Incarnation: incarnation}}
	}
	for name, restart := range map[string]func(s *placement.State){
		"listed":   func(s *placement.State) { s.SetUpstreams(list(2)) },
		"reported": func(s *placement.State) { s.Reported(now, "a", vaneyoke.LoadReport{Incarnation: 2, KVSize: 55_000}) },
	} {
		t.Run(name, func(t *testing.T) {
			s := placement.New("a", retry.DefaultBreakerConfig())
			s.SetUpstreams(list(1))
			for range 3 {
				s.RecordSlowness(now, "a", 1, 4)
				s.Reserve(now, "a", longNeed)
			}
			must.Greater(t, 2, factorOf(s, now, "a"))
			restart(s)
			for range 3 {
				s.RecordSlowness(now, "a", 1, 4) // late
			}
			must.EqOp(t, 1, factorOf(s, now, "a"))
			s.Reported(now, "a", vaneyoke.LoadReport{Incarnation: 2, KVSize: 55_000})
			must.True(t, s.Assess(now, longNeed).Idle)
		})
	}
}

// TestPaceCountsWaitingForPrompts has a stream whose upstream reads prompts half of the time, and whose events arrive in pairs now and then.
func TestPaceCountsWaitingForPrompts(t *testing.T) {
	var pace placement.Pace
	now, windows := time.Unix(1000, 0), 0
	for i := range 400 {
		switch {
		case i%2 == 1:
			now = now.Add(3 * usualInterval)
		case i%16 == 0: // at once
		default:
			now = now.Add(usualInterval)
		}
		if interval, ok := pace.Add(now); ok {
			windows++
			must.EqOp(t, usualInterval, interval)
		}
	}
	must.Between(t, 30, windows, 60)
}

// TestSlowStreamsAreNotMeasured has a stream with one event every 400 ms.
func TestSlowStreamsAreNotMeasured(t *testing.T) {
	var pace placement.Pace
	now, windows := time.Unix(1000, 0), 0
	for range 26 {
		now = now.Add(400 * time.Millisecond)
		if _, ok := pace.Add(now); ok {
			windows++
		}
	}
	must.EqOp(t, 6, windows)
}

// TestEvenServicesAreSpread checks which services are spread by which setting.
func TestEvenServicesAreSpread(t *testing.T) {
	now, s := time.Unix(1000, 0), stateWith("a", "b", "c", "d")
	paced(s, &now, time.Minute, 1)
	must.False(t, s.IsUneven("lm"))
	paced(s, &now, 4*time.Second, 3) // too short
	paced(s, &now, 20*time.Second, 1)
	must.False(t, s.IsUneven("lm"))
	paced(s, &now, 20*time.Second, 3)
	must.True(t, s.IsUneven("lm"))
	must.Eq(t, []vaneyoke.ServiceID{"lm"}, s.UnevenServices())
	paced(s, &now, 30*time.Second, 1)
	must.True(t, s.IsUneven("lm"))
	paced(s, &now, time.Minute, 1)
	must.False(t, s.IsUneven("lm"))
	s.SetUneven("lm", true)
	must.True(t, s.IsUneven("lm"))
	must.False(t, s.IsUneven("other"))
	s.SetSpread(placement.SpreadOff)
	must.False(t, s.IsUneven("lm"))
	s.SetSpread(placement.SpreadOn)
	must.True(t, s.IsUneven("other"))
}

// TestFewSlowUpstreamsMakeAServiceUneven has some of eight upstreams work three times slower for twenty seconds: one alone is passed over by breakers and
// factors, and does not change how the whole service is served.
func TestFewSlowUpstreamsMakeAServiceUneven(t *testing.T) {
	ids := []vaneyoke.UpstreamID{"a", "b", "c", "d", "e", "f", "g", "h"}
	for slow, want := range map[int]bool{0: false, 1: false, 3: true} {
		now, s := time.Unix(1000, 0), stateWith(ids...)
		for range 20 {
			now = now.Add(time.Second)
			for i, id := range ids {
				interval := usualInterval
				if i < slow {
					interval *= 3
				}
				_, _ = s.Paced(now, id, interval)
			}
		}
		must.EqOp(t, want, s.IsUneven("lm"), must.Sprint(slow, " slow"))
	}
}

// TestChoicesChangeThoughSwitchedOff has a node for which the spread is off, and one that knows nothing of it, choose by the same events.
func TestChoicesChangeThoughSwitchedOff(t *testing.T) {
	ids := []vaneyoke.UpstreamID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	off, plain := stateWith(ids...), stateWith(ids...)
	off.SetSpread(placement.SpreadOff)
	off.SetUneven("lm", true)
	offRNG, plainRNG, events := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1000, 0)
	for range 2000 {
		now = now.Add(time.Duration(events.IntN(50)) * time.Millisecond)
		wanted := longNeed
		wanted.Affinity = string(rune('a' + events.IntN(26)))
		known := wanted
		known.SharedTokens = 200
		wanted.AnswerTokens = 0
		must.Eq(t, plain.AffinityUpstreams(now, wanted), off.AffinityUpstreams(now, known))
		must.Eq(t, plain.SpilloverUpstreams(now, plainRNG, wanted), off.SpilloverUpstreams(now, offRNG, known))
		must.EqOp(t, plain.HasRoom(now, wanted), off.HasRoom(now, known))
		report := vaneyoke.LoadReport{PendingPrompts: events.IntN(2), Runs: events.IntN(8), KVInUse: vaneyoke.Tokens(events.IntN(55_000)), KVSize: 55_000}
		id := ids[events.IntN(len(ids))]
		plain.Reported(now, id, report)
		off.Reported(now, id, report)
		off.Paced(now, id, time.Duration(1+events.IntN(100))*time.Millisecond)
		off.RecordSlowness(now, id, 0, 4)
		want, _, _ := plain.Pick(now, plainRNG, wanted)
		got, _, _ := off.Pick(now, offRNG, known)
		must.EqOp(t, want.ID, got.ID)
		for s, need := range map[*placement.State]placement.Need{plain: wanted, off: known} {
			s.Sent(now, got.ID)
			s.Reserve(now, got.ID, need)
			s.FirstToken(now, got.ID, time.Second, need.PromptBytes)
			s.Completed(now, got.ID, need, time.Second)
			s.Ended(now, got.ID, placement.OutcomeDone, true)
		}
		wantReplica, _ := plain.PickReplica(now, plainRNG, wanted, want)
		gotReplica, _ := off.PickReplica(now, offRNG, known, got)
		must.EqOp(t, wantReplica.ID, gotReplica.ID)
	}
}
