package placement_test

import (
	"cmp"
	"flag"
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

// knowsAll chooses with all knowledge of the moment: the engine with the least to read, then with the least in memory, of those whose
// memory is taken up to a share. Where there is none a request is refused, and comes once more after a second.
type knowsAll struct {
	under float64
	again map[*fallRun]bool
}

func (k knowsAll) choose(w *fallWorld, r *fallRun) (*fallEngine, time.Duration) {
	var best *fallEngine
	for _, e := range w.engines {
		isFull := float64(e.memory()+e.waiting()+r.prompt) > k.under*fallMemory
		if !e.up(w.now) || (isFull && r.made == 0) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(e.waiting(), best.waiting()), cmp.Compare(e.memory(), best.memory())) < 0 {
			best = e
		}
	}
	if best != nil || k.again[r] {
		return best, 0
	}
	k.again[r] = true
	return nil, time.Second
}

// byReports chooses as the product does, on many nodes which know what engines told of themselves 100 ms ago.
type byReports struct {
	rng         *rand.Rand
	nodes       []*placement.State
	hidesMemory bool // whether engines say nothing of their memory
	asked       int  // reports
}

func newByReports(nodes, engines int, hidesMemory bool) *byReports {
	b := &byReports{rng: rand.New(rand.NewPCG(5, 6)), hidesMemory: hidesMemory}
	var all []vaneyoke.Upstream
	for i := range engines {
		all = append(all, shortUpstream(vaneyoke.UpstreamID(fmt.Sprint("e", i))))
	}
	b.nodes = nodesWith(nodes, all)
	return b
}

func (b *byReports) choose(w *fallWorld, r *fallRun) (*fallEngine, time.Duration) {
	s, now := b.nodes[b.rng.IntN(len(b.nodes))], time.Unix(1000, 0).Add(w.now)
	wanted := need
	wanted.Affinity, wanted.Bytes = fmt.Sprint("p", r.at, r.prompt), r.prompt+r.made
	b.report(w, s, now, s.Homes(now, wanted))
	b.report(w, s, now, s.Spares(now, b.rng, wanted))
	if r.made == 0 && !s.HasRoom(now, wanted) {
		if wait, ok := (placement.Hold{Given: fallLimit, Goal: fallGoal}).Again(fallLimit - (w.now - r.at)); ok {
			return nil, wait
		}
	}
	u, _, _ := s.Pick(now, b.rng, wanted)
	return w.engine(u.ID), 0
}

func (b *byReports) report(w *fallWorld, s *placement.State, now time.Time, asked []vaneyoke.Upstream) {
	for _, u := range asked {
		b.asked++
		e := w.engine(u.ID)
		if !e.up(w.now) || len(e.told) == 0 {
			continue
		}
		report := e.told[max(len(e.told)-int(toldLag/fallBeat), 0)]
		if b.hidesMemory {
			report.KVSize = 0
		}
		s.Reported(now, u.ID, report)
	}
}

func (w *fallWorld) engine(id vaneyoke.UpstreamID) *fallEngine {
	return w.engines[slices.IndexFunc(w.engines, func(e *fallEngine) bool { return e.id == id })]
}

var fallDays = flag.Uint64("days", 1, "days of short memory that are played for each way to choose")

// inAim returns the share of requests that are served in time on a few days.
func inAim(t *testing.T, name string, engines int, chooser func() fallChooser) float64 {
	return inAimAt(t, name, engines, fallRead, chooser)
}

// inAimAt does the same for engines that take a time to read a piece of a prompt.
func inAimAt(t *testing.T, name string, engines int, reads time.Duration, chooser func() fallChooser) float64 {
	sum := 0.0
	for seed := range *fallDays {
		w := newFallWorld(seed, engines, chooser())
		w.reads = reads
		sum += w.play() / float64(*fallDays)
		t.Logf("%s, %d engines, seed %d: of %d %d in time, %d late, %d refused; %.1f million tokens read", name, engines, seed, w.asked, w.inAim, w.served-w.inAim, w.refused, float64(w.read)/1e6)
	}
	t.Logf("%s, %d engines: %.3f in time", name, engines, sum)
	return sum
}

// TestMemoryIsShort has 46 prompts of 8,200 tokens a second come to engines with room for ten each, while a data centre falls
// every six seconds. At 75 engines the runs alone take two thirds of the memory, so that replicas of all do not fit: with all knowledge and
// refusals 0.77 are served in time. Nodes that go by the memory which engines tell of serve more in time than those that do not know
// it, without refusing any; where there are 180 engines nothing changes.
func TestMemoryIsShort(t *testing.T) {
	bound := inAim(t, "all knowledge", 75, func() fallChooser { return knowsAll{under: 0.8, again: map[*fallRun]bool{}} })
	hidden := inAim(t, "memory not told", 75, func() fallChooser { return newByReports(90, 75, true) })
	told := inAim(t, "memory told", 75, func() fallChooser { return newByReports(90, 75, false) })
	must.Greater(t, hidden+0.08, told)
	must.Greater(t, told, bound)
	must.Greater(t, 0.98, inAim(t, "memory told", 180, func() fallChooser { return newByReports(90, 180, false) }))
}

// TestReportsWhileMemoryIsShort plays the same with 1,043 nodes: prompts that are held ask engines again and again, and what an engine is
// asked comes of the prompts that wait and not of the nodes.
func TestReportsWhileMemoryIsShort(t *testing.T) {
	const engines = 75
	for _, nodes := range []int{90, 1043} {
		b := newByReports(nodes, engines, false)
		share := inAim(t, fmt.Sprint(nodes, " nodes"), engines, func() fallChooser { return b })
		perSecond := float64(b.asked) / float64(engines) / (fallLength.Seconds() * float64(*fallDays))
		t.Logf("%d nodes: %.1f reports a second and engine", nodes, perSecond)
		must.Greater(t, 0.5, share)
		must.Less(t, 30, perSecond)
	}
}

// TestWhoHasRoom has an upstream tell of its memory, while prompts of 1,000 tokens come.
func TestWhoHasRoom(t *testing.T) {
	for name, tc := range map[string]struct {
		report vaneyoke.LoadReport
		want   bool
	}{
		"says nothing":               {vaneyoke.LoadReport{PendingPrompts: 9, Runs: 9}, true},
		"room":                       {vaneyoke.LoadReport{KVInUse: 2400, KVSize: 4000}, true},
		"full":                       {vaneyoke.LoadReport{KVInUse: 2500, KVSize: 4000}, false},
		"full once it has read":      {vaneyoke.LoadReport{KVInUse: 1500, PendingPrompts: 1, KVSize: 4000}, false},
		"idle, just large enough":    {vaneyoke.LoadReport{KVSize: 1100}, true},
		"busy, just large enough":    {vaneyoke.LoadReport{KVInUse: 10, KVSize: 1100}, false},
		"reads what is large enough": {vaneyoke.LoadReport{PendingPrompts: 1, KVSize: 1100}, false},
	} {
		t.Run(name, func(t *testing.T) {
			now, wanted := time.Unix(1000, 0), need
			wanted.Affinity = "p"
			s := placement.New("a", retry.DefaultBreakerConfig())
			s.SetUpstreams([]vaneyoke.Upstream{{ID: "u", Kind: need.Kind, Service: need.Service, State: vaneyoke.StateLive, URL: "http://u"}})
			must.True(t, s.HasRoom(now, wanted)) // it has not told
			s.Reported(now, "u", tc.report)
			must.EqOp(t, tc.want, s.HasRoom(now, wanted))
			must.True(t, s.HasRoom(now.Add(time.Second), wanted)) // what it told is old
			_, _, ok := s.Pick(now, rand.New(rand.NewPCG(1, 1)), wanted)
			must.True(t, ok) // who has nobody else gets it all the same
		})
	}
}
