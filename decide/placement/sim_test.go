package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

// The simulated fleet has the size of the current one, with engines of different speeds.
const (
	simNodes   = 7
	simEngines = 24
	simSlots   = 4
	simLoad    = 0.9 // share of the capacity
	simTime    = 120 * time.Second
	tokenTime  = 29 * time.Millisecond
	byteTime   = 20 * time.Microsecond // per byte of prefill
	reportLag  = time.Second
)

// job is one request.
type job struct {
	arrived time.Time
	engine  int
	node    int
	bytes   int
	tokens  int
	long    bool
}

// event is a simulation event.
type event struct {
	at   time.Time
	kind int
	job  *job
}

const (
	arrival = iota
	firstToken
	departure
)

type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) } //nolint:errcheck // only events are pushed
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simEngine is an engine with a queue and a fixed number of slots.
type simEngine struct {
	speed      float64
	running    int
	queue      []*job
	reported   int // load in the latest report
	reportedAt time.Time
}

// chooser chooses engines for jobs.
type chooser interface {
	choose(now time.Time, node int, j *job) int
	first(now time.Time, j *job)
	done(now time.Time, j *job)
}

type slotSim struct {
	rng              *rand.Rand
	events           eventQueue
	engines          []*simEngine
	chooser          chooser
	shortFirstTokens []time.Duration // times to the first token of short requests
}

func newSlotSim(seed uint64) *slotSim {
	s := &slotSim{rng: rand.New(rand.NewPCG(seed, seed))}
	for i := range simEngines {
		s.engines = append(s.engines, &simEngine{speed: []float64{1, 1, 0.5}[i%3]})
	}
	return s
}

// run sends a mix of long and short requests and returns the 95th and 99th percentile of the short ones' time to the first token.
func (s *slotSim) run() (p95, p99 time.Duration) {
	start := time.Unix(0, 0)
	capacity := 0.0
	for _, e := range s.engines {
		capacity += e.speed * simSlots
	}
	// A mean request takes (0.3*150 + 0.7*15) tokens and (0.3*8000 + 0.7*500) bytes.
	mean := 55.5*tokenTime.Seconds() + 2750*byteTime.Seconds()
	rate := simLoad * capacity / mean
	for at := start; at.Sub(start) < simTime; {
		at = at.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
		heap.Push(&s.events, event{at: at, kind: arrival, job: s.newJob(at)})
	}
	for s.events.Len() > 0 {
		s.step(heap.Pop(&s.events).(event)) //nolint:errcheck // only events are pushed
	}
	slices.Sort(s.shortFirstTokens)
	return s.shortFirstTokens[len(s.shortFirstTokens)*95/100], s.shortFirstTokens[len(s.shortFirstTokens)*99/100]
}

func (s *slotSim) newJob(at time.Time) *job {
	j := &job{arrived: at, node: s.rng.IntN(simNodes), bytes: 500, tokens: 15}
	if s.rng.Float64() < 0.3 {
		j.bytes, j.tokens, j.long = 8000, 150, true
	}
	return j
}

func (s *slotSim) step(h event) {
	switch h.kind {
	case arrival:
		h.job.engine = s.chooser.choose(h.at, h.job.node, h.job)
		e := s.engines[h.job.engine]
		e.queue = append(e.queue, h.job)
		s.serve(h.at, e)
	case firstToken:
		if !h.job.long {
			s.shortFirstTokens = append(s.shortFirstTokens, h.at.Sub(h.job.arrived))
		}
		s.chooser.first(h.at, h.job)
	case departure:
		e := s.engines[h.job.engine]
		e.running--
		s.chooser.done(h.at, h.job)
		s.serve(h.at, e)
	}
}

// serve starts queued jobs while there are free slots.
func (s *slotSim) serve(now time.Time, e *simEngine) {
	for e.running < simSlots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		prefill := time.Duration(float64(byteTime) * float64(j.bytes) / e.speed)
		decode := time.Duration(float64(tokenTime) * float64(j.tokens) / e.speed)
		heap.Push(&s.events, event{at: now.Add(prefill), kind: firstToken, job: j})
		heap.Push(&s.events, event{at: now.Add(prefill + decode), kind: departure, job: j})
	}
}

// stateChooser chooses as the product does, with one state per node.
type stateChooser struct {
	rng    *rand.Rand
	states []*placement.State
}

func newStateChooser(s *slotSim) *stateChooser {
	o := &stateChooser{rng: s.rng}
	var upstreams []vaneyoke.Upstream
	for i := range simEngines {
		upstreams = append(upstreams, vaneyoke.Upstream{
			ID: engineID(i), Kind: vaneyoke.KindEngine, State: vaneyoke.StateLive, Models: []vaneyoke.ModelID{"m"}, Slots: simSlots,
		})
	}
	for range simNodes {
		state := placement.New("hall-a", retry.DefaultBreakerConfig())
		state.SetUpstreams(upstreams)
		o.states = append(o.states, state)
	}
	return o
}

func engineID(i int) vaneyoke.UpstreamID { return vaneyoke.UpstreamID(fmt.Sprintf("%02d", i)) }

func (o *stateChooser) choose(now time.Time, node int, j *job) int {
	u, _, _ := o.states[node].Pick(now, o.rng, placement.Need{Kind: vaneyoke.KindEngine, Model: "m", PromptBytes: j.bytes})
	o.states[node].Sent(now, u.ID)
	var i int
	_, _ = fmt.Sscanf(string(u.ID), "%d", &i)
	return i
}

func (o *stateChooser) first(now time.Time, j *job) {
	o.states[j.node].FirstToken(now, engineID(j.engine), now.Sub(j.arrived), j.bytes)
}

func (o *stateChooser) done(now time.Time, j *job) {
	o.states[j.node].Ended(now, engineID(j.engine), placement.OutcomeDone, true)
}

// roundRobin is a baseline: each node uses the engines in turn.
type roundRobin struct{ next [simNodes]int }

func (r *roundRobin) choose(_ time.Time, node int, _ *job) int {
	r.next[node]++
	return (r.next[node] + node) % simEngines
}
func (*roundRobin) first(time.Time, *job) {}
func (*roundRobin) done(time.Time, *job)  {}

// leastReported is a baseline: the engine with the least load in reports up to a second old.
type leastReported struct{ sim *slotSim }

func (l *leastReported) choose(now time.Time, _ int, _ *job) int {
	best := 0
	for i, e := range l.sim.engines {
		if now.Sub(e.reportedAt) >= reportLag {
			e.reported, e.reportedAt = e.running+len(e.queue), now
		}
		if e.reported < l.sim.engines[best].reported {
			best = i
		}
	}
	return best
}
func (*leastReported) first(time.Time, *job) {}
func (*leastReported) done(time.Time, *job)  {}

// ownRandomTwo is a baseline: the better of two random engines by the node's own load alone.
type ownRandomTwo struct {
	sim *slotSim
	own [simNodes][simEngines]int
}

func (o *ownRandomTwo) choose(_ time.Time, node int, _ *job) int {
	a, b := o.sim.rng.IntN(simEngines), o.sim.rng.IntN(simEngines)
	if o.own[node][b] < o.own[node][a] {
		a = b
	}
	o.own[node][a]++
	return a
}
func (*ownRandomTwo) first(time.Time, *job)      {}
func (o *ownRandomTwo) done(_ time.Time, j *job) { o.own[j.node][j.engine]-- }

// compareChoosers runs each chooser over the same arrivals and returns the percentiles by name.
func compareChoosers() map[string][2]time.Duration {
	choosers := map[string]func(*slotSim) chooser{
		"ours":           func(s *slotSim) chooser { return newStateChooser(s) },
		"round robin":    func(*slotSim) chooser { return &roundRobin{} },
		"least reported": func(s *slotSim) chooser { return &leastReported{sim: s} },
		"own random two": func(s *slotSim) chooser { return &ownRandomTwo{sim: s} },
	}
	result := map[string][2]time.Duration{}
	for name, newChooser := range choosers {
		s := newSlotSim(5)
		s.chooser = newChooser(s)
		p95, p99 := s.run()
		result[name] = [2]time.Duration{p95, p99}
	}
	return result
}

// TestFirstTokensAgainstBaselines bounds the ratios of the product's times to the first token to those of the baselines, on a simulated clock.
func TestFirstTokensAgainstBaselines(t *testing.T) {
	got := compareChoosers()
	for name, percentiles := range got {
		t.Logf("%-15s p95 %8s p99 %8s", name, percentiles[0].Round(time.Millisecond), percentiles[1].Round(time.Millisecond))
	}
	ours := got["ours"]
	must.Less(t, 0.4, ratio(ours[1], got["least reported"][1]))
	must.Less(t, 0.4, ratio(ours[0], got["round robin"][0]))
	must.Less(t, 0.7, ratio(ours[0], got["own random two"][0]))
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }
