package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// read follows the store's tables until ctx ends.
func (r *runner) read(ctx context.Context, reading feed.ReadMode) {
	turns := watch.NewTurns()
	for name := range r.hub.tables {
		if reading == feed.ReadNothing || reading == feed.ReadMembers && name != r.config.Members {
			continue
		}
		f := r.follower(ctx, name, reading, turns)
		r.work.Go(func() {
			if !r.waitsForOthers(reading) || pause.For(ctx, r.config.FirstLook) {
				f.Run(ctx)
			}
		})
	}
}

// waitsForOthers reports whether the node waits for the others of a system that starts for the first time to register themselves.
func (n *Node) waitsForOthers(reading feed.ReadMode) bool {
	return n.config.FirstStart && reading == feed.ReadMembers && n.registeredMembers() == nil
}

// follower returns a follower of one of the store's tables, which goes on from what the hub holds.
func (n *Node) follower(ctx context.Context, name string, reading feed.ReadMode, turns *watch.Turns) *watch.Follower {
	t := n.hub.tables[name]
	times := func() watch.Config {
		config := n.times()
		if t.MayLag {
			config = n.config.Slow
		}
		if n.config.FirstStart && reading == feed.ReadMembers {
			config.Gather = n.config.NextLook
		}
		config.Grace = t.Grace
		return config
	}
	source := &reportedSource{Source: t.Source, failed: func() { n.post(ctx, feed.StoreFailed{}) }}
	f := watch.New(name, source, times, turns, &sink{ctx: ctx, node: n, table: name}, n.log)
	if rows, version, ok := n.hub.Held(name); ok {
		f.Resume(rows, version)
	}
	return f
}

// times returns the times of a node that reads the store. One that knows nobody yet asks a store that fails at longer pauses,
// because it is one of many then.
func (n *Node) times() watch.Config {
	config := n.config.Reader
	if n.settled.Load() && n.isAlone() {
		config = n.config.Small
	}
	if n.registeredMembers() == nil {
		config.Pause, config.First = n.config.Slow.Pause, n.config.Slow.First
	}
	return config
}

// reportedSource is a table of the store that tells of each call that failed.
type reportedSource struct {
	watch.Source
	failed func()
}

// List returns all rows.
func (s *reportedSource) List(ctx context.Context) (watch.Rows, watch.Version, error) {
	rows, version, err := s.Source.List(ctx)
	s.report(err)
	return rows, version, err
}

// Changes waits for changes.
func (s *reportedSource) Changes(ctx context.Context, after watch.Version, wait time.Duration) ([]watch.Change, watch.Version, error) {
	changes, version, err := s.Source.Changes(ctx, after, wait)
	s.report(err)
	return changes, version, err
}

func (s *reportedSource) report(err error) {
	if err != nil && !errors.Is(err, watch.ErrHistoryLost) {
		s.failed()
	}
}

// sink gives the hub what the store tells of a table.
type sink struct {
	ctx   context.Context
	node  *Node
	table string
}

// Set takes in all rows.
func (s *sink) Set(now time.Time, rows watch.Rows, version watch.Version) {
	s.node.hub.Set(now, s.table, rows, version)
	s.Confirm(now, version)
}

// Confirm notes that the rows have not changed.
func (s *sink) Confirm(now time.Time, version watch.Version) {
	s.node.hub.Confirm(s.table, version, now, s.node.self.VM)
	s.node.post(s.ctx, feed.StoreRead{Status: s.node.hub.Word(now)})
}
