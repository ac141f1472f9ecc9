package generation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// Prefill on this fleet is so slow that the other streams of an engine exceed their silence limits while a prompt is prefilled. The fleet
// has enough capacity for all requests as long as no prompt is prefilled twice.
const (
	fleetEngines    = 6
	fleetStep       = 5 * time.Millisecond
	prefillTime     = 1400 * time.Millisecond
	chunkInterval   = 30 * time.Millisecond
	slowedInterval  = 320 * time.Millisecond // between chunks during a prefill on the same engine
	answerChunks    = 60
	requestInterval = 600 * time.Millisecond // between requests
	fleetDuration   = 60 * time.Second
	reportAge       = 200 * time.Millisecond // age of an engine's reports
)

// engineRun is one run on an engine.
type engineRun struct {
	stream      *fleetAnswer
	attempt     vaneyoke.Attempt
	prefillLeft time.Duration // remaining prefill time
	next        vaneyoke.Tokens
	sinceChunk  time.Duration // since the last chunk
	startedAt   time.Time
}

// fleetAnswer is one answer and its outcome.
type fleetAnswer struct {
	state     *generation.State
	attempts  int
	ended     bool
	completed bool
}

type fleet struct {
	now     time.Time
	rng     *rand.Rand
	engines [fleetEngines][]*engineRun
	streams []*fleetAnswer
	silent  int // attempts that were given up for silence
}

func (f *fleet) apply(s *fleetAnswer, effects []generation.Effect) {
	for _, effect := range append([]generation.Effect(nil), effects...) {
		switch e := effect.(type) {
		case generation.Place:
			at := f.rng.IntN(fleetEngines)
			f.apply(s, s.state.Handle(f.now, generation.Placed{Attempt: e.Attempt, Upstream: engineID(at)}))
		case generation.Start:
			s.attempts++
			at := int(e.Upstream[0] - 'a')
			f.engines[at] = append(f.engines[at], &engineRun{stream: s, attempt: e.Attempt, prefillLeft: prefillTime, next: e.From, startedAt: f.now})
			f.apply(s, s.state.Handle(f.now, generation.Sent{Attempt: e.Attempt}))
		case generation.Suspect:
			f.silent++
		case generation.Cancel:
			f.removeRun(s, e.Attempt)
		case generation.QueryRun:
			f.apply(s, s.state.Handle(f.now, f.report(s, e)))
		case generation.Finish:
			s.ended, s.completed = true, true
		case generation.Fail:
			s.ended = true
		}
	}
}

func engineID(at int) vaneyoke.UpstreamID { return vaneyoke.UpstreamID(rune('a' + at)) }

// report returns what a live engine reports of a run; the report is reportAge old.
func (f *fleet) report(s *fleetAnswer, e generation.QueryRun) generation.RunReported {
	for _, r := range f.engines[int(e.Upstream[0]-'a')] {
		if r.stream == s && r.attempt == e.Attempt && f.now.Sub(r.startedAt) > reportAge {
			return generation.RunReported{Attempt: e.Attempt, State: vaneyoke.RunStateRunning, Produced: r.next}
		}
	}
	return generation.RunReported{Attempt: e.Attempt, State: vaneyoke.RunStateNone}
}

func (f *fleet) removeRun(s *fleetAnswer, attempt vaneyoke.Attempt) {
	for at, runs := range f.engines {
		var kept []*engineRun
		for _, r := range runs {
			if r.stream != s || r.attempt != attempt {
				kept = append(kept, r)
			}
		}
		f.engines[at] = kept
	}
}

// step advances all engines by fleetStep: each prefills one prompt at a time and sends the chunks of its streams that are due.
func (f *fleet) step() {
	f.now = f.now.Add(fleetStep)
	for at := range f.engines {
		gap, reading := chunkInterval, false
		for _, r := range append([]*engineRun(nil), f.engines[at]...) {
			if r.prefillLeft > 0 {
				if !reading {
					r.prefillLeft -= fleetStep
				}
				gap, reading = slowedInterval, true
			}
		}
		for _, r := range append([]*engineRun(nil), f.engines[at]...) {
			if r.sinceChunk += fleetStep; r.prefillLeft > 0 || r.sinceChunk < gap {
				continue
			}
			r.sinceChunk = 0
			f.sendChunk(r)
		}
	}
	for _, s := range f.streams {
		if due := s.state.NextTick(); !s.ended && !due.IsZero() && !f.now.Before(due) {
			f.apply(s, s.state.Handle(f.now, generation.Tick{}))
		}
	}
}

func (f *fleet) sendChunk(r *engineRun) {
	batch := vaneyoke.Batch{First: r.next, IDs: []vaneyoke.TokenID{0}, Text: []byte("x")}
	r.next++
	f.apply(r.stream, r.stream.state.Handle(f.now, &generation.Received{Attempt: r.attempt, Batch: batch}))
	if r.next == answerChunks {
		f.apply(r.stream, r.stream.state.Handle(f.now, generation.Ended{Attempt: r.attempt, Reason: vaneyoke.FinishStop}))
		f.removeRun(r.stream, r.attempt)
	}
}

// simulateFleet runs the fleet and returns the share of ended answers that completed and the number of attempts given up for silence.
func simulateFleet(maxQueries int) (completed float64, silent int) {
	f := &fleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(7, 7))}
	config := generation.DefaultConfig()
	config.Opaque, config.KeepLastAttempt, config.ProbeEvery, config.MaxAttempts = true, true, 0, 5
	config.MaxRunQueries, config.EventIntervalGoal = maxQueries, eventIntervalGoal
	config.Silence = generation.Silence{
		FirstToken: 4500 * time.Millisecond, Floor: eventIntervalGoal / 6, Ceiling: eventIntervalGoal / 3, Deviations: 8, MinMeanGaps: 1.5, Patience: 1,
	}
	config.MaxLosses = 64
	start, next := f.now, f.now
	for f.now.Sub(start) < fleetDuration {
		if !f.now.Before(next) {
			next = next.Add(requestInterval)
			config.Deadline, config.MaxWait = f.now.Add(25*time.Second), 25*time.Second
			s := &fleetAnswer{state: generation.New(config, rand.New(rand.NewPCG(uint64(len(f.streams)), 1)))}
			f.streams = append(f.streams, s)
			f.apply(s, s.state.Handle(f.now, generation.Admitted{}))
		}
		f.step()
	}
	ended, completedCount := 0, 0
	for _, s := range f.streams {
		if s.ended {
			ended++
		}
		if s.completed {
			completedCount++
		}
	}
	return float64(completedCount) / float64(ended), f.silent
}

// TestSlowPrefillCausesNoRetryStorm has engines fall silent because they prefill prompts. Giving up a silent stream repeats its prefill on
// another engine, which silences the streams there in turn: without queries, the fleet does more than twice the work. With queries, no
// stream is taken from an engine that is working.
func TestSlowPrefillCausesNoRetryStorm(t *testing.T) {
	completed, silent := simulateFleet(2)
	must.EqOp(t, 1, completed)
	must.Zero(t, silent)
	_, silent = simulateFleet(0)
	must.Greater(t, 50, silent, must.Sprint("the simulated fleet is too fast to show a retry storm"))
}
