package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
)

// How many upstreams in a row may have no permit for an attempt before those that name no limit come first, and before the request is
// refused; each may have to be asked for.
const (
	freeAfter    = 2
	mostWithheld = 8
)

// Permit says whether something may be sent to an upstream.
type Permit struct {
	Granted bool
	Next    time.Duration // until there may be another permit, where it was not granted
	Turn    time.Duration // after which a caller that gets none is to come back
}

// Limiter is a Placer that knows which upstreams take only so many requests a second from all nodes together.
type Limiter interface {
	// Limited reports whether an upstream names a limit.
	Limited(id vaneyoke.UpstreamID) bool
	// Permit looks for a permit to send one request of any kind to an upstream that names a limit.
	Permit(ctx context.Context, id vaneyoke.UpstreamID) Permit
	// Withheld notes that there was none for an attempt that had been placed.
	Withheld(need placement.Need, retry bool, id vaneyoke.UpstreamID, permit Permit)
}

// limited reports whether an upstream names a limit.
func (r *Relay) limited(id vaneyoke.UpstreamID) bool {
	return r.limiter != nil && r.limiter.Limited(id)
}

// mayAsk reports whether a question may be sent to an upstream, which counts like a request where it names a limit or asked for nothing.
func (r *Relay) mayAsk(ctx context.Context, id vaneyoke.UpstreamID) bool {
	return !r.pushedBack(id) && (!r.limited(id) || r.limiter.Permit(ctx, id).Granted)
}

// chooseWithin returns an upstream that may be sent the attempt, by the limits that upstreams name. Such a limit holds for all nodes
// together, so that none can keep it by what it sends itself: the upstream's keepers give permits.
func (s *Session) chooseWithin(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	for withheld := 0; ; withheld++ {
		upstream, expect, err := s.chooseThere(need, retry)
		if err != nil && need.Unlimited {
			need.Unlimited = false
			upstream, expect, err = s.chooseThere(need, retry)
		}
		if err != nil || !s.relay.limited(upstream.ID) {
			return upstream, expect, err
		}
		permit := s.relay.limiter.Permit(s.ctx, upstream.ID)
		if permit.Granted {
			return upstream, expect, nil
		}
		s.relay.limiter.Withheld(need, retry, upstream.ID, permit)
		s.relay.log.WithFields(logrus.Fields{
			"request": s.req.ID, "upstream": upstream.ID, "ms": permit.Next.Milliseconds(), "retry_after_ms": permit.Turn.Milliseconds(),
		}).Debug("permit_withheld")
		if withheld == mostWithheld {
			return vaneyoke.Upstream{}, 0, vaneyoke.ErrRetryAfter(vaneyoke.CodeWithheld, permit.Turn, "the upstreams that were asked get as many requests as they name already")
		}
		need.Unlimited = need.Unlimited || withheld+1 == freeAfter
	}
}

// fit returns when a caller is to come back that is refused for the limits of upstreams: while it can still be served. It waits a third of what
// is left of its time at the most.
func (s *Session) fit(code vaneyoke.Code, after time.Duration) time.Duration {
	m, ok := s.mode.(*forwarded)
	if !ok || code != vaneyoke.CodeWithheld {
		return after
	}
	const latest = 3
	return min(after, max(time.Until(m.Deadline)/latest, 0))
}

// workWithin returns what an upstream does for a run by less than a question, where its limit or a pushback leaves none: one that takes connections
// is taken to work on it.
func (s *Session) workWithin(e generation.QueryRun, upstream vaneyoke.Upstream) (vaneyoke.RunState, vaneyoke.Tokens) {
	if !s.relay.isThere(s.ctx, upstream) {
		return vaneyoke.RunStateUnknown, 0
	}
	if !e.HasOutput {
		return vaneyoke.RunStateQueued, 0
	}
	return vaneyoke.RunStateRunning, 0
}
