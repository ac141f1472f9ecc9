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

func serviceUpstream(id vaneyoke.UpstreamID) vaneyoke.Upstream {
	return vaneyoke.Upstream{ID: id, Kind: vaneyoke.KindService, Service: "shop", State: vaneyoke.StateLive, Slots: 6, URL: "http://" + string(id)}
}

func pushbackSignal(id vaneyoke.UpstreamID, requested time.Duration) pushback.Signal {
	return pushback.Signal{Upstream: serviceUpstream(id), Pushback: requested}
}

// TestPushbackEndsByItsTimeAlone lists events that must not end a pushback before its time.
func TestPushbackEndsByItsTimeAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	call := placement.Need{Kind: vaneyoke.KindService, Service: "shop"}
	events := map[string]func(s *placement.State){
		"nothing": func(*placement.State) {},
		"a request in flight is answered": func(s *placement.State) {
			s.FirstToken(now, "u0", time.Millisecond, 0)
			s.Ended(now, "u0", placement.OutcomeDone, true)
		},
		"another node reports it healthy": func(s *placement.State) { s.RecordGossip(now, "u0", gossip.KindHealthy) },
		"its entry is listed again":       func(s *placement.State) { s.SetUpstreams([]vaneyoke.Upstream{serviceUpstream("u0")}) },
		"its entry expires and is listed again": func(s *placement.State) {
			s.SetUpstreams(nil)
			s.SetUpstreams([]vaneyoke.Upstream{serviceUpstream("u0")})
		},
		"it declares a limit":                 func(s *placement.State) { s.SetLimit("u0", limit) },
		"it sends a load report":              func(s *placement.State) { s.Reported(now, "u0", vaneyoke.LoadReport{PendingPrompts: 1}) },
		"a request in flight is rejected too": func(s *placement.State) { s.Ended(now, "u0", placement.OutcomeDropped, false) },
	}
	for name, event := range events {
		t.Run(name, func(t *testing.T) {
			s := limitedState("u0")
			s.Sent(now, "u0")
			s.RecordSignal(now, pushbackSignal("u0", 3*time.Second))
			event(s)
			_, _, ok := s.Pick(now.Add(3*time.Second-time.Millisecond), rng(), call)
			must.False(t, ok)
			_, _, ok = s.Pick(now.Add(3*time.Second), rng(), call)
			must.True(t, ok)
		})
	}
}

// TestPushedBackUpstreamsGetNothingOfAnyKind covers first attempts, retries, attempts that prefer the upstream, queries for reports and prompts, and
// replicas.
func TestPushedBackUpstreamsGetNothingOfAnyKind(t *testing.T) {
	now := time.Unix(1000, 0)
	signals := map[string]pushback.Signal{
		"pushed back": pushbackSignal("u0", 3*time.Second),
		"leaving":     {Upstream: serviceUpstream("u0"), Leaving: true},
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			s := limitedState("u0", "u1", "u2")
			s.RecordSignal(now, signal)
			for _, id := range []vaneyoke.UpstreamID{"u1", "u2"} { // even failing ones are preferred to it
				s.RecordGossip(now, id, gossip.KindUnreachable)
				must.True(t, s.AcceptsWork(now.Add(time.Second), id))
			}
			prompt := placement.Need{Kind: vaneyoke.KindService, Service: "shop", Affinity: "p", PromptBytes: 100, Replicate: true}
			prefers, repeat, atMostOnce := prompt, prompt, prompt
			prefers.Prefer, repeat.Avoid, atMostOnce.AtMostOnce = serviceUpstream("u0"), []vaneyoke.UpstreamID{"u1", "u2"}, true
			for _, need := range []placement.Need{prompt, prefers, repeat, atMostOnce} {
				for range 30 {
					u, _, ok := s.Pick(now, rng(), need)
					must.True(t, ok)
					must.NotEqOp(t, "u0", u.ID)
				}
			}
			later := now.Add(time.Second) // the others accept queries again
			for _, targets := range [][]vaneyoke.Upstream{s.AffinityUpstreams(later, prompt), s.SpilloverUpstreams(later, rng(), prompt), s.PromptHolders(later, prompt)} {
				for _, u := range targets {
					must.NotEqOp(t, "u0", u.ID)
				}
			}
			replica, ok := s.PickReplica(later, rng(), prompt, serviceUpstream("u1"))
			must.True(t, ok)
			must.EqOp(t, "u2", replica.ID)
			must.False(t, s.AcceptsWork(later, "u0"))
		})
	}
}

// TestNextIncarnationIsNotPushedBack restarts an upstream under its ID during a pushback: neither the pushback nor the circuit breaker that waits for
// its end applies to the new incarnation.
func TestNextIncarnationIsNotPushedBack(t *testing.T) {
	now := time.Unix(1000, 0)
	before := serviceUpstream("u0")
	before.Incarnation = 5
	restarted := before
	restarted.Incarnation = 6
	restarts := map[string]func(s *placement.State){
		"listed with the new incarnation":      func(s *placement.State) { s.SetUpstreams([]vaneyoke.Upstream{restarted}) },
		"reported by the upstream":             func(s *placement.State) { s.Reported(now, "u0", vaneyoke.LoadReport{Incarnation: 6}) },
		"listed again after its entry expired": func(s *placement.State) { s.SetUpstreams(nil); s.SetUpstreams([]vaneyoke.Upstream{restarted}) },
	}
	for name, restart := range restarts {
		t.Run(name, func(t *testing.T) {
			s := limitedState()
			s.SetUpstreams([]vaneyoke.Upstream{before})
			s.RecordSignal(now, pushback.Signal{Upstream: before, Pushback: 3 * time.Second, Leaving: true})
			must.False(t, s.AcceptsWork(now, "u0"))
			restart(s)
			must.True(t, s.AcceptsWork(now, "u0"))
			s.RecordSignal(now, pushback.Signal{Upstream: before, Pushback: 3 * time.Second}) // late response of the earlier incarnation
			must.True(t, s.AcceptsWork(now, "u0"))
			s.RecordSignal(now, pushback.Signal{Upstream: restarted, Pushback: 3 * time.Second})
			must.False(t, s.AcceptsWork(now, "u0"))
		})
	}
}

// TestOneAttemptFindsOutWhetherAPushbackWasLongEnough sends a single trial after a pushback: until it is answered, other attempts go to upstreams that
// did not push back.
func TestOneAttemptFindsOutWhetherAPushbackWasLongEnough(t *testing.T) {
	now := time.Unix(1000, 0)
	s := limitedState("u0", "u1")
	s.RecordSignal(now, pushbackSignal("u0", time.Second))
	now = now.Add(time.Second)
	must.True(t, s.AcceptsWork(now, "u0"))
	s.Sent(now, "u0")
	must.False(t, s.AcceptsWork(now, "u0"))
	s.FirstToken(now, "u0", time.Millisecond, 0)
	must.True(t, s.AcceptsWork(now, "u0"))
}

// TestCallersComeBackWhenAPushbackEnds has all upstreams push back or shut down: callers get retry-after times shortly after the first of them accepts
// work again, spread so that they do not all retry at once.
func TestCallersComeBackWhenAPushbackEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	call := placement.Need{Kind: vaneyoke.KindService, Service: "shop"}
	s := limitedState("u0", "u1", "u2")
	s.RecordSignal(now, pushbackSignal("u0", 3*time.Second))
	s.RecordSignal(now, pushbackSignal("u1", 2*time.Second))
	s.RecordSignal(now, pushbackSignal("u2", time.Second))
	s.RecordSignal(now, pushback.Signal{Upstream: serviceUpstream("u2"), Leaving: true}) // it will not accept work again
	first, last, random := time.Hour, time.Duration(0), rng()
	for range 200 {
		after, ok := s.PushbackRetryAfter(now, random, call)
		must.True(t, ok)
		first, last = min(first, after), max(last, after)
	}
	must.Between(t, 2*time.Second, first, 2100*time.Millisecond)
	must.Between(t, 2400*time.Millisecond, last, 2500*time.Millisecond)
	after, _ := s.PushbackRetryAfter(now.Add(1990*time.Millisecond), random, call) // a short remaining pushback needs little spread
	must.Between(t, 10*time.Millisecond, after, 20*time.Millisecond)
	_, ok := s.PushbackRetryAfter(now, random, placement.Need{Kind: vaneyoke.KindService, Service: "other"})
	must.False(t, ok)
}
