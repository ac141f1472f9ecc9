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

// registerWhenKnown writes the own entry once the members are known, where it is not among them; at the first start of all, at once.
func (n *Node) registerWhenKnown(ctx context.Context) {
	if n.config.FirstStart {
		n.register(ctx)
	}
	select {
	case <-n.known:
		n.register(ctx)
	case <-ctx.Done():
	}
}

// registered reports whether the own entry stands among the members as it is.
func (n *Node) registered() bool {
	return slices.Contains(n.registeredMembers(), n.self)
}

// register writes the own entry where an earlier start has not; nobody asks a node that could not.
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

// DecodeMembers returns the members of a table's rows; a row that cannot be read is left out.
func DecodeMembers(rows watch.Rows) []feed.Member {
	return lo.FilterMap(lo.Values(rows), func(row watch.Row, _ int) (feed.Member, bool) {
		var m feed.Member
		err := json.Unmarshal(row.Data, &m)
		return m, err == nil && m.Address != ""
	})
}
