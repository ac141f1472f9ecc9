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

// queueFleet simulates engines that read prompts one after the other, and nodes that place prompts on them by delayed load reports.
type queueFleet struct {
	rng          *rand.Rand
	now          time.Time
	engines      []*queueEngine
	nodes        []*placement.State
	reportsAsked int
}

type queueEngine struct {
	id        vaneyoke.UpstreamID
	readUntil time.Time   // when it will have read all queued prompts
	queue     []time.Time // when each prompt will have been read
	reports   []vaneyoke.LoadReport
}

const (
	prefillTime = 1030 * time.Millisecond // for a prompt of 8,200 tokens at 8 tokens per millisecond
	reportDelay = 100 * time.Millisecond
	tick        = 10 * time.Millisecond
)

func newQueueFleet(nodes, engines int) *queueFleet {
	f := &queueFleet{rng: rand.New(rand.NewPCG(3, 4)), now: time.Unix(1000, 0)}
	var all []vaneyoke.Upstream
	for i := range engines {
		id := vaneyoke.UpstreamID(fmt.Sprint("e", i))
		f.engines = append(f.engines, &queueEngine{id: id, readUntil: f.now})
		all = append(all, engineUpstream(id))
	}
	f.nodes = nodesWith(nodes, all)
	return f
}

// nodesWith returns the states of nodes that have just received a list of upstreams.
func nodesWith(nodes int, upstreams []vaneyoke.Upstream) []*placement.State {
	all := make([]*placement.State, nodes)
	for i := range all {
		all[i] = placement.New("a", retry.DefaultBreakerConfig())
		all[i].SetUpstreams(upstreams)
	}
	return all
}

// engineUpstream returns the entry of a simulated engine.
func engineUpstream(id vaneyoke.UpstreamID) vaneyoke.Upstream {
	return vaneyoke.Upstream{ID: id, Kind: need.Kind, Service: "lm", State: vaneyoke.StateLive, Slots: 24, URL: "http://" + string(id)}
}

// run sends prompts at a rate and returns the share that was read within the goal. If all affinity upstreams of a prompt are busy, nodes ask other
// upstreams for load reports, too, if byReports is true; otherwise they place the prompt by their own load.
func (f *queueFleet) run(rate float64, goal time.Duration, byReports bool) float64 {
	inTime, all := 0, 0
	for range 3000 {
		f.now = f.now.Add(tick)
		for _, e := range f.engines {
			e.queue = slices.DeleteFunc(e.queue, func(at time.Time) bool { return !at.After(f.now) })
			e.reports = append(e.reports, vaneyoke.LoadReport{PendingPrompts: len(e.queue), Runs: len(e.queue)})
		}
		if f.rng.Float64() >= rate*tick.Seconds() {
			continue
		}
		all++
		if f.place(fmt.Sprint("p", all), byReports) <= goal {
			inTime++
		}
	}
	return float64(inTime) / float64(all)
}

// place sends one prompt to an engine and returns how long it takes until the prompt has been read.
func (f *queueFleet) place(prompt string, byReports bool) time.Duration {
	s := f.nodes[f.rng.IntN(len(f.nodes))]
	wanted := need
	wanted.Affinity = prompt
	f.report(s, s.AffinityUpstreams(f.now, wanted))
	spillover := s.SpilloverUpstreams(f.now, f.rng, wanted)
	switch {
	case byReports:
		f.report(s, spillover)
	case spillover != nil:
		wanted.Affinity = ""
	}
	u, _, _ := s.Pick(f.now, f.rng, wanted)
	i := slices.IndexFunc(f.engines, func(e *queueEngine) bool { return e.id == u.ID })
	e := f.engines[i]
	if e.readUntil.Before(f.now) {
		e.readUntil = f.now
	}
	e.readUntil = e.readUntil.Add(prefillTime)
	e.queue = append(e.queue, e.readUntil)
	return e.readUntil.Sub(f.now)
}

// report gives a node the delayed load reports of engines.
func (f *queueFleet) report(s *placement.State, upstreams []vaneyoke.Upstream) {
	for _, u := range upstreams {
		f.reportsAsked++
		i := slices.IndexFunc(f.engines, func(e *queueEngine) bool { return e.id == u.ID })
		reports := f.engines[i].reports
		s.Reported(f.now, u.ID, reports[max(len(reports)-int(reportDelay/tick), 0)])
	}
}

// TestReportsHelpWhenEnginesAreScarce has 90 nodes send 46 prompts a second to engines that each read one in 1.03 s: 54 engines are at 88% of their
// capacity, 75 at 63%. When engines are scarce, nodes that use load reports while all affinity upstreams of a prompt are busy have more prompts read in
// time than nodes that go by their own load, and otherwise as many.
func TestReportsHelpWhenEnginesAreScarce(t *testing.T) {
	const rate, goal = 46, 2500 * time.Millisecond
	for engines, want := range map[int]struct{ least, gain float64 }{54: {0.85, 0.03}, 75: {0.97, -0.01}} {
		ownLoad, byReports := newQueueFleet(90, engines), newQueueFleet(90, engines)
		ownShare, reportShare := ownLoad.run(rate, goal, false), byReports.run(rate, goal, true)
		t.Logf("%d engines, read in time: %.3f by own load, %.3f by reports; reports %d, %d", engines, ownShare, reportShare, ownLoad.reportsAsked, byReports.reportsAsked)
		must.Greater(t, ownShare+want.gain, reportShare)
		must.Greater(t, want.least, reportShare)
		must.LessEq(t, 3*ownLoad.reportsAsked, byReports.reportsAsked)
	}
}
