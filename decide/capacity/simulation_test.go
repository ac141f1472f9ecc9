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
	step           = 100 * time.Millisecond
	bootTime       = 4 * time.Second
	reportInterval = 500 * time.Millisecond // between two reports of the load
	listLag        = 300 * time.Millisecond // until nodes know of a change in the upstreams
	noticeTime     = 2500 * time.Millisecond
	service        = vaneyoke.ServiceID("lm")
)

var prices = map[vaneyoke.DataCentreID]float64{"a": 0.85, "b": 1.2, "c": 1}

// engine is a simulated upstream.
type engine struct {
	pool     capacity.Pool
	servesAt time.Time // from when it serves requests
	noticeAt time.Time // when it got notice to leave; zero if it did not
}

// simulation is a platform that runs upstreams as ordered, on simulated time. The state is asked for orders at each step.
type simulation struct {
	rng                *rand.Rand
	now                time.Time
	startedAt          time.Time
	demand             func(since time.Duration) float64 // number of upstreams that the load keeps busy
	state              *capacity.State
	engines            []*engine
	desired            map[capacity.Pool]int
	noPreemptibleUntil time.Time // until when no preemptible upstream is available
	unansweredShare    float64   // share of the orders that get no answer and are carried out late
	delayed            []func()
	delayedUntil       []time.Time

	reportingShare float64        // share of the nodes whose reports reach the one that orders
	queueing       func() float64 // factor on the prefill time, for queueing
	isOptimal      bool           // whether orders follow the optimal policy, which knows all arrivals
	orders         int
	orderedCounts  map[capacity.Pool][]int // numbers that were ordered
	cost           float64
	served         float64 // load served
	offered        float64
	overloaded     time.Duration // total time in which the load was more than the upstreams can serve
}

func newSimulation(configure func(sim *simulation)) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(1, 7)), now: time.Unix(1000, 0), state: capacity.New(), desired: map[capacity.Pool]int{},
		orderedCounts: map[capacity.Pool][]int{}, demand: func(time.Duration) float64 { return 30 },
	}
	sim.startedAt, sim.reportingShare, sim.queueing = sim.now, 1, func() float64 { return 1 }
	configure(sim)
	for dc := range prices {
		sim.setCount(capacity.Pool{DataCentre: dc}, 40)
	}
	for _, e := range sim.engines {
		e.servesAt = sim.now
	}
	sim.state.Handle(sim.now, capacity.ConfigsUpdated{All: []capacity.ScalingConfig{{
		Service: service, Min: 1, Max: 80, BootTime: bootTime, Prices: prices, PreemptiblePriceRatio: 0.22, Slots: 32, KVCapacity: 55_000,
	}}})
	return sim
}

func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(sim.startedAt) }

func (sim *simulation) after(d time.Duration, do func()) {
	sim.delayed, sim.delayedUntil = append(sim.delayed, do), append(sim.delayedUntil, sim.now.Add(d))
}

// setCount sets the number of upstreams of a pool.
func (sim *simulation) setCount(pool capacity.Pool, count int) {
	sim.desired[pool] = count
	have := 0
	for _, e := range sim.engines {
		if e.pool == pool && e.noticeAt.IsZero() {
			have++
		}
	}
	for ; have < count; have++ {
		sim.engines = append(sim.engines, &engine{pool: pool, servesAt: sim.now.Add(bootTime)})
	}
	for _, e := range sim.engines {
		if have > count && e.pool == pool && e.noticeAt.IsZero() {
			e.noticeAt = sim.now
			have--
		}
	}
}

// reclaim gives all preemptible upstreams of a data centre notice to leave; none are available anywhere for a while.
func (sim *simulation) reclaim(dc vaneyoke.DataCentreID, noCapacity time.Duration) {
	sim.noPreemptibleUntil = sim.now.Add(noCapacity)
	for _, e := range sim.engines {
		if e.pool == (capacity.Pool{DataCentre: dc, Preemptible: true}) && e.noticeAt.IsZero() {
			e.noticeAt = sim.now
		}
	}
}

// restartUpstreams stops all upstreams of a data centre at once; they serve again after a while.
func (sim *simulation) restartUpstreams(dc vaneyoke.DataCentreID, pause time.Duration) {
	for _, e := range sim.engines {
		if e.pool.DataCentre == dc {
			e.servesAt = sim.now.Add(pause)
		}
	}
}

func (sim *simulation) run(until time.Duration, each func()) {
	for sim.elapsed() < until {
		sim.now = sim.now.Add(step)
		if each != nil {
			each()
		}
		sim.runDelayed()
		sim.account()
		if sim.elapsed()%reportInterval == 0 {
			sim.report()
		}
		if sim.isOptimal {
			sim.orderOptimal()
			continue
		}
		for _, o := range sim.state.Handle(sim.now, capacity.Tick{HoldsDuty: func(vaneyoke.ServiceID) bool { return true }}) {
			sim.carryOut(o)
		}
	}
}

func (sim *simulation) runDelayed() {
	later, due := sim.delayed, sim.delayedUntil
	sim.delayed, sim.delayedUntil = nil, nil
	for i, do := range later {
		if due[i].After(sim.now) {
			sim.delayed, sim.delayedUntil = append(sim.delayed, do), append(sim.delayedUntil, due[i])
			continue
		}
		do()
	}
}

// account adds up what a step costs and serves; leaving upstreams serve until they are gone.
func (sim *simulation) account() {
	left, serving := sim.engines[:0], 0.0
	for _, e := range sim.engines {
		if !e.noticeAt.IsZero() && sim.now.Sub(e.noticeAt) > noticeTime {
			continue
		}
		left = append(left, e)
		price := prices[e.pool.DataCentre]
		if e.pool.Preemptible {
			price *= 0.22
		}
		sim.cost += price * step.Seconds()
		if !sim.now.Before(e.servesAt) {
			serving++
		}
	}
	sim.engines = left
	load := sim.demand(sim.elapsed())
	sim.offered += load
	sim.served += min(load, serving)
	if load > serving {
		sim.overloaded += step
	}
}

// report sends the node the list of upstreams and the load.
func (sim *simulation) report() {
	var all []vaneyoke.Upstream
	for i, e := range sim.engines {
		if sim.now.Before(e.servesAt) && e.servesAt.Sub(sim.now) > bootTime/2 {
			continue // not in the list yet
		}
		u := vaneyoke.Upstream{ID: vaneyoke.UpstreamID(fmt.Sprint(i)), Service: service, DataCentre: e.pool.DataCentre, Preemptible: e.pool.Preemptible, State: vaneyoke.StateLive}
		if !e.noticeAt.IsZero() {
			u.State = vaneyoke.StateLeaving
		}
		all = append(all, u)
	}
	load := sim.demand(sim.elapsed())
	used := capacity.Load{
		FirstChunks: int(math.Round(load * reportInterval.Seconds())), Prefill: time.Duration(sim.queueing() * load * float64(reportInterval)), PromptTokens: int(5000 * load * reportInterval.Seconds()), Decode: time.Duration(5 * load * float64(reportInterval)),
		KVTokenSeconds: load * 5 * 5000 * reportInterval.Seconds(),
	}
	sim.after(listLag, func() {
		sim.state.Handle(sim.now, capacity.UpstreamsUpdated{All: all})
		sim.state.Handle(sim.now, capacity.LoadReported{Loads: map[vaneyoke.ServiceID]capacity.Load{service: scaleLoad(used, sim.reportingShare)}, Coverage: sim.reportingShare * reportInterval.Seconds()})
	})
}

func (sim *simulation) carryOut(o capacity.Order) {
	sim.orders++
	sim.orderedCounts[o.Pool] = append(sim.orderedCounts[o.Pool], o.Count)
	answer := func(outcome capacity.Outcome) func() {
		return func() { sim.state.Handle(sim.now, capacity.OrderResult{Order: o, Outcome: outcome}) }
	}
	switch {
	case sim.rng.Float64() < sim.unansweredShare:
		sim.after(2*time.Second+time.Duration(sim.rng.Int64N(int64(10*time.Second))), func() { sim.setCount(o.Pool, o.Count) })
		sim.after(time.Second, answer(capacity.OutcomeUnknown))
	case o.Preemptible && sim.now.Before(sim.noPreemptibleUntil):
		sim.after(step, answer(capacity.OutcomeNoCapacity))
	default:
		sim.setCount(o.Pool, o.Count)
		sim.after(step, answer(capacity.OutcomeAccepted))
	}
}

// orderOptimal orders as many preemptible upstreams as the load needs by the time that they serve, and half as many again, since a data centre may
// fail.
func (sim *simulation) orderOptimal() {
	peak := 0.0
	for ahead := time.Duration(0); ahead <= bootTime+time.Second; ahead += step {
		peak = max(peak, sim.demand(sim.elapsed()+ahead))
	}
	perDataCentre := int(math.Ceil(1.5 * peak / 3))
	for dc := range prices {
		pool := capacity.Pool{DataCentre: dc, Preemptible: true}
		if sim.now.Before(sim.noPreemptibleUntil) {
			continue
		}
		sim.setCount(pool, perDataCentre)
		if onDemand := (capacity.Pool{DataCentre: dc}); sim.elapsed() > bootTime && sim.desired[onDemand] > 0 {
			sim.setCount(onDemand, 0)
		}
	}
}

// scaleLoad returns a share of a load.
func scaleLoad(l capacity.Load, share float64) capacity.Load {
	return capacity.Load{
		FirstChunks: int(share * float64(l.FirstChunks)), Prefill: time.Duration(share * float64(l.Prefill)), PromptTokens: int(share * float64(l.PromptTokens)),
		Decode: time.Duration(share * float64(l.Decode)), KVTokenSeconds: share * l.KVTokenSeconds,
	}
}
