package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
)

const (
	stopNodes       = 6
	stopCallers     = 72
	stopGrace       = 3 * time.Second
	stopsLast       = 6 * time.Second
	endSlack        = 200 * time.Millisecond // past the grace, within which a stopping process has to end
	maxSeriesPause  = 800 * time.Millisecond // between two stops of a series
	maxEarlyStop    = 150 * time.Millisecond // from a start to a SIGTERM that follows during it
	freezeTime      = 200 * time.Millisecond
	disruptionSlack = 100 * time.Millisecond // after a disruption, for which it still counts
)

// stopSettings shortens the grace and the lame duck time of a node.
var stopSettings = []string{"grace = 8s\n", "grace = " + stopGrace.String() + "\n", "[gateway]\n", "[gateway]\nlame = 300ms\n"}

// stopSoak is a soak whose nodes are stopped in overlapping series.
type stopSoak struct {
	*soak
	grace       time.Duration
	tasks       sync.WaitGroup
	stops       atomic.Int64
	callers     []*rawCaller
	mu          sync.Mutex
	longestStop time.Duration // from SIGTERM to the end of a process
	processEnds map[string]int
}

// stopSeeds are seeds with which a guarantee was once violated.
var stopSeeds = []uint64{1, 5, 7}

// TestSoakOverlappingStops stops real processes in overlapping series, while callers keep using their connections: no request may be lost that
// a node had accepted.
func TestSoakOverlappingStops(t *testing.T) {
	seeds := stopSeeds
	if !slices.Contains(seeds, *soakSeed) {
		seeds = []uint64{*soakSeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newStopSoak(t)
			v := s.runStops(seed, s.disruptEngines)
			must.SliceEmpty(t, s.violations, must.Sprint("see the violations logged above"))
			must.MapEmpty(t, v.violationCounts(), must.Sprint("see the timelines logged above"))
		})
	}
}

// TestSoakLossesAreLogged makes engines hang while nodes stop. The nodes' logs have to name each request that reached an engine
// and ended without an answer or with an error of the node itself.
func TestSoakLossesAreLogged(t *testing.T) {
	s := newStopSoak(t)
	v := s.runStops(*soakSeed, s.disruptEngines, s.hangEngines)
	delete(v.unloggedLosses, cutOff) // the caller has received a part of the answer
	must.MapEmpty(t, v.unloggedLosses)
	must.MapNotEmpty(t, v.loggedLosses)
}

func newStopSoak(t *testing.T) *stopSoak {
	s := &stopSoak{soak: newSoak(t, orDefault(*soakNodes, stopNodes), stopSettings...), grace: stopGrace, processEnds: map[string]int{}}
	s.resetDelays()
	return s
}

// runStops stops nodes in series while it runs the given disruptions, and verifies the outcomes of all requests.
func (s *stopSoak) runStops(seed uint64, disruptions ...func(context.Context, *rand.Rand)) *verifier {
	ctx, cancel := context.WithCancel(s.t.Context())
	callers := s.startCallers(ctx, seed, orDefault(*soakCallers, stopCallers), minCallWait, maxCallWait)
	stopping, stop := context.WithTimeout(ctx, orDefault(*soakDuration, stopsLast))
	defer stop()
	for i, disruption := range disruptions {
		s.tasks.Go(func() { disruption(stopping, rand.New(rand.NewPCG(seed, 1<<33+uint64(i)))) })
	}
	for i := range 1 + len(s.nodes)/(2*stopNodes) {
		s.tasks.Go(func() { s.stopInSeries(stopping, rand.New(rand.NewPCG(seed, 1<<34+uint64(i)))) })
	}
	s.tasks.Wait()
	s.clearFaults()
	s.waitServed()
	cancel()
	callers.Wait()
	s.terminateAll()
	return s.verify(seed)
}

// startCallers starts callers who each wait for a time between two bounds.
func (s *stopSoak) startCallers(ctx context.Context, seed uint64, count int, minWait, maxWait time.Duration) *sync.WaitGroup {
	var callers sync.WaitGroup
	for i := range count {
		c := &rawCaller{
			soak: s.soak, rng: rand.New(rand.NewPCG(seed, uint64(i))), keepsAlive: i%3 > 0, heedsClose: i%2 > 0, minWait: minWait, maxWait: maxWait,
		}
		s.callers = append(s.callers, c)
		callers.Go(func() { c.run(ctx) })
	}
	return &callers
}

// stopInSeries stops one node after the other until ctx ends, without waiting until the previous ones have ended.
func (s *stopSoak) stopInSeries(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.Int64N(int64(maxSeriesPause))))
		n := s.pickIdle(rng)
		if n == nil {
			continue
		}
		stopRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		s.tasks.Go(func() {
			defer n.setBusy(false)
			s.stops.Add(1)
			s.disrupt(n, stopRNG)
		})
	}
}

// pickIdle returns a node that is not being disrupted and marks it busy; nil if no other idle node would be left.
func (s *stopSoak) pickIdle(rng *rand.Rand) *soakNode {
	idle := slices.DeleteFunc(s.allNodes(), (*soakNode).isBusy)
	if len(idle) < 2 {
		return nil
	}
	n := idle[rng.IntN(len(idle))]
	n.setBusy(true)
	return n
}

func (n *soakNode) isBusy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.busy
}

func (n *soakNode) setBusy(busy bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = busy
}

// disrupt stops a node in one of several ways, and restarts it or starts another one in its place.
func (s *stopSoak) disrupt(n *soakNode, rng *rand.Rand) {
	switch way := rng.IntN(20); {
	case way == 0:
		from := time.Now()
		n.kill()
		n.addSpan(&n.disrupted, from, time.Now().Add(disruptionSlack))
		s.startAndWait(n)
	case way == 1:
		from := time.Now()
		n.freeze(freezeTime)
		n.addSpan(&n.disrupted, from, time.Now().Add(disruptionSlack))
	case way < 6:
		if other, err := s.addNode(stopSettings...); err != nil {
			s.fail("add a node: %v", err)
		} else {
			other.setBusy(true)
			s.startAndWait(other)
			other.setBusy(false)
		}
		s.terminate(n, rng, false)
		s.removeNode(n)
	default:
		if rng.IntN(3) == 0 {
			n.signal(syscall.SIGHUP)
			time.Sleep(time.Duration(rng.Int64N(int64(disruptionSlack))))
		}
		s.terminate(n, rng, false)
		for rng.IntN(3) == 0 {
			if err := n.start(); err != nil {
				s.fail("start %s: %v", n.name, err)
				return
			}
			time.Sleep(time.Duration(rng.Int64N(int64(maxEarlyStop))))
			s.terminate(n, rng, true)
		}
		s.startAndWait(n)
	}
}

// startAndWait starts a node and waits until it is ready.
func (s *stopSoak) startAndWait(n *soakNode) {
	if err := n.start(); err != nil {
		s.fail("start %s: %v", n.name, err)
		return
	}
	if !becomesReady(n) {
		s.fail("%s is not ready: %s", n.name, n.logTail("", 5))
	}
}

// extraSignal is a signal to a node that is already stopping.
type extraSignal struct {
	after time.Duration
	sig   syscall.Signal
}

// terminate stops a node with SIGTERM, sends some more signals while it stops, and checks that it ends within its grace. early
// tells that the node may not have completed its start.
func (s *stopSoak) terminate(n *soakNode, rng *rand.Rand, early bool) {
	var signals []extraSignal
	if rng.IntN(3) == 0 {
		signals = append(signals, extraSignal{time.Duration(rng.Int64N(int64(s.grace / 2))), syscall.SIGTERM})
	}
	if !early && rng.IntN(2) == 0 {
		signals = append(signals, extraSignal{time.Duration(rng.Int64N(int64(s.grace))), syscall.SIGHUP})
	}
	slices.SortFunc(signals, func(a, b extraSignal) int { return int(a.after - b.after) })
	from := time.Now()
	n.signal(syscall.SIGTERM)
	n.addSpan(&n.stops, from, from.Add(s.grace+endSlack)) // corrected when the process has ended
	for _, l := range signals {
		select {
		case <-n.process.ended:
		case <-time.After(time.Until(from.Add(l.after))):
			n.signal(l.sig)
		}
	}
	select {
	case <-n.process.ended:
	case <-time.After(time.Until(from.Add(s.grace + endSlack))):
		s.fail("%s still runs %v after SIGTERM:\n%s", n.name, time.Since(from), n.logTail("", 8))
		n.kill()
	}
	s.recordStop(n, from, early, len(signals) > 0)
}

// recordStop records the duration and the outcome of a stop, and checks the exit status.
func (s *stopSoak) recordStop(n *soakNode, from time.Time, early, signalled bool) {
	took := n.process.endedAt.Sub(from)
	n.mu.Lock()
	for i := range n.stops {
		if n.stops[i].from.Equal(from) {
			n.stops[i].to = n.process.endedAt
		}
	}
	n.mu.Unlock()
	how := describeEnd(n.process)
	if signalEnd := strings.HasPrefix(how, "signal"); how == "failed" || (signalEnd && !early && !signalled) {
		s.fail("%s ended %v after SIGTERM: %v\n%s", n.name, took, n.process.err, n.logTail("", 5))
	}
	if early {
		how += ", soon after its start"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longestStop = max(s.longestStop, took)
	s.processEnds[how]++
}

// describeEnd describes how a process ended.
func describeEnd(p *process) string {
	exit, exited := errors.AsType[*exec.ExitError](p.err)
	switch {
	case p.err == nil:
		return "with status 0"
	case !exited:
		return "failed"
	case exit.ExitCode() == int(vaneyoke.CodeInterrupted):
		return "with requests cut off"
	case exit.ExitCode() < 0:
		return exit.Error()
	default:
		return "failed"
	}
}

// terminateAll stops all nodes after the callers have ended; no request may be cut off.
func (s *stopSoak) terminateAll() {
	var all sync.WaitGroup
	for _, n := range s.allNodes() {
		all.Go(func() { s.terminate(n, rand.New(rand.NewPCG(0, 0)), false) })
	}
	all.Wait()
}

// verify checks the guarantees for each request.
func (s *stopSoak) verify(seed uint64) *verifier {
	v := newVerifier(s.grace, s.engines)
	var all []*attempt
	for _, c := range s.callers {
		all = append(all, c.attempts...)
	}
	for _, a := range all {
		v.verify(a)
	}
	v.countLosses(all)
	s.t.Logf("seed %d: %d stops, longest %v, ends %v; %d requests, outcomes %v; excused without an answer %v; losses logged %v, not logged %v",
		seed, s.stops.Load(), s.longestStop, s.processEnds, len(all), v.outcomes, v.excused, v.loggedLosses, v.unloggedLosses)
	for _, line := range append(s.violations, v.report()...) {
		s.t.Log(line)
	}
	return v
}
