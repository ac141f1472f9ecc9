package pacing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
)

// Three nodes serve one service, each at its share of the drain. Demand is three times the drain for loadTime, and a quarter of it afterwards.
const (
	worldNodes   = 3
	worldDrain   = 10000.0 // tokens a second of a node
	worldStep    = 10 * time.Millisecond
	loadTime     = 10 * time.Second
	afterLoad    = 5 * time.Second // until when the fleet has recovered
	worldTime    = 50 * time.Second
	answerTime   = 4 * time.Second // a caller with less time does not come back
	meanPrompt   = 200
	queueTokens  = 5000                  // a node that holds more rejects first attempts
	returnTokens = 10000                 // a node that holds more rejects returns
	repeatDelay  = 10 * time.Millisecond // from a rejection to a repeat at once
	maxRepeats   = 4
	binTime      = 100 * time.Millisecond
)

// worldCaller is a caller of the world.
type worldCaller struct {
	content  vaneyoke.ContentID
	prompt   vaneyoke.Tokens
	deadline time.Time
	repeats  bool // whether it repeats at once instead of waiting
	repeated int
	waits    bool // whether its next attempt comes after the wait that it was told
	rejected int
	served   bool
}

// worldNode is a node with its queue.
type worldNode struct {
	state  *pacing.State
	queue  []*worldCaller
	tokens float64 // in the queue
	credit float64 // tokens that it can admit now
}

// scenario selects how the world's callers behave.
type scenario struct {
	paced    bool          // whether nodes pace the callers; otherwise they tell all of them a second
	persists bool          // whether callers that repeat at once wait after their last repeat; otherwise they leave
	wait     time.Duration // from a caller's first attempt to its deadline
	seed     uint64
}

// world is the fleet and its callers.
type world struct {
	scenario
	now          time.Time
	start        time.Time
	rng          *rand.Rand
	nodes        [worldNodes]*worldNode
	callers      []*worldCaller
	attempts     map[int][]*worldCaller // by the step in which they arrive
	due          float64                // tokens of demand that have not arrived yet
	returns      map[int]float64        // tokens of callers that waited, by the bin in which they came back
	lastRejected time.Time              // first attempt
}

func newWorld(s scenario) *world {
	start := time.Unix(1000, 0)
	w := &world{scenario: s, now: start, start: start, rng: rand.New(rand.NewPCG(s.seed, 1)), attempts: map[int][]*worldCaller{}, returns: map[int]float64{}}
	for i := range w.nodes {
		w.nodes[i] = &worldNode{state: pacing.New()}
	}
	return w
}

func (w *world) run() {
	for w.now.Sub(w.start) < worldTime {
		w.arrive()
		step := w.step(w.now)
		due := w.attempts[step]
		w.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, c := range due {
			w.attempt(c)
		}
		delete(w.attempts, step)
		for _, n := range w.nodes {
			n.serve(w.now)
		}
		w.now = w.now.Add(worldStep)
	}
}

// step returns the number of the step in which a moment is.
func (w *world) step(at time.Time) int { return int(at.Sub(w.start) / worldStep) }

// schedule has a caller ask a node at a moment.
func (w *world) schedule(at time.Time, c *worldCaller) {
	w.attempts[w.step(at)] = append(w.attempts[w.step(at)], c)
}

// arrive creates the callers of a step.
func (w *world) arrive() {
	times := 0.25
	if w.now.Sub(w.start) < loadTime {
		times = 3
	}
	w.due += times * worldNodes * worldDrain * worldStep.Seconds()
	for w.due > 0 {
		c := &worldCaller{
			content: vaneyoke.ContentID(fmt.Sprint(len(w.callers))), prompt: vaneyoke.Tokens(meanPrompt/2 + w.rng.IntN(meanPrompt)),
			deadline: w.now.Add(w.wait), repeats: w.rng.IntN(3) == 0,
		}
		w.due -= float64(c.prompt)
		w.callers = append(w.callers, c)
		w.schedule(w.now, c)
	}
}

// attempt has a caller ask a random node. Its remaining time loses up to two milliseconds on the way.
func (w *world) attempt(c *worldCaller) {
	n := w.nodes[w.rng.IntN(worldNodes)]
	remaining := c.deadline.Sub(w.now) - time.Duration(w.rng.IntN(2000))*time.Microsecond
	if remaining < answerTime {
		return
	}
	if c.waits {
		w.returns[int(w.now.Sub(w.start)/binTime)] += float64(c.prompt)
	}
	a := pacing.Arrival{Route: "r", Content: c.content, Remaining: remaining}
	limit := float64(returnTokens)
	if w.paced {
		switch n.state.Classify(w.now, a) {
		case pacing.ReturnNone:
			limit = queueTokens
		case pacing.ReturnEarly:
			limit = 0
		case pacing.ReturnOnTime:
		}
	}
	if n.tokens+float64(c.prompt) <= limit {
		n.queue, n.tokens = append(n.queue, c), n.tokens+float64(c.prompt)
		return
	}
	if c.rejected++; c.rejected == 1 {
		w.lastRejected = w.now
	}
	w.reject(n, c, a)
}

// reject tells a caller when to come back.
func (w *world) reject(n *worldNode, c *worldCaller, a pacing.Arrival) {
	retryAfter := time.Second
	if w.paced {
		retryAfter = n.state.RetryAfter(w.now, w.rng, pacing.Rejection{
			Arrival: a, Service: "s", Prompt: c.prompt, Ahead: vaneyoke.Tokens(n.tokens), Drain: worldDrain,
		})
	}
	at := w.now.Add(min(retryAfter, a.Remaining/3))
	c.waits = true
	if c.repeats && c.repeated < maxRepeats {
		c.repeated++
		c.waits, at = false, w.now.Add(repeatDelay)
	} else if c.repeats && !w.persists {
		return
	}
	w.schedule(at, c)
}

// serve admits what the drain allows; a caller whose deadline has passed is dropped.
func (n *worldNode) serve(now time.Time) {
	n.credit = min(n.credit+worldDrain*worldStep.Seconds(), 2*meanPrompt)
	for len(n.queue) > 0 && n.credit >= float64(n.queue[0].prompt) {
		c := n.queue[0]
		n.queue, n.tokens = n.queue[1:], n.tokens-float64(c.prompt)
		if now.Before(c.deadline) {
			n.credit -= float64(c.prompt)
			c.served = true
		}
	}
}

// outcome summarises a run of the world.
type outcome struct {
	patient, repeating float64       // share of the callers of the load that were served
	peak               float64       // most tokens that came back within a bin, relative to what drains in it
	lastRejected       time.Duration // from the end of the load to the last rejection of a first attempt
	lastReturn         time.Duration // from the end of the load to the last return of a caller that waited
}

// run runs a scenario.
func run(s scenario) outcome {
	w := newWorld(s)
	w.run()
	var served, all [2]float64
	for _, c := range w.callers {
		if c.deadline.Sub(w.start) >= loadTime+w.wait {
			continue
		}
		kind := 0
		if c.repeats {
			kind = 1
		}
		all[kind]++
		if c.served {
			served[kind]++
		}
	}
	o := outcome{patient: served[0] / all[0], repeating: served[1] / all[1], lastRejected: w.lastRejected.Sub(w.start) - loadTime}
	for bin, tokens := range w.returns {
		o.peak = max(o.peak, tokens/(worldNodes*worldDrain*binTime.Seconds()))
		o.lastReturn = max(o.lastReturn, time.Duration(bin)*binTime-loadTime)
	}
	return o
}
