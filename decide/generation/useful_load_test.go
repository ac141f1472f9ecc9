package generation_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/forecast"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// The engines of the failing fleet read one prompt at a time. A third of them fall every fallInterval and lose their runs; some are slow.
const (
	failingEngines   = 12
	slowEngines      = 3
	slowFactor       = 3
	fallInterval     = 3500 * time.Millisecond
	failingStep      = 10 * time.Millisecond
	failingDuration  = 3 * time.Minute
	callerTime       = 25 * time.Second
	promptTokens     = 5200
	promptTime       = 1500 * time.Millisecond // to read a prompt on a fast engine
	failingChunks    = 150
	failingChunkGap  = 30 * time.Millisecond
	failingArrival   = 250 * time.Millisecond // between requests
	failingMaxRuns   = 8
	reconnectBackoff = 100 * time.Millisecond
)

var failingKey = forecast.Key{Service: "lm", Route: "stream"}

// failingRun is one run on an engine of the failing fleet.
type failingRun struct {
	answer    *failingAnswer
	attempt   vaneyoke.Attempt
	readLeft  time.Duration // time of a fast engine that reading the prompt still takes
	next      vaneyoke.Tokens
	nextDue   time.Duration // until the next chunk
	startedAt time.Time
	firstAt   time.Time
}

type failingAnswer struct {
	state     *generation.State
	deadline  time.Time
	read      float64 // prompt tokens that engines have read for it
	useless   float64 // those of them that were read when no engine could complete the answer in time any more
	ended     bool
	completed bool
	pending   []pendingPlace
}

// pendingPlace is a placement that waits for its backoff.
type pendingPlace struct {
	attempt vaneyoke.Attempt
	at      time.Time
	avoid   []vaneyoke.UpstreamID
}

type failingFleet struct {
	now      time.Time
	rng      *rand.Rand
	useful   bool
	table    *forecast.Table
	engines  [failingEngines][]*failingRun
	answers  []*failingAnswer
	notBegun int
	givenUp  int
}

// handle passes an event to an answer after what is forecast.
func (f *failingFleet) handle(a *failingAnswer, ev generation.Event) {
	if f.useful {
		a.state.Handle(f.now, generation.Forecast(f.table.Expect(f.now, failingKey, promptTokens, failingChunks)))
	}
	for _, effect := range slices.Clone(a.state.Handle(f.now, ev)) {
		f.apply(a, effect)
	}
}

func (f *failingFleet) apply(a *failingAnswer, effect generation.Effect) {
	switch e := effect.(type) {
	case generation.Place:
		a.pending = append(a.pending, pendingPlace{e.Attempt, f.now.Add(e.Delay), e.Avoid})
	case generation.Start:
		at := int(e.Upstream[0] - 'a')
		f.engines[at] = append(f.engines[at], &failingRun{answer: a, attempt: e.Attempt, readLeft: promptTime, next: e.From, startedAt: f.now})
		f.handle(a, generation.Sent{Attempt: e.Attempt})
	case generation.Cancel:
		f.remove(a, e.Attempt)
	case generation.NotBegun:
		if e.Reason != generation.ReasonReplicaUseless {
			f.notBegun++
		}
	case generation.GivenUp:
		f.givenUp++
	case generation.Finish:
		a.ended, a.completed = true, true
	case generation.Fail:
		a.ended = true
	}
}

func (f *failingFleet) remove(a *failingAnswer, attempt vaneyoke.Attempt) {
	for at := range f.engines {
		f.engines[at] = slices.DeleteFunc(f.engines[at], func(r *failingRun) bool { return r.answer == a && r.attempt == attempt })
	}
}

// place sends the placements that are due to the engine with the fewest runs, among those that did not lose a run of the answer last.
func (f *failingFleet) place(a *failingAnswer) {
	due := a.pending
	a.pending = nil
	for _, p := range due {
		if f.now.Before(p.at) {
			a.pending = append(a.pending, p)
			continue
		}
		best := f.rng.IntN(failingEngines)
		for range 2 {
			if other := f.rng.IntN(failingEngines); len(f.engines[other]) < len(f.engines[best]) && !slices.Contains(p.avoid, engineID(other)) {
				best = other
			}
		}
		f.handle(a, generation.Placed{Attempt: p.attempt, Upstream: engineID(best)})
	}
}

// step advances the clock, the engines and the timers of the answers.
func (f *failingFleet) step() {
	f.now = f.now.Add(failingStep)
	for at := range f.engines {
		f.work(at)
	}
	for _, a := range f.answers {
		if a.ended {
			continue
		}
		f.place(a)
		if due := a.state.NextTick(); !a.ended && !due.IsZero() && !f.now.Before(due) {
			f.handle(a, generation.Tick{})
		}
	}
}

// work reads the first unread prompt of an engine and sends the chunks that are due.
func (f *failingFleet) work(at int) {
	speed := 1.0
	if at < slowEngines {
		speed = 1.0 / slowFactor
	}
	worked := time.Duration(speed * float64(failingStep))
	reading := false
	for _, r := range slices.Clone(f.engines[at]) {
		if r.readLeft > 0 {
			if !reading {
				reading = true
				r.readLeft -= worked
				f.countRead(r, promptTokens*float64(worked)/float64(promptTime))
			}
			continue
		}
		if r.nextDue -= worked; r.nextDue <= 0 {
			r.nextDue += failingChunkGap
			f.send(r)
		}
	}
}

// countRead counts prompt tokens that were read for a run.
func (f *failingFleet) countRead(r *failingRun, tokens float64) {
	r.answer.read += tokens
	if f.now.Add(r.readLeft + time.Duration(failingChunks-r.next)*failingChunkGap).After(r.answer.deadline) {
		r.answer.useless += tokens
	}
}

func (f *failingFleet) send(r *failingRun) {
	if r.firstAt.IsZero() {
		r.firstAt = f.now
		f.table.AddFirstChunk(f.now, failingKey, promptTokens, f.now.Sub(r.startedAt))
	}
	batch := vaneyoke.Batch{First: r.next, IDs: []vaneyoke.TokenID{0}, Text: []byte("x")}
	r.next++
	f.handle(r.answer, &generation.Received{Attempt: r.attempt, Batch: batch})
	if r.next == failingChunks {
		f.table.AddAnswer(f.now, failingKey, failingChunks, failingChunks)
		f.handle(r.answer, generation.Ended{Attempt: r.attempt, Reason: vaneyoke.FinishStop})
		f.remove(r.answer, r.attempt)
	}
}

// fall ends all runs of a random third of the engines.
func (f *failingFleet) fall() {
	for _, at := range f.rng.Perm(failingEngines)[:failingEngines/3] {
		for _, r := range slices.Clone(f.engines[at]) {
			if chunks := int(r.next); !r.firstAt.IsZero() && chunks > 8 {
				f.table.AddChunkGap(f.now, failingKey, failingChunkGap)
			}
			f.remove(r.answer, r.attempt)
			f.handle(r.answer, generation.Lost{Attempt: r.attempt, Cause: generation.CauseClosed})
		}
	}
}

// failingResult is what became of the answers of a fleet.
type failingResult struct {
	served, failed, notBegun, givenUp int
	wasted                            float64 // prompt tokens read for answers that failed
	useless                           float64 // prompt tokens read when no engine could complete the answer in time any more
}

func simulateFailingFleet(useful bool, seed uint64) failingResult {
	f := &failingFleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 7)), useful: useful, table: forecast.New()}
	config := generation.DefaultConfig()
	config.Opaque, config.KeepLastAttempt, config.ProbeEvery, config.MaxAttempts, config.MaxLosses = true, true, 0, failingMaxRuns, 64
	config.Backoff = generation.Backoff{Base: reconnectBackoff, Cap: reconnectBackoff}
	config.Silence = generation.Silence{FirstToken: callerTime, Floor: callerTime, Ceiling: callerTime, Deviations: 8, Patience: 1}
	config.UsefulOnly = useful
	start, nextArrival, nextFall := f.now, f.now, f.now.Add(fallInterval)
	for f.now.Sub(start) < failingDuration {
		if !f.now.Before(nextArrival) {
			nextArrival = nextArrival.Add(failingArrival)
			config.Deadline, config.MaxWait = f.now.Add(callerTime), callerTime
			a := &failingAnswer{deadline: config.Deadline, state: generation.New(config, rand.New(rand.NewPCG(uint64(len(f.answers)), 1)))}
			f.answers = append(f.answers, a)
			f.handle(a, generation.Admitted{})
		}
		if !f.now.Before(nextFall) {
			nextFall = nextFall.Add(fallInterval)
			f.fall()
		}
		f.step()
	}
	result := failingResult{notBegun: f.notBegun, givenUp: f.givenUp}
	for _, a := range f.answers {
		switch {
		case a.completed:
			result.served++
		case a.ended:
			result.failed++
			result.wasted += a.read
		}
		result.useless += a.useless
	}
	return result
}

// TestPromptsAreNotReadForAnswersThatNeverCome lets engines fall under callers with 25 s. With the rule, at most half of the prompt tokens are read
// when their answers cannot end in time any more, fewer are read for answers that fail, and no fewer answers are served.
func TestPromptsAreNotReadForAnswersThatNeverCome(t *testing.T) {
	var off, on failingResult
	for seed := range uint64(4) {
		off.add(simulateFailingFleet(false, seed))
		on.add(simulateFailingFleet(true, seed))
	}
	t.Logf("off %+v, on %+v", off, on)
	must.Zero(t, off.notBegun+off.givenUp)
	must.Positive(t, on.notBegun)
	must.Positive(t, on.givenUp)
	must.Greater(t, 10*promptTokens, int(off.useless), must.Sprint("the simulated fleet wastes too little to show a difference"))
	must.LessEq(t, off.useless/2, on.useless)
	must.Less(t, off.wasted, on.wasted)
	must.GreaterEq(t, off.served, on.served)
}

func (r *failingResult) add(other failingResult) {
	r.served += other.served
	r.failed += other.failed
	r.notBegun += other.notBegun
	r.givenUp += other.givenUp
	r.wasted += other.wasted
	r.useless += other.useless
}
