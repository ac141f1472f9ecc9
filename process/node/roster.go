package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/membership"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/wire/peer"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// roster follows the platform's list of VMs.
type roster struct {
	vms      store.VMs
	peers    *peer.Client
	balancer *balancer.Balancer
	follower *catalog.Follower
	members  *catalog.MembershipManager
	period   time.Duration
	log      logrus.FieldLogger
	view     atomic.Pointer[membership.View]
}

func newRoster(vms store.VMs, peers *peer.Client, b *balancer.Balancer, period time.Duration, log logrus.FieldLogger) *roster {
	r := &roster{vms: vms, peers: peers, balancer: b, period: period, log: log}
	r.view.Store(membership.NewView(nil))
	return r
}

// follow gives the roster the configuration, which itself is confirmed by the roster's nodes.
func (r *roster) follow(f *catalog.Follower) {
	r.follower = f
	r.members = catalog.NewMembershipManager(f)
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
		case now := <-ticker.C:
			if vms, err := r.read(ctx); err == nil {
				r.tend(ctx, now, vms)
			}
		}
	}
}

// readOrLog reads the list once; a failure is in the log.
func (r *roster) readOrLog(ctx context.Context) { _, _ = r.read(ctx) }

// tend keeps the list of members, within one period.
func (r *roster) tend(ctx context.Context, now time.Time, vms []store.VM) {
	ctx, cancel := context.WithTimeout(ctx, r.period)
	defer cancel()
	r.members.Reconcile(ctx, now, vms)
}

// read takes in the list; without an answer the last one stands.
func (r *roster) read(ctx context.Context) ([]store.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := r.vms.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			r.log.WithField("error", err).Warn("vms_read_failed")
		}
		return nil, err
	}
	var peers []membership.Peer
	var leaving []vaneyoke.VMID
	for _, vm := range vms {
		if vm.Leaving {
			leaving = append(leaving, vm.ID)
		} else {
			peers = append(peers, membership.Peer{VM: vm.ID, DataCentre: vm.DataCentre, Address: vm.Address})
		}
	}
	r.view.Store(membership.NewView(peers))
	r.balancer.SetLeaving(leaving)
	return vms, nil
}

// Known returns the VMs of all nodes that the platform lists.
func (r *roster) Known() []vaneyoke.VMID { return r.View().VMs() }

// Confirm asks the node on a VM which configuration it has in force.
func (r *roster) Confirm(ctx context.Context, vm vaneyoke.VMID, revision vaneyoke.Revision, want bool) (vaneyoke.Revision, []byte, error) {
	p, ok := r.View().Find(vm)
	if !ok {
		return 0, nil, vaneyoke.Err(vaneyoke.CodeNotFresh, "%s is not on the list of VMs", vm)
	}
	return r.peers.Confirm(ctx, p, revision, want)
}
