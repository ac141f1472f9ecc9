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
	dutyNodes      = 3
	dutyCallers    = 4
	dutyRounds     = 5
	dutyLease      = time.Second            // as in the settings of a soak
	dutyWakeSlack  = 500 * time.Millisecond // after a frozen node resumes, in which its calls do not count
	minDutyReports = 3                      // that have to be received at the start and after the last disruption
)

// dutySoak freezes and kills the holder of a duty, and delays the store's answers to it.
type dutySoak struct {
	*soak
	checksTokens bool
}

// TestSoakDuties makes the store delay its answers to writes that it has committed, and freezes the holder of the usage reports beyond its lease, or kills
// and restarts it at once. It runs with a platform that checks fencing tokens and with one that does not. No token may have two senders, no window two
// different reports, no report a lower token than an earlier one where the platform does not check it, and reports must still arrive in the end.
func TestSoakDuties(t *testing.T) {
	for name, fenced := range map[string]bool{"tokens are checked": true, "tokens are not checked": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			replace := shortLameDuck
			if !fenced {
				replace = append([]string{"fencing = true\n", ""}, replace...)
			}
			s := &dutySoak{soak: newSoak(t, orDefault(*soakNodes, dutyNodes), replace...), checksTokens: fenced}
			if !fenced {
				s.store.Cloud().AcceptStaleTokens()
			}
			ctx, stop := context.WithCancel(t.Context())
			var callers sync.WaitGroup
			for c := range orDefault(*soakCallers, dutyCallers) {
				rng := rand.New(rand.NewPCG(*soakSeed, uint64(c)))
				callers.Go(func() {
					for sleepContext(ctx, pushPause) {
						s.call(ctx, rng, []string{"/look/x", "/buy/x"}[rng.IntN(2)])
					}
				})
			}
			rng := rand.New(rand.NewPCG(*soakSeed, 4<<32))
			s.waitReported()
			for range dutyRounds {
				s.disrupt(rng)
			}
			s.waitReported()
			s.waitServed()
			stop()
			callers.Wait()
			s.check()
			s.checkTokens()
		})
	}
}

// waitReported waits until the platform has accepted some more reports.
func (s *dutySoak) waitReported() {
	before := len(s.store.Cloud().Reports())
	for start := time.Now(); len(s.store.Cloud().Reports()) < before+minDutyReports; time.Sleep(10 * time.Millisecond) {
		must.Less(s.t, maxWait, time.Since(start))
	}
}

// holder returns the node that sent the last report.
func (s *dutySoak) holder() *soakNode {
	reports := s.store.Cloud().Reports()
	for _, n := range s.allNodes() {
		if n.name == reports[len(reports)-1].Holder {
			return n
		}
	}
	return s.allNodes()[0]
}

// disrupt causes one random disruption of the holder.
func (s *dutySoak) disrupt(rng *rand.Rand) {
	randomTime := func(leases float64) time.Duration { return time.Duration(leases * rng.Float64() * float64(dutyLease)) }
	n := s.holder()
	switch rng.IntN(5) {
	case 0:
		s.killAndRestart(n)
	case 1:
		s.freezeNode(n, randomTime(3))
	case 2, 3: // the write is committed, and its answer arrives while the node is frozen or after its lease has expired
		s.store.DelayReplies(randomTime(2.5))
		time.Sleep(dutyLease / 2)
		if rng.IntN(2) == 0 {
			s.freezeNode(n, randomTime(3))
		}
		s.store.DelayReplies(0)
	case 4:
		s.store.DelayReplies(randomTime(2.5))
		time.Sleep(dutyLease / 2)
		s.killAndRestart(n)
		s.store.DelayReplies(0)
	}
	time.Sleep(randomTime(2))
}

// freezeNode suspends a node for d, and records when.
func (s *dutySoak) freezeNode(n *soakNode, d time.Duration) {
	from := time.Now()
	n.freeze(d)
	n.addSpan(&n.disrupted, from, time.Now().Add(dutyWakeSlack))
}

// checkTokens fails on reports with a lower token than an earlier one, from a platform that does not refuse them.
// Reports of a holder that was disrupted at that time do not count.
func (s *dutySoak) checkTokens() {
	var lower []platformtest.UsageReport
	for _, r := range s.store.Cloud().StaleReports() {
		for _, n := range s.allNodes() {
			if n.name == r.Holder && !n.disruptedDuring(span{r.At, r.At}) {
				lower = append(lower, r)
			}
		}
	}
	s.t.Logf("%d reports, %d calls refused, %d with a lower token", len(s.store.Cloud().Reports()), s.store.Cloud().Refused(), len(lower))
	must.SliceEmpty(s.t, lower)
}
