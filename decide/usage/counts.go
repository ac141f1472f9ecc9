package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Window numbers the windows of the wall clock from the start of 1970.
type Window int64

// At returns the window of a time.
func At(wall time.Time, length time.Duration) Window { return Window(wall.UnixNano() / int64(length)) }

// End returns the time at which the window ends.
func (w Window) End(length time.Duration) time.Time { return time.Unix(0, int64(w+1)*int64(length)) }

// Counts are requests by workspace.
type Counts map[vaneyoke.WorkspaceID]int

// Windows are counts by window.
type Windows map[Window]Counts

func (w Windows) count(window Window, workspace vaneyoke.WorkspaceID, n int) {
	if w[window] == nil {
		w[window] = Counts{}
	}
	w[window][workspace] += n
}

// oldest returns the oldest windows, in order, but no more than so many.
func (w Windows) oldest(most int) []Window {
	all := slices.Sorted(maps.Keys(w))
	return all[:min(most, len(all))]
}

// size returns how many counts there are.
func (w Windows) size() (n int) {
	for _, counts := range w {
		n += len(counts)
	}
	return n
}

// bytes estimates how many bytes the counts take in a row.
func (c Counts) bytes() (n int) {
	for workspace := range c {
		n += bytesOf(workspace)
	}
	return n
}

func bytesOf(workspace vaneyoke.WorkspaceID) int {
	const numberAndMarks = 12
	return len(workspace) + numberAndMarks
}

func (c Counts) total() (n int) {
	for _, count := range c {
		n += count
	}
	return n
}

// Batch is what a node hands on at a time; it is the same each time that it is offered.
type Batch struct {
	Origin vaneyoke.VMID
	Life   vaneyoke.Incarnation // of the origin's process
	Seq    uint64               // rises with each batch of a life
	Again  bool                 // whether it was offered before without an answer, and may be in the store already
	Counts Windows
}

func (b *Batch) is(other *Batch) bool {
	return b.Origin == other.Origin && b.Life == other.Life && b.Seq == other.Seq
}

const (
	mostAhead  = 60            // windows by which a node's clock may be ahead of another's
	mostBehind = 20_000        // windows by which counts may be late
	mostCount  = 1_000_000_000 // requests of a workspace in a window
)

// Sound reports whether a node of this build may have handed the batch on, in a window.
func (b *Batch) Sound(here Window) bool {
	if b.Origin == "" || b.Seq == 0 {
		return false
	}
	for window, counts := range b.Counts {
		if window > here+mostAhead || window < here-mostBehind {
			return false
		}
		for workspace, n := range counts {
			if workspace == "" || n < 1 || n > mostCount {
				return false
			}
		}
	}
	return true
}

// Mark says which batch of a node was taken last.
type Mark struct {
	Life   vaneyoke.Incarnation
	Seq    uint64
	Window Window // in which it was taken
}

// mostMarks bounds the nodes that marks are kept of; who has not handed on anything for longest is forgotten first.
const mostMarks = 128

// Marks are the last batches taken, by their origin.
type Marks map[vaneyoke.VMID]Mark

// covers reports whether a batch was taken before.
func (m Marks) covers(b *Batch) bool {
	mark, known := m[b.Origin]
	return known && mark.Life == b.Life && b.Seq <= mark.Seq
}

// take notes that a batch is taken.
func (m Marks) take(b *Batch, now Window) {
	m[b.Origin] = Mark{Life: b.Life, Seq: b.Seq, Window: now}
	if len(m) <= mostMarks {
		return
	}
	oldest := b.Origin
	for origin, mark := range m {
		if mark.Window < m[oldest].Window || mark.Window == m[oldest].Window && origin < oldest {
			oldest = origin
		}
	}
	delete(m, oldest)
}

func (m Marks) clone() Marks {
	if m == nil {
		return Marks{}
	}
	return maps.Clone(m)
}
