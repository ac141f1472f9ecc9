package node

import (
	"context"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/duties"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/shell/rollouts"
)

// gatewayPlacer is a balancer that borrows a retry from another node where the own budget is spent, and tells how upstreams
// answered during roll-outs.
type gatewayPlacer struct {
	*balancer.Balancer
	lender   *mesh.Lender
	mesh     *mesh.Node
	rollouts *rollouts.Node // nil where there are no roll-outs
	gossip   *mesh.Gossip
	limits   *ratelimits.Node
	duties   *duties.Node // nil where there are none
	crashGuard
}

// heard takes in what another node saw: of an upstream, or of what a request did to one.
func (b *gatewayPlacer) heard(s gossip.Sighting) {
	if s.Kind.AboutContent() {
		b.crashes.RecordGossip(s)
		return
	}
	b.RecordGossip(s)
}

// Place returns an upstream.
func (b *gatewayPlacer) Place(need placement.Need, isRetry bool) (vaneyoke.Upstream, time.Duration, error) {
	upstream, expect, err := b.Balancer.Place(need, isRetry)
	if vaneyoke.CodeOf(err) != vaneyoke.CodeRetryExhausted || !b.lender.Borrow(context.Background(), need.Service) {
		return upstream, expect, err
	}
	return b.Balancer.Place(need, false) // it counts where it was lent
}

// Limited reports whether an upstream names a limit.
func (b *gatewayPlacer) Limited(id vaneyoke.UpstreamID) bool { return b.limits.Limited(id) }

// AcquirePermit looks for a permit to send something to an upstream.
func (b *gatewayPlacer) AcquirePermit(ctx context.Context, id vaneyoke.UpstreamID) relay.Permit {
	return relay.Permit(b.limits.AcquirePermit(ctx, id))
}

// LimitReached notes that there was none for an attempt that had been placed.
func (b *gatewayPlacer) LimitReached(need placement.Need, isRetry bool, id vaneyoke.UpstreamID, permit relay.Permit) {
	b.Balancer.LimitReached(need, isRetry, id, permit.Next, permit.Turn)
}

// RecordAnswer notes how an upstream answered.
func (b *gatewayPlacer) RecordAnswer(upstream vaneyoke.Upstream, route vaneyoke.RouteID, answer rollout.Answer) {
	if b.rollouts != nil {
		b.rollouts.RecordAnswer(steady.Now(), upstream, route, answer)
	}
}

// MayBeStale reports whether upstreams may have been replaced without the list saying so.
func (b *gatewayPlacer) MayBeStale() bool { return b.mesh.Stale() }

// FirstToken notes that an attempt's first token came after a while.
func (b *gatewayPlacer) FirstToken(id vaneyoke.UpstreamID, took time.Duration, promptBytes int) {
	b.Balancer.FirstToken(id, took, promptBytes)
	b.gossip.Seen(id, gossip.KindHealthy)
}

// Ended notes how an attempt came out, and tells the other nodes where that says something of the upstream.
func (b *gatewayPlacer) Ended(id vaneyoke.UpstreamID, outcome placement.Outcome, begun bool) {
	b.Balancer.Ended(id, outcome, begun)
	switch outcome {
	case placement.OutcomeDone:
		b.gossip.Seen(id, gossip.KindHealthy)
	case placement.OutcomeLost:
		b.gossip.Seen(id, gossip.KindLost)
	case placement.OutcomeUnreachable:
		b.gossip.Seen(id, gossip.KindUnreachable)
	case placement.OutcomeGone:
		b.gossip.Seen(id, gossip.KindReplaced)
	default: // says nothing of the way to it
	}
}
