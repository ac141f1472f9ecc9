package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/lease"
)

// troubles strike a fleet; each is called once a step, and is over after 40 s.
var troubles = map[string]func(w *world){
	"none": func(*world) {},
	"holder killed again and again": func(w *world) {
		if w.since()%(5*time.Second) == 0 {
			w.kill(w.holder(), time.Second)
		}
	},
	"holder frozen again and again": func(w *world) {
		if w.since()%(7*time.Second) == 0 {
			w.freeze(w.holder(), time.Duration(w.rng.Int64N(int64(8*time.Second))))
		}
	},
	"holder cut off from the store": func(w *world) {
		if w.since()%(8*time.Second) == 0 {
			n := w.nodes[w.holder()]
			n.cut = w.now.Add(6 * time.Second)
		}
	},
	"store away by turns": func(w *world) { w.away = w.since()%(9*time.Second) > 5*time.Second },
	"answers lost":        func(w *world) { w.lost = 0.4 },
	"slow store":          func(w *world) { w.delay = 900 * time.Millisecond },
	"slow store, holder frozen": func(w *world) {
		w.delay = 900 * time.Millisecond
		if w.since()%(6*time.Second) == 0 {
			w.freeze(w.holder(), 5*time.Second)
		}
	},
	"calls carried out late": func(w *world) {
		w.late = 0.3
		w.away = w.since()%(9*time.Second) > 7*time.Second
	},
	"who wants it changes": func(w *world) {
		turn := int(w.since() / (1300 * time.Millisecond))
		w.wants = func(i int) bool { return i == turn%min(len(w.nodes), 3) }
	},
	"who wants it changes at times": func(w *world) {
		if w.rng.Float64() < float64(step)/float64(5*time.Second) {
			without := w.rng.IntN(min(len(w.nodes), 3) + 1)
			w.wants = func(i int) bool { return i < 3 && i != without }
		}
	},
	"two want it": func(w *world) { w.wants = func(i int) bool { return i < 2 } },
	"all killed": func(w *world) {
		if w.since()%(15*time.Second) == 0 {
			for i := range w.nodes {
				w.kill(i, 300*time.Millisecond)
			}
		}
	},
	"holder's answers held back, then cut off": func(w *world) {
		w.wants = func(i int) bool { return i < 2 }
		if w.since()%(10*time.Second) == 0 {
			n := w.nodes[w.holder()]
			n.back = time.Duration((0.6 + 2*w.rng.Float64()) * float64(term))
			w.after(1200*time.Millisecond, func() { n.cut, n.back = w.now.Add(8*time.Second), 0 })
		}
	},
	"holder stopped between a write and its answer": func(w *world) {
		w.wants = func(i int) bool { return i < 2 }
		if w.since()%(10*time.Second) == 0 {
			i := w.holder()
			n := w.nodes[i]
			n.back = term / 10
			w.after(1200*time.Millisecond, func() {
				w.freeze(i, time.Duration((0.6+2*w.rng.Float64())*float64(term)))
				n.cut, n.back = w.now.Add(8*time.Second), 0
			})
		}
	},
	"holder killed and started again at once": func(w *world) {
		if w.since()%(4*time.Second) == 0 {
			w.kill(w.holder(), step)
		}
	},
	"holders leave one after the other": func(w *world) {
		w.wants = func(i int) bool { return i < 3 }
		if w.rng.Float64() < float64(step)/float64(700*time.Millisecond) {
			w.leave(w.holder(), 500*time.Millisecond, time.Duration(w.rng.Int64N(int64(term))))
		}
	},
	"wishes change faster than a term": func(w *world) {
		if w.rng.Float64() < float64(step)/float64(600*time.Millisecond) {
			wanted := w.rng.IntN(1 << 3)
			w.wants = func(i int) bool { return i < 3 && wanted&(1<<i) != 0 }
		}
	},
	"anything": func(w *world) {
		if w.rng.Float64() < 0.02 {
			i := w.rng.IntN(min(len(w.nodes), 3))
			switch w.rng.IntN(4) {
			case 0:
				w.kill(i, time.Second)
			case 1:
				w.freeze(i, time.Duration(w.rng.Int64N(int64(6*time.Second))))
			case 2:
				w.nodes[i].cut = w.now.Add(time.Duration(w.rng.Int64N(int64(6 * time.Second))))
			default:
				w.lost, w.late, w.delay = w.rng.Float64()/2, w.rng.Float64()/2, time.Duration(1+w.rng.Int64N(int64(time.Second)))
			}
		}
	},
}

// play has a trouble strike a fleet for 40 s, and lets it be for as long as the fleet may take to have a holder again.
func play(seed uint64, nodes int, checked bool, f fault, trouble func(w *world)) *world {
	w := newWorld(seed, nodes, checked, f)
	w.run(40*time.Second, func() { trouble(w) })
	w.away, w.lost, w.late, w.delay = false, 0, 0, 40*time.Millisecond
	w.wants = func(i int) bool { return i == w.first() }
	w.run(60*time.Second, nil)
	return w
}

// TestOneHolder plays troubles on fleets of 1 to 1,043 nodes: no token has two senders, no holder acts again within a term after another, no call with a lower token
// comes to a platform that checks none, some node acts again after each trouble, and the calls to the store are bounded whatever the size.
func TestOneHolder(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 90, 1043} {
		for name, trouble := range troubles {
			for _, checked := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d/%s/%v", nodes, name, checked), func(t *testing.T) {
					t.Parallel()
					for seed := range suiteSeeds(nodes) {
						w := play(seed, nodes, checked, faultNone, trouble)
						must.SliceEmpty(t, w.broken, must.Sprint("seed ", seed, w.broken))
						must.SliceNotEmpty(t, w.acts, must.Sprint("seed ", seed))
						must.Less(t, time.Second, w.now.Sub(w.acts[len(w.acts)-1].at), must.Sprint("seed ", seed))
						must.LessEq(t, 60*4, w.calls, must.Sprint("seed ", seed)) // a holder's renewals, three a term, and those of at most three that contend or try again
					}
				})
			}
		}
	}
}

// suiteSeeds returns how many seeds of a fleet TestOneHolder plays.
func suiteSeeds(nodes int) uint64 {
	if nodes > 100 {
		return 1
	}
	return 8
}

// TestFaultsAreNoticed takes one promise after the other out of the nodes: worlds that TestOneHolder plays show each.
func TestFaultsAreNoticed(t *testing.T) {
	for name, tc := range map[string]struct {
		fault   fault
		checked []bool
	}{
		"proof by arrival":  {faultProofByArrival, []bool{true, false}},
		"token from memory": {faultTokenFromMemory, []bool{false}},
		"short term":        {faultShortTerm, []bool{true, false}},
		"no settling":       {faultNoSettling, []bool{false}},
		"one life":          {faultOneLife, []bool{true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shown, played := 0, 0
			for _, nodes := range []int{2, 6} {
				for seed := range suiteSeeds(nodes) {
					for _, checked := range tc.checked {
						for _, trouble := range troubles {
							played++
							if len(play(seed, nodes, checked, tc.fault, trouble).broken) > 0 {
								shown++
							}
						}
					}
				}
			}
			t.Logf("%d of %d worlds show it", shown, played)
			must.Positive(t, shown)
		})
	}
}

// firstHeld returns a state that holds the lease from a time on, and the row that says so.
func firstHeld(now time.Time, s *lease.State) lease.Row {
	row := s.Handle(now, lease.Tick{Want: true})[0].(lease.Write).Row
	row.Revision = 1
	s.Handle(now, lease.Written{Row: row, SentAt: now})
	return row
}

// TestProofCountsFromWhenTheRenewalWasSent has the answer to a renewal be long on its way: it proves the lease for what is left of a term since the
// renewal was sent, and nothing where that is over.
func TestProofCountsFromWhenTheRenewalWasSent(t *testing.T) {
	for name, tc := range map[string]struct{ answer, until time.Duration }{
		"at once":        {0, term},
		"near the term":  {term - callFor, term},
		"after the term": {term + callFor, 0},
	} {
		t.Run(name, func(t *testing.T) {
			sent := time.Unix(1000, 0)
			s := lease.New("vm-0", 1, lease.Config{Term: term, Wait: callFor})
			row := s.Handle(sent, lease.Tick{Want: true})[0].(lease.Write).Row
			row.Revision = 1
			s.Handle(sent.Add(tc.answer), lease.Written{Row: row, SentAt: sent})
			if tc.until == 0 {
				_, ok := s.Holds(sent.Add(tc.answer))
				must.False(t, ok)
				return
			}
			_, ok := s.Holds(sent.Add(tc.until - callFor))
			must.True(t, ok)
			_, ok = s.Holds(sent.Add(tc.until - callFor + time.Millisecond))
			must.False(t, ok)
		})
	}
}

// TestEarlierLifeIsAnotherHolder has a process start again on the same VM while its earlier life's lease stands: it waits for it like any other, and
// takes a higher token.
func TestEarlierLifeIsAnotherHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	config := lease.Config{Term: term, Wait: callFor}
	row := firstHeld(now, lease.New("vm-0", 1, config))
	again := lease.New("vm-0", 2, config)
	must.Len(t, 1, again.Handle(now, lease.Tick{Want: true})) // it knows of no row yet
	again.Handle(now, lease.Raced{Row: row})
	must.SliceEmpty(t, again.Handle(now.Add(term), lease.Tick{Want: true}))
	next := again.Handle(now.Add(2*term), lease.Tick{Want: true})[0].(lease.Write).Row
	must.Greater(t, row.Fence, next.Fence)
}

// TestLeaseIsHeldForATermBeforeItIsGivenUp has a node leave soon after it got the lease: who held it before must not act again so soon.
func TestLeaseIsHeldForATermBeforeItIsGivenUp(t *testing.T) {
	now := time.Unix(1000, 0)
	s := lease.New("vm-0", 1, lease.Config{Term: term, Wait: callFor})
	row := firstHeld(now, s)
	must.SliceEmpty(t, s.Handle(now.Add(term/2), lease.Leaving{Clean: true}))
	must.SliceEmpty(t, s.Handle(now.Add(term-time.Millisecond), lease.Tick{Clean: true}))

	other := lease.New("vm-0", 1, lease.Config{Term: term, Wait: callFor})
	firstHeld(now, other)
	renewed := other.Handle(now.Add(term/2), lease.Tick{Want: true})[0].(lease.Write).Row
	renewed.Revision = row.Revision + 1
	other.Handle(now.Add(term/2), lease.Written{Row: renewed, SentAt: now.Add(term / 2)})
	effects := other.Handle(now.Add(term), lease.Leaving{Clean: true})
	must.Len(t, 2, effects)
	must.True(t, effects[1].(lease.Write).Row.Free)
}

// TestRefusedTokenIsNotUsedAgain has the platform know a higher token than the store does: the node takes a higher one, and never sends the refused one again.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	s := lease.New("vm-0", 1, lease.Config{Term: term, Wait: callFor})
	write := func(effects []lease.Effect) lease.Row {
		must.Len(t, 1, effects)
		return effects[0].(lease.Write).Row
	}
	row := write(s.Handle(now, lease.Tick{Want: true}))
	row.Revision = 7
	s.Handle(now, lease.Written{Row: row, SentAt: now})
	fence, ok := s.Holds(now)
	must.True(t, ok)
	s.Handle(now, lease.Refused{Fence: fence})
	_, ok = s.Holds(now)
	must.False(t, ok)
	now = now.Add(time.Second)
	again := write(s.Handle(now, lease.Tick{Want: true}))
	must.Greater(t, fence, again.Fence)
	must.Greater(t, lease.Fence(row.Revision), again.Fence) // no lower than any write to the store
}

// TestLeavingGivesTheLeaseUp has a holder end: the next one takes the lease at once, without waiting for it to lapse, and acts at once where nothing was under way.
func TestLeavingGivesTheLeaseUp(t *testing.T) {
	for _, clean := range []bool{true, false} {
		now := time.Unix(1000, 0)
		config := lease.Config{Term: term, Wait: callFor, Settle: term}
		a, b := lease.New("vm-a", 1, config), lease.New("vm-b", 1, config)
		row := a.Handle(now, lease.Tick{Want: true})[0].(lease.Write).Row
		row.Revision = 1
		a.Handle(now, lease.Written{Row: row, SentAt: now})
		now = now.Add(term / 2)
		renewed := a.Handle(now, lease.Tick{Want: true})[0].(lease.Write).Row
		renewed.Revision = 2
		a.Handle(now, lease.Written{Row: renewed, SentAt: now})
		now = now.Add(term / 2)
		effects := a.Handle(now, lease.Leaving{Clean: clean})
		must.Len(t, 2, effects)
		_, ok := a.Holds(now)
		must.False(t, ok)
		free := effects[1].(lease.Write).Row
		must.True(t, free.Free)
		free.Revision = 3
		b.Handle(now, lease.Tick{Want: true})
		b.Handle(now, lease.Raced{Row: free})
		next := b.Handle(now, lease.Tick{Want: true})[0].(lease.Write).Row
		must.Greater(t, row.Fence, next.Fence)
		next.Revision = 4
		b.Handle(now, lease.Written{Row: next, SentAt: now})
		_, ok = b.Holds(now)
		must.EqOp(t, clean, ok)
		_, ok = b.Holds(now.Add(term / 2))
		must.EqOp(t, clean, ok)
	}
}

// TestTokenFarBehind has the platform know a token that is far higher, because someone ordered by hand or the store's counter began anew: the node passes it in as many steps as it has digits.
func TestTokenFarBehind(t *testing.T) {
	const seen = lease.Fence(1_000_000_000)
	now := time.Unix(1000, 0)
	s := lease.New("vm-0", 1, lease.Config{Term: term, Wait: callFor})
	revision := vaneyoke.Revision(7)
	for refusals := 0; ; refusals++ {
		must.LessEq(t, 31, refusals)
		for _, e := range s.Handle(now, lease.Tick{Want: true}) {
			if w, ok := e.(lease.Write); ok {
				revision++
				row := w.Row
				row.Revision = revision
				s.Handle(now, lease.Written{Row: row, SentAt: now})
			}
		}
		fence, ok := s.Holds(now)
		must.True(t, ok)
		if fence > seen {
			return
		}
		s.Handle(now, lease.Refused{Fence: fence})
		now = now.Add(time.Second)
	}
}
