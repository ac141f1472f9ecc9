package usage

import (
	"maps"
	"slices"

	"github.com/vaneyoke/vaneyoke"
)

const (
	maxForwarded        = 64      // batches of other nodes to forward unchanged
	maxBatchWindows     = 8       // windows of a batch
	maxWindowWorkspaces = 2000    // workspaces of a window
	maxHandoffCounts    = 16_000  // workspace counts that are sent at a time
	maxBufferedCounts   = 100_000 // workspace counts buffered while no node accepts them; the oldest windows are dropped first
)

// Aggregator holds the counts of a node and of its child nodes until its parent node has accepted them.
type Aggregator struct {
	self        vaneyoke.VMID
	incarnation vaneyoke.Incarnation
	open        Windows // counts that are in no batch yet
	buffered    int     // workspace counts in open
	inFlight    *Batch  // the node's own batch, until it is accepted; nil for none
	forwarded   []Batch // of other nodes, which may be in the store already: forwarded unchanged, so that the ledger's watermarks detect duplicates
	seq         uint64
	merged      Watermarks
	dropped     Missed
}

// NewAggregator returns an aggregator without counts; incarnation distinguishes the node's process from all others.
func NewAggregator(self vaneyoke.VMID, incarnation vaneyoke.Incarnation) *Aggregator {
	return &Aggregator{self: self, incarnation: incarnation, open: Windows{}, merged: Watermarks{}}
}

// CountRequest counts a request that an upstream began.
func (a *Aggregator) CountRequest(window Window, workspace vaneyoke.WorkspaceID) {
	a.add(window, workspace, 1)
}

func (a *Aggregator) add(window Window, workspace vaneyoke.WorkspaceID, n int) {
	if _, known := a.open[window][workspace]; !known {
		if len(a.open[window]) >= maxWindowWorkspaces {
			a.drop(window, n)
			return
		}
		a.buffered++
	}
	a.open.count(window, workspace, n)
	if a.buffered > maxBufferedCounts {
		oldest := slices.Min(slices.Collect(maps.Keys(a.open)))
		a.drop(oldest, a.open[oldest].total())
		a.remove(oldest)
	}
}

func (a *Aggregator) remove(window Window) {
	a.buffered -= len(a.open[window])
	delete(a.open, window)
}

func (a *Aggregator) drop(window Window, requests int) {
	a.dropped = Missed{Window: max(a.dropped.Window, window), Requests: a.dropped.Requests + requests}
}

// Dropped returns how many requests were dropped since the last call, and the newest of their windows; ok is false if there were none.
func (a *Aggregator) Dropped() (dropped Missed, ok bool) {
	dropped, a.dropped = a.dropped, Missed{}
	return dropped, dropped.Requests > 0
}

// Merge accepts a batch of a child node, and reports whether it could; a duplicate is accepted without counting it again.
func (a *Aggregator) Merge(b *Batch, now Window) bool {
	switch {
	case a.merged.covers(b):
		return true
	case b.Again && len(a.forwarded) >= maxForwarded:
		return false
	case b.Again:
		a.forwarded = append(a.forwarded, *b)
	default:
		for window, counts := range b.Counts {
			for workspace, n := range counts {
				a.add(window, workspace, n)
			}
		}
	}
	if b.Origin != a.self {
		a.merged.record(b, now)
	}
	return true
}

// NextBatches returns the batches to send, oldest windows first, or none; the node's own batch stays the same until it is acknowledged.
func (a *Aggregator) NextBatches() (all []Batch) {
	if a.inFlight != nil {
		a.inFlight.Again = true
	}
	if a.inFlight == nil && len(a.open) > 0 {
		a.seq++
		a.inFlight = &Batch{Origin: a.self, Life: a.incarnation, Seq: a.seq, Counts: Windows{}}
		for _, window := range a.open.oldest(maxBatchWindows) {
			a.inFlight.Counts[window] = a.open[window]
			a.remove(window)
		}
	}
	size := 0
	for _, b := range a.forwarded {
		if size += b.Counts.size(); size > maxHandoffCounts && len(all) > 0 {
			return all
		}
		all = append(all, b)
	}
	if a.inFlight != nil && (len(all) == 0 || size+a.inFlight.Counts.size() <= maxHandoffCounts) {
		all = append(all, *a.inFlight)
	}
	return all
}

// HasBacklog reports whether there is more to send than one batch holds.
func (a *Aggregator) HasBacklog() bool { return len(a.open) > maxBatchWindows || len(a.forwarded) > 0 }

// Acknowledge removes batches that were accepted.
func (a *Aggregator) Acknowledge(all []Batch) {
	for i := range all {
		if a.inFlight != nil && a.inFlight.sameAs(&all[i]) {
			a.inFlight = nil
		}
		a.forwarded = slices.DeleteFunc(a.forwarded, func(b Batch) bool { return b.sameAs(&all[i]) })
	}
}
