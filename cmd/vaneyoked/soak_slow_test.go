package main

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

// TestSoakSlowEnginesKeepStreams makes all engines pause repeatedly within each stream, for longer than the
// stream's pace so far would suggest but shorter than the pause that callers accept. Engines that are still working must keep their
// streams: no stream may be generated twice, whatever happens to others.
func TestSoakSlowEnginesKeepStreams(t *testing.T) {
	const (
		streams = 40
		gap     = 20 * time.Millisecond
		stretch = 450 * time.Millisecond
	)
	s := newSoak(t, orDefault(*soakNodes, faultNodes))
	reports := 0
	for _, e := range s.engines {
		e.SpoilAll(platformtest.Fault{Pause: gap, LongPause: stretch})
		reports -= e.Reports()
	}
	before := s.streamRuns()
	var callers sync.WaitGroup
	for c := range streams {
		rng := rand.New(rand.NewPCG(*soakSeed, uint64(c)))
		callers.Go(func() { s.stream(t.Context(), rng) })
	}
	callers.Wait()
	must.SliceEmpty(t, s.violations)
	must.EqOp(t, streams, int(s.served.Load()))
	must.EqOp(t, streams, s.streamRuns()-before)
	for _, e := range s.engines {
		reports += e.Reports()
	}
	must.Greater(t, 4*streams, reports) // more than the reports of each prompt's affinity upstreams: streams paused for long enough to be queried
}

// streamRuns returns the number of streams that engines have started.
func (s *soak) streamRuns() (n int) {
	for _, e := range s.engines {
		if e.Service == "lm" {
			n += len(e.Runs())
		}
	}
	return n
}
