package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// readStore follows the store's tables in the given mode until ctx is done.
func (r *runner) readStore(ctx context.Context, mode feed.ReadMode) {
	gate := watch.NewRetryGate()
	for name := range r.hub.tables {
		if mode == feed.ReadNothing || mode == feed.ReadMembers && name != r.config.MembersTable {
			continue
		}
		f := r.newTableFollower(ctx, name, mode, gate)
		r.work.Go(func() {
			if !r.waitsForOthers(mode) || pause.For(ctx, r.config.MembersReadDelay) {
				f.Run(ctx)
			}
		})
	}
}

// waitsForOthers reports whether the node gives the others time to register, at the first start of the system.
func (n *Node) waitsForOthers(mode feed.ReadMode) bool {
	return n.config.FirstStart && mode == feed.ReadMembers && n.registeredMembers() == nil
}

// newTableFollower returns a follower of one of the store's tables, which resumes from the version that the hub holds.
func (n *Node) newTableFollower(ctx context.Context, name string, mode feed.ReadMode, gate *watch.RetryGate) *watch.Follower {
	t := n.hub.tables[name]
	watchConfig := func() watch.Config {
		config := n.watchConfig()
		if t.MayLag {
			config = n.config.Lagging
		}
		if n.config.FirstStart && mode == feed.ReadMembers {
			config.BatchDelay = n.config.MembersReadInterval
		}
		config.RemovalGrace = t.Grace
		return config
	}
	source := &failureReporter{Source: t.Source, onFailure: func() { n.post(ctx, feed.StoreFailed{}) }}
	f := watch.New(name, source, watchConfig, gate, &hubSink{ctx: ctx, node: n, table: name}, n.log)
	if rows, version, ok := n.hub.Snapshot(name); ok {
		f.Resume(rows, version)
	}
	return f
}

// watchConfig returns the configuration for reads of the store. A node that does not know the members yet pauses longer after a failed
// call, because many others may be retrying at the same time.
func (n *Node) watchConfig() watch.Config {
	config := n.config.Reader
	if n.settled.Load() && n.isAlone() {
		config = n.config.SingleNode
	}
	if n.registeredMembers() == nil {
		config.BaseBackoff, config.MaxListBackoff = n.config.Lagging.BaseBackoff, n.config.Lagging.MaxListBackoff
	}
	return config
}

// failureReporter wraps a table of the store and reports each failed call.
type failureReporter struct {
	watch.Source
	onFailure func()
}

// List returns all rows.
func (s *failureReporter) List(ctx context.Context) (watch.Rows, watch.Version, error) {
	rows, version, err := s.Source.List(ctx)
	s.report(err)
	return rows, version, err
}

// Changes waits for changes.
func (s *failureReporter) Changes(ctx context.Context, after watch.Version, wait time.Duration) ([]watch.Change, watch.Version, error) {
	changes, version, err := s.Source.Changes(ctx, after, wait)
	s.report(err)
	return changes, version, err
}

func (s *failureReporter) report(err error) {
	if err != nil && !errors.Is(err, watch.ErrHistoryLost) {
		s.onFailure()
	}
}

// hubSink passes updates of a table from the store to the hub.
type hubSink struct {
	ctx   context.Context
	node  *Node
	table string
}

// Set updates all rows.
func (s *hubSink) Set(now time.Time, rows watch.Rows, version watch.Version, kept watch.Kept) {
	s.node.hub.Set(now, s.table, rows, version, kept)
	s.Confirm(now, version)
}

// Confirm records that the rows have not changed.
func (s *hubSink) Confirm(now time.Time, version watch.Version) {
	s.node.hub.Confirm(s.table, version, now, s.node.self.VM)
	s.node.post(s.ctx, feed.StoreRead{Status: s.node.hub.Status(now)})
}
