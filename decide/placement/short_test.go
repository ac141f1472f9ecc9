package placement_test

import (
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

// shortFleet is engines that read prompts one after the other, and nodes that place prompts on them by reports of a while ago.
type shortFleet struct {
	rng     *rand.Rand
	now     time.Time
	engines []*shortEngine
	nodes   []*placement.State
	asked   int // reports
}

type shortEngine struct {
	id    vaneyoke.UpstreamID
	until time.Time   // when it has read all that it was given
	queue []time.Time // when each prompt will have been read
	told  []vaneyoke.LoadReport
}

const (
	reading = 1030 * time.Millisecond // of a prompt of 8,200 tokens at 8 tokens a millisecond
	toldLag = 100 * time.Millisecond
	beat    = 10 * time.Millisecond
)

func newShortFleet(nodes, engines int) *shortFleet {
	f := &shortFleet{rng: rand.New(rand.NewPCG(3, 4)), now: time.Unix(1000, 0)}
	var all []vaneyoke.Upstream
	for i := range engines {
		id := vaneyoke.UpstreamID(fmt.Sprint("e", i))
		f.engines = append(f.engines, &shortEngine{id: id, until: f.now})
		all = append(all, shortUpstream(id))
	}
	f.nodes = nodesWith(nodes, all)
	return f
}

// nodesWith returns what nodes know that have just learned of upstreams.
func nodesWith(nodes int, upstreams []vaneyoke.Upstream) []*placement.State {
	all := make([]*placement.State, nodes)
	for i := range all {
		all[i] = placement.New("a", retry.DefaultBreakerConfig())
		all[i].SetUpstreams(upstreams)
	}
	return all
}

// shortUpstream returns an engine of a fleet whose engines are short.
func shortUpstream(id vaneyoke.UpstreamID) vaneyoke.Upstream {
	return vaneyoke.Upstream{ID: id, Kind: need.Kind, Service: "lm", State: vaneyoke.StateLive, Slots: 24, URL: "http://" + string(id)}
}

// play sends prompts at a rate, and returns the share of them that were read within a goal; told says whether nodes go by reports
// where each home of a prompt is busy, and ask others too; otherwise they go by their own work.
func (f *shortFleet) play(rate float64, goal time.Duration, told bool) float64 {
	inTime, all := 0, 0
	for range 3000 {
		f.now = f.now.Add(beat)
		for _, e := range f.engines {
			e.queue = slices.DeleteFunc(e.queue, func(at time.Time) bool { return !at.After(f.now) })
			e.told = append(e.told, vaneyoke.LoadReport{PendingPrompts: len(e.queue), Runs: len(e.queue)})
		}
		if f.rng.Float64() >= rate*beat.Seconds() {
			continue
		}
		all++
		if f.place(fmt.Sprint("p", all), told) <= goal {
			inTime++
		}
	}
	return float64(inTime) / float64(all)
}

// place gives one prompt to an engine, and returns how long it will take until it is read.
func (f *shortFleet) place(prompt string, told bool) time.Duration {
	s := f.nodes[f.rng.IntN(len(f.nodes))]
	wanted := need
	wanted.Affinity = prompt
	f.report(s, s.Homes(f.now, wanted))
	spares := s.Spares(f.now, f.rng, wanted)
	switch {
	case told:
		f.report(s, spares)
	case spares != nil:
		wanted.Affinity = ""
	}
	u, _, _ := s.Pick(f.now, f.rng, wanted)
	i := slices.IndexFunc(f.engines, func(e *shortEngine) bool { return e.id == u.ID })
	e := f.engines[i]
	if e.until.Before(f.now) {
		e.until = f.now
	}
	e.until = e.until.Add(reading)
	e.queue = append(e.queue, e.until)
	return e.until.Sub(f.now)
}

// report has a node be told what engines had to read a while ago.
func (f *shortFleet) report(s *placement.State, asked []vaneyoke.Upstream) {
	for _, u := range asked {
		f.asked++
		i := slices.IndexFunc(f.engines, func(e *shortEngine) bool { return e.id == u.ID })
		told := f.engines[i].told
		s.Reported(f.now, u.ID, told[max(len(told)-int(toldLag/beat), 0)])
	}
}

// TestEnginesAreShort has 46 prompts a second come from 90 nodes to engines of which each reads one in 1.03 s: 54 of them are at 88%
// of what they can read, 75 at 63%. Nodes that go by reports where each home of a prompt is busy have more prompts read in time when engines are short than
// those that go by their own work, and as many otherwise.
func TestEnginesAreShort(t *testing.T) {
	const rate, goal = 46, 2500 * time.Millisecond
	for engines, want := range map[int]struct{ least, gain float64 }{54: {0.85, 0.03}, 75: {0.97, -0.01}} {
		own, told := newShortFleet(90, engines), newShortFleet(90, engines)
		before, after := own.play(rate, goal, false), told.play(rate, goal, true)
		t.Logf("%d engines, read in time: %.3f by own work, %.3f by reports; reports %d, %d", engines, before, after, own.asked, told.asked)
		must.Greater(t, before+want.gain, after)
		must.Greater(t, want.least, after)
		must.LessEq(t, 3*own.asked, told.asked)
	}
}
