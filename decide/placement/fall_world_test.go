package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// fallWorld is a fleet of engines in three data centres of which one falls now and then, on a clock of its own. Engines read
// prompts in pieces between the tokens of their runs, keep the memory of runs and replicas, and read anew what they have no room for.
type fallWorld struct {
	rng     *rand.Rand
	reads   time.Duration // that an engine takes for a piece of a prompt
	now     time.Duration
	chooser fallChooser
	engines []*fallEngine
	next    time.Duration // when the next request comes
	held    []*fallRun    // requests that are looked at again
	asked   int
	served  int // also late
	inAim   int
	refused int
	read    int // tokens
}

// fallChooser chooses engines for requests.
type fallChooser interface {
	// choose returns the engine that is to get a request, or after how long it is asked for again; 0 where it is refused.
	choose(w *fallWorld, r *fallRun) (e *fallEngine, again time.Duration)
}

type fallEngine struct {
	id      vaneyoke.UpstreamID
	zone    int
	downTo  time.Duration
	at      time.Duration // when the present step ends
	queue   []*fallRun    // in the order in which they will be read
	runs    []*fallRun
	copies  map[*fallRun]bool
	reading int // tokens of the first in the queue that have been read
	told    []vaneyoke.LoadReport
}

type fallRun struct {
	at             time.Duration // when it came
	prompt, length int           // tokens
	made           int
	last           time.Duration // of its last token; 0 for none
	late           bool
	next           time.Duration // when a request that is held is looked at again
	replica        *fallEngine
}

const (
	fallMemory = 88_000 // tokens of an engine
	fallPiece  = 200    // tokens of a prompt that are read in one step
	fallStep   = 5470 * time.Microsecond
	fallRead   = 25 * time.Millisecond // of a piece
	fallBeat   = 20 * time.Millisecond
	fallGoal   = 4500 * time.Millisecond
	fallPause  = 700 * time.Millisecond
	fallLimit  = 25 * time.Second
	fallLength = 34 * time.Second
	fallDown   = 1200 * time.Millisecond
	fallRate   = 46.2 // requests a second
)

// falls are when a data centre falls, as on the day that the figures are compared with.
var falls = []time.Duration{4100 * time.Millisecond, 11 * time.Second, 17 * time.Second, 24 * time.Second, 30 * time.Second}

func newFallWorld(seed uint64, engines int, chooser fallChooser) *fallWorld {
	w := &fallWorld{reads: fallRead, rng: rand.New(rand.NewPCG(seed, 9)), chooser: chooser}
	for i := range engines {
		w.engines = append(w.engines, &fallEngine{id: vaneyoke.UpstreamID(fmt.Sprint("e", i)), zone: i % 3, copies: map[*fallRun]bool{}})
	}
	return w
}

// play lets a day pass and returns the share of the requests that were served in time.
func (w *fallWorld) play() float64 {
	fallen := 0
	for ; w.now < fallLength+fallLimit; w.now += fallBeat {
		if fallen < len(falls) && w.now >= falls[fallen] {
			w.fall(w.rng.IntN(3))
			fallen++
		}
		w.arrive()
		for _, e := range w.engines {
			w.work(e)
			e.told = append(e.told, vaneyoke.LoadReport{PendingPrompts: len(e.queue), Runs: len(e.queue) + len(e.runs), KVInUse: vaneyoke.Tokens(e.memory()), KVSize: fallMemory})
		}
	}
	return float64(w.inAim) / float64(w.asked)
}

func (w *fallWorld) arrive() {
	held := w.held
	w.held = nil
	for _, r := range held {
		if r.next > w.now {
			w.held = append(w.held, r)
			continue
		}
		w.place(r)
	}
	for w.now < fallLength && w.next <= w.now {
		rate := fallRate * (1 + 0.27*math.Sin(2*math.Pi*w.next.Seconds()/11))
		w.next += time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
		w.asked++
		w.place(&fallRun{
			at:     w.now,
			prompt: int(min(max(8200+2400*w.rng.NormFloat64(), 600), 14_600)), length: 5 * int(min(max(130+26*w.rng.NormFloat64(), 5), 190)),
		})
	}
}

func (e *fallEngine) up(now time.Duration) bool { return now >= e.downTo }

// memory returns the tokens that are taken, or will be by what waits.
func (e *fallEngine) memory() (tokens int) {
	for _, r := range e.runs {
		tokens += r.prompt + r.made
	}
	for r := range e.copies {
		tokens += r.prompt + r.made
	}
	return tokens
}

func (e *fallEngine) waiting() (tokens int) {
	for _, r := range e.queue {
		tokens += r.prompt + r.made
	}
	return tokens
}

// place gives a request to an engine, holds it or refuses it.
func (w *fallWorld) place(r *fallRun) {
	e, again := w.chooser.choose(w, r)
	switch {
	case e != nil && e.up(w.now):
		e.queue = append(e.queue, r)
	case e != nil: // the connection fails, and it is placed again
		r.next = w.now + fallBeat
		w.held = append(w.held, r)
	case again > 0:
		r.next = w.now + again
		w.held = append(w.held, r)
	default:
		w.refused++
	}
}

// work has an engine do the steps that end by now.
func (w *fallWorld) work(e *fallEngine) {
	if !e.up(w.now) {
		return
	}
	e.at = max(e.at, w.now-fallBeat)
	for e.at < w.now {
		if len(e.runs) == 0 && len(e.queue) == 0 {
			return
		}
		e.at += w.step(e)
	}
}

func (w *fallWorld) step(e *fallEngine) time.Duration {
	context := 0
	for _, r := range e.runs {
		context += r.prompt + r.made
	}
	took := fallStep + time.Duration(float64(len(e.runs))*12.1+float64(context)*0.023)*time.Microsecond
	if len(e.queue) > 0 && w.room(e, e.queue[0]) {
		r := e.queue[0]
		piece := min(fallPiece, r.prompt+r.made-e.reading)
		took += w.reads * time.Duration(piece) / fallPiece
		e.reading += piece
		w.read += piece
		if e.reading >= r.prompt+r.made {
			e.queue, e.reading = e.queue[1:], 0
			e.runs = append(e.runs, r)
			w.replicate(e, r)
		}
	}
	at := e.at + took
	for _, r := range slices.Clone(e.runs) {
		w.token(e, r, at)
	}
	for e.memory() > fallMemory && len(e.runs) > 0 { // the newest run is read anew
		r := e.runs[len(e.runs)-1]
		e.runs = e.runs[:len(e.runs)-1]
		e.queue, e.reading = slices.Insert(e.queue, 0, r), 0
		w.release(r)
	}
	return took
}

func (w *fallWorld) room(e *fallEngine, r *fallRun) bool {
	return e.reading > 0 || e.memory()+r.prompt+r.made <= fallMemory
}

func (w *fallWorld) token(e *fallEngine, r *fallRun, at time.Duration) {
	r.late = r.late || (r.last == 0 && at-r.at > fallGoal) || (r.last > 0 && at-r.last > fallPause)
	r.last = at
	if r.made++; r.made < r.length {
		return
	}
	e.runs = slices.DeleteFunc(e.runs, func(q *fallRun) bool { return q == r })
	w.release(r)
	if at-r.at <= fallLimit {
		w.served++
		if !r.late {
			w.inAim++
		}
	}
}

func (w *fallWorld) release(r *fallRun) {
	if r.replica != nil {
		delete(r.replica.copies, r)
		r.replica = nil
	}
}

// replicate keeps a replica in another data centre, where there is room.
func (w *fallWorld) replicate(e *fallEngine, r *fallRun) {
	if r.late || r.replica != nil {
		return
	}
	var best *fallEngine
	for _, o := range w.engines {
		if o.zone != e.zone && o.up(w.now) && o.memory()+o.waiting()+r.prompt+r.length <= fallMemory &&
			(best == nil || o.memory()+o.waiting() < best.memory()+best.waiting()) {
			best = o
		}
	}
	if best != nil {
		best.copies[r], r.replica = true, best
	}
}

// fall ends the engines of a data centre.
func (w *fallWorld) fall(zone int) {
	var homeless []*fallRun
	for _, e := range w.engines {
		if e.zone != zone {
			continue
		}
		for r := range e.copies {
			r.replica = nil
		}
		homeless = append(homeless, e.runs...)
		homeless = append(homeless, e.queue...)
		e.runs, e.queue, e.reading, e.copies, e.downTo = nil, nil, 0, map[*fallRun]bool{}, w.now+fallDown
	}
	slices.SortFunc(homeless, func(a, b *fallRun) int { return cmp.Compare(a.at, b.at) })
	for _, r := range homeless {
		if to := r.replica; to != nil {
			w.release(r)
			to.runs = append(to.runs, r)
			w.replicate(to, r)
			continue
		}
		r.late = r.late || r.made > 0
		w.place(r)
	}
}
