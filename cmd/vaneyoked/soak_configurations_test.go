package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	configNodes      = 4
	configCallers    = 48
	configsLast      = 20 * time.Second
	configGrace      = 8 * time.Second // as deployed
	minConfigWait    = 15 * time.Second
	maxConfigWait    = 22 * time.Second
	configEventPause = 200 * time.Millisecond // between two events of a stream
	deployedNodes    = 87                     // that share the retries of a service
	deployedRetries  = 150                    // of all of them together, beyond those that requests earn
	maxStopPause     = 2 * time.Second
	maxHangupPause   = 3 * time.Second
	maxReplacePause  = 4 * time.Second
	minSilence       = 800 * time.Millisecond
	maxSilence       = 1500 * time.Millisecond
	minSpeech        = 500 * time.Millisecond // between two silences
	maxSpeech        = 1500 * time.Millisecond
)

// configSoak is a soak without unplanned disruptions: the configuration changes while nodes stop and get SIGHUP, and engines fall silent and are replaced.
type configSoak struct {
	*stopSoak
	routes   changingRoutes
	silences int
	hangups  int
	replaced int
}

// configSeeds are the seeds that CI plays.
var configSeeds = []uint64{1, 2}

// Guards against answers that end midway, and requests that get none, beside changes of the configuration, stops, SIGHUP, replaced engines, and sound
// engines that are silent for about a second. The nodes have the retries of a node in a fleet of 87.
func TestSoakConfigurations(t *testing.T) {
	seeds := configSeeds
	if !slices.Contains(seeds, *soakSeed) {
		seeds = []uint64{*soakSeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newConfigSoak(t)
			v := s.run(seed)
			must.SliceEmpty(t, s.violations, must.Sprint("see the violations logged above"))
			must.MapEmpty(t, v.violationCounts(), must.Sprint("see the timelines logged above"))
		})
	}
}

func newConfigSoak(t *testing.T) *configSoak {
	nodes := orDefault(*soakNodes, configNodes)
	burst := fmt.Sprintf("fleet_burst = %.4f\n", float64(deployedRetries*nodes)/deployedNodes)
	s := &configSoak{stopSoak: &stopSoak{
		soak: newSoak(t, nodes, "[gateway]\n", "[gateway]\nlame = 300ms\n", fmt.Sprintf("fleet_burst = %d\n", deployedRetries), burst), grace: configGrace, processEnds: map[string]int{},
	}}
	for _, zone := range []string{"a", "b"} {
		for _, service := range []string{"lm-next", "lm-next", "shop-next"} {
			s.addEngine(service, zone)
		}
	}
	for _, e := range s.live {
		makeSound(e)
	}
	s.routes.reset()
	s.applyRoutes()
	return s
}

// makeSound gives an engine the pace of long answers, and all replicas.
func makeSound(e *platformtest.Engine) {
	e.HoldAllReplicas()
	e.SpoilAll(platformtest.Fault{Delay: baseDelay, Pause: configEventPause})
}

// run changes the configuration beside all other planned changes, and verifies the outcomes of all requests.
func (s *configSoak) run(seed uint64) *verifier {
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	callers := s.startCallers(ctx, seed, orDefault(*soakCallers, configCallers), minConfigWait, maxConfigWait)
	changing, stop := context.WithTimeout(ctx, orDefault(*soakDuration, configsLast))
	defer stop()
	for i, change := range []func(context.Context, *rand.Rand){s.changeRoutes, s.silenceEngines, s.stopNodes, s.hangUpNodes, s.replaceEngines} {
		s.tasks.Go(func() { change(changing, rand.New(rand.NewPCG(seed, 1<<35+uint64(i)))) })
	}
	s.tasks.Wait()
	s.waitServed()
	cancel()
	callers.Wait()
	s.terminateAll()
	return s.verify(seed)
}

// stopNodes stops nodes and starts them again, one after the other, until ctx ends.
func (s *configSoak) stopNodes(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, time.Duration(rng.Int64N(int64(maxStopPause)))) {
		stopRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		if n := s.pickIdle(rng); n != nil {
			s.stops.Add(1)
			s.terminate(n, stopRNG, false)
			s.startAndWait(n)
			n.setBusy(false)
		}
	}
}

// hangUpNodes sends SIGHUP to nodes until ctx ends.
func (s *configSoak) hangUpNodes(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, time.Duration(rng.Int64N(int64(maxHangupPause)))) {
		if n := s.pickIdle(rng); n != nil {
			n.signal(syscall.SIGHUP)
			n.setBusy(false)
			s.hangups++
		}
	}
}

// silenceEngines has sound engines fall silent and go on until ctx ends: those of a service, those of a data centre, a single one, or all; their load reports
// and health checks as well, or not.
func (s *configSoak) silenceEngines(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, minSpeech+time.Duration(rng.Int64N(int64(maxSpeech-minSpeech)))) {
		engine := s.randomEngine(rng)
		var isSilent func(e *platformtest.Engine) bool
		switch rng.IntN(5) {
		case 0, 1:
			isSilent = func(e *platformtest.Engine) bool { return e.Service == engine.Service }
		case 2:
			isSilent = func(e *platformtest.Engine) bool { return e.Zone == engine.Zone }
		case 3:
			isSilent = func(e *platformtest.Engine) bool { return e == engine }
		case 4:
			isSilent = func(*platformtest.Engine) bool { return true }
		}
		isWhole := rng.IntN(3) > 0
		s.silence(minSilence+time.Duration(rng.Int64N(int64(maxSilence-minSilence))), isWhole, isSilent)
	}
}

// silence has some engines fall silent for d.
func (s *configSoak) silence(d time.Duration, isWhole bool, isSilent func(e *platformtest.Engine) bool) {
	silent := s.liveEngines(isSilent)
	for _, e := range silent {
		e.FallSilent(isWhole)
	}
	time.Sleep(d)
	for _, e := range silent {
		e.GoOn()
	}
	s.silences++
}

func (s *configSoak) liveEngines(isChosen func(e *platformtest.Engine) bool) (chosen []*platformtest.Engine) {
	s.soak.mu.Lock()
	defer s.soak.mu.Unlock()
	for _, e := range s.live {
		if isChosen(e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// replaceEngines replaces engines as planned until ctx ends: another one is listed, the old one is announced to leave and ends once it has no run.
func (s *configSoak) replaceEngines(ctx context.Context, rng *rand.Rand) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for sleepContext(ctx, time.Duration(rng.Int64N(int64(maxReplacePause)))) {
		old := s.randomEngine(rng)
		makeSound(s.addEngineOf(old.Service, old.Zone, old.Version))
		s.soak.mu.Lock()
		s.live = slices.DeleteFunc(s.live, func(e *platformtest.Engine) bool { return e == old })
		s.soak.mu.Unlock()
		s.replaced++
		leaving.Go(func() {
			s.store.ListEngine(old, true)
			time.Sleep(drainWithin)
			waitForRuns(old)
			old.Close()
			s.store.UnlistEngine(old)
		})
	}
}

// waitForRuns waits for the end of an engine's runs, for maxWait at most.
func waitForRuns(e *platformtest.Engine) {
	timeout := time.After(maxWait)
	for _, run := range e.Runs() {
		select {
		case <-run.Ended():
		case <-timeout:
			return
		}
	}
}
