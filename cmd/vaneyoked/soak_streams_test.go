package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	streamNodes   = 6
	streamCallers = 24
	streamsLast   = 12 * time.Second
)

// streamSoak is a soak whose callers judge streams piece by piece.
type streamSoak struct {
	*soak
	grace           time.Duration
	relay           *datagramRelay
	routes          changingRoutes
	tasks           sync.WaitGroup
	randomWait      atomic.Int64
	areEnginesSound atomic.Bool
	changes         streamChanges

	picking     sync.Mutex
	busyEngines map[*platformtest.Engine]bool

	results     sync.Mutex
	broken      []streamViolation
	outcomes    map[string]int // tries by status
	refused     map[string]int // tries by the text of the refusal
	ended       map[string]int // streams by how they ended
	disruptions map[string]int
	wentOn      int // tries that brought events after earlier ones
	sharedMixed int // tries under an id that two callers share, which brought events of another version than earlier ones
}

// TestSoakStreams has real processes serve streams while nodes are killed, stopped, frozen for longer than their leases, and sent SIGHUP, in overlapping series
// and all at once; engines break off, go on at the wrong event, send answers that nothing frames, restart under their ids, are replaced by ones of other versions
// and fall silent; the store is unavailable, slow and loses replies; the configuration changes; nodes are cut from engines; and datagrams between nodes are lost,
// repeated and late. Callers leave and come back, have two tries of a stream at once, share an attempt id, and use a connection until its process is gone. No
// stream may lose, repeat or reorder a piece, hold pieces of two versions or of another request, or be closed as whole before its last piece.
func TestSoakStreams(t *testing.T) { soakStreams(t, streamChanges{}) }

// TestSoakStreamsOfEnginesThatRestartAsOthers is like TestSoakStreams, but engines also restart under their ids with another version.
func TestSoakStreamsOfEnginesThatRestartAsOthers(t *testing.T) {
	soakStreams(t, streamChanges{restartAsOthers: true})
}

// TestSoakStreamsOfRoutesThatMove is like TestSoakStreams, but the route of streams also moves from one service to another.
func TestSoakStreamsOfRoutesThatMove(t *testing.T) { soakStreams(t, streamChanges{moveRoutes: true}) }

// streamChanges are changes that only some soaks of streams make.
type streamChanges struct {
	restartAsOthers bool // engines restart under their ids with another version
	moveRoutes      bool // the route of streams leads to one service or the other at times, and not to both at all times
}

func soakStreams(t *testing.T, changes streamChanges) {
	seed := *soakSeed
	relay := startDatagramRelay(t, seed)
	s := &streamSoak{
		soak: newSoak(t, orDefault(*soakNodes, streamNodes), stopSettings...), grace: stopGrace, relay: relay, changes: changes,
		busyEngines: map[*platformtest.Engine]bool{}, outcomes: map[string]int{}, refused: map[string]int{}, ended: map[string]int{}, disruptions: map[string]int{},
	}
	rng := rand.New(rand.NewPCG(seed, 9<<32))
	s.addVersions(rng)
	s.awaitRoutes()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	for i := range orDefault(*soakCallers, streamCallers) {
		c := &streamCaller{soak: s, rng: rand.New(rand.NewPCG(seed, uint64(i))), clings: i%2 == 0}
		callers.Go(func() { c.run(ctx) })
	}
	s.disruptAll(ctx, seed)
	s.waitServed()
	cancel()
	callers.Wait()
	s.report(seed)
}

// addVersions adds engines of further versions and services, and makes all of them mark their events.
func (s *streamSoak) addVersions(rng *rand.Rand) {
	for _, zone := range []string{"a", "b"} {
		for _, service := range []string{"lm", "lm-next", "lm-next"} {
			s.addEngineOf(service, zone, fmt.Sprint(service, "-v", 1+rng.IntN(streamVersions)))
		}
		s.addEngine("shop-next", zone)
	}
	for _, e := range s.live {
		s.prepare(e, rng)
	}
	s.routes.reset()
	s.changeRoute(func() {})
}

// awaitRoutes waits until the configuration is in force at all nodes, so that the route of streams does not move while these run.
func (s *streamSoak) awaitRoutes() {
	lacks := func(n *soakNode) bool { return !n.hasActiveVersion(s.version) }
	for began := time.Now(); slices.ContainsFunc(s.allNodes(), lacks); time.Sleep(resumePause) {
		must.Less(s.t, maxWait, time.Since(began))
	}
}

// disruptAll runs all series of disruptions beside each other for a while, and ends them all.
func (s *streamSoak) disruptAll(ctx context.Context, seed uint64) {
	ctx, stop := context.WithTimeout(ctx, orDefault(*soakDuration, streamsLast))
	defer stop()
	series := []func(context.Context, *rand.Rand){s.disruptStore, s.changeRoutes, s.disruptEngines, s.cutNodes, s.relay.disrupt}
	for range 1 + len(s.nodes)/(2*streamNodes) {
		series = append(series, s.disruptNodes, s.disruptEngines)
	}
	for i, disrupt := range series {
		s.tasks.Go(func() { disrupt(ctx, rand.New(rand.NewPCG(seed, 10<<32+uint64(i)))) })
	}
	s.tasks.Wait()
	s.areEnginesSound.Store(true)
}
