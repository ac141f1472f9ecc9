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

// vmList polls the platform's list of VMs and keeps the last one that was read.
type vmList struct {
	platform store.VMs
	peers    *peer.Client
	balancer *balancer.Balancer
	follower *catalog.Follower
	members  *catalog.MembershipManager
	period   time.Duration
	log      logrus.FieldLogger
	view     atomic.Pointer[membership.View]
}

func newVMList(vms store.VMs, peers *peer.Client, b *balancer.Balancer, period time.Duration, log logrus.FieldLogger) *vmList {
	l := &vmList{platform: vms, peers: peers, balancer: b, period: period, log: log}
	l.view.Store(membership.NewView(nil))
	return l
}

// setFollower sets the follower of the configuration. It is set late because the follower itself needs the list of VMs, whose nodes
// confirm the configuration.
func (l *vmList) setFollower(f *catalog.Follower) {
	l.follower = f
	l.members = catalog.NewMembershipManager(f)
}

// View returns the nodes that are listed and not leaving.
func (l *vmList) View() *membership.View { return l.view.Load() }

// Upstream returns an upstream of the active configuration.
func (l *vmList) Upstream(id vaneyoke.UpstreamID) (vaneyoke.Upstream, bool) {
	return lo.Find(l.follower.Current().Upstreams, func(u vaneyoke.Upstream) bool { return u.ID == id })
}

// run polls the list until ctx ends.
func (l *vmList) run(ctx context.Context) {
	ticker := time.NewTicker(l.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if vms, err := l.refresh(ctx); err == nil {
				l.reconcileMembers(ctx, now, vms)
			}
		}
	}
}

// refreshOrLog reads the list once and ignores the error, which refresh logs.
func (l *vmList) refreshOrLog(ctx context.Context) { _, _ = l.refresh(ctx) }

// reconcileMembers reconciles the membership with the list of VMs, within one period.
func (l *vmList) reconcileMembers(ctx context.Context, now time.Time, vms []store.VM) {
	ctx, cancel := context.WithTimeout(ctx, l.period)
	defer cancel()
	l.members.Reconcile(ctx, now, vms)
}

// refresh reads the list; on an error the last list stays in use.
func (l *vmList) refresh(ctx context.Context) ([]store.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := l.platform.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			l.log.WithField("error", err).Warn("vms_read_failed")
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
	l.view.Store(membership.NewView(peers))
	l.balancer.SetLeaving(leaving)
	return vms, nil
}

// Known returns the VMs of all listed nodes that are not leaving.
func (l *vmList) Known() []vaneyoke.VMID { return l.View().VMs() }

// Confirm asks the node on a VM for its active configuration.
func (l *vmList) Confirm(ctx context.Context, vm vaneyoke.VMID, revision vaneyoke.Revision, want bool) (vaneyoke.Revision, []byte, error) {
	p, ok := l.View().Find(vm)
	if !ok {
		return 0, nil, vaneyoke.Err(vaneyoke.CodeNotFresh, "%s is not on the list of VMs", vm)
	}
	return l.peers.Confirm(ctx, p, revision, want)
}
