package usage

import (
	"slices"

	"github.com/vaneyoke/vaneyoke"
)

// mostCarried bounds the batches of other nodes that are handed on as they are.
const mostCarried = 64

// Tally is what a node has counted, and has taken over from those that follow it, and has not handed on yet.
type Tally struct {
	self    vaneyoke.VMID
	life    vaneyoke.Incarnation
	open    Windows
	offered *Batch  // its own on its way; nil for none
	carried []Batch // of other nodes, which may be in the store already: they are handed on as they are, so that the store's marks tell
	seq     uint64
	taken   Marks
}

// NewTally returns a tally without counts; life tells the node's process from all others.
func NewTally(self vaneyoke.VMID, life vaneyoke.Incarnation) *Tally {
	return &Tally{self: self, life: life, open: Windows{}, taken: Marks{}}
}

// Began counts a request that an upstream began.
func (t *Tally) Began(window Window, workspace vaneyoke.WorkspaceID) {
	t.open.count(window, workspace, 1)
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
		t.open.add(b.Counts)
	}
	if b.Origin != t.self {
		t.taken.take(b, now)
	}
	return true
}

// Offer returns what is to be handed on: the same batches until they have been taken, none where there is nothing.
func (t *Tally) Offer() []Batch {
	if t.offered != nil {
		t.offered.Again = true
	}
	if t.offered == nil && len(t.open) > 0 {
		t.seq++
		t.offered = &Batch{Origin: t.self, Life: t.life, Seq: t.seq, Counts: t.open}
		t.open = Windows{}
	}
	all := slices.Clone(t.carried)
	if t.offered != nil {
		all = append(all, *t.offered)
	}
	return all
}

// Taken notes that batches were taken.
func (t *Tally) Taken(all []Batch) {
	for i := range all {
		if t.offered != nil && t.offered.is(&all[i]) {
			t.offered = nil
		}
		t.carried = slices.DeleteFunc(t.carried, func(b Batch) bool { return b.is(&all[i]) })
	}
}
