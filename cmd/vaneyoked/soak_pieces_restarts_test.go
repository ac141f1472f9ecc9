package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const quickRestart = 90 * time.Millisecond // longest downtime of an engine that restarts at once

// playRestarts is a day on which engines restart under their ids with another version, within less than a tenth of a second, at the moments at which the least is
// known of a stream.
func (s *buildSoak) playRestarts(ctx context.Context, seed uint64, callers *sync.WaitGroup) {
	s.playInTurn(ctx, rand.New(rand.NewPCG(seed, 1<<36)), callers, (*buildSoak).restartAsStreamsBegin, (*buildSoak).killAndRestartSome, (*buildSoak).killAfterUnknownVersion)
}

// restartSome restarts up to half of the engines with a version, one after the other.
func (s *buildSoak) restartSome(ctx context.Context, rng *rand.Rand, version string) {
	models := s.models()
	rng.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	for _, e := range models[:1+rng.IntN(len(models)/2)] {
		s.restart(ctx, e, version, randomDuration(rng, quickRestart), randomDuration(rng, listingDelay/4))
	}
}

// restartAll restarts all engines with a version, which is listed at once.
func (s *buildSoak) restartAll(ctx context.Context, version string) {
	for _, e := range s.models() {
		s.restart(ctx, e, version, 0, 0)
	}
}

// restartAsStreamsBegin restarts engines together, as many streams get their first pieces; some must not be asked for reports then, since they have declared a
// limit or pushed back.
func (s *buildSoak) restartAsStreamsBegin(ctx context.Context, rng *rand.Rand, version string, callers *sync.WaitGroup) {
	models := s.models()
	rng.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	restarting := models[:1+rng.IntN(len(models)/2)]
	for i, e := range restarting {
		if i%3 == 0 {
			e.DeclareLimit(20)
		}
	}
	s.beginMany(ctx, rng, callers)
	var restarts sync.WaitGroup
	for i, e := range restarting {
		if i%3 == 1 {
			e.PushBack("0.5")
			time.Sleep(burstSpread)
		}
		downtime, delay := randomDuration(rng, quickRestart), randomDuration(rng, listingDelay)
		restarts.Go(func() { s.restart(ctx, e, version, downtime, delay) })
	}
	restarts.Wait()
	for _, e := range restarting {
		e.DeclareLimit(0)
	}
}

// killAndRestartSome kills all nodes as many streams get their first pieces, while engines restart.
func (s *buildSoak) killAndRestartSome(ctx context.Context, rng *rand.Rand, version string, callers *sync.WaitGroup) {
	s.beginMany(ctx, rng, callers)
	var restarts sync.WaitGroup
	defer restarts.Wait()
	restartRNG := rand.New(rand.NewPCG(rng.Uint64(), 2))
	restarts.Go(func() { s.restartSome(ctx, restartRNG, version) })
	s.killAll(func() { time.Sleep(randomDuration(rng, quickRestart)) })
}

// killAfterUnknownVersion has all engines restart with a version that no node can read from the store, kills all nodes, and has all engines restart with a third
// one before the store answers again. At times the store has just listed the version.
func (s *buildSoak) killAfterUnknownVersion(ctx context.Context, rng *rand.Rand, version string, _ *sync.WaitGroup) {
	unknown := fmt.Sprint("v", s.ids.Add(1)+momentVersions)
	if rng.IntN(2) == 0 {
		s.restartAll(ctx, unknown)
		time.Sleep(randomDuration(rng, listingDelay))
		s.store.Refuse(http.StatusServiceUnavailable)
	} else {
		s.store.Refuse(http.StatusServiceUnavailable)
		s.restartAll(ctx, unknown)
	}
	sleepContext(ctx, storeAbsence/2+randomDuration(rng, storeAbsence/2))
	s.killAll(func() { s.restartAll(ctx, version) })
	sleepContext(ctx, randomDuration(rng, storeAbsence/2))
	s.store.Refuse(0)
}

// playUnrecorded is a day on which the store refuses writes, again and again, as a release has replaced all engines, and all nodes are killed then.
func (s *buildSoak) playUnrecorded(ctx context.Context, seed uint64, callers *sync.WaitGroup) {
	s.playInTurn(ctx, rand.New(rand.NewPCG(seed, 1<<38)), callers, (*buildSoak).killAfterUnrecordedVersion)
}

// killAfterUnrecordedVersion has all engines be of a version that the nodes know and of which the store takes no record, and kills all nodes. As these start again,
// all engines are of the first version, and the store takes writes a little later.
func (s *buildSoak) killAfterUnrecordedVersion(ctx context.Context, rng *rand.Rand, _ string, callers *sync.WaitGroup) {
	s.store.RefuseWrites(http.StatusServiceUnavailable)
	s.replaceSome(rng, fmt.Sprint("v", s.ids.Add(1)+momentVersions), len(s.models()))
	sleepContext(ctx, randomDuration(rng, storeAbsence))
	s.beginMany(ctx, rng, callers)
	sleepContext(ctx, randomDuration(rng, momentPause))
	s.killAll(func() { s.replaceSome(rng, "v1", len(s.models())) })
	sleepContext(ctx, randomDuration(rng, storeAbsence))
	s.store.RefuseWrites(0)
}
