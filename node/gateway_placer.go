package node

import (
	"context"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/balancer"
	"github.com/vaneyoke/vaneyoke/mesh"
	"github.com/vaneyoke/vaneyoke/placement"
)

// lendingBalancer is a balancer that borrows a retry from another node where the own budget is spent.
type lendingBalancer struct {
	*balancer.Balancer
	lender *mesh.Lender
}

// Place returns an upstream.
func (b *lendingBalancer) Place(need placement.Need, isRetry bool) (vaneyoke.Upstream, time.Duration, error) {
	upstream, expect, err := b.Balancer.Place(need, isRetry)
	if vaneyoke.CodeOf(err) != vaneyoke.CodeRetryExhausted || !b.lender.Borrow(context.Background(), need.Service) {
		return upstream, expect, err
	}
	return b.Balancer.Place(need, false) // it counts where it was lent
}
