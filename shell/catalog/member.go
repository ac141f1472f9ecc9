package catalog

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// AbsentMemberTimeout is how long a member has to be missing from the list of VMs before it is considered permanently gone.
const AbsentMemberTimeout = 5 * time.Minute

// Attempts to leave. A stopping node has a third of its grace period for all of them, and at most two seconds.
const (
	leaveAttemptTimeout = 600 * time.Millisecond // of one attempt; short enough for a third one after two whose calls are lost
	leaveRetryInterval  = 50 * time.Millisecond  // between two attempts
)

// MembershipManager maintains the list of members, the nodes whose confirmation counts.
//
// The list is part of the configuration. It changes by one node at a time, and only after a majority of the members has the
// previous change, so that any two majorities share a node, even across changes. A member that the platform has not listed for
// a long time is removed without waiting for a majority, because a VM that is permanently gone cannot confirm anything.
type MembershipManager struct {
	follower    *Follower
	absentSince map[vaneyoke.VMID]time.Time // when a member was first seen to be missing from the list of VMs
}

// NewMembershipManager returns a manager of the member list in the follower's configuration.
func NewMembershipManager(f *Follower) *MembershipManager {
	return &MembershipManager{follower: f, absentSince: map[vaneyoke.VMID]time.Time{}}
}

// Reconcile adds this node if it is missing, and removes members that are permanently gone; listed is the platform's list of VMs.
func (m *MembershipManager) Reconcile(ctx context.Context, now time.Time, listed []store.VM) {
	f := m.follower
	current := f.Current()
	if current.Revision == 0 {
		return
	}
	if !slices.Contains(current.Members(), f.self.VM) {
		m.apply(ctx, "node_joined", f.Join)
		return
	}
	for _, vm := range m.expired(now, current.Members(), listed) {
		m.apply(ctx, "node_removed", func(ctx context.Context) error { return f.Remove(ctx, vm) })
	}
}

// expired returns the members that have not been listed for AbsentMemberTimeout.
func (m *MembershipManager) expired(now time.Time, members []vaneyoke.VMID, listed []store.VM) []vaneyoke.VMID {
	present := lo.Map(listed, func(vm store.VM, _ int) vaneyoke.VMID { return vm.ID })
	var expired []vaneyoke.VMID
	for _, vm := range members {
		since, missing := m.absentSince[vm]
		switch {
		case vm == m.follower.self.VM || slices.Contains(present, vm):
			delete(m.absentSince, vm)
		case !missing:
			m.absentSince[vm] = now
		case now.Sub(since) >= AbsentMemberTimeout:
			expired = append(expired, vm)
		}
	}
	return expired
}

func (m *MembershipManager) apply(ctx context.Context, event string, act func(context.Context) error) {
	if err := act(ctx); err != nil {
		m.follower.log.WithFields(logrus.Fields{"event": event, "error": err}).Debug("membership_unchanged")
		return
	}
	m.follower.log.WithField("vm", m.follower.self.VM).Info(event)
	m.follower.TriggerPoll()
}

// Join makes this node a member, once a majority has the current configuration.
func (f *Follower) Join(ctx context.Context) error {
	if _, err := f.AwaitAccepted(ctx, f.Current().Revision); err != nil {
		return err
	}
	_, err := Apply(ctx, f.table, Change{Partition: PartitionNodes, ID: string(f.self.VM), Value: f.self})
	return err
}

// Leave removes this node from the list before a planned stop; failed attempts are repeated until ctx ends.
func (f *Follower) Leave(ctx context.Context) error {
	for {
		err := f.tryLeave(ctx)
		if err == nil || !pause.For(ctx, leaveRetryInterval) {
			return err
		}
	}
}

func (f *Follower) tryLeave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveAttemptTimeout)
	defer cancel()
	if _, err := f.AwaitAccepted(ctx, f.Current().Revision); err != nil {
		return err
	}
	err := f.Remove(ctx, f.self.VM)
	if vaneyoke.CodeOf(err) == vaneyoke.CodeNotFound { // removed by an earlier attempt whose answer was lost
		return nil
	}
	return err
}

// Remove removes a member from the list.
func (f *Follower) Remove(ctx context.Context, vm vaneyoke.VMID) error {
	row, err := f.table.Get(ctx, store.Key{Partition: PartitionNodes, ID: string(vm)})
	if err != nil {
		return err
	}
	_, err = Apply(ctx, f.table, Change{Partition: PartitionNodes, ID: string(vm), ExpectedVersion: row.Version})
	return err
}
