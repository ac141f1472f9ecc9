package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/internal/pause"
)

// place waits for the pause that was asked for, and chooses an upstream.
func (s *Session) place(e generation.Place) {
	if e.Delay > 0 && !pause.For(s.ctx, e.Delay) {
		return
	}
	s.awaitVerified(s.ctx)
	need := s.need
	need.Avoid = e.Avoid
	need.Prefer = s.replicaNamed(e.Prefer)
	if e.Attempt == 1 {
		need.Canary = s.relay.trier != nil && s.relay.trier.Draws(need.Service)
		need.Prefer = s.holder(need)
	}
	if !s.awaitRoom(need, e.Attempt == 1) {
		return
	}
	upstream, expect, err := s.choose(need, e.Retry)
	if _, ok := s.mode.(*whole); ok {
		expect = 0 // what is known of first tokens says nothing of whole answers
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		s.handleLocked(now, generation.NotPlaced{
			Attempt:    e.Attempt,
			Code:       vaneyoke.CodeOf(err),
			RetryAfter: s.fit(vaneyoke.CodeOf(err), vaneyoke.RetryAfterOf(err)),
		})
		return
	}
	l := &link{upstream: upstream, cancel: func() {}, retry: e.Retry}
	s.links[e.Attempt] = l
	if need.Replicate {
		l.replica, _ = s.relay.placer.Replica(need, upstream)
	}
	s.handleLocked(now, generation.Placed{
		Attempt: e.Attempt, Upstream: upstream.ID, ExpectedTTFT: expect, Replica: l.replica.ID,
		HoldsReplica: e.Prefer != "" && upstream.URL == need.Prefer.URL,
	})
	s.settleUnused(e.Attempt)
}

const (
	reportWait = 60 * time.Millisecond  // longest wait for the reports of upstreams
	holderWait = 100 * time.Millisecond // longest wait for what upstreams keep
)

// holder returns the upstream that keeps the prompt of a caller who comes back for the rest of its answer, because its run
// broke off there; the zero value where none is found.
func (s *Session) holder(need placement.Need) vaneyoke.Upstream {
	m, ok := s.mode.(*forwarded)
	if !ok || m.After == "" || need.Affinity == "" {
		return vaneyoke.Upstream{}
	}
	ctx, cancel := context.WithTimeout(s.ctx, holderWait)
	defer cancel()
	asking := s.relay.placer.Holders(need)
	holds := make([]bool, len(asking))
	var asked sync.WaitGroup
	for i, upstream := range asking {
		asked.Go(func() { holds[i] = s.relay.sender.HoldsPrompt(ctx, upstream, m.Parts) })
	}
	asked.Wait()
	i := slices.Index(holds, true)
	if i < 0 {
		return vaneyoke.Upstream{}
	}
	s.logAttempt(1, asking[i].ID).Info("prompt_found")
	return asking[i]
}

// choose returns an upstream.
func (s *Session) choose(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	if err := s.barred(); err != nil {
		return vaneyoke.Upstream{}, 0, err
	}
	return s.chooseWithin(need, retry)
}

// chooseThere returns an upstream that has the address by which it is known, as far as that can be told.
func (s *Session) chooseThere(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	for tries := 0; ; tries++ {
		upstream, expect, err := s.relay.placer.Place(need, retry)
		if err != nil || tries == mostReplaced || !s.isReplaced(upstream) {
			return upstream, expect, err
		}
		s.relay.log.WithFields(logrus.Fields{"request": s.req.ID, "upstream": upstream.ID}).Info("upstream_replaced")
		s.relay.doubter.Replaced(need, retry, upstream.ID)
	}
}

// mostReplaced is how many upstreams in a row may turn out to have been replaced before one gets the attempt unasked.
const mostReplaced = 8

// isReplaced reports whether another upstream has the address of one that is to get a generation. It is asked only while the
// list of upstreams may be out of date: what an upstream declines because it is another one counts as a retry.
func (s *Session) isReplaced(upstream vaneyoke.Upstream) bool {
	m, ok := s.mode.(*forwarded)
	if !ok || !m.Stream || m.Health == "" || s.relay.doubter == nil || !s.relay.doubter.Doubts() || s.relay.limited(upstream.ID) {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, reportWait)
	defer cancel()
	id, known := s.relay.sender.Identity(ctx, upstream, m.Health)
	return known && id != upstream.ID
}

// awaitRoom has the placer know what the homes of a prompt work on, because other nodes' prompts and answers meet there, and others where
// none of them is free, as far as they say so in time. While none has room for a first attempt, which would displace runs or replicas
// of others, it holds the prompt; it reports whether the session goes on.
func (s *Session) awaitRoom(need placement.Need, first bool) bool {
	m, ok := s.mode.(*forwarded)
	if !ok || need.Affinity == "" || need.Prefer.URL != "" || s.barred() != nil {
		return true
	}
	began := time.Now()
	hold := placement.CapacityWait{Timeout: s.left(m, began), LatencyGoal: cmp.Or(m.Goal, unnamedGoal)}
	for looks := 1; ; looks++ {
		s.askReports(s.relay.placer.Homes(need))
		s.askReports(s.relay.placer.Spares(need))
		hasRoom := !first || s.relay.placer.HasRoom(need)
		wait, again := hold.NextCheck(s.left(m, time.Now()))
		if hasRoom || !again {
			if looks > 1 {
				s.logAwaited(time.Since(began), looks, hasRoom)
			}
			return true
		}
		if !pause.For(s.ctx, wait) {
			return false
		}
	}
}

// left returns what is left of the caller's time; suspensions of the VM shorten it.
func (s *Session) left(m *forwarded, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.Deadline.Sub(now)
}

func (s *Session) logAwaited(took time.Duration, looks int, hasRoom bool) {
	s.relay.log.WithFields(logrus.Fields{
		"request": s.req.ID, "ms": took.Milliseconds(), "looks": looks, "room": hasRoom,
	}).Info("room_awaited")
}

func (s *Session) askReports(upstreams []vaneyoke.Upstream) {
	ctx, cancel := context.WithTimeout(s.ctx, reportWait)
	defer cancel()
	var asked sync.WaitGroup
	for _, upstream := range upstreams {
		asked.Go(func() {
			if report, ok := s.relay.sender.LoadReport(ctx, upstream); ok {
				s.relay.placer.Reported(upstream.ID, report)
			}
		})
	}
	asked.Wait()
}

// replicaNamed returns the upstream that was to keep a replica of an earlier attempt, the zero value for none.
func (s *Session) replicaNamed(id vaneyoke.UpstreamID) vaneyoke.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if id != "" && l.replica.ID == id {
			return l.replica
		}
	}
	return vaneyoke.Upstream{}
}

// settleUnused gives back an upstream that was placed for an attempt that had been fenced meanwhile.
func (s *Session) settleUnused(attempt vaneyoke.Attempt) {
	if l := s.links[attempt]; l != nil && !l.started {
		s.settle(attempt, placement.OutcomeDropped)
	}
}
