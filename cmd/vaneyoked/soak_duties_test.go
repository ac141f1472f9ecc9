package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	dutyNodes   = 3
	dutyCallers = 4
	dutyRounds  = 5
	dutyLease   = time.Second            // as the settings of a soak have it
	dutyThaw    = 500 * time.Millisecond // after a node woke, in which its calls do not count
	dutyReports = 3                      // that have to come at last
)

// dutySoak has holders of a duty be stopped, killed, and wait for the store's answers.
type dutySoak struct {
	*soak
	fenced bool
}

// TestSoakDuties has the store hold back its answers to writes that it has carried out, and the holder of the reports of usage be stopped across its lease
// or killed and started again at once, before a platform that checks tokens and one that does not: no token has two senders, no window two reports that
// differ, no report comes with a lower token where nobody checks it, and reports come in the end.
func TestSoakDuties(t *testing.T) {
	for name, fenced := range map[string]bool{"tokens are checked": true, "tokens are not checked": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			replace := lameBriefly
			if !fenced {
				replace = append([]string{"fencing = true\n", ""}, replace...)
			}
			s := &dutySoak{soak: newSoak(t, either(*soakNodes, dutyNodes), replace...), fenced: fenced}
			if !fenced {
				s.store.Cloud().TrustTokens()
			}
			ctx, stop := context.WithCancel(t.Context())
			var callers sync.WaitGroup
			for c := range either(*soakCallers, dutyCallers) {
				rng := rand.New(rand.NewPCG(*soakSeed, uint64(c)))
				callers.Go(func() {
					for wait(ctx, pushPause) {
						s.call(ctx, rng, []string{"/look/x", "/buy/x"}[rng.IntN(2)])
					}
				})
			}
			rng := rand.New(rand.NewPCG(*soakSeed, 4<<32))
			s.untilReported()
			for range dutyRounds {
				s.disturb(rng)
			}
			s.untilReported()
			s.untilServed()
			stop()
			callers.Wait()
			s.check()
			s.checkTokens()
		})
	}
}

// untilReported waits until some more reports have been taken.
func (s *dutySoak) untilReported() {
	before := len(s.store.Cloud().Reports())
	for start := time.Now(); len(s.store.Cloud().Reports()) < before+dutyReports; time.Sleep(10 * time.Millisecond) {
		must.Less(s.t, patient, time.Since(start))
	}
}

// holder returns the node that reported last.
func (s *dutySoak) holder() *soakNode {
	reports := s.store.Cloud().Reports()
	for _, n := range s.all() {
		if n.name == reports[len(reports)-1].Holder {
			return n
		}
	}
	return s.all()[0]
}

// disturb brings about one trouble of the holder.
func (s *dutySoak) disturb(rng *rand.Rand) {
	long := func(leases float64) time.Duration { return time.Duration(leases * rng.Float64() * float64(dutyLease)) }
	n := s.holder()
	switch rng.IntN(5) {
	case 0:
		s.killAndStart(n)
	case 1:
		s.stop(n, long(3))
	case 2, 3: // the write is carried out, and its answer comes while the node is stopped or after its lease is over
		s.store.HoldAnswers(long(2.5))
		time.Sleep(dutyLease / 2)
		if rng.IntN(2) == 0 {
			s.stop(n, long(3))
		}
		s.store.HoldAnswers(0)
	case 4:
		s.store.HoldAnswers(long(2.5))
		time.Sleep(dutyLease / 2)
		s.killAndStart(n)
		s.store.HoldAnswers(0)
	}
	time.Sleep(long(2))
}

// stop has a node stand still for a while, and notes when.
func (s *dutySoak) stop(n *soakNode, d time.Duration) {
	from := time.Now()
	n.freeze(d)
	n.note(&n.disrupted, from, time.Now().Add(dutyThaw))
}

// checkTokens looks at reports that came with a lower token than one before, where nobody refuses these.
func (s *dutySoak) checkTokens() {
	var lower []platformtest.UsageReport
	for _, r := range s.store.Cloud().Lower() {
		for _, n := range s.all() {
			if n.name == r.Holder && !n.disruptedDuring(span{r.At, r.At}) {
				lower = append(lower, r)
			}
		}
	}
	s.t.Logf("%d reports, %d calls refused, %d with a lower token", len(s.store.Cloud().Reports()), s.store.Cloud().Refused(), len(lower))
	must.SliceEmpty(s.t, lower)
}
