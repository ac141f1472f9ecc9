package main

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

// TestSoakSlowedEnginesSettle has all engines of real nodes fall silent again and again within each stream, for longer than its
// pace allows and less than the pause that callers take as in time. Engines that are at work keep their streams: none is made twice,
// whatever others do.
func TestSoakSlowedEnginesSettle(t *testing.T) {
	const (
		streams = 40
		gap     = 20 * time.Millisecond
		stretch = 450 * time.Millisecond
	)
	s := newSoak(t, either(*soakNodes, faultNodes))
	asked := 0
	for _, e := range s.engines {
		e.SpoilAll(platformtest.Fault{Pause: gap, Stretch: stretch})
		asked -= e.Reports()
	}
	before := s.streamRuns()
	var callers sync.WaitGroup
	for c := range streams {
		rng := rand.New(rand.NewPCG(*soakSeed, uint64(c)))
		callers.Go(func() { s.stream(t.Context(), rng) })
	}
	callers.Wait()
	must.SliceEmpty(t, s.wrong)
	must.EqOp(t, streams, int(s.served.Load()))
	must.EqOp(t, streams, s.streamRuns()-before)
	for _, e := range s.engines {
		asked += e.Reports()
	}
	must.Greater(t, 4*streams, asked) // beyond the homes of each prompt: streams were silent for long enough to be asked about
}

// streamRuns returns how often engines began to make a stream.
func (s *soak) streamRuns() (n int) {
	for _, e := range s.engines {
		if e.Service == "lm" {
			n += len(e.Runs())
		}
	}
	return n
}
