package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

func (s *soak) addEngine(service, zone string) { s.addEngineOf(service, zone, "v1") }

// addEngineOf starts an engine of a software version and lists it.
func (s *soak) addEngineOf(service, zone, version string) *platformtest.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := platformtest.NewEngine(fmt.Sprintf("i-%d", len(s.engines)), service, zone)
	e.Version = version
	s.engines = append(s.engines, e)
	s.live = append(s.live, e)
	s.store.ListEngine(e, false)
	return e
}

func (s *soak) configure() {
	s.version++
	s.store.Configure(s.version, soakHost, soakKey,
		platformtest.Route{Name: "tell", Kind: platformtest.Streaming, Service: "lm", Attempts: 5},
		platformtest.Route{Name: "draft", Kind: platformtest.Streaming, Service: "lm", Attempts: 5, Priority: 2}, // ranks the service's queue
		platformtest.Route{Name: "look", Kind: platformtest.Repeatable, Service: "shop", Attempts: 2},
		platformtest.Route{Name: "buy", Kind: platformtest.Once, Service: "shop", Attempts: 1},
	)
}

// injectFault causes one random fault, and ends it if it would last.
func (s *soak) injectFault(rng *rand.Rand) {
	n := s.randomNode(rng)
	switch rng.IntN(10) {
	case 0:
		s.killAndRestart(n)
	case 1:
		s.stopAndRestart(n)
	case 2:
		n.signal(syscall.SIGHUP)
	case 3:
		n.freeze(2 * faultPause)
	case 4, 5:
		s.replaceEngine(rng, rng.IntN(2) == 0)
	case 6:
		s.randomEngine(rng).Spoil(s.randomEngineFault(rng), s.randomEngineFault(rng))
	case 7:
		s.withoutStore(3*faultPause, func() {})
	case 8:
		s.store.ForgetHistory()
	case 9:
		s.configure()
	}
}

func (s *soak) randomEngine(rng *rand.Rand) *platformtest.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[rng.IntN(len(s.live))]
}

func (s *soak) randomEngineFault(rng *rand.Rand) platformtest.Fault {
	return []platformtest.Fault{
		{Reset: true}, {BreakAt: 1 + rng.IntN(platformtest.Events+1)}, {BreakAt: 5, HalfEvent: true}, {Status: 500}, {Status: 503},
		{Decline: 503}, {OtherID: "other"}, {Unsigned: true}, {SilentAt: 3}, {Delay: 50 * time.Millisecond},
	}[rng.IntN(10)]
}

// replaceEngine starts a new engine and ends a random one. If announced, that one is listed as leaving first.
func (s *soak) replaceEngine(rng *rand.Rand, announced bool) {
	e := s.randomEngine(rng)
	s.addEngine(e.Service, e.Zone)
	s.endEngine(e, announced)
}

// endEngine ends an engine. If announced, it is listed as leaving first.
func (s *soak) endEngine(e *platformtest.Engine, announced bool) {
	if announced {
		s.store.ListEngine(e, true)
		time.Sleep(faultPause)
	}
	s.mu.Lock()
	for i := range s.live {
		if s.live[i] == e {
			s.live = append(s.live[:i], s.live[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	e.Close()
	time.Sleep(faultPause)
	s.store.UnlistEngine(e)
}
