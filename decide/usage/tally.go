package usage

import (
	"maps"
	"slices"

	"github.com/vaneyoke/vaneyoke"
)

const (
	mostCarried = 64      // batches of other nodes that are handed on as they are
	mostWindows = 8       // windows of a batch
	mostCounted = 2000    // workspaces of a window
	mostHanded  = 16_000  // counts that are handed on at a time
	mostKept    = 100_000 // counts that a node keeps while nobody takes them; those of the oldest windows go first
)

// Tally is what a node has counted, and has taken over from those that follow it, and has not handed on yet.
type Tally struct {
	self    vaneyoke.VMID
	life    vaneyoke.Incarnation
	open    Windows
	kept    int     // counts in them
	offered *Batch  // its own on its way; nil for none
	carried []Batch // of other nodes, which may be in the store already: they are handed on as they are, so that the store's marks tell
	seq     uint64
	taken   Marks
	dropped Missed
}

// NewTally returns a tally without counts; life tells the node's process from all others.
func NewTally(self vaneyoke.VMID, life vaneyoke.Incarnation) *Tally {
	return &Tally{self: self, life: life, open: Windows{}, taken: Marks{}}
}

// Began counts a request that an upstream began.
func (t *Tally) Began(window Window, workspace vaneyoke.WorkspaceID) { t.add(window, workspace, 1) }

func (t *Tally) add(window Window, workspace vaneyoke.WorkspaceID, n int) {
	if _, known := t.open[window][workspace]; !known {
		if len(t.open[window]) >= mostCounted {
			t.drop(window, n)
			return
		}
		t.kept++
	}
	t.open.count(window, workspace, n)
	if t.kept > mostKept {
		oldest := slices.Min(slices.Collect(maps.Keys(t.open)))
		t.drop(oldest, t.open[oldest].total())
		t.remove(oldest)
	}
}

func (t *Tally) remove(window Window) {
	t.kept -= len(t.open[window])
	delete(t.open, window)
}

func (t *Tally) drop(window Window, requests int) {
	t.dropped = Missed{Window: max(t.dropped.Window, window), Requests: t.dropped.Requests + requests}
}

// Dropped returns how many requests were let go since it was asked last, and the newest of their windows; ok is false where there were none.
func (t *Tally) Dropped() (dropped Missed, ok bool) {
	dropped, t.dropped = t.dropped, Missed{}
	return dropped, dropped.Requests > 0
}

// Take takes over a batch of a node that follows this one, once however often it comes, and reports whether it could.
func (t *Tally) Take(b *Batch, now Window) bool {
	switch {
	case t.taken.covers(b):
		return true
	case b.Again && len(t.carried) >= mostCarried:
		return false
	case b.Again:
		t.carried = append(t.carried, *b)
	default:
		for window, counts := range b.Counts {
			for workspace, n := range counts {
				t.add(window, workspace, n)
			}
		}
	}
	if b.Origin != t.self {
		t.taken.take(b, now)
	}
	return true
}

// Offer returns what is to be handed on, the oldest windows first: its own batch is the same until it has been taken. It is empty where there is nothing.
func (t *Tally) Offer() (all []Batch) {
	if t.offered != nil {
		t.offered.Again = true
	}
	if t.offered == nil && len(t.open) > 0 {
		t.seq++
		t.offered = &Batch{Origin: t.self, Life: t.life, Seq: t.seq, Counts: Windows{}}
		for _, window := range t.open.oldest(mostWindows) {
			t.offered.Counts[window] = t.open[window]
			t.remove(window)
		}
	}
	size := 0
	for _, b := range t.carried {
		if size += b.Counts.size(); size > mostHanded && len(all) > 0 {
			return all
		}
		all = append(all, b)
	}
	if t.offered != nil && (len(all) == 0 || size+t.offered.Counts.size() <= mostHanded) {
		all = append(all, *t.offered)
	}
	return all
}

// Behind reports whether more waits than one batch holds.
func (t *Tally) Behind() bool { return len(t.open) > mostWindows || len(t.carried) > 0 }

// Taken notes that batches were taken.
func (t *Tally) Taken(all []Batch) {
	for i := range all {
		if t.offered != nil && t.offered.is(&all[i]) {
			t.offered = nil
		}
		t.carried = slices.DeleteFunc(t.carried, func(b Batch) bool { return b.is(&all[i]) })
	}
}
