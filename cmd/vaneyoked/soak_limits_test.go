package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	limitNodes        = 4
	limitCallers      = 8
	limitRounds       = 5
	limitPause        = 60 * time.Millisecond // between two calls of a caller
	minUtilization    = 0.7                   // fraction of the engines' declared rates that has to be used at the end, without disruptions
	utilizationWindow = 4 * time.Second
)

// limitBound is the load that an engine which declares a limit may get, beginning one second after it is declared.
var limitBound = platformtest.LimitBound{Window: 4 * time.Second, Share: 1.5, Slack: 5, Grace: time.Second}

// limitSoak runs engines that declare limits, change them and withdraw them.
type limitSoak struct {
	*soak
	limited []*platformtest.Engine // engines that declare limits at times
	rates   map[*platformtest.Engine]float64
	refused atomic.Int64
}

// TestSoakLimits runs engines that declare limits, change and withdraw them and restart under their ids, while nodes are killed, stopped, frozen, added
// and removed, and the store is unavailable. No engine may get more than its limit allows, from all nodes together, and in the end most of the declared
// rates must be used.
func TestSoakLimits(t *testing.T) {
	s := &limitSoak{soak: newSoak(t, orDefault(*soakNodes, limitNodes), shortLameDuck...), rates: map[*platformtest.Engine]float64{}}
	for _, e := range s.live {
		e.SpoilAll(platformtest.Fault{Delay: 5 * time.Millisecond, Pause: time.Millisecond})
		if e.Service == "shop" || len(s.limited) == 0 {
			s.limited = append(s.limited, e)
		}
	}
	rng := rand.New(rand.NewPCG(*soakSeed, 1<<32))
	s.changeLimits(rng)
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for c := range orDefault(*soakCallers, limitCallers) {
		callerRNG := rand.New(rand.NewPCG(*soakSeed, uint64(c)))
		callers.Go(func() { s.sendCalls(ctx, callerRNG) })
	}
	for range limitRounds {
		time.Sleep(limitBound.Grace)
		for range 1 + rng.IntN(3) {
			s.disrupt(rng)
		}
		s.waitServed()
	}
	for _, e := range s.limited {
		s.setLimit(e, 1+3*rng.Float64()) // all engines at the same time
	}
	s.waitUtilized()
	stop()
	callers.Wait()
	s.check()
	s.checkLimits()
}

// waitUtilized waits until most of the engines' declared rates are used. The permits of limit owners that were removed are lost until the other
// nodes have noticed the removal.
func (s *limitSoak) waitUtilized() {
	for start := time.Now(); ; {
		before, began := s.arrivals(), time.Now()
		time.Sleep(utilizationWindow)
		got, offered := s.arrivals()-before, 0.0
		for _, e := range s.limited {
			if e.Service == "shop" {
				offered += s.rates[e] * time.Since(began).Seconds()
			}
		}
		if float64(got) >= minUtilization*offered {
			s.t.Logf("%d refused; in the end %d of the %.1f requests that the declared limits allow were sent, after %s", s.refused.Load(), got, offered, time.Since(start))
			return
		}
		must.Less(s.t, maxWait, time.Since(start), must.Sprintf("only %d of the %.1f requests that the declared limits allow were sent", got, offered))
	}
}

// setLimit makes an engine declare a limit, 0 for none.
func (s *limitSoak) setLimit(e *platformtest.Engine, rate float64) {
	s.rates[e] = rate
	e.DeclareLimit(rate)
}

// changeLimits changes or withdraws the limits of random engines.
func (s *limitSoak) changeLimits(rng *rand.Rand) {
	for _, e := range s.limited {
		if rng.IntN(2) == 0 {
			s.setLimit(e, 0.5+5*rng.Float64())
		} else if rng.IntN(3) == 0 {
			s.setLimit(e, 0)
		}
	}
}

// sendCalls sends calls and streams until ctx ends. Each refusal must have a Retry-After header.
func (s *limitSoak) sendCalls(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, limitPause) {
		path := []string{"/look/x", "/buy/x", "/tell/x"}[rng.IntN(3)]
		call := platformtest.Call{Path: path, Stream: path == "/tell/x", Prompt: fmt.Sprintf("%x", rng.Uint32()), Wait: 2 * time.Second}
		id, res, err := s.send(ctx, rng, call)
		status := 0
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			status = res.StatusCode
		}
		s.mu.Lock()
		if path == "/buy/x" {
			s.atMostOnce = append(s.atMostOnce, atMostOnceCall{id: id, status: status})
		}
		if err == nil && status == http.StatusServiceUnavailable {
			s.refused.Add(1)
			if seconds, parseErr := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); parseErr != nil || seconds <= 0 {
				s.violations = append(s.violations, fmt.Sprintf("%s %s was refused without a valid Retry-After header", path, id))
			}
		}
		s.mu.Unlock()
		if err == nil && status == http.StatusOK {
			s.served.Add(1)
		}
	}
}

// disrupt causes one random disruption or change of limits.
func (s *limitSoak) disrupt(rng *rand.Rand) {
	n := s.randomNode(rng)
	switch rng.IntN(9) {
	case 0:
		s.killAndRestart(n)
	case 1:
		s.stopAndRestart(n)
	case 2:
		n.freeze(time.Duration(rng.Int64N(int64(2 * time.Second))))
	case 3:
		s.killAndRestartAll()
	case 4:
		s.withoutStore(time.Duration(rng.Int64N(int64(3*time.Second))), func() {
			if rng.IntN(2) == 0 {
				s.killAndRestart(n)
			}
			s.changeLimits(rng)
			time.Sleep(limitBound.Grace)
		})
	case 5:
		s.addReadyNode()
	case 6:
		if len(s.allNodes()) > 2 {
			s.removeNode(n)
			n.kill()
		}
	case 7:
		s.changeLimits(rng)
	case 8:
		e := s.limited[rng.IntN(len(s.limited))]
		e.Crash()
		if rng.IntN(2) == 0 {
			s.setLimit(e, 0) // the next incarnation declares none
		}
		time.Sleep(engineDowntime)
		must.True(s.t, e.Restart())
		s.store.ListEngine(e, false)
	}
}

// arrivals returns the number of requests that the engines of the call service have received.
func (s *limitSoak) arrivals() (n int) {
	for _, e := range s.limited {
		if e.Service == "shop" {
			n += len(e.Arrivals())
		}
	}
	return n
}

// checkLimits compares the requests that engines received with the limits that they declared.
func (s *limitSoak) checkLimits() {
	for _, e := range s.limited {
		load, ok := e.PeakLoad(limitBound)
		s.t.Logf("%s: at most %d in %s, allowed %.1f", e.ID, load.Requests, limitBound.Window, load.Allowed)
		must.LessEq(s.t, load.Allowed, float64(load.Requests), must.Sprint(e.ID, ok, load.From))
	}
}
