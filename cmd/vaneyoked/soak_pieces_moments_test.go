package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	momentVersions = 3
	momentPause    = 1500 * time.Millisecond // shortest pause between two moments
	burst          = 16                      // additional streams that begin at about the same moment
	burstSpread    = 10 * time.Millisecond
	storeAbsence   = 2 * time.Second // longest time for which the store is away at a moment
)

// moment is a time at which little is known of a stream.
type moment func(s *buildSoak, ctx context.Context, rng *rand.Rand, version string, callers *sync.WaitGroup)

// playMoments is a day on which all nodes are killed at the moments at which the least is known of a stream: as it begins, as its version comes or goes, or while
// the store is away. Each start of an engine has a new id.
func (s *buildSoak) playMoments(ctx context.Context, seed uint64, callers *sync.WaitGroup) {
	s.playInTurn(ctx, rand.New(rand.NewPCG(seed, 1<<34)), callers,
		(*buildSoak).killAsStreamsBegin, (*buildSoak).killWithoutStore, (*buildSoak).killBesideRelease, (*buildSoak).killAsVersionsGo)
}

// playInTurn plays moments in a random order, again and again, until ctx ends.
func (s *buildSoak) playInTurn(ctx context.Context, rng *rand.Rand, callers *sync.WaitGroup, moments ...moment) {
	rng.Shuffle(len(moments), func(i, j int) { moments[i], moments[j] = moments[j], moments[i] })
	for i := 0; sleepContext(ctx, min(s.length/5, momentPause+randomDuration(rng, 2*momentPause))); i++ {
		moments[i%len(moments)](s, ctx, rng, fmt.Sprint("v", 1+rng.IntN(momentVersions)), callers)
	}
}

// replaceSome has engines of a version take the place of some others, which end at once.
func (s *buildSoak) replaceSome(rng *rand.Rand, version string, count int) {
	models := s.models()
	rng.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	for _, e := range models[:min(count, len(models))] {
		s.addMarked(e.Zone, version)
		s.endLeaving(e)
	}
}

// beginMany has additional callers begin streams within some milliseconds, and returns within milliseconds of their first pieces.
func (s *buildSoak) beginMany(ctx context.Context, rng *rand.Rand, callers *sync.WaitGroup) {
	for range burst {
		callerRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
		callers.Go(func() {
			if sleepContext(ctx, randomDuration(callerRNG, burstSpread)) {
				s.take(ctx, callerRNG)
			}
		})
	}
	time.Sleep(pieceInterval + randomDuration(rng, 3*burstSpread))
}

// killAsStreamsBegin kills all nodes as many streams get their first pieces, while two versions serve; some engines may have ended as the nodes start again.
func (s *buildSoak) killAsStreamsBegin(ctx context.Context, rng *rand.Rand, version string, callers *sync.WaitGroup) {
	s.replaceSome(rng, version, len(s.models())/2)
	sleepContext(ctx, randomDuration(rng, momentPause))
	s.beginMany(ctx, rng, callers)
	s.killAll(func() {
		if rng.IntN(2) == 0 {
			s.replaceSome(rng, fmt.Sprint("v", 1+rng.IntN(momentVersions)), 1+rng.IntN(3))
		}
	})
}

// killWithoutStore kills all nodes while the store is away and engines of one version take the place of others.
func (s *buildSoak) killWithoutStore(ctx context.Context, rng *rand.Rand, version string, _ *sync.WaitGroup) {
	s.store.Refuse(http.StatusServiceUnavailable)
	sleepContext(ctx, randomDuration(rng, storeAbsence))
	s.replaceSome(rng, version, 1+rng.IntN(len(s.models())))
	sleepContext(ctx, randomDuration(rng, storeAbsence))
	s.killAll(func() {})
	sleepContext(ctx, randomDuration(rng, storeAbsence))
	s.store.Refuse(0)
}

// killBesideRelease kills all nodes, at times twice, while all engines are replaced by ones of a version.
func (s *buildSoak) killBesideRelease(ctx context.Context, rng *rand.Rand, version string, _ *sync.WaitGroup) {
	var release sync.WaitGroup
	defer release.Wait()
	releaseRNG := rand.New(rand.NewPCG(rng.Uint64(), 3))
	release.Go(func() { s.release(ctx, releaseRNG, version, time.Second) })
	sleepContext(ctx, randomDuration(rng, drainTime))
	s.killAll(func() {})
	if rng.IntN(2) == 0 {
		sleepContext(ctx, randomDuration(rng, momentPause))
		s.killAll(func() {})
	}
}

// killAsVersionsGo kills all nodes, and ends all engines of all versions but one before they start again.
func (s *buildSoak) killAsVersionsGo(ctx context.Context, rng *rand.Rand, stays string, _ *sync.WaitGroup) {
	gone := slices.DeleteFunc(s.models(), func(e *platformtest.Engine) bool { return e.Version == stays })
	if len(gone) == len(s.models()) {
		s.addMarked("a", stays)
		s.addMarked("b", stays)
		sleepContext(ctx, randomDuration(rng, 2*momentPause))
	}
	s.killAll(func() { s.end(gone) })
	for _, e := range gone {
		s.addMarked(e.Zone, stays)
	}
}

func (s *buildSoak) end(engines []*platformtest.Engine) {
	for _, e := range engines {
		s.endLeaving(e)
	}
}
