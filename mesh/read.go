package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke/watch"
)

// reading is the following of the store's tables.
type reading struct {
	begin func() // ends the lead
	stop  func()
}

// startReading follows the store's tables after a lead, or as soon as it is told to begin, until it is stopped. A table
// that may lag does not wait: the list of whom to ask is one.
func (n *Node) startReading(ctx context.Context, lead time.Duration) *reading {
	ctx, cancel := context.WithCancel(ctx)
	led, begin := context.WithTimeout(ctx, lead)
	var work sync.WaitGroup
	for name, t := range n.hub.tables {
		_, _, held := n.hub.Held(name)
		work.Go(func() {
			if held || !t.MayLag {
				<-led.Done()
			}
			if ctx.Err() == nil {
				n.follower(name).Run(ctx)
			}
		})
	}
	work.Go(func() {
		<-led.Done()
		if ctx.Err() == nil {
			n.log.WithField("members", n.Members()).Info("reads_store")
		}
	})
	return &reading{begin: begin, stop: func() {
		cancel()
		work.Wait()
	}}
}

// follower returns a follower of one of the store's tables, which goes on from what the hub holds.
func (n *Node) follower(name string) *watch.Follower {
	t := n.hub.tables[name]
	times := func() watch.Config {
		config := n.times()
		if t.MayLag {
			config = n.config.Slow
		}
		config.Grace = t.Grace
		return config
	}
	f := watch.New(name, t.Source, times, &sink{hub: n.hub, table: name}, n.log)
	if rows, version, ok := n.hub.Held(name); ok {
		f.Resume(rows, version)
	}
	return f
}

// times returns the times of a node that reads the store.
func (n *Node) times() watch.Config {
	if n.settled.Load() && n.isSmall() {
		return n.config.Small
	}
	return n.config.Reader
}

// sink gives the hub what the store tells of a table.
type sink struct {
	hub   *Hub
	table string
}

// Set takes in all rows.
func (s *sink) Set(now time.Time, rows watch.Rows, version watch.Version) {
	s.hub.Set(now, s.table, rows, version, now)
}

// Confirm notes that the rows have not changed.
func (s *sink) Confirm(now time.Time, version watch.Version) { s.hub.Confirm(s.table, version, now) }
