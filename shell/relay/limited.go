package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// How many upstreams in a row may deny an attempt a permit before upstreams without a limit are preferred, and before
// the request is refused. Each permit may require a request to another node.
const (
	unlimitedAfter = 2
	maxDenied      = 8
)

// Permit is the answer to a request for permission to send to an upstream.
type Permit struct {
	Granted     bool
	AvailableIn time.Duration // if not granted: time until there may be another permit
	RetryAfter  time.Duration // if not granted: time after which the caller should retry
}

// Limiter is a Placer that knows which upstreams limit the requests per second of all nodes together.
type Limiter interface {
	// Limited reports whether an upstream declares a limit.
	Limited(id vaneyoke.UpstreamID) bool
	// AcquirePermit asks for a permit to send one request of any kind to an upstream that declares a limit.
	AcquirePermit(ctx context.Context, id vaneyoke.UpstreamID) Permit
	// LimitReached records that an attempt was denied a permit for the upstream on which it was placed.
	LimitReached(need placement.Need, retry bool, id vaneyoke.UpstreamID, permit Permit)
}

// isLimited reports whether an upstream declares a limit.
func (r *Relay) isLimited(id vaneyoke.UpstreamID) bool {
	return r.limiter != nil && r.limiter.Limited(id)
}

// mayQuery reports whether a query may be sent to an upstream. A query counts like a request for the upstream's limit,
// and none is sent during a pushback.
func (r *Relay) mayQuery(ctx context.Context, id vaneyoke.UpstreamID) bool {
	return !r.isPushedBack(id) && (!r.isLimited(id) || r.limiter.AcquirePermit(ctx, id).Granted)
}

// choosePermitted returns an upstream whose limit permits the attempt. A limit applies to all nodes together, so a node
// cannot enforce it by counting its own requests: the limit owners of the upstream grant permits.
func (s *Session) choosePermitted(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	for denied := 0; ; denied++ {
		upstream, expectedTTFT, err := s.chooseCurrent(need, retry)
		if err != nil && need.Unlimited {
			need.Unlimited = false
			upstream, expectedTTFT, err = s.chooseCurrent(need, retry)
		}
		if err != nil || !s.relay.isLimited(upstream.ID) {
			return upstream, expectedTTFT, err
		}
		permit := s.relay.limiter.AcquirePermit(s.ctx, upstream.ID)
		if permit.Granted {
			return upstream, expectedTTFT, nil
		}
		s.relay.limiter.LimitReached(need, retry, upstream.ID, permit)
		s.relay.log.WithFields(logrus.Fields{
			"request": s.req.ID, "upstream": upstream.ID, "ms": permit.AvailableIn.Milliseconds(), "retry_after_ms": permit.RetryAfter.Milliseconds(),
		}).Debug("permit_withheld")
		if denied == maxDenied {
			return vaneyoke.Upstream{}, 0, vaneyoke.ErrRetryAfter(vaneyoke.CodeWithheld, permit.RetryAfter, "the upstreams that were asked get as many requests as they name already")
		}
		need.Unlimited = need.Unlimited || denied+1 == unlimitedAfter
	}
}

// capRetryAfter limits the retry-after time of a request that was refused because of upstreams' limits, or for overload, to
// a third of its remaining time, so that a retry can still be served.
func (s *Session) capRetryAfter(code vaneyoke.Code, after time.Duration) time.Duration {
	m, ok := s.mode.(*forwarded)
	if !ok || (code != vaneyoke.CodeWithheld && code != vaneyoke.CodeOverloaded) {
		return after
	}
	const divisor = 3
	return min(after, max(time.Until(m.Deadline)/divisor, 0))
}

// inferRunState returns the assumed state of a run whose upstream must not be queried because of its limit or a
// pushback: an upstream that accepts connections is assumed to work on the run.
func (s *Session) inferRunState(e generation.QueryRun, upstream vaneyoke.Upstream, path forward.Path) (vaneyoke.RunState, vaneyoke.Tokens) {
	if !s.relay.isReachable(s.ctx, upstream, path) {
		return vaneyoke.RunStateUnknown, 0
	}
	if !e.HasOutput {
		return vaneyoke.RunStateQueued, 0
	}
	return vaneyoke.RunStateRunning, 0
}
