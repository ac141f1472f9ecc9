package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/lease"
)

// scenarios inject failures into a simulation; each is called once a step, during the first 40 s.
var scenarios = map[string]func(s *simulation){
	"none": func(*simulation) {},
	"holder killed repeatedly": func(s *simulation) {
		if s.elapsed()%(5*time.Second) == 0 {
			s.kill(s.holder(), time.Second)
		}
	},
	"holder frozen repeatedly": func(s *simulation) {
		if s.elapsed()%(7*time.Second) == 0 {
			s.freeze(s.holder(), time.Duration(s.rng.Int64N(int64(8*time.Second))))
		}
	},
	"holder cut off from the store": func(s *simulation) {
		if s.elapsed()%(8*time.Second) == 0 {
			n := s.nodes[s.holder()]
			n.cutOffUntil = s.now.Add(6 * time.Second)
		}
	},
	"store down periodically": func(s *simulation) { s.storeDown = s.elapsed()%(9*time.Second) > 5*time.Second },
	"answers lost":            func(s *simulation) { s.lostAnswers = 0.4 },
	"slow store":              func(s *simulation) { s.maxDelay = 900 * time.Millisecond },
	"slow store, holder frozen": func(s *simulation) {
		s.maxDelay = 900 * time.Millisecond
		if s.elapsed()%(6*time.Second) == 0 {
			s.freeze(s.holder(), 5*time.Second)
		}
	},
	"calls applied late": func(s *simulation) {
		s.lateCalls = 0.3
		s.storeDown = s.elapsed()%(9*time.Second) > 7*time.Second
	},
	"candidates change in turn": func(s *simulation) {
		turn := int(s.elapsed() / (1300 * time.Millisecond))
		s.wants = func(i int) bool { return i == turn%min(len(s.nodes), 3) }
	},
	"candidates change at random": func(s *simulation) {
		if s.rng.Float64() < float64(step)/float64(5*time.Second) {
			without := s.rng.IntN(min(len(s.nodes), 3) + 1)
			s.wants = func(i int) bool { return i < 3 && i != without }
		}
	},
	"two candidates": func(s *simulation) { s.wants = func(i int) bool { return i < 2 } },
	"all killed": func(s *simulation) {
		if s.elapsed()%(15*time.Second) == 0 {
			for i := range s.nodes {
				s.kill(i, 300*time.Millisecond)
			}
		}
	},
	"holder's answers delayed, then cut off": func(s *simulation) {
		s.wants = func(i int) bool { return i < 2 }
		if s.elapsed()%(10*time.Second) == 0 {
			n := s.nodes[s.holder()]
			n.answerDelay = time.Duration((0.6 + 2*s.rng.Float64()) * float64(ttl))
			s.after(1200*time.Millisecond, func() { n.cutOffUntil, n.answerDelay = s.now.Add(8*time.Second), 0 })
		}
	},
	"holder frozen between a write and its answer": func(s *simulation) {
		s.wants = func(i int) bool { return i < 2 }
		if s.elapsed()%(10*time.Second) == 0 {
			i := s.holder()
			n := s.nodes[i]
			n.answerDelay = ttl / 10
			s.after(1200*time.Millisecond, func() {
				s.freeze(i, time.Duration((0.6+2*s.rng.Float64())*float64(ttl)))
				n.cutOffUntil, n.answerDelay = s.now.Add(8*time.Second), 0
			})
		}
	},
	"holder killed and restarted at once": func(s *simulation) {
		if s.elapsed()%(4*time.Second) == 0 {
			s.kill(s.holder(), step)
		}
	},
	"holders stop one after the other": func(s *simulation) {
		s.wants = func(i int) bool { return i < 3 }
		if s.rng.Float64() < float64(step)/float64(700*time.Millisecond) {
			s.stop(s.holder(), 500*time.Millisecond, time.Duration(s.rng.Int64N(int64(ttl))))
		}
	},
	"candidates change faster than the TTL": func(s *simulation) {
		if s.rng.Float64() < float64(step)/float64(600*time.Millisecond) {
			wanted := s.rng.IntN(1 << 3)
			s.wants = func(i int) bool { return i < 3 && wanted&(1<<i) != 0 }
		}
	},
	"anything": func(s *simulation) {
		if s.rng.Float64() < 0.02 {
			i := s.rng.IntN(min(len(s.nodes), 3))
			switch s.rng.IntN(4) {
			case 0:
				s.kill(i, time.Second)
			case 1:
				s.freeze(i, time.Duration(s.rng.Int64N(int64(6*time.Second))))
			case 2:
				s.nodes[i].cutOffUntil = s.now.Add(time.Duration(s.rng.Int64N(int64(6 * time.Second))))
			default:
				s.lostAnswers, s.lateCalls, s.maxDelay = s.rng.Float64()/2, s.rng.Float64()/2, time.Duration(1+s.rng.Int64N(int64(time.Second)))
			}
		}
	},
}

// simulate runs a scenario for 40 s, and then 20 s without failures, within which the nodes must have a holder again.
func simulate(seed uint64, nodes int, checksTokens bool, m mutation, scenario func(s *simulation)) *simulation {
	s := newSimulation(seed, nodes, checksTokens, m)
	s.run(40*time.Second, func() { scenario(s) })
	s.storeDown, s.lostAnswers, s.lateCalls, s.maxDelay = false, 0, 0, 40*time.Millisecond
	s.wants = func(i int) bool { return i == s.firstReachable() }
	s.run(60*time.Second, nil)
	return s
}

// TestOneHolderAtATime runs each scenario with 1 to 1,043 nodes. No token has two senders, no holder acts again within a TTL of its last call if another node
// acted in between, a platform that checks no tokens receives no call with a lower token, some node acts again after the failures, and the number of calls
// to the store is bounded whatever the number of nodes.
func TestOneHolderAtATime(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 90, 1043} {
		for name, scenario := range scenarios {
			for _, checksTokens := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d/%s/%v", nodes, name, checksTokens), func(t *testing.T) {
					t.Parallel()
					for seed := range suiteSeeds(nodes) {
						s := simulate(seed, nodes, checksTokens, mutationNone, scenario)
						must.SliceEmpty(t, s.violations, must.Sprint("seed ", seed, s.violations))
						must.SliceNotEmpty(t, s.accepted, must.Sprint("seed ", seed))
						must.Less(t, time.Second, s.now.Sub(s.accepted[len(s.accepted)-1].at), must.Sprint("seed ", seed))
						must.LessEq(t, 60*4, s.storeCalls, must.Sprint("seed ", seed)) // a holder's renewals, three per TTL, and the writes of at most three nodes that compete or retry
					}
				})
			}
		}
	}
}

// suiteSeeds returns how many seeds TestOneHolderAtATime runs for a number of nodes.
func suiteSeeds(nodes int) uint64 {
	if nodes > 100 {
		return 1
	}
	return 8
}

// TestMutationsAreDetected breaks one rule of the lease at a time: simulations that TestOneHolderAtATime runs detect each.
func TestMutationsAreDetected(t *testing.T) {
	for name, tc := range map[string]struct {
		mutation     mutation
		checksTokens []bool
	}{
		"TTL from the answer":     {mutationExpiryFromAnswer, []bool{true, false}},
		"token used after expiry": {mutationTokenAfterExpiry, []bool{false}},
		"short TTL":               {mutationShortTTL, []bool{true, false}},
		"no takeover delay":       {mutationNoTakeoverDelay, []bool{false}},
		"one incarnation":         {mutationOneIncarnation, []bool{true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			detected, simulated := 0, 0
			for _, nodes := range []int{2, 6} {
				for seed := range suiteSeeds(nodes) {
					for _, checksTokens := range tc.checksTokens {
						for _, scenario := range scenarios {
							simulated++
							if len(simulate(seed, nodes, checksTokens, tc.mutation, scenario).violations) > 0 {
								detected++
							}
						}
					}
				}
			}
			t.Logf("%d of %d simulations detect it", detected, simulated)
			must.Positive(t, detected)
		})
	}
}

// acquire has a new state acquire the lease, and returns its row.
func acquire(now time.Time, s *lease.State) lease.Row {
	row := s.Handle(now, lease.Tick{Want: true})[0].(lease.Write).Row
	row.Revision = 1
	s.Handle(now, lease.Written{Row: row, SentAt: now})
	return row
}

// TestTTLRunsFromWhenTheRenewalWasSent delays the answer to a renewal: the lease is valid for what is left of the TTL since the renewal was sent, and
// not at all if the TTL is over by then.
func TestTTLRunsFromWhenTheRenewalWasSent(t *testing.T) {
	for name, tc := range map[string]struct{ answer, until time.Duration }{
		"at once":        {0, ttl},
		"within the TTL": {ttl - callTimeout, ttl},
		"after the TTL":  {ttl + callTimeout, 0},
	} {
		t.Run(name, func(t *testing.T) {
			sent := time.Unix(1000, 0)
			s := lease.New("vm-0", 1, lease.Config{TTL: ttl, CallTimeout: callTimeout})
			row := s.Handle(sent, lease.Tick{Want: true})[0].(lease.Write).Row
			row.Revision = 1
			s.Handle(sent.Add(tc.answer), lease.Written{Row: row, SentAt: sent})
			if tc.until == 0 {
				_, ok := s.ActiveToken(sent.Add(tc.answer))
				must.False(t, ok)
				return
			}
			_, ok := s.ActiveToken(sent.Add(tc.until - callTimeout))
			must.True(t, ok)
			_, ok = s.ActiveToken(sent.Add(tc.until - callTimeout + time.Millisecond))
			must.False(t, ok)
		})
	}
}

// TestRestartedProcessIsAnotherHolder restarts a process on the same VM while the lease of its earlier incarnation is valid: it waits until that
// expires like any other node, and takes a higher token.
func TestRestartedProcessIsAnotherHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	config := lease.Config{TTL: ttl, CallTimeout: callTimeout}
	row := acquire(now, lease.New("vm-0", 1, config))
	again := lease.New("vm-0", 2, config)
	must.Len(t, 1, again.Handle(now, lease.Tick{Want: true})) // no row is known yet
	again.Handle(now, lease.Conflict{Row: row})
	must.SliceEmpty(t, again.Handle(now.Add(ttl), lease.Tick{Want: true}))
	next := again.Handle(now.Add(2*ttl), lease.Tick{Want: true})[0].(lease.Write).Row
	must.Greater(t, row.Token, next.Token)
}

// TestLeaseIsHeldForItsTTLBeforeItIsReleased stops a node soon after it acquired the lease: the previous holder must not act again so soon.
func TestLeaseIsHeldForItsTTLBeforeItIsReleased(t *testing.T) {
	now := time.Unix(1000, 0)
	s := lease.New("vm-0", 1, lease.Config{TTL: ttl, CallTimeout: callTimeout})
	row := acquire(now, s)
	must.SliceEmpty(t, s.Handle(now.Add(ttl/2), lease.NodeStopping{Drained: true}))
	must.SliceEmpty(t, s.Handle(now.Add(ttl-time.Millisecond), lease.Tick{Drained: true}))

	other := lease.New("vm-0", 1, lease.Config{TTL: ttl, CallTimeout: callTimeout})
	acquire(now, other)
	renewed := other.Handle(now.Add(ttl/2), lease.Tick{Want: true})[0].(lease.Write).Row
	renewed.Revision = row.Revision + 1
	other.Handle(now.Add(ttl/2), lease.Written{Row: renewed, SentAt: now.Add(ttl / 2)})
	effects := other.Handle(now.Add(ttl), lease.NodeStopping{Drained: true})
	must.Len(t, 2, effects)
	must.True(t, effects[1].(lease.Write).Row.Released)
}

// TestRefusedTokenIsNotUsedAgain has the platform know a higher token than the store: the node takes a higher token, and never sends the refused one again.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	s := lease.New("vm-0", 1, lease.Config{TTL: ttl, CallTimeout: callTimeout})
	write := func(effects []lease.Effect) lease.Row {
		must.Len(t, 1, effects)
		return effects[0].(lease.Write).Row
	}
	row := write(s.Handle(now, lease.Tick{Want: true}))
	row.Revision = 7
	s.Handle(now, lease.Written{Row: row, SentAt: now})
	token, ok := s.ActiveToken(now)
	must.True(t, ok)
	s.Handle(now, lease.Refused{Token: token})
	_, ok = s.ActiveToken(now)
	must.False(t, ok)
	now = now.Add(time.Second)
	again := write(s.Handle(now, lease.Tick{Want: true}))
	must.Greater(t, token, again.Token)
	must.Greater(t, lease.FencingToken(row.Revision), again.Token) // no lower than any write to the store
}

// TestStoppingNodeReleasesItsLease stops a holder: the next node acquires the lease without waiting for it to expire, and acts at once if no call was
// in flight.
func TestStoppingNodeReleasesItsLease(t *testing.T) {
	for _, drained := range []bool{true, false} {
		now := time.Unix(1000, 0)
		config := lease.Config{TTL: ttl, CallTimeout: callTimeout, TakeoverDelay: ttl}
		a, b := lease.New("vm-a", 1, config), lease.New("vm-b", 1, config)
		row := a.Handle(now, lease.Tick{Want: true})[0].(lease.Write).Row
		row.Revision = 1
		a.Handle(now, lease.Written{Row: row, SentAt: now})
		now = now.Add(ttl / 2)
		renewed := a.Handle(now, lease.Tick{Want: true})[0].(lease.Write).Row
		renewed.Revision = 2
		a.Handle(now, lease.Written{Row: renewed, SentAt: now})
		now = now.Add(ttl / 2)
		effects := a.Handle(now, lease.NodeStopping{Drained: drained})
		must.Len(t, 2, effects)
		_, ok := a.ActiveToken(now)
		must.False(t, ok)
		released := effects[1].(lease.Write).Row
		must.True(t, released.Released)
		released.Revision = 3
		b.Handle(now, lease.Tick{Want: true})
		b.Handle(now, lease.Conflict{Row: released})
		next := b.Handle(now, lease.Tick{Want: true})[0].(lease.Write).Row
		must.Greater(t, row.Token, next.Token)
		next.Revision = 4
		b.Handle(now, lease.Written{Row: next, SentAt: now})
		_, ok = b.ActiveToken(now)
		must.EqOp(t, drained, ok)
		_, ok = b.ActiveToken(now.Add(ttl / 2))
		must.EqOp(t, drained, ok)
	}
}

// TestTokenCatchesUpWithThePlatform has the platform know a far higher token, because someone sent an order by hand or the store's counter was reset:
// the node exceeds it in as many steps as the token has binary digits.
func TestTokenCatchesUpWithThePlatform(t *testing.T) {
	const seen = lease.FencingToken(1_000_000_000)
	now := time.Unix(1000, 0)
	s := lease.New("vm-0", 1, lease.Config{TTL: ttl, CallTimeout: callTimeout})
	revision := vaneyoke.Revision(7)
	for refusals := 0; ; refusals++ {
		must.LessEq(t, 31, refusals)
		for _, e := range s.Handle(now, lease.Tick{Want: true}) {
			if write, ok := e.(lease.Write); ok {
				revision++
				row := write.Row
				row.Revision = revision
				s.Handle(now, lease.Written{Row: row, SentAt: now})
			}
		}
		token, ok := s.ActiveToken(now)
		must.True(t, ok)
		if token > seen {
			return
		}
		s.Handle(now, lease.Refused{Token: token})
		now = now.Add(time.Second)
	}
}
