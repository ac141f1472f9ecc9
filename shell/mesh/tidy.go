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

// tidy takes members off the store that have been gone for long, since nodes go on asking them and share the retry budget
// with them. Of the members that answer the one with the highest rank does it; one that was taken off while it was only
// cut off registers itself again.
func (n *Node) tidy(ctx context.Context) {
	if n.self.Address == "" {
		return
	}
	var absent absences
	for pause.For(ctx, n.config.Check) {
		n.register(ctx)
		members := n.membersByRank()
		if n.anyAnswersAbove(ctx, members) {
			absent = absences{}
			continue
		}
		for _, m := range members {
			if m.VM != n.self.VM {
				absent.checked(time.Now(), m.VM, n.answers(ctx, m))
			}
		}
		absent.keep(members)
		for _, vm := range absent.longer(time.Now(), n.config.GoneAfter) {
			n.takeOff(ctx, string(vm))
		}
	}
}

func (n *Node) membersByRank() []feed.Member {
	members := slices.Clone(n.registeredMembers())
	slices.SortFunc(members, feed.ByRank)
	return members
}

// anyAnswersAbove reports whether a member with a higher rank answers; the members are ordered by rank.
func (n *Node) anyAnswersAbove(ctx context.Context, members []feed.Member) bool {
	for _, m := range members {
		if !m.Outranks(n.self) {
			return false
		}
		if m.VM != n.self.VM && n.answers(ctx, m) {
			return true
		}
	}
	return false
}

// answers reports whether a member takes connections.
func (n *Node) answers(ctx context.Context, m feed.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, n.config.Stall)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// TakeOffIfGone takes a member off that others wait for, where it takes no connections, or where its row is of a later build that ran there before: it
// registers itself again then. A node whose own tables are old may be the one that is cut off.
func (n *Node) TakeOffIfGone(vm vaneyoke.VMID) {
	m, ok := lo.Find(n.registeredMembers(), func(m feed.Member) bool { return m.VM == vm })
	if !ok || vm == n.self.VM || n.Old() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.config.Stall+n.config.Reader.Wait)
	defer cancel()
	if !n.answers(ctx, m) || n.isEarlier(ctx, m) {
		n.takeOff(ctx, string(vm))
	}
}

// isEarlier reports whether a member's build understands less than its row says.
func (n *Node) isEarlier(ctx context.Context, m feed.Member) bool {
	res, err := n.get(ctx, m, AgePath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return dialectOf(res.Header) < m.Protocol
}

// takeOff removes a member's entry where it is still the one that is known.
func (n *Node) takeOff(ctx context.Context, vm string) {
	rows, _, ok := n.hub.Held(n.config.Members)
	row, found := rows[vm]
	if !ok || !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, n.config.Reader.Wait)
	defer cancel()
	err := n.registry.Remove(ctx, vm, row.Version)
	n.log.WithFields(logrus.Fields{"peer": vm, "error": err}).Info("member_taken_off")
}
