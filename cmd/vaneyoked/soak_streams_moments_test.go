package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	quickRestart  = 90 * time.Millisecond // longest downtime of an engine that restarts at once
	burst         = 16                    // additional streams that begin at about the same moment
	burstSpread   = 10 * time.Millisecond
	maxMomentWait = 3 * time.Second // between two moments
	unknownTime   = time.Second     // for which engines serve of whose version the store knows nothing
)

// playMoments is a day of the moments at which little is known of a stream: it begins as all nodes are killed, its engine restarts under its id with
// another version at once, or the store is away.
func (s *streamSoak) playMoments(ctx context.Context, seed uint64, callers *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(seed, 1<<34))
	order := rng.Perm(6)
	for moment := 0; sleepContext(ctx, min(s.length/5, maxMomentWait/2+time.Duration(rng.Int64N(int64(maxMomentWait))))); moment++ {
		version := fmt.Sprint("v", 1+moment%3)
		switch order[moment%len(order)] {
		case 0:
			s.restartSome(ctx, rng, version, engineDowntime)
			s.beginAndKill(ctx, rng, callers)
		case 1:
			s.beginAndRestart(ctx, rng, version, callers)
		case 2:
			s.killWithoutStore(ctx, rng, version)
		case 3:
			s.killBesideRelease(ctx, rng, version)
		case 4:
			s.killAsVersionGoes(ctx, rng)
		case 5:
			s.killAfterUnknownVersion(ctx, rng, moment)
		}
	}
}

// restartSome restarts up to half of the engines under their ids with a version, after a downtime that is at most the given one.
func (s *streamSoak) restartSome(ctx context.Context, rng *rand.Rand, version string, downtime time.Duration) {
	models := s.models()
	rng.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	for _, e := range models[:1+rng.IntN(len(models)/2)] {
		s.restart(ctx, e, version, time.Duration(rng.Int64N(int64(downtime))), time.Duration(rng.Int64N(int64(listingDelay)))/4)
	}
}

// beginMany has additional callers begin streams within some milliseconds.
func (s *streamSoak) beginMany(ctx context.Context, rng *rand.Rand, callers *sync.WaitGroup) {
	for range burst {
		callerRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
		callers.Go(func() {
			if sleepContext(ctx, time.Duration(callerRNG.Int64N(int64(burstSpread)))) {
				s.take(ctx, callerRNG)
			}
		})
	}
}

// beginAndKill kills all nodes within milliseconds of the first events of many streams; at times an engine restarts at once with another version meanwhile.
func (s *streamSoak) beginAndKill(ctx context.Context, rng *rand.Rand, callers *sync.WaitGroup) {
	s.beginMany(ctx, rng, callers)
	time.Sleep(pieceInterval + time.Duration(rng.Int64N(int64(3*burstSpread))))
	var restarts sync.WaitGroup
	defer restarts.Wait()
	if rng.IntN(2) == 0 {
		restartRNG := rand.New(rand.NewPCG(rng.Uint64(), 2))
		restarts.Go(func() { s.restartSome(ctx, restartRNG, fmt.Sprint("v", 1+restartRNG.IntN(3)), quickRestart) })
	}
	s.killAll(func() { time.Sleep(time.Duration(rng.Int64N(int64(quickRestart)))) })
}

// beginAndRestart restarts engines at once with another version, within milliseconds of the first events of many streams; some must not be asked for reports
// then, since they have declared a limit or pushed back.
func (s *streamSoak) beginAndRestart(ctx context.Context, rng *rand.Rand, version string, callers *sync.WaitGroup) {
	models := s.models()
	rng.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	restarting := models[:1+rng.IntN(len(models)/2)]
	for i, e := range restarting {
		if i%3 == 0 {
			e.DeclareLimit(20)
		}
	}
	s.beginMany(ctx, rng, callers)
	time.Sleep(pieceInterval + time.Duration(rng.Int64N(int64(3*burstSpread))))
	var restarts sync.WaitGroup
	for i, e := range restarting {
		if i%3 == 1 {
			e.PushBack("0.5")
			time.Sleep(burstSpread)
		}
		downtime, delay := time.Duration(rng.Int64N(int64(quickRestart))), time.Duration(rng.Int64N(int64(listingDelay)))
		restarts.Go(func() { s.restart(ctx, e, version, downtime, delay) })
	}
	restarts.Wait()
	for _, e := range restarting {
		e.DeclareLimit(0)
	}
}

// killWithoutStore kills all nodes while the store is away and engines change their version.
func (s *streamSoak) killWithoutStore(ctx context.Context, rng *rand.Rand, version string) {
	s.store.Refuse(http.StatusServiceUnavailable)
	sleepContext(ctx, time.Duration(rng.Int64N(int64(time.Second))))
	s.restartSome(ctx, rng, version, quickRestart)
	sleepContext(ctx, time.Duration(rng.Int64N(int64(time.Second))))
	s.killAll(func() {})
	sleepContext(ctx, time.Duration(rng.Int64N(int64(time.Second))))
	s.store.Refuse(0)
}

// killBesideRelease kills all nodes, at times twice, while one engine comes and all of another version go.
func (s *streamSoak) killBesideRelease(ctx context.Context, rng *rand.Rand, version string) {
	var release sync.WaitGroup
	defer release.Wait()
	releaseRNG := rand.New(rand.NewPCG(rng.Uint64(), 3))
	release.Go(func() { s.release(ctx, releaseRNG, version, time.Second) })
	sleepContext(ctx, time.Duration(rng.Int64N(int64(2*time.Second))))
	s.killAll(func() {})
	if rng.IntN(2) == 0 {
		sleepContext(ctx, time.Duration(rng.Int64N(int64(3*time.Second/2))))
		s.killAll(func() {})
	}
}

// killAsVersionGoes kills all nodes, and ends all engines of all versions but one until they start again.
func (s *streamSoak) killAsVersionGoes(ctx context.Context, rng *rand.Rand) {
	models := s.models()
	stays := models[rng.IntN(len(models))].Version
	if rng.IntN(2) == 0 {
		stays = fmt.Sprint("v", 1+rng.IntN(3))
	}
	var gone []*platformtest.Engine
	for _, e := range models {
		if e.Version != stays {
			gone = append(gone, e)
		}
	}
	if len(gone) == len(models) {
		s.addMarked("a", stays)
		s.addMarked("b", stays)
		sleepContext(ctx, time.Duration(rng.Int64N(int64(maxMomentWait))))
	}
	s.killAll(func() {
		for _, e := range gone {
			s.endLeaving(e)
		}
	})
	for _, e := range gone {
		s.addMarked(e.Zone, stays)
	}
}

// killAfterUnknownVersion has all engines serve another version of which the store takes no record, kills all nodes, and has all engines restart with a third one
// before the store answers again. In some of these moments the store has just listed the version.
func (s *streamSoak) killAfterUnknownVersion(ctx context.Context, rng *rand.Rand, moment int) {
	if rng.IntN(2) == 0 {
		s.restartAll(ctx, fmt.Sprint("v", 10+moment))
		time.Sleep(time.Duration(rng.Int64N(int64(listingDelay))))
		s.store.Refuse(http.StatusServiceUnavailable)
	} else {
		s.store.Refuse(http.StatusServiceUnavailable)
		s.restartAll(ctx, fmt.Sprint("v", 10+moment))
	}
	sleepContext(ctx, unknownTime+time.Duration(rng.Int64N(int64(unknownTime))))
	s.killAll(func() { s.restartAll(ctx, fmt.Sprint("v", 1+rng.IntN(3))) })
	sleepContext(ctx, time.Duration(rng.Int64N(int64(unknownTime))))
	s.store.Refuse(0)
}

// restartAll restarts all engines for streams at once with a version, which is listed.
func (s *streamSoak) restartAll(ctx context.Context, version string) {
	for _, e := range s.models() {
		s.restart(ctx, e, version, 0, 0)
	}
}
