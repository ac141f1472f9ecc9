package node

import (
	"context"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/balancer"
	"github.com/vaneyoke/vaneyoke/mesh"
	"github.com/vaneyoke/vaneyoke/placement"
	"github.com/vaneyoke/vaneyoke/rollout"
	"github.com/vaneyoke/vaneyoke/rollouts"
)

// gatewayPlacer is a balancer that borrows a retry from another node where the own budget is spent, and tells how upstreams
// answered during roll-outs.
type gatewayPlacer struct {
	*balancer.Balancer
	lender   *mesh.Lender
	mesh     *mesh.Node
	rollouts *rollouts.Node // nil where there are no roll-outs
}

// Place returns an upstream.
func (b *gatewayPlacer) Place(need placement.Need, isRetry bool) (vaneyoke.Upstream, time.Duration, error) {
	upstream, expect, err := b.Balancer.Place(need, isRetry)
	if vaneyoke.CodeOf(err) != vaneyoke.CodeRetryExhausted || !b.lender.Borrow(context.Background(), need.Service) {
		return upstream, expect, err
	}
	return b.Balancer.Place(need, false) // it counts where it was lent
}

// Answered notes how an upstream answered.
func (b *gatewayPlacer) Answered(upstream vaneyoke.Upstream, route vaneyoke.RouteID, answer rollout.Answer) {
	if b.rollouts != nil {
		b.rollouts.Answered(time.Now(), upstream, route, answer)
	}
}

// Doubts reports whether upstreams may have been replaced without the list saying so.
func (b *gatewayPlacer) Doubts() bool { return b.mesh.Old() }
