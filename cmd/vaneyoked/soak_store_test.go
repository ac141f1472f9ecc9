package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	outageNodes       = 12
	outageCallers     = 12
	outageRounds      = 3
	outageBeforeKill  = 2500 * time.Millisecond // from the store's failure to the kill, until which tables have to be stale
	maxReadyTime      = 6 * time.Second         // within which nodes that start while the store is unavailable have to be ready
	maxActivationTime = 4 * time.Second         // within which a change after the store's recovery has to be active on all nodes
	killFraction      = 0.6
	maxCallsPerStart  = 8  // calls to the store for each node that starts while it is unavailable
	maxCallsPerSecond = 40 // calls of all other nodes together in that time, whatever their number
)

// TestSoakStoreAway makes the store refuse all calls, and kills and restarts most nodes in that time. The restarted nodes must serve with
// the tables that they get from the others, few calls may go to the store, and a change after its recovery must soon be active.
func TestSoakStoreAway(t *testing.T) {
	s := newSoak(t, orDefault(*soakNodes, outageNodes), shortLameDuck...)
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for c := range orDefault(*soakCallers, outageCallers) {
		rng := rand.New(rand.NewPCG(*soakSeed, uint64(c)))
		callers.Go(func() {
			for ctx.Err() == nil {
				s.call(ctx, rng, []string{"/look/x", "/buy/x"}[rng.IntN(2)])
			}
		})
	}
	rng := rand.New(rand.NewPCG(*soakSeed, 1<<32))
	for range outageRounds {
		s.checkOutage(rng)
	}
	s.waitServed()
	stop()
	callers.Wait()
	s.check()
}

// checkOutage runs one outage of the store.
func (s *soak) checkOutage(rng *rand.Rand) {
	began, before := time.Now(), s.store.AllCalls()
	s.store.Refuse(http.StatusServiceUnavailable)
	time.Sleep(outageBeforeKill + time.Duration(rng.Int64N(int64(time.Second))))
	var killed []*soakNode
	for _, n := range s.allNodes() {
		if rng.Float64() < killFraction && len(killed)+1 < len(s.allNodes()) {
			killed = append(killed, n)
			n.kill()
		}
	}
	for _, n := range killed {
		must.NoError(s.t, n.start())
	}
	started := time.Now()
	for _, n := range killed {
		must.True(s.t, becomesReady(n))
	}
	served := time.Since(started)
	must.Less(s.t, maxReadyTime, served)
	outage, calls := time.Since(began), s.store.AllCalls()-before
	s.t.Logf("store unavailable for %s: %d of %d nodes killed, ready again %s after their start, %d calls to the store", outage, len(killed), len(s.allNodes()), served, calls)
	must.LessEq(s.t, maxCallsPerStart*len(killed)+int(maxCallsPerSecond*outage.Seconds()), calls)
	s.store.Refuse(0)
	s.configure()
	changed := time.Now()
	for _, n := range s.allNodes() {
		for !n.hasActiveVersion(s.version) {
			must.Less(s.t, maxActivationTime, time.Since(changed), must.Sprint(n.name))
			time.Sleep(10 * time.Millisecond)
		}
	}
	s.t.Logf("a change was active on all nodes %s after the store's recovery", time.Since(changed))
}

// hasActiveVersion reports whether a version of the configuration is active on a node, according to its log.
func (n *soakNode) hasActiveVersion(version int) bool {
	return strings.HasSuffix(strings.TrimSpace(n.logTail("msg=configuration_in_force", 1)), fmt.Sprintf("version=%d", version))
}
