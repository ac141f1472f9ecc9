package mesh

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/pause"
)

// pruneMembers removes members from the store that have been unreachable for RemoveAfter, since nodes would keep querying them and
// give them shares of the retry budget. Only the reachable member with the highest rank does so. A member that was removed during a
// mere network partition registers again.
func (n *Node) pruneMembers(ctx context.Context) {
	if n.self.Address == "" {
		return
	}
	var tracker livenessTracker
	for pause.For(ctx, n.config.LivenessInterval) {
		n.register(ctx)
		members := n.membersByRank()
		if n.higherRankReachable(ctx, members) {
			tracker = livenessTracker{}
			continue
		}
		for _, m := range members {
			if m.VM != n.self.VM {
				tracker.record(time.Now(), m.VM, n.isReachable(ctx, m))
			}
		}
		tracker.retain(members)
		for _, vm := range tracker.unreachableFor(time.Now(), n.config.RemoveAfter) {
			n.removeMember(ctx, string(vm))
		}
	}
}

func (n *Node) membersByRank() []feed.Member {
	members := slices.Clone(n.registeredMembers())
	slices.SortFunc(members, feed.ByRank)
	return members
}

// IsFirstByRank reports whether this node has the highest rank of all members.
func (n *Node) IsFirstByRank() bool {
	members := n.membersByRank()
	return len(members) > 0 && members[0].VM == n.self.VM
}

// higherRankReachable reports whether a member with a higher rank than this node is reachable; members must be sorted by rank.
func (n *Node) higherRankReachable(ctx context.Context, members []feed.Member) bool {
	for _, m := range members {
		if !m.Outranks(n.self) {
			return false
		}
		if m.VM != n.self.VM && n.isReachable(ctx, m) {
			return true
		}
	}
	return false
}

// isReachable reports whether a member accepts TCP connections.
func (n *Node) isReachable(ctx context.Context, m feed.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, n.config.PeerTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// RemoveIfUnreachable removes a member that other nodes wait for if it accepts no connections, or if its row was written by a later
// build that ran on the VM before; a member that still runs registers again. A node with stale tables removes nobody, because it may
// itself be partitioned.
func (n *Node) RemoveIfUnreachable(vm vaneyoke.VMID) {
	m, ok := lo.Find(n.registeredMembers(), func(m feed.Member) bool { return m.VM == vm })
	if !ok || vm == n.self.VM || n.Stale() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.config.PeerTimeout+n.config.Reader.PollWait)
	defer cancel()
	if !n.isReachable(ctx, m) || n.runsEarlierBuild(ctx, m) {
		n.removeMember(ctx, string(vm))
	}
}

// runsEarlierBuild reports whether a member's build supports an earlier protocol version than its row states.
func (n *Node) runsEarlierBuild(ctx context.Context, m feed.Member) bool {
	res, err := n.get(ctx, m, AgePath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return protocolOf(res.Header) < m.Protocol
}

// removeMember removes a member's entry unless it has changed since this node read it.
func (n *Node) removeMember(ctx context.Context, vm string) {
	rows, _, ok := n.hub.Snapshot(n.config.MembersTable)
	row, found := rows[vm]
	if !ok || !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, n.config.Reader.PollWait)
	defer cancel()
	err := n.registry.Remove(ctx, vm, row.Version)
	n.log.WithFields(logrus.Fields{"peer": vm, "error": err}).Info("member_taken_off")
}
