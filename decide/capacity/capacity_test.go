package capacity_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/capacity"
)

const busy = 30.0 // upstreams that are busy in the middle

var days = map[string]struct {
	demand func(since time.Duration) float64
	strike func(w *world)
	times  float64       // what may be paid, times what is paid by all that is known; 0 for 3.5
	short  time.Duration // longest time in which the load may be more than all upstreams can do, over two minutes
}{
	"steady": {},
	"daily wave": {demand: func(since time.Duration) float64 {
		return busy * (1 + 0.27*math.Sin(2*math.Pi*since.Seconds()/11))
	}},
	"begins after a while": {demand: func(since time.Duration) float64 {
		if since < 14*time.Second {
			return 0
		}
		return busy
	}, times: 4.5},
	"burst": {demand: func(since time.Duration) float64 {
		if since > 40*time.Second && since < 44*time.Second {
			return 1.7 * busy
		}
		return busy
	}},
	"grows threefold within 30 s": {demand: func(since time.Duration) float64 {
		return busy * min(3, 1+2*max(0, since-40*time.Second).Seconds()/30)
	}},
	"data centre lost now and then": {strike: func(w *world) {
		if w.since() > 20*time.Second && w.since()%(7*time.Second) == 0 {
			w.lose([]vaneyoke.DataCentreID{"a", "b", "c"}[int(w.since()/(7*time.Second))%3], 1200*time.Millisecond)
		}
	}},
	"reclaimed, none to be had": {strike: func(w *world) {
		if w.since() == 40*time.Second {
			w.reclaim("a", 9*time.Second)
		}
	}},
	"two reclaimed, none to be had": {strike: func(w *world) {
		if w.since() == 40*time.Second || w.since() == 41200*time.Millisecond {
			w.reclaim([]vaneyoke.DataCentreID{"b", "a"}[int(w.since()/time.Second)%2], 9*time.Second)
		}
	}, short: 3 * time.Second}, // on-demand ones are ordered at the notice, and serve after their boot, by when those with the notice are gone
	"orders carried out late": {strike: func(w *world) { w.lost = 0.35 }},
}

// TestDays plays loads and losses over two minutes: the load is served, in few orders, for a bounded multiple of what one pays who knows all arrivals, loses nothing, and so needs neither on-demand upstreams nor a reserve for the time that new ones need.
func TestDays(t *testing.T) {
	for name, day := range days {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play := func(bounds bool) *world {
				w := newWorld(func(w *world) {
					w.bounds = bounds
					if day.demand != nil {
						w.demand = day.demand
					}
				})
				w.run(2*time.Minute, func() {
					if day.strike != nil {
						day.strike(w)
					}
				})
				return w
			}
			w, bound := play(false), play(true)
			t.Logf("paid %.0f, all that stood at the start %.0f, by all that is known %.0f; short for %v, %v; %d orders", w.paid, 120*120*1.017, bound.paid, w.short, bound.short, w.orders)
			must.LessEq(t, day.short, w.short)
			times := day.times
			if times == 0 {
				times = 3.5
			}
			must.LessEq(t, times*bound.paid, w.paid)
			must.LessEq(t, 60, w.orders) // six pools
		})
	}
}

// TestNumbersDoNotSwing plays a wave that is steep against the bounds of the plan, for ten minutes: the numbers follow its top and are changed a few times.
func TestNumbersDoNotSwing(t *testing.T) {
	for _, period := range []float64{5, 11, 25} {
		t.Run(fmt.Sprint(period), func(t *testing.T) {
			t.Parallel()
			w := newWorld(func(w *world) {
				w.demand = func(since time.Duration) float64 { return busy * (1 + 0.5*math.Sin(2*math.Pi*since.Seconds()/period)) }
			})
			w.run(time.Minute, nil)
			settled := w.orders
			w.run(10*time.Minute, nil)
			must.EqOp(t, 0, w.short)
			must.LessEq(t, 6*9*2, w.orders-settled) // two a minute for each of six pools, at the most
		})
	}
}

// TestKeepsWhatStandsWhileTheLoadIsUnknown orders as many of the cheaper kind as there are, and lets the others go only once these serve.
func TestKeepsWhatStandsWhileTheLoadIsUnknown(t *testing.T) {
	w := newWorld(func(w *world) { w.demand = func(time.Duration) float64 { return 0 } })
	least := 1000
	w.run(30*time.Second, func() {
		serving := 0
		for _, e := range w.engines {
			if !w.now.Before(e.serves) {
				serving++
			}
		}
		least = min(least, serving)
	})
	must.GreaterEq(t, 120, least)
	onDemand := 0
	for _, e := range w.engines {
		if !e.pool.Preemptible {
			onDemand++
		}
	}
	must.Less(t, 40, onDemand)
}

// TestLimitsAreKept has the load grow beyond what may be ordered.
func TestLimitsAreKept(t *testing.T) {
	w := newWorld(func(w *world) { w.demand = func(time.Duration) float64 { return 500 } })
	w.run(time.Minute, nil)
	for dc := range prices {
		must.LessEq(t, 80, w.wanted[capacity.Pool{DataCentre: dc}]+w.wanted[capacity.Pool{DataCentre: dc, Preemptible: true}])
	}
	for _, counts := range w.counts {
		for _, n := range counts {
			must.Between(t, 0, n, 80)
		}
	}
}

// TestListThatComesInParts has a node hold the duty while its list of upstreams is empty, and then grows: nothing is ordered that is less than what there is.
func TestListThatComesInParts(t *testing.T) {
	s := capacity.New()
	now := time.Unix(1000, 0)
	s.Handle(now, capacity.TermsSet{All: []capacity.Terms{{Service: service, Least: 1, Most: 80, Boot: boot, Prices: prices, Preemptible: 0.22}}})
	var all []vaneyoke.Upstream
	ordered := map[capacity.Pool]int{}
	for i := range 300 {
		now = now.Add(100 * time.Millisecond)
		if i%5 == 0 && len(all) < 120 {
			for j := range 10 {
				dc := []vaneyoke.DataCentreID{"a", "b", "c"}[j%3]
				all = append(all, vaneyoke.Upstream{ID: vaneyoke.UpstreamID(fmt.Sprint(i, "-", j)), Service: service, DataCentre: dc, State: vaneyoke.StateLive})
			}
		}
		s.Handle(now, capacity.Upstreams{All: all[:max(len(all)-10, 0)]})
		for _, o := range s.Handle(now, capacity.Tick{Orders: func(vaneyoke.ServiceID) bool { return true }}) {
			s.Handle(now, capacity.Answered{Order: o, Outcome: capacity.OutcomeTaken})
			if !o.Preemptible {
				must.GreaterEq(t, 36, o.Count, must.Sprint(i, o))
			}
			must.GreaterEq(t, ordered[o.Pool], o.Count, must.Sprint(i, o)) // no fewer than before
			ordered[o.Pool] = o.Count
		}
	}
}

// TestNodesThatDoNotTell has nine in ten nodes be cut off from the one that orders, for a while: the plan is not lowered.
func TestNodesThatDoNotTell(t *testing.T) {
	w := newWorld(func(*world) {})
	w.run(90*time.Second, func() {
		w.told = 1
		if w.since() > 30*time.Second && w.since() < 80*time.Second {
			w.told = 0.1
		}
	})
	must.EqOp(t, 0, w.short)
	for _, counts := range w.counts {
		must.LessEq(t, 3, len(counts))
	}
}

// TestPromptsThatWait has prompts wait four times as long as reading them takes, for a while: waiting is not taken for work, since it would grow with each upstream that is short.
func TestPromptsThatWait(t *testing.T) {
	w := newWorld(func(*world) {})
	w.waits = func() float64 {
		if w.since() > 30*time.Second {
			return 5
		}
		return 1
	}
	w.run(60*time.Second, nil)
	for dc := range prices {
		must.LessEq(t, 60, w.wanted[capacity.Pool{DataCentre: dc}]+w.wanted[capacity.Pool{DataCentre: dc, Preemptible: true}])
	}
}

// TestTrafficThatStops has no request come for 45 s, and all come back at once: what is left by then serves them.
func TestTrafficThatStops(t *testing.T) {
	w := newWorld(func(w *world) {
		w.demand = func(since time.Duration) float64 {
			if since > time.Minute && since < 105*time.Second {
				return 0
			}
			return busy
		}
	})
	w.run(3*time.Minute, nil)
	must.EqOp(t, 0, w.short)
}

// TestUnsoundLoadsAndTerms are what no node tells and no platform offers.
func TestUnsoundLoadsAndTerms(t *testing.T) {
	for _, l := range []capacity.Load{{Begun: -1}, {Reading: -time.Second}, {Running: 1 << 60}, {Tokens: -1}, {Vain: -1}, {Held: -1}, {Held: math.NaN()}, {Held: math.Inf(1)}} {
		must.False(t, l.Sound(), must.Sprint(l))
	}
	must.True(t, capacity.Load{Begun: 3, Reading: time.Second, Tokens: 5000, Held: 1e6}.Sound())
	good := func() capacity.Terms { return capacity.Terms{Service: service, Most: 3, Prices: prices} }
	for name, spoil := range map[string]func(t *capacity.Terms){
		"no service": func(t *capacity.Terms) { t.Service = "" }, "none at all": func(t *capacity.Terms) { t.Most = 0 },
		"fewer than the least": func(t *capacity.Terms) { t.Least = 4 }, "less than nothing": func(t *capacity.Terms) { t.Least = -1 },
		"boots before its order": func(t *capacity.Terms) { t.Boot = -1 }, "boots for days": func(t *capacity.Terms) { t.Boot = 48 * time.Hour },
		"for nothing": func(t *capacity.Terms) { t.Prices = map[vaneyoke.DataCentreID]float64{"a": 0} }, "memory": func(t *capacity.Terms) { t.Memory = -1 },
	} {
		terms := good()
		must.True(t, terms.Sound())
		spoil(&terms)
		must.False(t, terms.Sound(), must.Sprint(name))
	}
}
