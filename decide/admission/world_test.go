package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

const (
	worldEngines   = 8
	worldStep      = 10 * time.Millisecond
	sharesInterval = 500 * time.Millisecond
	usableMemory   = 0.85 // share of an engine's memory that nodes fill
	idleMemory     = 0.2  // share of its memory up to which an engine counts as idle
)

var worldStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// kindOfRequest is a kind of request in a world.
type kindOfRequest struct {
	urgency        share.Urgency
	prompt, answer int // tokens
	goal           time.Duration
}

const callerTime = 20 * time.Second

var (
	urgentKind  = kindOfRequest{urgency: 0, prompt: 2000, answer: 100, goal: 2 * time.Second}
	routineKind = kindOfRequest{urgency: 1, prompt: 4000, answer: 200, goal: 4 * time.Second}
)

// job is a request of a caller.
type job struct {
	kindOfRequest
	id        vaneyoke.RequestID
	workspace vaneyoke.WorkspaceID
	node      int
	arrivedAt time.Time
	engine    *engine
	prefilled float64 // of the tokens that its engine has to read
	toRead    float64
	generated float64
	firstAt   time.Time // of the first token; zero before
	doneAt    time.Time // of its last token; zero if it was not served in time
	ended     bool
	rejected  bool
}

func (j *job) inTime() bool { return !j.doneAt.IsZero() && j.firstAt.Sub(j.arrivedAt) <= j.goal }

// engine reads one prompt at a time and generates for all runs at once, as long as its memory lasts.
type engine struct {
	prefill, pace float64 // tokens a second; the pace is that of each run
	memory        float64 // tokens
	gone          bool
	queue         []*job // not read yet; the first one is being read
	runs          []*job
}

func (e *engine) inUse() float64 {
	total := 0.0
	for _, j := range e.runs {
		total += float64(j.prompt) + j.generated
	}
	if len(e.queue) > 0 {
		total += e.queue[0].prefilled
	}
	return total
}

// claimed returns the memory that its requests will have taken at their ends.
func (e *engine) claimed() float64 {
	total := 0.0
	for _, j := range slices.Concat(e.runs, e.queue) {
		total += float64(j.prompt + j.answer)
	}
	return total
}

func (e *engine) hasRoom(j *job) bool {
	return !e.gone && e.claimed()+float64(j.prompt+j.answer) <= usableMemory*e.memory
}

func (e *engine) remove(j *job) {
	drop := func(other *job) bool { return other == j }
	e.queue, e.runs = slices.DeleteFunc(e.queue, drop), slices.DeleteFunc(e.runs, drop)
}

// step reads and generates for one step. A run for which there is no memory any more is read again later, with what it has generated.
func (e *engine) step(now time.Time) (done []*job) {
	for _, j := range slices.Clone(e.runs) {
		if j.generated += e.pace * worldStep.Seconds(); j.generated >= float64(j.answer) {
			e.remove(j)
			done = append(done, j)
		}
	}
	for e.inUse() > e.memory && len(e.runs) > 0 {
		last := e.runs[len(e.runs)-1]
		e.remove(last)
		last.prefilled, last.toRead = 0, float64(last.prompt)+last.generated
		e.queue = append(e.queue, last)
	}
	budget := e.prefill * worldStep.Seconds()
	for budget > 0 && len(e.queue) > 0 {
		j := e.queue[0]
		if j.prefilled == 0 && e.inUse()+j.toRead > e.memory {
			break
		}
		read := min(budget, j.toRead-j.prefilled)
		j.prefilled += read
		budget -= read
		if j.prefilled < j.toRead {
			break
		}
		e.queue = e.queue[1:]
		e.runs = append(e.runs, j)
		if j.firstAt.IsZero() {
			j.firstAt = now
		}
	}
	return done
}

// world plays nodes and engines on a clock of its own.
type world struct {
	rng     *rand.Rand
	now     time.Time
	nodes   []*admission.State
	engines []*engine
	jobs    []*job
	oldest  int // index of the first job whose caller may still wait
	open    map[vaneyoke.RequestID]*job
	results []assessment // of assessments, which arrive a step later

	hearsShares bool // whether nodes hear of the demand of others
	nextShares  time.Time
	frozen      int // node that is frozen; -1 for none
	sentInVain  int // requests that were admitted after their callers had left
}

type assessment struct {
	node int
	id   vaneyoke.RequestID
}

func newWorld(seed uint64, mode admission.Mode, nodes int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 2)), now: worldStart, open: map[vaneyoke.RequestID]*job{}, hearsShares: true, frozen: -1,
	}
	for range nodes {
		s := admission.New(admission.Config{MaxQueued: 2000, MaxBytes: 1 << 30}, pacing.New(), rand.New(rand.NewPCG(3, 4)))
		w.nodes = append(w.nodes, s)
		w.handle(len(w.nodes)-1, admission.ModeSet{Service: "lm", Mode: mode})
	}
	for range worldEngines {
		w.engines = append(w.engines, &engine{prefill: 8000, pace: 40, memory: 25_000})
	}
	return w
}

// slowHalf makes every other engine three times slower.
func (w *world) slowHalf() {
	for i := 0; i < len(w.engines); i += 2 {
		w.engines[i].prefill /= 3
		w.engines[i].pace /= 3
	}
}

// capacity returns about how many requests a second, half of each kind, the engines can serve.
func (w *world) capacity() float64 {
	total := 0.0
	for _, e := range w.engines {
		seconds := 0.0
		for _, k := range []kindOfRequest{urgentKind, routineKind} {
			seconds += float64(k.prompt+k.answer) * (float64(k.prompt)/e.prefill + float64(k.answer)/e.pace) / 2
		}
		total += usableMemory * e.memory / seconds
	}
	return total
}

// play lets requests arrive at a rate for a time, drawn from the given kinds and workspaces.
func (w *world) play(d time.Duration, perSecond float64, kinds []kindOfRequest, workspaces []vaneyoke.WorkspaceID) {
	for until := w.now.Add(d); w.now.Before(until); {
		for range w.arrivals(perSecond * worldStep.Seconds()) {
			w.arrive(kinds[w.rng.IntN(len(kinds))], workspaces[w.rng.IntN(len(workspaces))])
		}
		w.step()
	}
}

// arrivals draws from a Poisson distribution.
func (w *world) arrivals(mean float64) int {
	n, left := 0, w.rng.ExpFloat64()
	for left < mean {
		n++
		left += w.rng.ExpFloat64()
	}
	return n
}

func (w *world) arrive(k kindOfRequest, workspace vaneyoke.WorkspaceID) {
	j := &job{
		kindOfRequest: k, id: vaneyoke.RequestID(fmt.Sprint(len(w.jobs))), workspace: workspace, node: w.rng.IntN(len(w.nodes)),
		arrivedAt: w.now, toRead: float64(k.prompt),
	}
	w.jobs = append(w.jobs, j)
	w.open[j.id] = j
	w.handle(j.node, admission.Arrived{Request: admission.Request{
		ID: j.id, Service: "lm", Route: vaneyoke.RouteID(fmt.Sprint("r", k.urgency)), Workspace: workspace, Urgency: k.urgency,
		Prompt: vaneyoke.Tokens(k.prompt), Answer: vaneyoke.Tokens(k.answer), Goal: w.now.Add(k.goal), Deadline: w.now.Add(callerTime),
		Bytes: 4 * k.prompt,
	}})
}

func (w *world) step() {
	w.now = w.now.Add(worldStep)
	results := w.results
	w.results = nil
	for _, r := range results {
		if j := w.open[r.id]; j != nil && j.engine == nil {
			w.handle(r.node, admission.Assessed{ID: r.id, Room: w.room(j)})
		}
	}
	for i, n := range w.nodes {
		if at := n.NextTick(); !at.IsZero() && !at.After(w.now) {
			w.handle(i, admission.Tick{})
		}
	}
	for _, e := range w.engines {
		if e.gone {
			continue
		}
		for _, j := range e.step(w.now) {
			j.doneAt = w.now
			w.end(j)
		}
	}
	for ; w.oldest < len(w.jobs) && w.now.Sub(w.jobs[w.oldest].arrivedAt) >= callerTime; w.oldest++ {
		if j := w.jobs[w.oldest]; !j.ended {
			w.end(j)
		}
	}
	w.exchangeShares()
}

// end ends a request, which was served or whose caller has left.
func (w *world) end(j *job) {
	j.ended = true
	delete(w.open, j.id)
	if j.engine == nil {
		w.handle(j.node, admission.Left{ID: j.id})
		return
	}
	j.engine.remove(j)
	w.handle(j.node, admission.RunEnded{Service: "lm", Prompt: vaneyoke.Tokens(j.prompt)})
}

func (w *world) room(j *job) admission.Room {
	var room admission.Room
	for _, e := range w.engines {
		if !e.hasRoom(j) {
			continue
		}
		waiting := 0.0
		for _, other := range e.queue {
			waiting += other.toRead - other.prefilled
		}
		start := time.Duration((waiting + float64(j.prompt)) / e.prefill * float64(time.Second))
		if !room.Free || start < room.Start {
			room.Start, room.Run = start, time.Duration(float64(j.answer)/e.pace*float64(time.Second))
		}
		room.Free = true
		room.Idle = room.Idle || (len(e.queue) == 0 && e.claimed() <= idleMemory*e.memory)
	}
	return room
}

// handle passes an event to a node and carries out its decisions.
func (w *world) handle(node int, ev admission.Event) {
	if node == w.frozen {
		return
	}
	for _, effect := range slices.Clone(w.nodes[node].Handle(w.now, ev)) {
		switch e := effect.(type) {
		case admission.Assess:
			w.results = append(w.results, assessment{node: node, id: e.ID})
		case admission.Admit:
			if j := w.open[e.ID]; j != nil {
				w.send(j)
			} else {
				w.sentInVain++
			}
		case admission.Reject:
			if j := w.open[e.ID]; j != nil {
				j.rejected, j.ended = true, true
				delete(w.open, e.ID)
			}
		}
	}
}

// send sends a request to the engine with the most memory left, among those with room if there are any.
func (w *world) send(j *job) {
	var chosen *engine
	for _, e := range w.engines {
		if e.gone {
			continue
		}
		if chosen == nil || e.memory-e.claimed()-float64(len(e.queue)) > chosen.memory-chosen.claimed()-float64(len(chosen.queue)) {
			chosen = e
		}
	}
	if chosen == nil { // refused as there is no upstream
		j.rejected, j.ended = true, true
		delete(w.open, j.id)
		return
	}
	j.engine = chosen
	chosen.queue = append(chosen.queue, j)
}

// exchangeShares tells each node the demand of all.
func (w *world) exchangeShares() {
	if !w.hearsShares || w.now.Before(w.nextShares) {
		return
	}
	w.nextShares = w.now.Add(sharesInterval)
	all := share.ServiceTotals{Urgencies: map[share.Urgency]share.Flow{}, Workspaces: map[vaneyoke.WorkspaceID]share.Flow{}}
	for _, n := range w.nodes {
		for _, d := range n.Demands(w.now) {
			all.Urgencies[d.Urgency] = addFlow(all.Urgencies[d.Urgency], d.Flow)
			all.Workspaces[d.Workspace] = addFlow(all.Workspaces[d.Workspace], d.Flow)
		}
	}
	all.Active = len(all.Workspaces)
	for i := range w.nodes {
		w.handle(i, admission.SharesUpdated{Totals: share.Totals{
			MeasuredAt: w.now, Nodes: len(w.nodes), Services: map[vaneyoke.ServiceID]share.ServiceTotals{"lm": all},
		}})
	}
}

func addFlow(a, b share.Flow) share.Flow {
	return share.Flow{Offered: a.Offered + b.Offered, Admitted: a.Admitted + b.Admitted, Waiting: a.Waiting + b.Waiting, Rejected: a.Rejected + b.Rejected}
}

// outcome sums up requests.
type outcome struct{ offered, served, inTime, rejected, tokens int }

func (o outcome) String() string {
	return fmt.Sprintf("%d offered, %d served, %d in time, %d rejected, %d tokens", o.offered, o.served, o.inTime, o.rejected, o.tokens)
}

func (o outcome) plus(p outcome) outcome {
	return outcome{
		offered: o.offered + p.offered, served: o.served + p.served, inTime: o.inTime + p.inTime, rejected: o.rejected + p.rejected,
		tokens: o.tokens + p.tokens,
	}
}

// share returns the part of the offered requests that was in time.
func (o outcome) share() float64 { return float64(o.inTime) / float64(max(o.offered, 1)) }

// count sums up the requests that match.
func (w *world) count(matches func(*job) bool) outcome {
	var o outcome
	for _, j := range w.jobs {
		if !matches(j) {
			continue
		}
		o.offered++
		if j.rejected {
			o.rejected++
		}
		if !j.doneAt.IsZero() {
			o.served++
			o.tokens += j.prompt + j.answer
		}
		if j.inTime() {
			o.inTime++
		}
	}
	return o
}
