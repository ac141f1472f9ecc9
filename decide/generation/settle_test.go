package generation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// The fleet of this test reads prompts so slowly that the streams beside a prompt fall silent for longer than their own pace
// allows. It has room for all of them as long as no prompt is read twice.
const (
	settleEngines = 6
	settleStep    = 5 * time.Millisecond
	settleRead    = 1400 * time.Millisecond // to read a prompt
	settleGap     = 30 * time.Millisecond   // between pieces
	settleBeside  = 320 * time.Millisecond  // between pieces while a prompt is read beside them
	settlePieces  = 60
	settleEvery   = 600 * time.Millisecond // between requests
	settleFor     = 60 * time.Second
	settleLag     = 200 * time.Millisecond // age of what an engine tells
)

// settleRun is one run on an engine.
type settleRun struct {
	stream  *settleStream
	attempt vaneyoke.Attempt
	read    time.Duration // that is left of the prompt
	next    vaneyoke.Tokens
	since   time.Duration // since the last piece
	began   time.Time
}

// settleStream is one answer.
type settleStream struct {
	state    *generation.State
	attempts int
	ended    bool
	whole    bool
}

type settleFleet struct {
	now     time.Time
	rng     *rand.Rand
	engines [settleEngines][]*settleRun
	streams []*settleStream
	silent  int // attempts that were given up for silence
}

func (f *settleFleet) apply(s *settleStream, effects []generation.Effect) {
	for _, effect := range append([]generation.Effect(nil), effects...) {
		switch e := effect.(type) {
		case generation.Place:
			at := f.rng.IntN(settleEngines)
			f.apply(s, s.state.Handle(f.now, generation.Placed{Attempt: e.Attempt, Upstream: settleName(at)}))
		case generation.Start:
			s.attempts++
			at := int(e.Upstream[0] - 'a')
			f.engines[at] = append(f.engines[at], &settleRun{stream: s, attempt: e.Attempt, read: settleRead, next: e.From, began: f.now})
		case generation.Cancel:
			if e.Cause == generation.CauseSilent {
				f.silent++
			}
			f.drop(s, e.Attempt)
		case generation.Ask:
			f.apply(s, s.state.Handle(f.now, f.told(s, e)))
		case generation.Finish:
			s.ended, s.whole = true, true
		case generation.Fail:
			s.ended = true
		}
	}
}

func settleName(at int) vaneyoke.UpstreamID { return vaneyoke.UpstreamID(rune('a' + at)) }

// told is what an engine, which is alive, tells of a run, as of a while ago.
func (f *settleFleet) told(s *settleStream, e generation.Ask) generation.Asked {
	for _, r := range f.engines[int(e.Upstream[0]-'a')] {
		if r.stream == s && r.attempt == e.Attempt && f.now.Sub(r.began) > settleLag {
			return generation.Asked{Attempt: e.Attempt, Work: vaneyoke.RunStateRunning, Made: r.next}
		}
	}
	return generation.Asked{Attempt: e.Attempt, Work: vaneyoke.RunStateNone}
}

func (f *settleFleet) drop(s *settleStream, attempt vaneyoke.Attempt) {
	for at, runs := range f.engines {
		var kept []*settleRun
		for _, r := range runs {
			if r.stream != s || r.attempt != attempt {
				kept = append(kept, r)
			}
		}
		f.engines[at] = kept
	}
}

// step has all engines work for a moment: one prompt at a time, and a piece of each stream when it is due.
func (f *settleFleet) step() {
	f.now = f.now.Add(settleStep)
	for at := range f.engines {
		gap, reading := settleGap, false
		for _, r := range append([]*settleRun(nil), f.engines[at]...) {
			if r.read > 0 {
				if !reading {
					r.read -= settleStep
				}
				gap, reading = settleBeside, true
			}
		}
		for _, r := range append([]*settleRun(nil), f.engines[at]...) {
			if r.since += settleStep; r.read > 0 || r.since < gap {
				continue
			}
			r.since = 0
			f.piece(r)
		}
	}
	for _, s := range f.streams {
		if due := s.state.Deadline(); !s.ended && !due.IsZero() && !f.now.Before(due) {
			f.apply(s, s.state.Handle(f.now, generation.Tick{}))
		}
	}
}

func (f *settleFleet) piece(r *settleRun) {
	batch := vaneyoke.Batch{First: r.next, IDs: []vaneyoke.TokenID{0}, Text: []byte("x")}
	r.next++
	f.apply(r.stream, r.stream.state.Handle(f.now, &generation.Received{Attempt: r.attempt, Batch: batch}))
	if r.next == settlePieces {
		f.apply(r.stream, r.stream.state.Handle(f.now, generation.Ended{Attempt: r.attempt, Reason: vaneyoke.FinishStop}))
		f.drop(r.stream, r.attempt)
	}
}

// settle plays the fleet, and returns the share of answers that came whole and how many attempts were given up for silence.
func settle(asks int) (whole float64, silent int) {
	f := &settleFleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(7, 7))}
	config := generation.DefaultConfig()
	config.Opaque, config.LastWaits, config.ProbeEvery, config.MaxAttempts = true, true, 0, 5
	config.AskSilent, config.Pause = asks, askedPause
	config.Silence = generation.Silence{
		FirstToken: 4500 * time.Millisecond, Floor: askedPause / 6, Ceiling: askedPause / 3, Deviations: 8, Usual: 1.5, Patience: 1,
	}
	config.MaxLosses = 64
	start, next := f.now, f.now
	for f.now.Sub(start) < settleFor {
		if !f.now.Before(next) {
			next = next.Add(settleEvery)
			config.Deadline, config.MaxWait = f.now.Add(25*time.Second), 25*time.Second
			s := &settleStream{state: generation.New(config, rand.New(rand.NewPCG(uint64(len(f.streams)), 1)))}
			f.streams = append(f.streams, s)
			f.apply(s, s.state.Handle(f.now, generation.Admitted{}))
		}
		f.step()
	}
	ended, good := 0, 0
	for _, s := range f.streams {
		if s.ended {
			ended++
		}
		if s.whole {
			good++
		}
	}
	return float64(good) / float64(ended), f.silent
}

// TestSlowedFleetSettles has engines fall silent because they read prompts. Streams that are taken from them have their
// prompts read again elsewhere, which slows others in turn: without a question before, the fleet does twice the work and more.
// With it, no stream is taken from an engine that is at work.
func TestSlowedFleetSettles(t *testing.T) {
	whole, silent := settle(2)
	must.EqOp(t, 1, whole)
	must.Zero(t, silent)
	_, silent = settle(0)
	must.Greater(t, 50, silent, must.Sprint("the fleet of this test is too fast to show anything"))
}
