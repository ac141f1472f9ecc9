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
	maxUnwanted = 2               // requests that an incarnation of a node may still send during a pushback, after its first pushGrace
	drainWithin = 2 * time.Second // after which an engine that is shutting down must get no request that a caller sent later
)

// pushSoak runs engines that push back for a while and shut down.
type pushSoak struct {
	*soak

	pushMu       sync.Mutex
	incarnations map[*soakNode]int // number of the incarnation of each node; a new one begins after each time without running
	sends        map[string]sendRecord
}

// sendRecord is the incarnation of a node to which a caller sent a request, and the time.
type sendRecord struct {
	incarnation string // "" if it may have been either of two
	at          time.Time
}

// TestSoakPushback runs engines that refuse all requests with valid and invalid Retry-After headers, announce their shutdown while the list of engines
// does not, and restart under their ids, while nodes are killed, stopped, frozen and added, and the store is unavailable. No incarnation of a node may
// send what an engine has asked it not to send, and callers must be served in the end.
func TestSoakPushback(t *testing.T) {
	s := &pushSoak{soak: newSoak(t, orDefault(*soakNodes, pushNodes), shortLameDuck...), incarnations: map[*soakNode]int{}, sends: map[string]sendRecord{}}
	for _, e := range s.live {
		e.SpoilAll(platformtest.Fault{Delay: 5 * time.Millisecond, Pause: time.Millisecond})
	}
	rng := rand.New(rand.NewPCG(*soakSeed, 3<<32))
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for c := range orDefault(*soakCallers, pushCallers) {
		callerRNG := rand.New(rand.NewPCG(*soakSeed, uint64(c)))
		callers.Go(func() { s.sendCalls(ctx, callerRNG) })
	}
	for range pushRounds {
		for range 1 + rng.IntN(4) {
			s.disrupt(rng)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
	}
	s.endPushbacks()
	s.waitServed()
	stop()
	callers.Wait()
	s.check()
	s.checkPushbacks()
}

// endPushbacks ends all pushbacks, and adds an engine of each service, as all others may be shutting down.
func (s *pushSoak) endPushbacks() {
	for _, e := range s.live {
		e.PushBack("")
	}
	s.addEngine("lm", "a")
	s.addEngine("shop", "a")
}

// disrupt causes one random disruption.
func (s *pushSoak) disrupt(rng *rand.Rand) {
	n := s.randomNode(rng)
	switch rng.IntN(10) {
	case 0, 1, 2, 3:
		retryAfters := []string{"0.5", "1", "2", "3", "soon", "-1", "1e300", "NaN"}
		all := rng.IntN(4) == 0
		for _, e := range s.live {
			if all || rng.IntN(3) == 0 {
				e.PushBack(retryAfters[rng.IntN(len(retryAfters))])
			} else {
				e.PushBack("")
			}
		}
	case 4:
		s.randomEngine(rng).Leave()
	case 5:
		s.asNewIncarnation(n, func() { s.killAndRestart(n) })
	case 6:
		s.asNewIncarnation(n, func() { s.stopAndRestart(n) })
	case 7:
		s.asNewIncarnation(n, func() { n.freeze(time.Duration(rng.Int64N(int64(2 * time.Second)))) })
	case 8:
		s.withoutStore(time.Duration(rng.Int64N(int64(2*time.Second))), func() {})
	case 9:
		e := s.randomEngine(rng)
		e.Crash()
		time.Sleep(engineDowntime)
		must.True(s.t, e.Restart())
		s.store.ListEngine(e, false)
	}
}

// asNewIncarnation calls during, in which a node does not run for a while. The node gets a new incarnation number before and after,
// so that requests sent meanwhile count for neither incarnation.
func (s *pushSoak) asNewIncarnation(n *soakNode, during func()) {
	s.nextIncarnation(n)
	during()
	s.nextIncarnation(n)
}

func (s *pushSoak) nextIncarnation(n *soakNode) {
	s.pushMu.Lock()
	defer s.pushMu.Unlock()
	s.incarnations[n]++
}

func (s *pushSoak) incarnation(n *soakNode) string {
	s.pushMu.Lock()
	defer s.pushMu.Unlock()
	return fmt.Sprint(n.name, " incarnation ", s.incarnations[n])
}

// sendCalls sends calls and streams until ctx ends. Each refusal must have a Retry-After header.
func (s *pushSoak) sendCalls(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, pushPause) {
		path := []string{"/look/x", "/buy/x", "/tell/x"}[rng.IntN(3)]
		n := s.randomNode(rng)
		call := platformtest.Call{
			Path: path, Stream: path == "/tell/x", Prompt: fmt.Sprintf("%x", rng.Uint32()), Wait: 2 * time.Second,
			ID: fmt.Sprintf("attempt-%d", s.ids.Add(1)), Host: soakHost, Key: soakKey,
		}
		s.sendCall(ctx, n, call)
	}
}

func (s *pushSoak) sendCall(ctx context.Context, n *soakNode, call platformtest.Call) {
	before, began := s.incarnation(n), time.Now()
	status, retryAfter := exchange(ctx, n, call)
	record := sendRecord{incarnation: before, at: began}
	if s.incarnation(n) != before {
		record.incarnation = ""
	}
	s.pushMu.Lock()
	s.sends[call.ID] = record
	s.pushMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Path == "/buy/x" {
		s.atMostOnce = append(s.atMostOnce, atMostOnceCall{id: call.ID, status: status})
	}
	switch status {
	case http.StatusOK:
		s.served.Add(1)
	case http.StatusServiceUnavailable:
		if seconds, err := strconv.ParseFloat(retryAfter, 64); err != nil || seconds <= 0 {
			s.violations = append(s.violations, fmt.Sprintf("%s %s was refused without a valid Retry-After header", call.Path, call.ID))
		}
	}
}

// exchange sends a call to a node and returns the status and Retry-After header of its answer; the status is 0 if the answer is incomplete.
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

// checkPushbacks compares the requests that engines received with the pushbacks and shutdown notices that they had sent to the same incarnations
// of nodes.
func (s *pushSoak) checkPushbacks() {
	incarnation := func(id string) string { return s.sends[id].incarnation }
	sent := func(id string) time.Time { return s.sends[id].at }
	most := 0
	for _, e := range s.engines {
		unwanted := e.MaxRequestsDuringPushback(pushGrace, incarnation)
		must.LessEq(s.t, maxUnwanted, unwanted, must.Sprint(e.ID))
		must.Zero(s.t, e.AttemptsAfterLeaving(drainWithin, incarnation, sent), must.Sprint(e.ID))
		most = max(most, unwanted)
	}
	s.t.Logf("%d requests; at most %d of a node during a pushback", len(s.sends), most)
}
