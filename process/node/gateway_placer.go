package node

import (
	"context"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/internal/background"
	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/admissions"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/detours"
	"github.com/vaneyoke/vaneyoke/shell/duties"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/pins"
	"github.com/vaneyoke/vaneyoke/shell/pushbacks"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/shell/rollouts"
)

const (
	maxPathChecks    = 64                     // concurrent checks of this node's own paths; what is lost beyond that is not reported
	pathCheckTimeout = 500 * time.Millisecond // bound of a check
)

// gatewayPlacer is a balancer that borrows a retry from another node when the node's own budget is exhausted, and that reports to
// the rollouts, duties and gossip components how upstreams answered.
type gatewayPlacer struct {
	*balancer.Balancer
	lender   *mesh.Lender
	mesh     *mesh.Node
	rollouts *rollouts.Node // nil without rollouts
	gossip   *mesh.Gossip
	limits   *ratelimits.Node
	duties   *duties.Node // nil without duties
	// pushbacks records which upstreams announced their shutdown to other nodes.
	pushbacks *pushbacks.Node
	dialer    *detours.Dialer
	checks    *background.Runner // of this node's own paths after losses
	queue     *admissions.Node
	modes     *queueModes
	streams   *pins.Node
	crashGuard
}

// handleSighting applies what another node observed about an upstream or about a request content.
func (b *gatewayPlacer) handleSighting(s gossip.Sighting) {
	switch {
	case s.Kind.AboutContent():
		b.crashes.RecordGossip(s)
	case s.Kind == gossip.KindLeaving:
		b.recordLeaving(s)
	default:
		b.RecordGossip(s)
	}
}

// recordLeaving holds back an upstream that announced its shutdown to another node, if it is listed: the hold needs its address.
func (b *gatewayPlacer) recordLeaving(s gossip.Sighting) {
	if upstream, ok := b.Upstream(s.Upstream); ok {
		b.pushbacks.RecordReported(time.Now(), upstream, s.Incarnation, s.Origin, s.Since)
	}
}

// Place chooses an upstream for an attempt.
func (b *gatewayPlacer) Place(need placement.Need, isRetry bool) (vaneyoke.Upstream, time.Duration, error) {
	upstream, expect, err := b.Balancer.Place(need, isRetry)
	if vaneyoke.CodeOf(err) != vaneyoke.CodeRetryExhausted || !b.lender.Borrow(context.Background(), need.Service) {
		return upstream, expect, err
	}
	return b.Balancer.Place(need, false) // the lending node's budget pays for the retry
}

// Acquire waits until a prompt may be sent.
func (b *gatewayPlacer) Acquire(ctx context.Context, r admission.Request, assess func(context.Context) admission.Room) error {
	b.modes.update(r.Service, b.IsUneven(r.Service))
	return b.queue.Acquire(ctx, r, assess)
}

// RunEnded records that an attempt on a service's upstream has ended.
func (b *gatewayPlacer) RunEnded(service vaneyoke.ServiceID, prompt vaneyoke.Tokens) {
	b.queue.RunEnded(service, prompt)
}

// StreamBegun has other nodes keep which software began a stream.
func (b *gatewayPlacer) StreamBegun(begun pinning.StreamBegun) { b.streams.StreamBegun(begun) }

// StreamEnded records that this node does not serve a stream any more.
func (b *gatewayPlacer) StreamEnded(stream pinning.StreamID) { b.streams.StreamEnded(stream) }

// Limited reports whether an upstream declares a rate limit.
func (b *gatewayPlacer) Limited(id vaneyoke.UpstreamID) bool { return b.limits.Limited(id) }

// AcquirePermit acquires a permit to send a request to an upstream.
func (b *gatewayPlacer) AcquirePermit(ctx context.Context, id vaneyoke.UpstreamID) relay.Permit {
	return relay.Permit(b.limits.AcquirePermit(ctx, id))
}

// LimitReached records that a placed attempt got no permit.
func (b *gatewayPlacer) LimitReached(need placement.Need, isRetry bool, id vaneyoke.UpstreamID, permit relay.Permit) {
	b.Balancer.LimitReached(need, isRetry, id, permit.AvailableIn, permit.RetryAfter)
}

// RecordAnswer records an upstream's answer for the rollout of its service. An answer that was lost counts only if this node's own path to the
// upstream is not lost as well.
func (b *gatewayPlacer) RecordAnswer(upstream vaneyoke.Upstream, route vaneyoke.RouteID, answer rollout.Answer) {
	if b.rollouts == nil {
		return
	}
	record := func() { b.rollouts.RecordAnswer(steady.Now(), upstream, route, answer) }
	if answer.Kind == rollout.AnswerLost {
		b.unlessPathLost(upstream, record)
		return
	}
	record()
}

// unlessPathLost calls record, later if need be, unless this node's own path to an upstream turns out to be lost: what it lost over that says nothing
// about the upstream. An upstream that pushes back is not connected to for that.
func (b *gatewayPlacer) unlessPathLost(upstream vaneyoke.Upstream, record func()) {
	if !b.dialer.HasHelpers() || b.IsPushedBack(upstream.ID) {
		record()
		return
	}
	b.checks.Go(func(ctx context.Context) error {
		if !b.dialer.IsOwnPathLost(ctx, upstream.Address()) {
			record()
		}
		return nil
	}, func(error) {})
}

// MayBeStale reports whether the list of upstreams may be stale, so that it may miss upstreams that were replaced.
func (b *gatewayPlacer) MayBeStale() bool { return b.mesh.Stale() }

// FirstToken records an attempt's time to the first token.
func (b *gatewayPlacer) FirstToken(id vaneyoke.UpstreamID, took time.Duration, promptBytes int) {
	b.Balancer.FirstToken(id, took, promptBytes)
	b.gossip.Observe(id, gossip.KindHealthy)
}

// RecordPace records the time between the events of a stream, and gossips how slow the upstream is if that has changed.
func (b *gatewayPlacer) RecordPace(upstream vaneyoke.Upstream, interval time.Duration) {
	if factor, isNews := b.Paced(upstream.ID, interval); isNews {
		b.gossip.ObservePace(upstream.ID, upstream.Incarnation, factor)
	}
}

// Ended records the outcome of an attempt, and gossips it if it says something about the upstream's reachability.
func (b *gatewayPlacer) Ended(id vaneyoke.UpstreamID, outcome placement.Outcome, begun bool) {
	b.Balancer.Ended(id, outcome, begun)
	b.gossipOutcome(id, outcome)
}

// Suspected records that an upstream does not go on with an attempt, and gossips it.
func (b *gatewayPlacer) Suspected(id vaneyoke.UpstreamID, outcome placement.Outcome) {
	b.Balancer.Suspected(id, outcome)
	b.gossipOutcome(id, outcome)
}

func (b *gatewayPlacer) gossipOutcome(id vaneyoke.UpstreamID, outcome placement.Outcome) {
	switch outcome {
	case placement.OutcomeDone:
		b.gossip.Observe(id, gossip.KindHealthy)
	case placement.OutcomeLost:
		b.observeLoss(id, gossip.KindLost)
	case placement.OutcomeUnreachable:
		b.observeLoss(id, gossip.KindUnreachable)
	case placement.OutcomeGone:
		b.gossip.Observe(id, gossip.KindReplaced)
	default: // says nothing about whether the upstream is reachable
	}
}

// observeLoss gossips that an upstream was lost, unless only this node's own path to it was.
func (b *gatewayPlacer) observeLoss(id vaneyoke.UpstreamID, kind gossip.Kind) {
	if upstream, ok := b.Upstream(id); ok {
		b.unlessPathLost(upstream, func() { b.gossip.Observe(id, kind) })
	}
}
