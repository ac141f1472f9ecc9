package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
)

func listed(id vaneyoke.UpstreamID) vaneyoke.Upstream {
	return vaneyoke.Upstream{ID: id, Kind: vaneyoke.KindService, Service: "shop", State: vaneyoke.StateLive, Slots: 6, URL: "http://" + string(id)}
}

func pushedBack(id vaneyoke.UpstreamID, asked time.Duration) pushback.Signal {
	return pushback.Signal{Upstream: listed(id), Pushback: asked}
}

// TestPushbackEndsByItsTimeAlone lists what must not end a pushback.
func TestPushbackEndsByItsTimeAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	call := placement.Need{Kind: vaneyoke.KindService, Service: "shop"}
	follows := map[string]func(s *placement.State){
		"nothing": func(*placement.State) {},
		"a request that was under way is answered": func(s *placement.State) {
			s.FirstToken(now, "u0", time.Millisecond, 0)
			s.Ended(now, "u0", placement.OutcomeDone, true)
		},
		"another node finds it well":                    func(s *placement.State) { s.Heard(now, "u0", gossip.KindHealthy) },
		"its entry comes again":                         func(s *placement.State) { s.SetUpstreams([]vaneyoke.Upstream{listed("u0")}) },
		"its entry lapses and comes again":              func(s *placement.State) { s.SetUpstreams(nil); s.SetUpstreams([]vaneyoke.Upstream{listed("u0")}) },
		"it names a limit":                              func(s *placement.State) { s.SetLimit("u0", limit) },
		"it reports":                                    func(s *placement.State) { s.Reported(now, "u0", vaneyoke.Report{Prompts: 1}) },
		"all that was under way is refused in its turn": func(s *placement.State) { s.Ended(now, "u0", placement.OutcomeDropped, false) },
	}
	for name, follow := range follows {
		t.Run(name, func(t *testing.T) {
			s := limitedState("u0")
			s.Sent(now, "u0")
			s.Signalled(now, pushedBack("u0", 3*time.Second))
			follow(s)
			_, _, ok := s.Pick(now.Add(3*time.Second-time.Millisecond), rng(), call)
			must.False(t, ok)
			_, _, ok = s.Pick(now.Add(3*time.Second), rng(), call)
			must.True(t, ok)
		})
	}
}

// TestPushedBackUpstreamsGetNothingOfAnyKind: first attempts, repeats, attempts that prefer it, questions for reports and for prompts, replicas.
func TestPushedBackUpstreamsGetNothingOfAnyKind(t *testing.T) {
	now := time.Unix(1000, 0)
	signals := map[string]pushback.Signal{
		"pushed back": pushedBack("u0", 3*time.Second),
		"leaving":     {Upstream: listed("u0"), Leaving: true},
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			s := limitedState("u0", "u1", "u2")
			s.Signalled(now, signal)
			for _, id := range []vaneyoke.UpstreamID{"u1", "u2"} { // failing ones are taken rather than it
				s.Heard(now, id, gossip.KindUnreachable)
				must.True(t, s.TakesWork(now.Add(time.Second), id))
			}
			prompt := placement.Need{Kind: vaneyoke.KindService, Service: "shop", Affinity: "p", Bytes: 100, Replicate: true}
			prefers, repeat, once := prompt, prompt, prompt
			prefers.Prefer, repeat.Avoid, once.Once = listed("u0"), []vaneyoke.UpstreamID{"u1", "u2"}, true
			for _, need := range []placement.Need{prompt, prefers, repeat, once} {
				for range 30 {
					u, _, ok := s.Pick(now, rng(), need)
					must.True(t, ok)
					must.NotEqOp(t, "u0", u.ID)
				}
			}
			later := now.Add(time.Second) // the others take questions again
			for _, asked := range [][]vaneyoke.Upstream{s.Homes(later, prompt), s.Spares(later, rng(), prompt), s.Holders(later, prompt)} {
				for _, u := range asked {
					must.NotEqOp(t, "u0", u.ID)
				}
			}
			replica, ok := s.PickReplica(later, rng(), prompt, listed("u1"))
			must.True(t, ok)
			must.EqOp(t, "u2", replica.ID)
			must.False(t, s.TakesWork(later, "u0"))
		})
	}
}

// TestNextLifeIsNotPushedBack: neither a pushback nor the circuit breaker that waits for its end is of the life that follows under the same id.
func TestNextLifeIsNotPushedBack(t *testing.T) {
	now := time.Unix(1000, 0)
	born := listed("u0")
	born.Incarnation = 5
	again := born
	again.Incarnation = 6
	comesBack := map[string]func(s *placement.State){
		"its entry says so":  func(s *placement.State) { s.SetUpstreams([]vaneyoke.Upstream{again}) },
		"it says so itself":  func(s *placement.State) { s.Reported(now, "u0", vaneyoke.Report{Incarnation: 6}) },
		"its entry had gone": func(s *placement.State) { s.SetUpstreams(nil); s.SetUpstreams([]vaneyoke.Upstream{again}) },
	}
	for name, comeBack := range comesBack {
		t.Run(name, func(t *testing.T) {
			s := limitedState()
			s.SetUpstreams([]vaneyoke.Upstream{born})
			s.Signalled(now, pushback.Signal{Upstream: born, Pushback: 3 * time.Second, Leaving: true})
			must.False(t, s.TakesWork(now, "u0"))
			comeBack(s)
			must.True(t, s.TakesWork(now, "u0"))
			s.Signalled(now, pushback.Signal{Upstream: born, Pushback: 3 * time.Second}) // an answer of the earlier life comes late
			must.True(t, s.TakesWork(now, "u0"))
			s.Signalled(now, pushback.Signal{Upstream: again, Pushback: 3 * time.Second})
			must.False(t, s.TakesWork(now, "u0"))
		})
	}
}

// TestOneAttemptFindsOutWhetherAPushbackWasLongEnough: the others go to upstreams that did not push back, until it is answered.
func TestOneAttemptFindsOutWhetherAPushbackWasLongEnough(t *testing.T) {
	now := time.Unix(1000, 0)
	s := limitedState("u0", "u1")
	s.Signalled(now, pushedBack("u0", time.Second))
	now = now.Add(time.Second)
	must.True(t, s.TakesWork(now, "u0"))
	s.Sent(now, "u0")
	must.False(t, s.TakesWork(now, "u0"))
	s.FirstToken(now, "u0", time.Millisecond, 0)
	must.True(t, s.TakesWork(now, "u0"))
}

// TestCallersComeBackWhenAPushbackEnds has all upstreams push back or leave: callers are told to come back when the first takes work again, not all
// at one moment.
func TestCallersComeBackWhenAPushbackEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	call := placement.Need{Kind: vaneyoke.KindService, Service: "shop"}
	s := limitedState("u0", "u1", "u2")
	s.Signalled(now, pushedBack("u0", 3*time.Second))
	s.Signalled(now, pushedBack("u1", 2*time.Second))
	s.Signalled(now, pushedBack("u2", time.Second))
	s.Signalled(now, pushback.Signal{Upstream: listed("u2"), Leaving: true}) // it does not come back
	first, last, random := time.Hour, time.Duration(0), rng()
	for range 200 {
		after, ok := s.PushedBack(now, random, call)
		must.True(t, ok)
		first, last = min(first, after), max(last, after)
	}
	must.Between(t, 2*time.Second, first, 2100*time.Millisecond)
	must.Between(t, 2400*time.Millisecond, last, 2500*time.Millisecond)
	after, _ := s.PushedBack(now.Add(1990*time.Millisecond), random, call) // what is over soon needs no spreading
	must.Between(t, 10*time.Millisecond, after, 20*time.Millisecond)
	_, ok := s.PushedBack(now, random, placement.Need{Kind: vaneyoke.KindService, Service: "other"})
	must.False(t, ok)
}
