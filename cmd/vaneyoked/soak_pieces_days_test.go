package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/cutline"
	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	drainTime    = 2 * time.Second        // for which an engine that leaves serves on
	engineFaults = 500 * time.Millisecond // mean pause between two faults of engines
	nodeFaults   = 2 * time.Second        // mean pause between two kills of single nodes
	minDowntime  = 5 * time.Millisecond   // shortest downtime of an engine, within which its connections are closed
)

// playReleases is a day of two releases one after the other, on which engines and nodes crash, connections are reset, and all nodes are killed once.
func (s *buildSoak) playReleases(ctx context.Context, seed uint64, _ *sync.WaitGroup) {
	var work sync.WaitGroup
	defer work.Wait()
	part := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1<<33+n)) }
	work.Go(func() { s.releaseTwice(ctx, part(1)) })
	work.Go(func() { s.failEngines(ctx, part(2)) })
	work.Go(func() { s.resetTwice(ctx) })
	rng := part(3)
	killAll := time.Now().Add(time.Duration((0.2 + 0.5*rng.Float64()) * float64(s.length)))
	for sleepContext(ctx, randomDuration(rng, 2*nodeFaults)) {
		if !killAll.IsZero() && time.Now().After(killAll) {
			killAll = time.Time{}
			s.killAll(func() {})
			continue
		}
		s.killAndRestart(s.randomNode(rng))
	}
}

// releaseTwice replaces all engines by ones of the next version, and these by ones of the one after.
func (s *buildSoak) releaseTwice(ctx context.Context, rng *rand.Rand) {
	for _, version := range []string{"v2", "v3"} {
		if !sleepContext(ctx, s.length/8) {
			return
		}
		s.release(ctx, rng, version, s.length/4)
	}
}

// release replaces all engines for streams by ones of another version, spread over a time.
func (s *buildSoak) release(ctx context.Context, rng *rand.Rand, version string, spread time.Duration) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	models := s.models()
	rng.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	for _, e := range models {
		s.addMarked(e.Zone, version)
		isAnnounced := rng.IntN(3) > 0
		leaving.Go(func() { s.retire(ctx, e, isAnnounced) })
		if !sleepContext(ctx, spread/time.Duration(len(models))) {
			return
		}
	}
}

// models returns the live engines for streams.
func (s *buildSoak) models() []*platformtest.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.live), func(e *platformtest.Engine) bool { return e.Service != "lm" })
}

// retire ends an engine, after the time for which it serves on if that is announced.
func (s *buildSoak) retire(ctx context.Context, e *platformtest.Engine, isAnnounced bool) {
	s.engineMu.Lock()
	s.leaving[e] = true
	s.engineMu.Unlock()
	if isAnnounced {
		s.store.ListEngine(e, true)
	} else {
		s.store.UnlistEngine(e)
	}
	sleepContext(ctx, min(drainTime, s.length/8))
	s.endLeaving(e)
}

// endLeaving ends an engine that is leaving.
func (s *buildSoak) endLeaving(e *platformtest.Engine) {
	s.engineMu.Lock()
	defer s.engineMu.Unlock()
	s.mu.Lock()
	s.live = slices.DeleteFunc(slices.Clone(s.live), func(other *platformtest.Engine) bool { return other == e })
	s.mu.Unlock()
	e.Close()
	s.store.UnlistEngine(e)
}

// failEngines crashes engines and resets their connections until ctx ends.
func (s *buildSoak) failEngines(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, randomDuration(rng, 2*engineFaults)) {
		models := s.models()
		e := models[rng.IntN(len(models))]
		if rng.IntN(3) == 0 {
			e.ResetConnections()
			continue
		}
		s.restart(ctx, e, "", engineDowntime, 0)
	}
}

// restart crashes an engine and restarts it under its id after a downtime, with another version unless that is "", which is listed after a delay.
// An engine that is leaving ends.
func (s *buildSoak) restart(ctx context.Context, e *platformtest.Engine, version string, downtime, delay time.Duration) {
	s.engineMu.Lock()
	isLeaving := s.leaving[e]
	if !isLeaving {
		e.Crash()
		time.Sleep(max(minDowntime, downtime))
		restart := e.Restart
		if version != "" {
			restart = func() bool { return e.RestartAs(version) }
		}
		for start := time.Now(); !restart(); time.Sleep(time.Millisecond) {
			must.Less(s.t, maxWait, time.Since(start))
		}
	}
	s.engineMu.Unlock()
	if isLeaving {
		s.endLeaving(e)
		return
	}
	sleepContext(ctx, delay)
	s.engineMu.Lock()
	defer s.engineMu.Unlock()
	if !s.leaving[e] {
		s.store.ListEngine(e, false)
	}
}

// resetTwice resets all connections of engines and callers two times.
func (s *buildSoak) resetTwice(ctx context.Context) {
	for range 2 {
		if !sleepContext(ctx, s.length*3/10) {
			return
		}
		for _, e := range s.models() {
			e.ResetConnections()
		}
		s.resetCallers()
	}
}

// killAll kills all nodes at the same moment, and starts them again after meanwhile has returned.
func (s *buildSoak) killAll(meanwhile func()) {
	for _, n := range s.allNodes() {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range s.allNodes() {
		<-n.process.ended
	}
	meanwhile()
	for _, n := range s.allNodes() {
		must.NoError(s.t, n.start())
	}
}

// goWrong makes some runs go on at the wrong event, and others end an answer early that nothing frames.
func goWrong(fault *platformtest.Fault, run int) {
	switch run % 12 {
	case 2:
		fault.ResumesAnew = true
	case 5:
		fault.ResumesShifted = -1
	case 8:
		fault.ResumesShifted = 1
	case 11:
		fault.Unframed, fault.EndAt = true, 2+run/12%platformtest.Events
	}
}

// playFaults is a day of one version, on which engines and nodes crash, connections are reset, and some engines go on wrongly or end answers early.
func (s *buildSoak) playFaults(ctx context.Context, seed uint64, _ *sync.WaitGroup) {
	s.areWrong.Store(true)
	var work sync.WaitGroup
	defer work.Wait()
	part := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1<<37+n)) }
	work.Go(func() { s.failEngines(ctx, part(1)) })
	work.Go(func() { s.resetTwice(ctx) })
	rng := part(2)
	for sleepContext(ctx, randomDuration(rng, 2*nodeFaults)) {
		s.killAndRestart(s.randomNode(rng))
	}
}

// playBuilds is a day of two releases before nodes of two builds, half and half at first. Callers come back to a node of the other build. Then all nodes are
// upgraded, and in the end all go back, one after the other. Nodes of the build under test are cut from engines, so that those of the other one help out.
func (s *buildSoak) playBuilds(ctx context.Context, seed uint64, _ *sync.WaitGroup) {
	var work sync.WaitGroup
	defer work.Wait()
	part := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1<<35+n)) }
	work.Go(func() { s.releaseTwice(ctx, part(1)) })
	work.Go(func() { s.failEngines(ctx, part(2)) })
	work.Go(func() { s.cutNodes(ctx, part(4)) })
	rng := part(3)
	sleepContext(ctx, s.length*4/10)
	s.replaceNodes(ctx, rng, s.present)
	sleepContext(ctx, s.length/20)
	s.replaceNodes(ctx, rng, s.before)
}

// replaceNodes replaces all nodes of another build by ones of this one, one after the other.
func (s *buildSoak) replaceNodes(ctx context.Context, rng *rand.Rand, next *build) {
	nodes := s.allNodes()
	rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, n := range nodes {
		if ctx.Err() != nil || n.currentIncarnation().build == next {
			continue
		}
		n.signal(syscall.SIGTERM)
		<-n.process.ended
		must.NoError(s.t, s.setBuild(n, next))
		must.NoError(s.t, n.start())
		waitReady(s.t, n.readyURL())
	}
}

// cutNodes cuts nodes from all engines for streams but one, for a while each. Only the build under test can be cut.
func (s *buildSoak) cutNodes(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, randomDuration(rng, maxCutPause)) {
		n, models := s.randomNode(rng), s.models()
		s.cut(n, cutline.Mode(rng.IntN(3)), models[1:])
		sleepContext(ctx, randomDuration(rng, maxCutTime))
		s.cut(n, 0, nil)
	}
}
