package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
)

// outageSim simulates engines in three data centres, one of which fails now and then, on a simulated clock. Engines read prompts in chunks between
// the tokens of their runs, keep runs and replicas in memory, and read a run's prompt again after it was displaced for lack of memory.
type outageSim struct {
	rng         *rand.Rand
	chunkTime   time.Duration // for a chunk of a prompt
	memory      int           // tokens per engine
	arrivalRate func(at time.Duration) float64
	newRun      func(rng *rand.Rand) *outageRun
	outages     []time.Duration                                  // when a data centre fails
	speed       func(e *outageEngine, now time.Duration) float64 // of an engine; 1 is usual
	observer    outageObserver                                   // nil for none
	now         time.Duration
	chooser     outageChooser
	engines     []*outageEngine
	nextArrival time.Duration
	waiting     []*outageRun // requests to be placed again
	requests    int
	served      int // including late ones
	inTime      int
	rejected    int
	tokensRead  int
	firstTokens []time.Duration // times to the first token
	displaced   int             // runs that were displaced for lack of memory
}

// outageObserver learns what nodes see of their runs.
type outageObserver interface {
	// produced reports that a run has produced a token.
	produced(sim *outageSim, e *outageEngine, r *outageRun, at time.Duration)
	// ended reports that a run has ended, or was lost with its engine.
	ended(sim *outageSim, e *outageEngine, r *outageRun, at time.Duration, lost bool)
	// replica returns the engine for a replica of a run, nil for none.
	replica(sim *outageSim, e *outageEngine, r *outageRun) *outageEngine
}

// outageChooser chooses engines for requests.
type outageChooser interface {
	// choose returns the engine for a request, or nil and the time until the request is to be placed again; 0 if it is rejected.
	choose(sim *outageSim, r *outageRun) (e *outageEngine, retryAfter time.Duration)
}

type outageEngine struct {
	id         vaneyoke.UpstreamID
	dataCentre int
	downUntil  time.Duration
	stepEnd    time.Duration // end of the current step
	queue      []*outageRun  // in reading order
	runs       []*outageRun
	replicas   map[*outageRun]bool
	prefilled  int // tokens already read of the first prompt in the queue
	reports    []vaneyoke.LoadReport
	prompts    int // sent to it
	busy       time.Duration
}

type outageRun struct {
	arrivedAt         time.Duration
	prompt, outputLen int // tokens
	generated         int
	lastTokenAt       time.Duration // 0 for none
	late              bool
	nextCheck         time.Duration // when a waiting request is placed again
	replica           *outageEngine
	node              int           // that sent it, plus one; 0 before that
	name              string        // of its prompt
	plannedReplica    *outageEngine // chosen when it was sent
	sentAt            time.Duration // to the latest engine
	firstTokenAt      time.Duration // from the latest engine; 0 for none
	pace              placement.Pace
}

const (
	outageMemory      = 88_000 // tokens per engine
	outageChunk       = 200    // prompt tokens read per step
	outageStep        = 5470 * time.Microsecond
	outageChunkTime   = 25 * time.Millisecond
	outageTick        = 20 * time.Millisecond
	outageLatencyGoal = 4500 * time.Millisecond
	outageMaxTokenGap = 700 * time.Millisecond
	outageTimeout     = 25 * time.Second
	outageArrivalTime = 34 * time.Second
	outageDowntime    = 1200 * time.Millisecond
	outageArrivalRate = 46.2 // requests per second
)

// outages lists when a data centre fails, as on the recorded day that the results are compared with.
var outages = []time.Duration{4100 * time.Millisecond, 11 * time.Second, 17 * time.Second, 24 * time.Second, 30 * time.Second}

func newOutageSim(seed uint64, engines int, chooser outageChooser) *outageSim {
	sim := &outageSim{
		chunkTime: outageChunkTime, memory: outageMemory, rng: rand.New(rand.NewPCG(seed, 9)), chooser: chooser, outages: outages,
		arrivalRate: func(at time.Duration) float64 {
			return outageArrivalRate * (1 + 0.27*math.Sin(2*math.Pi*at.Seconds()/11))
		},
		newRun: func(rng *rand.Rand) *outageRun {
			return &outageRun{
				prompt: int(min(max(8200+2400*rng.NormFloat64(), 600), 14_600)), outputLen: 5 * int(min(max(130+26*rng.NormFloat64(), 5), 190)),
			}
		},
		speed: func(*outageEngine, time.Duration) float64 { return 1 },
	}
	for i := range engines {
		sim.engines = append(sim.engines, &outageEngine{id: vaneyoke.UpstreamID(fmt.Sprint("e", i)), dataCentre: i % 3, replicas: map[*outageRun]bool{}})
	}
	return sim
}

// run plays the simulation and returns the share of the requests that were served in time.
func (sim *outageSim) run() float64 {
	begun := 0
	for ; sim.now < outageArrivalTime+outageTimeout; sim.now += outageTick {
		if begun < len(sim.outages) && sim.now >= sim.outages[begun] {
			sim.failDataCentre(sim.rng.IntN(3))
			begun++
		}
		sim.admit()
		for _, e := range sim.engines {
			sim.advance(e)
			e.reports = append(e.reports, vaneyoke.LoadReport{PendingPrompts: len(e.queue), Runs: len(e.queue) + len(e.runs), KVInUse: vaneyoke.Tokens(e.memory()), KVSize: vaneyoke.Tokens(sim.memory)})
		}
	}
	return float64(sim.inTime) / float64(sim.requests)
}

func (sim *outageSim) admit() {
	waiting := sim.waiting
	sim.waiting = nil
	for _, r := range waiting {
		if r.nextCheck > sim.now {
			sim.waiting = append(sim.waiting, r)
			continue
		}
		sim.place(r)
	}
	for sim.now < outageArrivalTime && sim.nextArrival <= sim.now {
		sim.nextArrival += time.Duration(sim.rng.ExpFloat64() / sim.arrivalRate(sim.nextArrival) * float64(time.Second))
		sim.requests++
		r := sim.newRun(sim.rng)
		r.arrivedAt = sim.now
		sim.place(r)
	}
}

func (e *outageEngine) isUp(now time.Duration) bool { return now >= e.downUntil }

// memory returns the tokens in use by runs and replicas.
func (e *outageEngine) memory() (tokens int) {
	for _, r := range e.runs {
		tokens += r.prompt + r.generated
	}
	for r := range e.replicas {
		tokens += r.prompt + r.generated
	}
	return tokens
}

func (e *outageEngine) queuedTokens() (tokens int) {
	for _, r := range e.queue {
		tokens += r.prompt + r.generated
	}
	return tokens
}

// place queues a request at an engine, lets it wait or rejects it.
func (sim *outageSim) place(r *outageRun) {
	e, retryAfter := sim.chooser.choose(sim, r)
	switch {
	case e != nil && e.isUp(sim.now):
		e.prompts++
		r.sentAt, r.firstTokenAt, r.pace = sim.now, 0, placement.Pace{}
		e.queue = append(e.queue, r)
	case e != nil: // the connection fails, and the request is placed again
		r.nextCheck = sim.now + outageTick
		sim.waiting = append(sim.waiting, r)
	case retryAfter > 0:
		r.nextCheck = sim.now + retryAfter
		sim.waiting = append(sim.waiting, r)
	default:
		sim.rejected++
	}
}

// advance has an engine execute the steps that end by now.
func (sim *outageSim) advance(e *outageEngine) {
	if !e.isUp(sim.now) {
		return
	}
	e.stepEnd = max(e.stepEnd, sim.now-outageTick)
	for e.stepEnd < sim.now {
		if len(e.runs) == 0 && len(e.queue) == 0 {
			return
		}
		took := sim.step(e)
		e.stepEnd += took
		e.busy += took
	}
}

func (sim *outageSim) step(e *outageEngine) time.Duration {
	contextTokens := 0
	for _, r := range e.runs {
		contextTokens += r.prompt + r.generated
	}
	elapsed := outageStep + time.Duration(float64(len(e.runs))*12.1+float64(contextTokens)*0.023)*time.Microsecond
	if len(e.queue) > 0 && sim.hasRoom(e, e.queue[0]) {
		r := e.queue[0]
		chunk := min(outageChunk, r.prompt+r.generated-e.prefilled)
		elapsed += sim.chunkTime * time.Duration(chunk) / outageChunk
		e.prefilled += chunk
		sim.tokensRead += chunk
		if e.prefilled >= r.prompt+r.generated {
			e.queue, e.prefilled = e.queue[1:], 0
			e.runs = append(e.runs, r)
			sim.replicate(e, r)
		}
	}
	elapsed = time.Duration(float64(elapsed) / sim.speed(e, sim.now))
	at := e.stepEnd + elapsed
	for _, r := range slices.Clone(e.runs) {
		sim.emitToken(e, r, at)
	}
	for e.memory() > sim.memory && len(e.runs) > 0 { // the newest run is displaced and read again
		r := e.runs[len(e.runs)-1]
		e.runs = e.runs[:len(e.runs)-1]
		e.queue, e.prefilled = slices.Insert(e.queue, 0, r), 0
		sim.displaced++
		sim.release(r)
	}
	return elapsed
}

func (sim *outageSim) hasRoom(e *outageEngine, r *outageRun) bool {
	return e.prefilled > 0 || e.memory()+r.prompt+r.generated <= sim.memory
}

func (sim *outageSim) emitToken(e *outageEngine, r *outageRun, at time.Duration) {
	r.late = r.late || (r.lastTokenAt == 0 && at-r.arrivedAt > outageLatencyGoal) || (r.lastTokenAt > 0 && at-r.lastTokenAt > outageMaxTokenGap)
	if r.lastTokenAt == 0 {
		sim.firstTokens = append(sim.firstTokens, at-r.arrivedAt)
	}
	r.lastTokenAt = at
	if sim.observer != nil {
		sim.observer.produced(sim, e, r, at)
	}
	if r.generated++; r.generated < r.outputLen {
		return
	}
	e.runs = slices.DeleteFunc(e.runs, func(q *outageRun) bool { return q == r })
	sim.release(r)
	if sim.observer != nil {
		sim.observer.ended(sim, e, r, at, false)
	}
	if at-r.arrivedAt <= outageTimeout {
		sim.served++
		if !r.late {
			sim.inTime++
		}
	}
}

func (sim *outageSim) release(r *outageRun) {
	if r.replica != nil {
		delete(r.replica.replicas, r)
		r.replica = nil
	}
}

// replicate places a replica in another data centre if there is room.
func (sim *outageSim) replicate(e *outageEngine, r *outageRun) {
	if r.late || r.replica != nil {
		return
	}
	var best *outageEngine
	if sim.observer != nil {
		best = sim.observer.replica(sim, e, r)
	}
	for _, o := range sim.engines {
		if sim.observer != nil {
			break
		}
		if o.dataCentre != e.dataCentre && o.isUp(sim.now) && o.memory()+o.queuedTokens()+r.prompt+r.outputLen <= sim.memory &&
			(best == nil || o.memory()+o.queuedTokens() < best.memory()+best.queuedTokens()) {
			best = o
		}
	}
	if best != nil {
		best.replicas[r], r.replica = true, best
	}
}

// failDataCentre stops the engines of a data centre.
func (sim *outageSim) failDataCentre(dataCentre int) {
	var displaced []*outageRun
	for _, e := range sim.engines {
		if e.dataCentre != dataCentre {
			continue
		}
		for r := range e.replicas {
			r.replica = nil
		}
		for _, r := range slices.Concat(e.runs, e.queue) {
			displaced = append(displaced, r)
			if sim.observer != nil {
				sim.observer.ended(sim, e, r, sim.now, true)
			}
		}
		e.runs, e.queue, e.prefilled, e.replicas, e.downUntil = nil, nil, 0, map[*outageRun]bool{}, sim.now+outageDowntime
	}
	slices.SortFunc(displaced, func(a, b *outageRun) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
	for _, r := range displaced {
		if to := r.replica; to != nil {
			sim.release(r)
			to.runs = append(to.runs, r)
			sim.replicate(to, r)
			continue
		}
		r.late = r.late || r.generated > 0
		sim.place(r)
	}
}
