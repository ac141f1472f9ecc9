package node

import (
	"sync/atomic"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/policy"
	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
)

// directory gives the caller API access to the configuration, the models and the readiness of the node.
type directory struct {
	follower   *catalog.Follower
	policies   *policies
	balancer   *balancer.Balancer
	dataCentre vaneyoke.DataCentreID
	stopping   *atomic.Bool
}

// Current returns the active configuration.
func (d *directory) Current() *catalog.Snapshot { return d.follower.Current() }

// Models returns the models that engines serve.
func (d *directory) Models() []vaneyoke.ModelID { return d.balancer.Models() }

// Ready returns nil if the node may accept new requests.
func (d *directory) Ready() error {
	if d.stopping.Load() {
		return vaneyoke.ErrRetryAfter(vaneyoke.CodeStopping, stopRetryAfter, "the node is stopping; another takes the request")
	}
	if !d.follower.Fresh(steady.Now()) {
		return vaneyoke.ErrRetryAfter(vaneyoke.CodeNotFresh, stopRetryAfter, "neither the store nor a majority of the nodes confirms the node's configuration")
	}
	return nil
}

// DataCentre returns the data centre of the node.
func (d *directory) DataCentre() vaneyoke.DataCentreID { return d.dataCentre }

// Decide returns the decision of the policies on a request.
func (d *directory) Decide(now time.Time, q policy.Query) policy.Decision {
	return d.policies.set().Decide(now, q)
}
