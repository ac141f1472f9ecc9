package mesh

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// registerWhenKnown registers the node as soon as the members are known, unless it is already among them; at the first start of the system it also registers at once.
func (n *Node) registerWhenKnown(ctx context.Context) {
	if n.config.FirstStart {
		n.register(ctx)
	}
	select {
	case <-n.membersKnown:
		n.register(ctx)
	case <-ctx.Done():
	}
}

// registered reports whether the members include this node's entry with its current values.
func (n *Node) registered() bool {
	return slices.Contains(n.registeredMembers(), n.self)
}

// register writes this node's entry unless it is up to date. Other nodes don't query a node that failed to register.
func (n *Node) register(ctx context.Context) {
	const tries = 3
	if n.self.Address == "" || n.registered() {
		return
	}
	entry, err := json.Marshal(n.self)
	if err != nil {
		n.log.WithField("error", err).Error("register_failed")
		return
	}
	for range tries {
		callCtx, cancel := context.WithTimeout(ctx, n.config.Reader.PollWait)
		err := n.registry.Put(callCtx, string(n.self.VM), entry)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		n.log.WithField("error", err).Warn("register_failed")
		pause.For(ctx, n.config.Reader.BaseBackoff)
	}
}

// DecodeMembers decodes the members from a table's rows and skips invalid rows.
func DecodeMembers(rows watch.Rows) []feed.Member {
	return lo.FilterMap(lo.Values(rows), func(row watch.Row, _ int) (feed.Member, bool) {
		var m feed.Member
		err := json.Unmarshal(row.Data, &m)
		return m, err == nil && m.Address != ""
	})
}
