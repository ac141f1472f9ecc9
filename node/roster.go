package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/catalog"
	"github.com/vaneyoke/vaneyoke/membership"
	"github.com/vaneyoke/vaneyoke/platform"
)

// roster follows the platform's list of VMs.
type roster struct {
	vms      platform.VMs
	follower *catalog.Follower
	period   time.Duration
	log      logrus.FieldLogger
	view     atomic.Pointer[membership.View]
}

func newRoster(vms platform.VMs, follower *catalog.Follower, period time.Duration, log logrus.FieldLogger) *roster {
	r := &roster{vms: vms, follower: follower, period: period, log: log}
	r.view.Store(membership.NewView(nil))
	return r
}

// View returns the nodes that take part.
func (r *roster) View() *membership.View { return r.view.Load() }

// Upstream returns an upstream of the present configuration.
func (r *roster) Upstream(id vaneyoke.UpstreamID) (vaneyoke.Upstream, bool) {
	return lo.Find(r.follower.Current().Upstreams, func(u vaneyoke.Upstream) bool { return u.ID == id })
}

// run follows the list until ctx ends.
func (r *roster) run(ctx context.Context) {
	ticker := time.NewTicker(r.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.read(ctx)
		}
	}
}

// read takes in the list; without an answer the last one stands.
func (r *roster) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := r.vms.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			r.log.WithField("error", err).Warn("vms_read_failed")
		}
		return
	}
	var peers []membership.Peer
	for _, vm := range vms {
		if !vm.Leaving {
			peers = append(peers, membership.Peer{VM: vm.ID, Hall: vm.Hall, Address: vm.Address})
		}
	}
	r.view.Store(membership.NewView(peers))
}
