package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/internal/pause"
)

// place waits for the requested delay and chooses an upstream.
func (s *Session) place(e generation.Place) {
	if e.Delay > 0 && !pause.For(s.ctx, e.Delay) {
		return
	}
	s.awaitCrashCheck(s.ctx)
	need := s.needOf(e)
	if e.Attempt == 1 {
		s.awaitCrashes()
		need.Canary = s.relay.rollouts != nil && s.relay.rollouts.DrawCanary(need.Service)
		need.Prefer = s.findPromptHolder(need)
	}
	proceed, err := s.awaitCapacity(need, e.Attempt == 1 && !need.Pin.IsSet)
	if (!proceed && err == nil) || s.ctx.Err() != nil {
		return
	}
	var upstream vaneyoke.Upstream
	var expectedTTFT time.Duration
	if proceed {
		upstream, expectedTTFT, err = s.chooseUpstream(need, e.Retry)
	}
	if _, ok := s.mode.(*unary); ok {
		expectedTTFT = 0 // times to the first token do not apply to unary answers
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		s.recordNotContinued(e, err)
		s.reportSuspects()
		s.handleAndRecordCompletion(now, generation.NotPlaced{
			Attempt:    e.Attempt,
			Code:       vaneyoke.CodeOf(err),
			RetryAfter: s.capRetryAfter(vaneyoke.CodeOf(err), vaneyoke.RetryAfterOf(err)),
			IsRefused:  isRefusal(err),
		})
		return
	}
	l := &link{upstream: upstream, cancel: func() {}, isRetry: e.Retry, continues: need.Pin.IsSet}
	s.links[e.Attempt] = l
	if need.Replicate {
		l.replica, _ = s.relay.placer.PickReplica(need, upstream)
	}
	s.handleLocked(now, generation.Placed{
		Attempt: e.Attempt, Upstream: upstream.ID, ExpectedTTFT: expectedTTFT, Replica: l.replica.ID,
		HoldsReplica: e.Prefer != "" && upstream.URL == need.Prefer.URL,
	})
	s.releaseUnused(e.Attempt)
}

const (
	reportTimeout = 60 * time.Millisecond  // longest wait for the load reports of upstreams
	holderTimeout = 100 * time.Millisecond // longest wait for upstreams to tell whether they hold a prompt
)

// findPromptHolder returns the upstream that holds the prompt of a caller who asks for the rest of its answer after the
// stream broke; the zero value if none is found.
func (s *Session) findPromptHolder(need placement.Need) vaneyoke.Upstream {
	m, ok := s.mode.(*forwarded)
	if !ok || m.ResumeAfter == "" || need.Affinity == "" {
		return vaneyoke.Upstream{}
	}
	ctx, cancel := context.WithTimeout(s.ctx, holderTimeout)
	defer cancel()
	candidates := s.relay.placer.PromptHolders(need)
	holds := make([]bool, len(candidates))
	var queries sync.WaitGroup
	for i, upstream := range candidates {
		queries.Go(func() { holds[i] = s.relay.sender.HoldsPrompt(ctx, upstream, m.PromptParts) })
	}
	queries.Wait()
	i := slices.Index(holds, true)
	if i < 0 {
		return vaneyoke.Upstream{}
	}
	s.logAttempt(1, candidates[i].ID).Info("prompt_found")
	return candidates[i]
}

// refusedError refuses a request that has waited.
type refusedError struct{ error }

// Unwrap returns the reason.
func (e *refusedError) Unwrap() error { return e.error }

func isRefusal(err error) bool {
	_, ok := errors.AsType[*refusedError](err)
	return ok
}

// recheck returns the error of a request that has been sent to no upstream and may not be any more, because the node stops or the configuration has changed
// while it waited.
func (s *Session) recheck(now time.Time) error {
	m, ok := s.mode.(*forwarded)
	if !ok || m.Recheck == nil || s.mayHaveRun() {
		return nil
	}
	if err := m.Recheck(now); err != nil {
		return &refusedError{err}
	}
	return nil
}

func (s *Session) mayHaveRun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.MayHaveRun()
}

// chooseUpstream returns an upstream, unless the request is refused or its content is blocked.
func (s *Session) chooseUpstream(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	if err := s.recheck(time.Now()); err != nil {
		return vaneyoke.Upstream{}, 0, err
	}
	if err := s.blockedErr(); err != nil {
		return vaneyoke.Upstream{}, 0, err
	}
	return s.choosePermitted(need, retry)
}

// chooseCurrent returns an upstream that still has its known address, as far as this can be checked.
func (s *Session) chooseCurrent(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	for tries := 0; ; tries++ {
		upstream, expectedTTFT, err := s.relay.placer.Place(need, retry)
		if err != nil || tries == maxReplaced {
			return upstream, expectedTTFT, err
		}
		if s.hasRestarted(need, upstream) {
			s.relay.processes.RecordRestarted(need, retry, upstream.ID)
			continue
		}
		if !s.isReplaced(upstream) {
			return upstream, expectedTTFT, nil
		}
		s.relay.log.WithFields(logrus.Fields{"request": s.req.ID, "upstream": upstream.ID}).Info("upstream_replaced")
		s.relay.staleness.RecordReplaced(need, retry, upstream.ID)
	}
}

// maxReplaced is how many upstreams in a row may turn out to be replaced before the next one gets the attempt unchecked.
const maxReplaced = 8

// isReplaced reports whether another upstream now has the address of one that was chosen for a generation. It is checked
// only while the list of upstreams may be stale: an attempt that an upstream declines because it is a different one
// would count as a retry.
func (s *Session) isReplaced(upstream vaneyoke.Upstream) bool {
	m, ok := s.mode.(*forwarded)
	if !ok || !m.Stream || m.HealthPath == "" || s.relay.staleness == nil || !s.relay.staleness.MayBeStale() || s.relay.isLimited(upstream.ID) {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	id, known := s.relay.sender.Identity(ctx, upstream, m.HealthPath)
	return known && id != upstream.ID
}

func (s *Session) queryReports(upstreams []vaneyoke.Upstream) {
	var queries sync.WaitGroup
	for _, upstream := range upstreams {
		queries.Go(func() { s.queryReport(s.ctx, upstream, reportTimeout) })
	}
	queries.Wait()
}

// queryReport asks an upstream for its load report, and tells the placer.
func (s *Session) queryReport(ctx context.Context, upstream vaneyoke.Upstream, timeout time.Duration) (vaneyoke.LoadReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	askedAt := time.Now()
	report, ok := s.relay.sender.LoadReport(ctx, upstream)
	if ok {
		report.AskedAt = askedAt
		s.relay.placer.Reported(upstream.ID, report)
	}
	return report, ok
}

// needOf returns what an attempt requires of its upstream.
func (s *Session) needOf(e generation.Place) placement.Need {
	s.mu.Lock()
	defer s.mu.Unlock()
	need := s.need
	need.Avoid = e.Avoid
	need.Prefer = s.replicaByID(e.Prefer)
	need.Replicate = need.Replicate && e.Replicate
	need.Pin = s.resolvePin()
	return need
}

// replicaByID returns the upstream chosen to keep a replica of an earlier attempt, the zero value if there is none.
func (s *Session) replicaByID(id vaneyoke.UpstreamID) vaneyoke.Upstream {
	for _, l := range s.links {
		if id != "" && l.replica.ID == id {
			return l.replica
		}
	}
	return vaneyoke.Upstream{}
}

// releaseUnused releases an upstream that was chosen for an attempt that has been fenced in the meantime.
func (s *Session) releaseUnused(attempt vaneyoke.Attempt) {
	if l := s.links[attempt]; l != nil && !l.started {
		s.reportOutcome(attempt, placement.OutcomeDropped)
	}
}
