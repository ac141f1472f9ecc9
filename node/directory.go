package node

import (
	"sync/atomic"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/balancer"
	"github.com/vaneyoke/vaneyoke/catalog"
)

// directory tells the caller API what the node knows.
type directory struct {
	follower *catalog.Follower
	balancer *balancer.Balancer
	stopping *atomic.Bool
}

// Current returns the newest configuration.
func (d *directory) Current() *catalog.Snapshot { return d.follower.Current() }

// Models returns the models that engines offer.
func (d *directory) Models() []vaneyoke.ModelID { return d.balancer.Models() }

// Ready returns nil where the node may take new work.
func (d *directory) Ready() error {
	if d.stopping.Load() {
		return vaneyoke.ErrRetryAfter(vaneyoke.CodeStopping, stopRetryAfter, "the node is stopping; another takes the request")
	}
	if d.Current().Revision == 0 {
		return vaneyoke.ErrRetryAfter(vaneyoke.CodeNotFresh, stopRetryAfter, "the node has not read the configuration yet")
	}
	return nil
}
