package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Window is the number of a window of the wall clock, counted from the Unix epoch.
type Window int64

// WindowAt returns the window that contains a time.
func WindowAt(wall time.Time, length time.Duration) Window {
	return Window(wall.UnixNano() / int64(length))
}

// End returns the time at which the window ends.
func (w Window) End(length time.Duration) time.Time { return time.Unix(0, int64(w+1)*int64(length)) }

// Counts holds the number of requests of each workspace.
type Counts map[vaneyoke.WorkspaceID]int

// Windows holds the counts of each window.
type Windows map[Window]Counts

func (w Windows) count(window Window, workspace vaneyoke.WorkspaceID, n int) {
	if w[window] == nil {
		w[window] = Counts{}
	}
	w[window][workspace] += n
}

// oldest returns the oldest windows in order, at most limit of them.
func (w Windows) oldest(limit int) []Window {
	all := slices.Sorted(maps.Keys(w))
	return all[:min(limit, len(all))]
}

// size returns the number of workspace counts in all windows.
func (w Windows) size() (n int) {
	for _, counts := range w {
		n += len(counts)
	}
	return n
}

// estimatedBytes estimates the encoded size of the counts in a row.
func (c Counts) estimatedBytes() (n int) {
	for workspace := range c {
		n += workspaceBytes(workspace)
	}
	return n
}

func workspaceBytes(workspace vaneyoke.WorkspaceID) int {
	const countAndPunctuation = 12
	return len(workspace) + countAndPunctuation
}

func (c Counts) total() (n int) {
	for _, count := range c {
		n += count
	}
	return n
}

// Batch is a set of counts that a node sends to its parent node; a retry sends it unchanged but for Again.
type Batch struct {
	Origin vaneyoke.VMID
	Life   vaneyoke.Incarnation // of the origin's process
	Seq    uint64               // rises with each batch of an incarnation
	Again  bool                 // whether it was sent before without an answer, so that it may be in the store already
	Counts Windows
}

func (b *Batch) sameAs(other *Batch) bool {
	return b.Origin == other.Origin && b.Life == other.Life && b.Seq == other.Seq
}

const (
	maxWindowsAhead  = 60            // windows by which a node's clock may be ahead of another's clock
	maxWindowsBehind = 20_000        // windows by which counts may be late
	maxCount         = 1_000_000_000 // requests of a workspace in a window
)

// Valid reports whether a node of this build can have sent the batch during the current window.
func (b *Batch) Valid(current Window) bool {
	if b.Origin == "" || b.Seq == 0 {
		return false
	}
	for window, counts := range b.Counts {
		if window > current+maxWindowsAhead || window < current-maxWindowsBehind {
			return false
		}
		for workspace, n := range counts {
			if workspace == "" || n < 1 || n > maxCount {
				return false
			}
		}
	}
	return true
}

// Watermark identifies the last batch of a node that was merged.
type Watermark struct {
	Life   vaneyoke.Incarnation
	Seq    uint64
	Window Window // in which it was merged
}

// maxWatermarks bounds the nodes with a watermark; the node whose last batch is oldest is evicted first.
const maxWatermarks = 128

// Watermarks holds the watermark of each origin.
type Watermarks map[vaneyoke.VMID]Watermark

// covers reports whether a batch was merged before.
func (m Watermarks) covers(b *Batch) bool {
	watermark, known := m[b.Origin]
	return known && watermark.Life == b.Life && b.Seq <= watermark.Seq
}

// record sets the watermark to a batch that is merged.
func (m Watermarks) record(b *Batch, now Window) {
	m[b.Origin] = Watermark{Life: b.Life, Seq: b.Seq, Window: now}
	if len(m) <= maxWatermarks {
		return
	}
	oldest := b.Origin
	for origin, watermark := range m {
		if watermark.Window < m[oldest].Window || watermark.Window == m[oldest].Window && origin < oldest {
			oldest = origin
		}
	}
	delete(m, oldest)
}

func (m Watermarks) clone() Watermarks {
	if m == nil {
		return Watermarks{}
	}
	return maps.Clone(m)
}
