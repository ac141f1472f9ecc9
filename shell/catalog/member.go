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

// AbsentMemberTimeout is how long a member has to be missing from the list of VMs before it is taken for gone for good.
const AbsentMemberTimeout = 5 * time.Minute

// Tries to leave, for which a stopping node has a third of its grace and two seconds at the most.
const (
	leaveWait  = 600 * time.Millisecond // longest for one of them: a third one follows calls that are lost
	leavePause = 50 * time.Millisecond  // between two
)

// MembershipManager keeps the list of the nodes whose confirmation counts.
//
// The list is a part of the configuration, and changes by one node at a time, each change only after a majority of the
// members has the one before: so any two majorities share a node, also across changes. A member that the platform does
// not list for a long time is taken off without that, because a VM that is gone for good can confirm nobody.
type MembershipManager struct {
	follower *Follower
	absent   map[vaneyoke.VMID]time.Time // since when a member is not listed
}

// NewMembershipManager returns the upkeep of the follower's list.
func NewMembershipManager(f *Follower) *MembershipManager {
	return &MembershipManager{follower: f, absent: map[vaneyoke.VMID]time.Time{}}
}

// Reconcile adds the own node where it is missing, and takes off members that are gone; listed is the platform's list.
func (m *MembershipManager) Reconcile(ctx context.Context, now time.Time, listed []store.VM) {
	f := m.follower
	current := f.Current()
	if current.Revision == 0 {
		return
	}
	if !slices.Contains(current.Members(), f.self.VM) {
		m.change(ctx, "node_joined", f.Join)
		return
	}
	for _, vm := range m.gone(now, current.Members(), listed) {
		m.change(ctx, "node_removed", func(ctx context.Context) error { return f.Remove(ctx, vm) })
	}
}

// gone returns the members that have not been listed for a long time.
func (m *MembershipManager) gone(now time.Time, members []vaneyoke.VMID, listed []store.VM) []vaneyoke.VMID {
	present := lo.Map(listed, func(vm store.VM, _ int) vaneyoke.VMID { return vm.ID })
	var gone []vaneyoke.VMID
	for _, vm := range members {
		since, missing := m.absent[vm]
		switch {
		case vm == m.follower.self.VM || slices.Contains(present, vm):
			delete(m.absent, vm)
		case !missing:
			m.absent[vm] = now
		case now.Sub(since) >= AbsentMemberTimeout:
			gone = append(gone, vm)
		}
	}
	return gone
}

func (m *MembershipManager) change(ctx context.Context, event string, act func(context.Context) error) {
	if err := act(ctx); err != nil {
		m.follower.log.WithFields(logrus.Fields{"event": event, "error": err}).Debug("membership_unchanged")
		return
	}
	m.follower.log.WithField("vm", m.follower.self.VM).Info(event)
	m.follower.TriggerPoll()
}

// Join makes the own node a member, once a majority has the present configuration.
func (f *Follower) Join(ctx context.Context) error {
	if _, err := f.AwaitAccepted(ctx, f.Current().Revision); err != nil {
		return err
	}
	_, err := Apply(ctx, f.table, Change{Partition: PartitionNodes, ID: string(f.self.VM), Value: f.self})
	return err
}

// Leave takes the own node off the list before a planned stop; where that fails it is tried again until ctx ends.
func (f *Follower) Leave(ctx context.Context) error {
	for {
		err := f.leave(ctx)
		if err == nil || !pause.For(ctx, leavePause) {
			return err
		}
	}
}

func (f *Follower) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveWait)
	defer cancel()
	if _, err := f.AwaitAccepted(ctx, f.Current().Revision); err != nil {
		return err
	}
	err := f.Remove(ctx, f.self.VM)
	if vaneyoke.CodeOf(err) == vaneyoke.CodeNotFound { // an earlier try, whose answer was lost, has done it
		return nil
	}
	return err
}

// Remove takes a member off the list.
func (f *Follower) Remove(ctx context.Context, vm vaneyoke.VMID) error {
	row, err := f.table.Get(ctx, store.Key{Partition: PartitionNodes, ID: string(vm)})
	if err != nil {
		return err
	}
	_, err = Apply(ctx, f.table, Change{Partition: PartitionNodes, ID: string(vm), ExpectedVersion: row.Version})
	return err
}
