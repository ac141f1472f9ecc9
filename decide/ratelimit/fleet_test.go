package ratelimit_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/ratelimit"
)

var worlds = flag.Uint64("worlds", 1, "how many worlds of each kind are played")

const (
	window     = 4 * time.Second
	share      = 1.5             // of the limit, that an upstream may get within the window
	over       = 5               // requests beyond that
	knownAfter = time.Second     // from when a limit is named on; after it the window may hold no more
	namedAt    = 4 * time.Second // from the beginning
	lasts      = 28 * time.Second
	atLast     = 12 * time.Second // in which it counts what is used
)

// most returns by how many requests at the most an upstream got more than is allowed within a window, and how many it got in one; for a
// while after a change the higher limit holds.
func (u *upstream) most(end time.Time) (beyond float64, got int) {
	beyond = -1e9
	first := 0
	for i, at := range u.arrivals {
		for at.Sub(u.arrivals[first]) > window {
			first++
		}
		rate, named := u.highest(u.arrivals[first].Add(-knownAfter), at)
		if !named || at.After(end) {
			continue
		}
		got = max(got, i-first+1)
		beyond = max(beyond, float64(i-first+1)-share*rate*window.Seconds()-over)
	}
	return beyond, got
}

// highest returns the highest limit that held between two times; named is false where none held at some time between them.
func (u *upstream) highest(from, to time.Time) (rate float64, named bool) {
	if len(u.limits) == 0 || u.limits[0].at.After(from) {
		return 0, false
	}
	for i, c := range u.limits {
		if c.at.After(to) || (i+1 < len(u.limits) && !u.limits[i+1].at.After(from)) {
			continue
		}
		if !c.limit.Declared {
			return 0, false
		}
		rate = max(rate, float64(c.limit.Rate))
	}
	return rate, true
}

// used returns the share of what an upstream offered between two times that it got.
func (u *upstream) used(from, to time.Time) float64 {
	got := 0
	for _, at := range u.arrivals {
		if at.After(from) && !at.After(to) {
			got++
		}
	}
	return float64(got) / (float64(u.limit().Rate) * to.Sub(from).Seconds())
}

// trouble is what befalls a fleet, beginning when the limits have been named for a while.
type trouble struct {
	set    func(w *world)
	strike func(w *world)
	large  bool          // whether the largest fleet is played each time, and not only where several worlds are
	more   time.Duration // for which it is played longer
	used   float64       // share of what is offered that is used at the least, in the end; 0 where it does not count
}

var troubles = map[string]trouble{
	"none":                      {large: true, used: 0.85},
	"one node has all calls":    {large: true, set: func(w *world) { w.only = 0 }, used: 0.85},
	"more calls than are taken": {large: true, set: func(w *world) { w.rate = 200 }, used: 0.85},
	"all upstreams name limits": {set: func(w *world) { w.rate = 60 }, strike: func(w *world) { w.name(w.upstreams[2], 5) }, used: 0.85},
	"nodes start again": {strike: func(w *world) {
		for i := range 10 {
			w.at(8*time.Second+time.Duration(i)*700*time.Millisecond, func() {
				for _, n := range w.some(0.2) {
					w.kill(n, false)
				}
			})
		}
	}},
	"all nodes start again": {strike: func(w *world) {
		for _, n := range w.nodes {
			w.kill(n, false)
		}
	}},
	"all nodes start again among many calls": {large: true, set: func(w *world) { w.rate = 200 }, strike: func(w *world) {
		for _, n := range w.nodes {
			w.kill(n, false)
		}
	}, used: 0.85},
	"nodes stand still": {strike: func(w *world) {
		for i := range 6 {
			w.at(8*time.Second+time.Duration(i)*900*time.Millisecond, func() {
				for _, n := range w.some(0.4) {
					w.freeze(n, 2500*time.Millisecond)
				}
			})
		}
	}},
	"nodes are cut off": {large: true, strike: func(w *world) {
		for i := range 4 {
			w.at(8*time.Second+time.Duration(i)*2*time.Second, func() {
				for _, n := range w.some(0.4) {
					w.cut(n, 3*time.Second)
				}
			})
		}
	}},
	"nodes come": {strike: func(w *world) {
		for i := range 8 {
			w.at(8*time.Second+time.Duration(i)*time.Second, func() {
				n := w.add(false, true)
				w.after(startTime, func() { w.learn(n) })
				w.changeMembers()
				w.after(settle, w.makeTree)
			})
		}
	}},
	"nodes leave for good": {strike: func(w *world) {
		for i := range 3 {
			w.at(8*time.Second+time.Duration(i)*2*time.Second, func() {
				for _, n := range w.some(0.15) {
					w.kill(n, true)
					w.after(3*time.Second, func() {
						n.listed = false
						w.changeMembers()
					})
				}
			})
		}
	}},
	"half of the nodes end for good": {more: 16 * time.Second, strike: func(w *world) {
		for _, n := range w.nodes[:len(w.nodes)/2] {
			w.kill(n, true)
		}
	}, used: 0.85},
	"nodes are cut off for long": {more: 12 * time.Second, strike: func(w *world) {
		for _, n := range w.some(0.4) {
			w.cut(n, 20*time.Second)
		}
	}},
	"the store is away while nodes come and go": {strike: func(w *world) {
		w.away(8 * time.Second)
		for i := range 5 {
			w.at(8*time.Second+time.Duration(i)*time.Second, func() {
				for _, n := range w.some(0.2) {
					w.kill(n, i%2 == 0)
					n.listed = !n.gone
				}
				n := w.add(false, true)
				w.after(startTime, func() { w.learn(n) })
				w.changeMembers()
				w.after(settle, w.makeTree)
			})
		}
	}},
	"limits change": {strike: func(w *world) {
		for i, rate := range []vaneyoke.PerSecond{7, 1.2, 4.5, 0.6, 2.8} {
			w.at(8*time.Second+time.Duration(i)*2*time.Second, func() { w.name(w.upstreams[0], rate) })
		}
	}, used: 0.6},
	"limits end and are named again": {strike: func(w *world) {
		for i := range 4 {
			w.at(8*time.Second+time.Duration(i)*3*time.Second, func() {
				if i%2 == 0 {
					w.end(w.upstreams[0])
				} else {
					w.name(w.upstreams[0], 2)
				}
			})
		}
	}},
	"an upstream starts again under its id": {strike: func(w *world) {
		u := w.upstreams[0]
		u.born++
		w.end(u)
		for _, n := range w.nodes {
			w.after(time.Duration(w.rng.Int64N(int64(listWay))), func() { w.give(n, ratelimit.Upstreams{All: w.upstreamList()}) })
		}
		w.at(10*time.Second, func() { w.name(u, 1.5) })
	}, used: 0.6},
	"datagrams are lost":        {large: true, set: func(w *world) { w.loss = 0.2 }, used: 0.5},
	"data centres are regions":  {set: func(w *world) { w.regions = true }, used: 0.5},
	"some nodes keep no limits": {set: func(w *world) { w.olds = 2 }},
}

func playTrouble(seed uint64, nodes int, tr trouble) *world {
	w := newWorld(seed, nodes, func(w *world) {
		if tr.set != nil {
			tr.set(w)
		}
	})
	w.at(namedAt, func() {
		w.name(w.upstreams[0], 2.8)
		w.name(w.upstreams[1], 3.5)
	})
	if tr.strike != nil {
		w.at(2*namedAt, func() { tr.strike(w) })
	}
	w.play(lasts + tr.more)
	return w
}

// TestLimitsHold plays fleets of 1 to 1,043 nodes before upstreams that name limits, in all troubles: what all nodes send together, also those
// that are cut off or have just started, stays within what the limit allows.
func TestLimitsHold(t *testing.T) {
	for name, tr := range troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sizes := []int{1, 2, 7, 90}
			if tr.large || *worlds > 1 {
				sizes = append(sizes, 1043)
			}
			for _, nodes := range sizes {
				for seed := uint64(1); seed <= *worlds; seed++ {
					w := playTrouble(seed, nodes, tr)
					w.check(t, fmt.Sprint(name, ", ", nodes, " nodes, seed ", seed), tr)
				}
			}
		})
	}
}

func (w *world) check(t *testing.T, what string, tr trouble) {
	t.Helper()
	for _, u := range w.upstreams {
		if len(u.limits) == 0 {
			continue
		}
		beyond, got := u.most(w.now)
		used := u.used(w.now.Add(-atLast), w.now)
		if testing.Verbose() {
			t.Logf("%s: %s got at most %d in %s, %.1f under what is allowed; %.2f of what it offers was used at last", what, u.id, got, window, -beyond, used)
		}
		must.LessEq(t, 0, beyond, must.Sprint(what, " ", u.id))
		if u.limit().Declared {
			must.GreaterEq(t, tr.used, used, must.Sprint(what, " ", u.id))
		}
	}
	if testing.Verbose() {
		slices.Sort(w.waits)
		t.Logf("%s: %d calls, %d sent, %d refused; %d questions, busiest node %d datagrams; longest wait %s, 99 of 100 %s", what, w.calls, w.sent, w.refused,
			w.asks, slices.Max(w.datagrams), w.waits[len(w.waits)-1], w.waits[len(w.waits)*99/100])
	}
}
