package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	pushNodes   = 4
	pushCallers = 8
	pushRounds  = 5
	pushPause   = 40 * time.Millisecond // between two calls of a caller
	pushGrace   = 500 * time.Millisecond
	pushMost    = 2               // requests of a life of a node in the rest of a time without any
	drainWithin = 2 * time.Second // after which an engine that is leaving gets nothing that a caller sent later
)

// pushSoak has engines ask for nothing for a while, and leave.
type pushSoak struct {
	*soak

	lock  sync.Mutex
	lives map[*soakNode]int // of each node; a time without running begins another
	sent  map[string]sentTo
}

// sentTo is where an attempt went, and when.
type sentTo struct {
	life string // "" where it may have been either of two
	at   time.Time
}

// TestSoakPushback has engines turn all away and ask for good, bad and mistaken times without requests, say that they leave while the list does not,
// and start again under their ids, while nodes are killed, stopped, frozen and added, and the store is away. No life of a node sends what it was asked
// not to, and callers are served in the end.
func TestSoakPushback(t *testing.T) {
	s := &pushSoak{soak: newSoak(t, either(*soakNodes, pushNodes), lameBriefly...), lives: map[*soakNode]int{}, sent: map[string]sentTo{}}
	for _, e := range s.live {
		e.SpoilAll(platformtest.Fault{Delay: 5 * time.Millisecond, Pause: time.Millisecond})
	}
	rng := rand.New(rand.NewPCG(*soakSeed, 3<<32))
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for c := range either(*soakCallers, pushCallers) {
		own := rand.New(rand.NewPCG(*soakSeed, uint64(c)))
		callers.Go(func() { s.ask(ctx, own) })
	}
	for range pushRounds {
		for range 1 + rng.IntN(4) {
			s.disturb(rng)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
	}
	s.settle()
	s.untilServed()
	stop()
	callers.Wait()
	s.check()
	s.checkHolds()
}

// settle has no engine push back any more, and one that does not leave in the place of each that does.
func (s *pushSoak) settle() {
	for _, e := range s.live {
		e.PushBack("")
	}
	s.addEngine("lm", "a")
	s.addEngine("shop", "a")
}

// disturb brings about one trouble.
func (s *pushSoak) disturb(rng *rand.Rand) {
	n := s.node(rng)
	switch rng.IntN(10) {
	case 0, 1, 2, 3:
		asks := []string{"0.5", "1", "2", "3", "soon", "-1", "1e300", "NaN"}
		all := rng.IntN(4) == 0
		for _, e := range s.live {
			if all || rng.IntN(3) == 0 {
				e.PushBack(asks[rng.IntN(len(asks))])
			} else {
				e.PushBack("")
			}
		}
	case 4:
		s.engine(rng).Leave()
	case 5:
		s.without(n, func() { s.killAndStart(n) })
	case 6:
		s.without(n, func() { s.stopAndStart(n) })
	case 7:
		s.without(n, func() { n.freeze(time.Duration(rng.Int64N(int64(2 * time.Second)))) })
	case 8:
		s.withoutStore(time.Duration(rng.Int64N(int64(2*time.Second))), func() {})
	case 9:
		e := s.engine(rng)
		e.Crash()
		time.Sleep(downFor)
		must.True(s.t, e.Again())
		s.store.ListEngine(e, false)
	}
}

// without has a node's life end with a time without running, and the next one begin after it.
func (s *pushSoak) without(n *soakNode, during func()) {
	s.newLife(n)
	during()
	s.newLife(n)
}

func (s *pushSoak) newLife(n *soakNode) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.lives[n]++
}

func (s *pushSoak) life(n *soakNode) string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return fmt.Sprint(n.name, " life ", s.lives[n])
}

// ask sends calls and streams until ctx ends. A refusal has to say when to come back.
func (s *pushSoak) ask(ctx context.Context, rng *rand.Rand) {
	for wait(ctx, pushPause) {
		path := []string{"/look/x", "/buy/x", "/tell/x"}[rng.IntN(3)]
		n := s.node(rng)
		call := platformtest.Call{
			Path: path, Stream: path == "/tell/x", Prompt: fmt.Sprintf("%x", rng.Uint32()), Wait: 2 * time.Second,
			ID: fmt.Sprintf("attempt-%d", s.ids.Add(1)), Host: soakHost, Key: soakKey,
		}
		s.one(ctx, n, call)
	}
}

func (s *pushSoak) one(ctx context.Context, n *soakNode, call platformtest.Call) {
	before, began := s.life(n), time.Now()
	status, retryAfter := exchange(ctx, n, call)
	to := sentTo{life: before, at: began}
	if s.life(n) != before {
		to.life = ""
	}
	s.lock.Lock()
	s.sent[call.ID] = to
	s.lock.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Path == "/buy/x" {
		s.once = append(s.once, onceCall{id: call.ID, status: status})
	}
	switch status {
	case http.StatusOK:
		s.served.Add(1)
	case http.StatusServiceUnavailable:
		if seconds, err := strconv.ParseFloat(retryAfter, 64); err != nil || seconds <= 0 {
			s.wrong = append(s.wrong, fmt.Sprintf("%s %s was refused without a time to come back", call.Path, call.ID))
		}
	}
}

// exchange sends a call to a node and returns the status of its answer, 0 for none that is whole, and when it says to come back.
func exchange(ctx context.Context, n *soakNode, call platformtest.Call) (status int, retryAfter string) {
	req, err := call.Request(ctx, n.listen)
	if err != nil {
		return 0, ""
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, ""
	}
	return res.StatusCode, res.Header.Get("Retry-After")
}

// checkHolds holds what engines got against what they had said to the lives of nodes that sent it.
func (s *pushSoak) checkHolds() {
	life := func(id string) string { return s.sent[id].life }
	sent := func(id string) time.Time { return s.sent[id].at }
	most := 0
	for _, e := range s.engines {
		unwanted := e.Unwanted(pushGrace, life)
		must.LessEq(s.t, pushMost, unwanted, must.Sprint(e.ID))
		must.Zero(s.t, e.AfterLeaving(drainWithin, life, sent), must.Sprint(e.ID))
		most = max(most, unwanted)
	}
	s.t.Logf("%d requests; at most %d of a node in a time without any", len(s.sent), most)
}
