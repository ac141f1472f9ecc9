package ratelimit_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/ratelimit"
)

var simulations = flag.Uint64("worlds", 1, "number of simulations of each fault and fleet size")

const (
	window        = 4 * time.Second
	maxOvershoot  = 1.5             // multiple of the limit that an upstream may receive within a window
	maxExcess     = 5               // requests allowed beyond that
	propagation   = time.Second     // time after a limit is declared or changed from which on windows must keep it
	declaredAfter = 4 * time.Second // after the start of the simulation
	runTime       = 28 * time.Second
	finalPhase    = 12 * time.Second // over which the utilization is measured
)

// worstWindow returns the largest number of requests beyond the allowed ones that an upstream received within a window, negative if it stayed
// below, and the largest number received in one. For a while after a change, the higher limit applies.
func (u *upstream) worstWindow(end time.Time) (excess float64, received int) {
	excess = -1e9
	first := 0
	for i, at := range u.arrivals {
		for at.Sub(u.arrivals[first]) > window {
			first++
		}
		rate, declared := u.highestLimit(u.arrivals[first].Add(-propagation), at)
		if !declared || at.After(end) {
			continue
		}
		received = max(received, i-first+1)
		excess = max(excess, float64(i-first+1)-maxOvershoot*rate*window.Seconds()-maxExcess)
	}
	return excess, received
}

// highestLimit returns the highest limit that applied between two times; declared is false if none was at some time between them.
func (u *upstream) highestLimit(from, to time.Time) (rate float64, declared bool) {
	if len(u.limits) == 0 || u.limits[0].at.After(from) {
		return 0, false
	}
	for i, c := range u.limits {
		if c.at.After(to) || (i+1 < len(u.limits) && !u.limits[i+1].at.After(from)) {
			continue
		}
		if !c.limit.Declared {
			return 0, false
		}
		rate = max(rate, float64(c.limit.Rate))
	}
	return rate, true
}

// utilization returns the requests that an upstream received between two times as a share of those that its limit allows.
func (u *upstream) utilization(from, to time.Time) float64 {
	received := 0
	for _, at := range u.arrivals {
		if at.After(from) && !at.After(to) {
			received++
		}
	}
	return float64(received) / (float64(u.limit().Rate) * to.Sub(from).Seconds())
}

// fault is a scenario that is injected into a simulated fleet some time after limits were declared.
type fault struct {
	configure      func(s *simulation)
	inject         func(s *simulation)
	largeFleet     bool          // simulate the largest fleet even if only one simulation each is run
	extraTime      time.Duration // added to runTime
	minUtilization float64       // required in finalPhase; 0 for none
}

var faults = map[string]fault{
	"none":                             {largeFleet: true, minUtilization: 0.85},
	"one node receives all calls":      {largeFleet: true, configure: func(s *simulation) { s.onlyNode = 0 }, minUtilization: 0.85},
	"more calls than the limits allow": {largeFleet: true, configure: func(s *simulation) { s.callRate = 200 }, minUtilization: 0.85},
	"all upstreams declare limits":     {configure: func(s *simulation) { s.callRate = 60 }, inject: func(s *simulation) { s.declareLimit(s.upstreams[2], 5) }, minUtilization: 0.85},
	"nodes restart": {inject: func(s *simulation) {
		for i := range 10 {
			s.atTime(8*time.Second+time.Duration(i)*700*time.Millisecond, func() {
				for _, n := range s.sampleNodes(0.2) {
					s.stopNode(n, false)
				}
			})
		}
	}},
	"all nodes restart": {inject: func(s *simulation) {
		for _, n := range s.nodes {
			s.stopNode(n, false)
		}
	}},
	"all nodes restart under high load": {largeFleet: true, configure: func(s *simulation) { s.callRate = 200 }, inject: func(s *simulation) {
		for _, n := range s.nodes {
			s.stopNode(n, false)
		}
	}, minUtilization: 0.85},
	"nodes freeze": {inject: func(s *simulation) {
		for i := range 6 {
			s.atTime(8*time.Second+time.Duration(i)*900*time.Millisecond, func() {
				for _, n := range s.sampleNodes(0.4) {
					s.freezeNode(n, 2500*time.Millisecond)
				}
			})
		}
	}},
	"nodes are partitioned": {largeFleet: true, inject: func(s *simulation) {
		for i := range 4 {
			s.atTime(8*time.Second+time.Duration(i)*2*time.Second, func() {
				for _, n := range s.sampleNodes(0.4) {
					s.partitionNode(n, 3*time.Second)
				}
			})
		}
	}},
	"nodes join": {inject: func(s *simulation) {
		for i := range 8 {
			s.atTime(8*time.Second+time.Duration(i)*time.Second, func() {
				n := s.addNode(false, true)
				s.after(startupDelay, func() { s.loadTables(n) })
				s.publishMembers()
				s.after(treeDelay, s.rebuildTree)
			})
		}
	}},
	"nodes leave for good": {inject: func(s *simulation) {
		for i := range 3 {
			s.atTime(8*time.Second+time.Duration(i)*2*time.Second, func() {
				for _, n := range s.sampleNodes(0.15) {
					s.stopNode(n, true)
					s.after(3*time.Second, func() {
						n.listed = false
						s.publishMembers()
					})
				}
			})
		}
	}},
	"half of the nodes stop for good": {extraTime: 16 * time.Second, inject: func(s *simulation) {
		for _, n := range s.nodes[:len(s.nodes)/2] {
			s.stopNode(n, true)
		}
	}, minUtilization: 0.85},
	"nodes are partitioned for long": {extraTime: 12 * time.Second, inject: func(s *simulation) {
		for _, n := range s.sampleNodes(0.4) {
			s.partitionNode(n, 20*time.Second)
		}
	}},
	"the store is down while nodes join and leave": {inject: func(s *simulation) {
		s.stopStore(8 * time.Second)
		for i := range 5 {
			s.atTime(8*time.Second+time.Duration(i)*time.Second, func() {
				for _, n := range s.sampleNodes(0.2) {
					s.stopNode(n, i%2 == 0)
					n.listed = !n.goneForGood
				}
				n := s.addNode(false, true)
				s.after(startupDelay, func() { s.loadTables(n) })
				s.publishMembers()
				s.after(treeDelay, s.rebuildTree)
			})
		}
	}},
	"limits change": {inject: func(s *simulation) {
		for i, rate := range []vaneyoke.PerSecond{7, 1.2, 4.5, 0.6, 2.8} {
			s.atTime(8*time.Second+time.Duration(i)*2*time.Second, func() { s.declareLimit(s.upstreams[0], rate) })
		}
	}, minUtilization: 0.6},
	"limits end and are declared again": {inject: func(s *simulation) {
		for i := range 4 {
			s.atTime(8*time.Second+time.Duration(i)*3*time.Second, func() {
				if i%2 == 0 {
					s.endLimit(s.upstreams[0])
				} else {
					s.declareLimit(s.upstreams[0], 2)
				}
			})
		}
	}},
	"an upstream restarts under its id": {inject: func(s *simulation) {
		u := s.upstreams[0]
		u.incarnation++
		s.endLimit(u)
		for _, n := range s.nodes {
			s.after(time.Duration(s.rng.Int64N(int64(maxUpdateDelay))), func() { s.deliver(n, ratelimit.UpstreamsUpdated{All: s.upstreamList()}) })
		}
		s.atTime(10*time.Second, func() { s.declareLimit(u, 1.5) })
	}, minUtilization: 0.6},
	"datagrams are lost":              {largeFleet: true, configure: func(s *simulation) { s.loss = 0.2 }, minUtilization: 0.5},
	"data centres are regions":        {configure: func(s *simulation) { s.regions = true }, minUtilization: 0.5},
	"some nodes don't support limits": {configure: func(s *simulation) { s.oldBuilds = 2 }},
}

func simulate(seed uint64, nodes int, f fault) *simulation {
	s := newSimulation(seed, nodes, func(s *simulation) {
		if f.configure != nil {
			f.configure(s)
		}
	})
	s.atTime(declaredAfter, func() {
		s.declareLimit(s.upstreams[0], 2.8)
		s.declareLimit(s.upstreams[1], 3.5)
	})
	if f.inject != nil {
		s.atTime(2*declaredAfter, func() { f.inject(s) })
	}
	s.run(runTime + f.extraTime)
	return s
}

// TestLimitsHold simulates fleets of 1 to 1,043 nodes and upstreams that declare limits, with all faults. The requests of all nodes together,
// including those that are partitioned or have just started, must stay within what the limits allow.
func TestLimitsHold(t *testing.T) {
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sizes := []int{1, 2, 7, 90}
			if f.largeFleet || *simulations > 1 {
				sizes = append(sizes, 1043)
			}
			for _, nodes := range sizes {
				for seed := uint64(1); seed <= *simulations; seed++ {
					s := simulate(seed, nodes, f)
					s.check(t, fmt.Sprint(name, ", ", nodes, " nodes, seed ", seed), f)
				}
			}
		})
	}
}

// check verifies that no window exceeded the limits, and that they were used as far as the fault requires.
func (s *simulation) check(t *testing.T, desc string, f fault) {
	t.Helper()
	for _, u := range s.upstreams {
		if len(u.limits) == 0 {
			continue
		}
		excess, received := u.worstWindow(s.now)
		utilization := u.utilization(s.now.Add(-finalPhase), s.now)
		if testing.Verbose() {
			t.Logf("%s: %s received at most %d requests in %s, %.1f below the allowed number; final utilization %.2f", desc, u.id, received, window, -excess, utilization)
		}
		must.LessEq(t, 0, excess, must.Sprint(desc, " ", u.id))
		if u.limit().Declared {
			must.GreaterEq(t, f.minUtilization, utilization, must.Sprint(desc, " ", u.id))
		}
	}
	if testing.Verbose() {
		slices.Sort(s.waits)
		t.Logf("%s: %d calls, %d sent, %d refused; %d permit requests, busiest node %d datagrams; longest wait %s, 99th percentile %s", desc, s.calls, s.sent, s.refused,
			s.requests, slices.Max(s.datagrams), s.waits[len(s.waits)-1], s.waits[len(s.waits)*99/100])
	}
}
