package capacity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/capacity"
)

const (
	step    = 100 * time.Millisecond
	boot    = 4 * time.Second
	reports = 500 * time.Millisecond // time between two reports of the load
	listLag = 300 * time.Millisecond // until nodes know of a change of the upstreams
	notice  = 2500 * time.Millisecond
	service = vaneyoke.ServiceID("lm")
)

var prices = map[vaneyoke.DataCentreID]float64{"a": 0.85, "b": 1.2, "c": 1}

// engine is an upstream of the world.
type engine struct {
	pool   capacity.Pool
	serves time.Time // from when
	goes   time.Time // when it was told that it will go; zero where it was not
}

// world is a platform that runs upstreams as they are ordered, on a clock of its own. A policy is asked for orders at each step.
type world struct {
	rng     *rand.Rand
	now     time.Time
	began   time.Time
	demand  func(since time.Duration) float64 // upstreams that are busy with the load, if none is idle
	state   *capacity.State
	engines []*engine
	wanted  map[capacity.Pool]int
	scarce  time.Time // until when no upstream is to be had that may be taken away
	lost    float64   // share of orders that get no answer, and are carried out late
	later   []func()
	due     []time.Time

	told    float64        // share of the nodes whose load comes to the one that orders
	waits   func() float64 // times the reading time that a prompt waits and is read
	bounds  bool           // whether orders are made by what is known of all arrivals
	orders  int
	counts  map[capacity.Pool][]int // that were ordered
	paid    float64
	served  float64 // of the load
	offered float64
	short   time.Duration // time in which the load was more than all upstreams can do
}

func newWorld(set func(w *world)) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(1, 7)), now: time.Unix(1000, 0), state: capacity.New(), wanted: map[capacity.Pool]int{},
		counts: map[capacity.Pool][]int{}, demand: func(time.Duration) float64 { return 30 },
	}
	w.began, w.told, w.waits = w.now, 1, func() float64 { return 1 }
	set(w)
	for dc := range prices {
		w.set(capacity.Pool{DataCentre: dc}, 40)
	}
	for _, e := range w.engines {
		e.serves = w.now
	}
	w.state.Handle(w.now, capacity.TermsSet{All: []capacity.Terms{{
		Service: service, Least: 1, Most: 80, Boot: boot, Prices: prices, Preemptible: 0.22, Slots: 32, Memory: 55_000,
	}}})
	return w
}

func (w *world) since() time.Duration { return w.now.Sub(w.began) }

func (w *world) after(d time.Duration, do func()) {
	w.later, w.due = append(w.later, do), append(w.due, w.now.Add(d))
}

// set has a pool have a number of upstreams.
func (w *world) set(pool capacity.Pool, count int) {
	w.wanted[pool] = count
	have := 0
	for _, e := range w.engines {
		if e.pool == pool && e.goes.IsZero() {
			have++
		}
	}
	for ; have < count; have++ {
		w.engines = append(w.engines, &engine{pool: pool, serves: w.now.Add(boot)})
	}
	for _, e := range w.engines {
		if have > count && e.pool == pool && e.goes.IsZero() {
			e.goes = w.now
			have--
		}
	}
}

// reclaim takes all upstreams of a data centre away that may be, after a notice; none are to be had anywhere for a while.
func (w *world) reclaim(dc vaneyoke.DataCentreID, scarce time.Duration) {
	w.scarce = w.now.Add(scarce)
	for _, e := range w.engines {
		if e.pool == (capacity.Pool{DataCentre: dc, Preemptible: true}) && e.goes.IsZero() {
			e.goes = w.now
		}
	}
}

// lose ends all upstreams of a data centre at once; they are started again after a while.
func (w *world) lose(dc vaneyoke.DataCentreID, pause time.Duration) {
	for _, e := range w.engines {
		if e.pool.DataCentre == dc {
			e.serves = w.now.Add(pause)
		}
	}
}

func (w *world) run(until time.Duration, each func()) {
	for w.since() < until {
		w.now = w.now.Add(step)
		if each != nil {
			each()
		}
		w.carryOutLater()
		w.pay()
		if w.since()%reports == 0 {
			w.report()
		}
		if w.bounds {
			w.orderByAll()
			continue
		}
		for _, o := range w.state.Handle(w.now, capacity.Tick{Orders: func(vaneyoke.ServiceID) bool { return true }}) {
			w.order(o)
		}
	}
}

func (w *world) carryOutLater() {
	later, due := w.later, w.due
	w.later, w.due = nil, nil
	for i, do := range later {
		if due[i].After(w.now) {
			w.later, w.due = append(w.later, do), append(w.due, due[i])
			continue
		}
		do()
	}
}

// pay counts what a step costs and serves; upstreams that go serve until they are gone.
func (w *world) pay() {
	left, serving := w.engines[:0], 0.0
	for _, e := range w.engines {
		if !e.goes.IsZero() && w.now.Sub(e.goes) > notice {
			continue
		}
		left = append(left, e)
		price := prices[e.pool.DataCentre]
		if e.pool.Preemptible {
			price *= 0.22
		}
		w.paid += price * step.Seconds()
		if !w.now.Before(e.serves) {
			serving++
		}
	}
	w.engines = left
	load := w.demand(w.since())
	w.offered += load
	w.served += min(load, serving)
	if load > serving {
		w.short += step
	}
}

// report tells the node what the list of upstreams holds, and what the load was.
func (w *world) report() {
	var all []vaneyoke.Upstream
	for i, e := range w.engines {
		if w.now.Before(e.serves) && e.serves.Sub(w.now) > boot/2 {
			continue // not listed yet
		}
		u := vaneyoke.Upstream{ID: vaneyoke.UpstreamID(fmt.Sprint(i)), Service: service, DataCentre: e.pool.DataCentre, Preemptible: e.pool.Preemptible, State: vaneyoke.StateLive}
		if !e.goes.IsZero() {
			u.State = vaneyoke.StateLeaving
		}
		all = append(all, u)
	}
	load := w.demand(w.since())
	used := capacity.Load{
		Begun: int(math.Round(load * reports.Seconds())), Reading: time.Duration(w.waits() * load * float64(reports)), Tokens: int(5000 * load * reports.Seconds()), Running: time.Duration(5 * load * float64(reports)),
		Held: load * 5 * 5000 * reports.Seconds(),
	}
	w.after(listLag, func() {
		w.state.Handle(w.now, capacity.Upstreams{All: all})
		w.state.Handle(w.now, capacity.Used{Loads: map[vaneyoke.ServiceID]capacity.Load{service: part(used, w.told)}, Told: w.told * reports.Seconds()})
	})
}

func (w *world) order(o capacity.Order) {
	w.orders++
	w.counts[o.Pool] = append(w.counts[o.Pool], o.Count)
	answer := func(outcome capacity.Outcome) func() {
		return func() { w.state.Handle(w.now, capacity.Answered{Order: o, Outcome: outcome}) }
	}
	switch {
	case w.rng.Float64() < w.lost:
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))), func() { w.set(o.Pool, o.Count) })
		w.after(time.Second, answer(capacity.OutcomeUnknown))
	case o.Preemptible && w.now.Before(w.scarce):
		w.after(step, answer(capacity.OutcomeScarce))
	default:
		w.set(o.Pool, o.Count)
		w.after(step, answer(capacity.OutcomeTaken))
	}
}

// orderByAll orders, of the cheapest kind, what the load needs by the time that new upstreams serve, and half as much again, since a data centre may be lost.
func (w *world) orderByAll() {
	most := 0.0
	for ahead := time.Duration(0); ahead <= boot+time.Second; ahead += step {
		most = max(most, w.demand(w.since()+ahead))
	}
	each := int(math.Ceil(1.5 * most / 3))
	for dc := range prices {
		pool := capacity.Pool{DataCentre: dc, Preemptible: true}
		if w.now.Before(w.scarce) {
			continue
		}
		w.set(pool, each)
		if onDemand := (capacity.Pool{DataCentre: dc}); w.since() > boot && w.wanted[onDemand] > 0 {
			w.set(onDemand, 0)
		}
	}
}

// part returns a share of a load.
func part(l capacity.Load, share float64) capacity.Load {
	return capacity.Load{
		Begun: int(share * float64(l.Begun)), Reading: time.Duration(share * float64(l.Reading)), Tokens: int(share * float64(l.Tokens)),
		Running: time.Duration(share * float64(l.Running)), Held: share * l.Held,
	}
}
