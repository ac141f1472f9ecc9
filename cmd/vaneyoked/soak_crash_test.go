package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	crashNodes     = 4
	crashCallers   = 6
	crashRounds    = 4
	crashingBody   = "a body that ends the engine which begins to run it"
	crashInterval  = 60 * time.Millisecond // between two crashing requests of a caller
	engineDowntime = 250 * time.Millisecond
	recoveryTime   = 2 * time.Second // until nodes have learned after a disruption which content is quarantined
	quietTime      = time.Second
	maxLateRuns    = 3 // times that engines may still get the crashing request while there are no disruptions
)

// crashSoak repeats a request that crashes each engine which starts to run it.
type crashSoak struct {
	*soak
	crashes  int
	lateRuns int
	quiet    []span // without disruptions, after the third crash
}

// TestSoakCrashing repeats a request that crashes engines at random nodes while nodes are killed, stopped, frozen and added, the store is
// unavailable, and engines are lost for other reasons. In the quiet times after the nodes have recovered, it may reach engines at most
// three times over the whole soak. Requests with other content must be served and never be quarantined.
func TestSoakCrashing(t *testing.T) {
	s := &crashSoak{soak: newSoak(t, orDefault(*soakNodes, crashNodes), shortLameDuck...)}
	for _, e := range s.engines {
		s.crashOnBody(e)
	}
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for c := range orDefault(*soakCallers, crashCallers) {
		rng := rand.New(rand.NewPCG(*soakSeed, uint64(c)))
		callers.Go(func() { s.sendHarmless(ctx, rng) })
	}
	for _, path := range []string{"/tell/x", "/look/x"} {
		rng := rand.New(rand.NewPCG(*soakSeed, uint64(len(path))<<40))
		callers.Go(func() { s.sendCrashing(ctx, rng, path) })
	}
	rng := rand.New(rand.NewPCG(*soakSeed, 1<<32))
	time.Sleep(recoveryTime)
	for range crashRounds {
		s.stayQuiet()
		for range 1 + rng.IntN(3) {
			s.disrupt(rng)
		}
		s.waitServed()
		time.Sleep(recoveryTime)
	}
	s.stayQuiet()
	stop()
	callers.Wait()
	s.countLateRuns()
	s.t.Logf("%d engines crashed, %d runs of the crashing request in quiet times", s.crashes, s.lateRuns)
	must.GreaterEq(t, 3, s.crashes)
	must.LessEq(t, 2*maxLateRuns, s.lateRuns) // two callers with different paths
	s.check()
}

// crashOnBody makes an engine crash on the crashing request. Alternately the engine restarts under its id, or another one replaces it.
func (s *crashSoak) crashOnBody(e *platformtest.Engine) {
	e.CrashOn(crashingBody, func() {
		s.mu.Lock()
		s.crashes++
		again := s.crashes%2 == 0
		s.mu.Unlock()
		time.Sleep(engineDowntime)
		s.mu.Lock()
		defer s.mu.Unlock()
		i := slices.Index(s.live, e)
		if i < 0 {
			return // it was replaced in the meantime
		}
		if again && e.Restart() {
			s.store.ListEngine(e, false)
			return
		}
		s.store.UnlistEngine(e)
		if next := e.ReplaceWith(fmt.Sprintf("i-%d", len(s.engines))); next != nil {
			s.engines, s.live[i] = append(s.engines, next), next
			s.crashOnBody(next)
			s.store.ListEngine(next, false)
		}
	})
}

// sendCrashing repeats the crashing request until ctx ends.
func (s *crashSoak) sendCrashing(ctx context.Context, rng *rand.Rand, path string) {
	for sleepContext(ctx, crashInterval) {
		_, res, err := s.send(ctx, rng, platformtest.Call{Path: path, Stream: path == "/tell/x", Prompt: "aa", Body: crashingBody, Wait: time.Second})
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			s.fail("the request that crashes engines was answered")
		}
	}
}

// sendHarmless sends requests that crash no engine until ctx ends, some with a body that other callers send too and some with a unique one.
func (s *crashSoak) sendHarmless(ctx context.Context, rng *rand.Rand) {
	quarantined := vaneyoke.CodeQuarantined.Info().Text
	for ctx.Err() == nil {
		body := []string{"", fmt.Sprint(rng.Uint64())}[rng.IntN(2)]
		path := []string{"/tell/x", "/look/x", "/buy/x"}[rng.IntN(3)]
		id, res, err := s.send(ctx, rng, platformtest.Call{Path: path, Stream: path == "/tell/x", Prompt: fmt.Sprintf("%x", rng.Uint32()), Body: body})
		status, text := 0, []byte(nil)
		if err == nil {
			text, err = io.ReadAll(res.Body)
			_ = res.Body.Close()
			status = res.StatusCode
		}
		switch {
		case strings.Contains(string(text), quarantined):
			s.fail("%s %s was quarantined, though it crashes no engine", path, id)
		case err == nil && status == http.StatusOK:
			s.served.Add(1)
			if path == "/tell/x" && string(text) != platformtest.StreamText(0) {
				s.fail("stream %s: got %q", id, text)
			}
		}
		if path == "/buy/x" {
			s.mu.Lock()
			s.atMostOnce = append(s.atMostOnce, atMostOnceCall{id: id, status: status})
			s.mu.Unlock()
		}
	}
}

// stayQuiet waits for a while without disruptions, and records when.
func (s *crashSoak) stayQuiet() {
	began := time.Now()
	time.Sleep(quietTime)
	s.quiet = append(s.quiet, span{began, time.Now()})
}

// disrupt causes one random disruption.
func (s *crashSoak) disrupt(rng *rand.Rand) {
	n := s.randomNode(rng)
	switch rng.IntN(8) {
	case 0:
		s.killAndRestart(n)
	case 1:
		s.stopAndRestart(n)
	case 2:
		n.freeze(time.Duration(rng.Int64N(int64(recoveryTime))))
	case 3:
		s.killAndRestartAll()
	case 4:
		s.withoutStore(time.Duration(rng.Int64N(int64(2*recoveryTime))), func() {
			if rng.IntN(2) == 0 {
				s.killAndRestart(n)
				time.Sleep(quietTime)
			}
		})
	case 5:
		s.addReadyNode()
	case 6:
		s.loseEngines(rng, 1)
	case 7:
		s.loseEngines(rng, 3)
	}
}

// loseEngines ends engines at the same time, without a crashing request, and lists others in their place.
func (s *crashSoak) loseEngines(rng *rand.Rand, count int) {
	for range count {
		s.replaceEngine(rng, false)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.live {
		s.crashOnBody(e)
	}
}

// countLateRuns counts the runs of the crashing request that began in quiet times.
func (s *crashSoak) countLateRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			if run.Body == crashingBody && slices.ContainsFunc(s.quiet, func(c span) bool { return run.Began.After(c.from) && run.Began.Before(c.to) }) {
				s.lateRuns++
			}
		}
	}
}
