package mesh

import (
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// minConfirmationAdvance is how much newer than the last confirmation a new one must be for the followers to be notified at once.
const minConfirmationAdvance = 100 * time.Millisecond

// Hub holds a copy of the store's tables and the time at which the store last confirmed them.
type Hub struct {
	mu      sync.Mutex
	tables  map[string]*table
	names   []string          // table names, sorted
	changed chan struct{}     // closed at the next change
	packets map[string]packet // cached updates to the current tables, by packetKey of their base versions
	reader  vaneyoke.VMID     // the node to which the store last confirmed the tables
	log     logrus.FieldLogger
	expiry  *time.Timer // of kept rows; nil for none
}

// Table is a table of the store that is replicated between the nodes.
type Table struct {
	Source   watch.Source
	Apply    func(now time.Time, rows watch.Rows) // called with all rows in use after a change; it must not retain or modify them
	MayLag   bool                                 // whether the table is ignored for the age of the tables
	Optional bool                                 // whether a node counts as complete without the table if its source runs an earlier build that does not send it
	Grace    time.Duration                        // how long rows that expired during an outage of the store are kept at most
}

type table struct {
	Table
	rows            watch.Rows         // the store's, as of the version
	kept            map[string]keptRow // rows that the store does not have any more and that are still used
	isInexact       bool               // whether the rows came from an earlier build, which does not tell kept rows apart
	version         watch.Version      // up to this version the rows are complete
	changed         watch.Version      // version of the last change
	subversion      int                // counts the changes since then without a new version
	removals        removals
	confirmed       time.Time // time at which the rows were the store's latest
	missingAtSource bool      // whether the source is complete but does not send this table
}

// NewHub returns a hub of empty tables.
func NewHub(tables map[string]Table) *Hub {
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	h := &Hub{
		log: silent, tables: map[string]*table{}, names: slices.Sorted(maps.Keys(tables)), changed: make(chan struct{}), packets: map[string]packet{},
	}
	for name, t := range tables {
		h.tables[name] = &table{Table: t}
	}
	return h
}

// SetLog sets where the hub logs which rows it keeps.
func (h *Hub) SetLog(log logrus.FieldLogger) { h.log = log }

// Set updates a table's rows to those of the store at a version, and which rows are kept beside them. It ignores versions older than the hub's. Confirm records
// when the rows were the latest.
func (h *Hub) Set(now time.Time, name string, rows watch.Rows, version watch.Version, kept watch.Kept) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expireLocked(now)
	if h.set(now, name, rows, version, keepUntil(kept.Rows, kept.Until)) {
		h.notify()
	}
	if t := h.tables[name]; t != nil && version >= t.version {
		t.isInexact = false
	}
}

// set updates a table's rows and reports whether they changed.
func (h *Hub) set(now time.Time, name string, rows watch.Rows, version watch.Version, kept map[string]keptRow) bool {
	t := h.tables[name]
	if t == nil || version < t.version {
		return false
	}
	advanced := version > t.version
	t.version = version
	if t.rows != nil && maps.EqualFunc(t.rows, rows, sameVersion) {
		t.removals.addSpan(version)
		return false
	}
	h.keep(now, name, t, rows, kept)
	t.removals.recordChange(t.rows, rows, version)
	t.subversion++
	if advanced {
		t.subversion = 0
	}
	t.rows, t.changed = maps.Clone(rows), version
	t.apply(now)
	clear(h.packets)
	return true
}

// Confirm records that the store has confirmed a table up to a version to the reader.
func (h *Hub) Confirm(name string, version watch.Version, confirmed time.Time, reader vaneyoke.VMID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.tables[name]
	if t == nil || t.rows == nil || version < t.version {
		return
	}
	t.version = version
	t.removals.extendSpan(version)
	h.confirm(confirmed, reader, t)
}

// Snapshot returns a copy of the store's rows of a table and the version up to which they are complete; ok is false if the hub has none, or if they may hold
// rows that the store does not have.
func (h *Hub) Snapshot(name string) (rows watch.Rows, version watch.Version, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.tables[name]
	if t == nil || t.rows == nil || t.isInexact {
		return nil, 0, false
	}
	return maps.Clone(t.rows), t.version, true
}

// Status returns the status of the tables. Its age is the time since the oldest confirmation among the tables without MayLag. It is empty
// while the rows of any table are missing.
func (h *Hub) Status(now time.Time) feed.TableStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.statusLocked(now)
}

func (h *Hub) statusLocked(now time.Time) feed.TableStatus {
	status := feed.TableStatus{Complete: true, Reader: h.reader}
	for _, t := range h.tables {
		if t.rows == nil && !t.missingAtSource {
			return feed.TableStatus{}
		}
		if !t.MayLag {
			status.Age = max(status.Age, now.Sub(t.confirmed))
		}
	}
	return status
}

func sameVersion(a, b watch.Row) bool { return a.Version == b.Version }

// confirmAll records that the store has confirmed all tables to the reader.
func (h *Hub) confirmAll(confirmed time.Time, reader vaneyoke.VMID) {
	h.confirm(confirmed, reader, slices.Collect(maps.Values(h.tables))...)
}

// confirm records the time at which tables were the store's latest. If it advances enough, the followers are notified at once, so that the
// age grows little with each hop.
func (h *Hub) confirm(confirmed time.Time, reader vaneyoke.VMID, tables ...*table) {
	advanced := false
	for _, t := range tables {
		if !confirmed.After(t.confirmed) {
			continue
		}
		if !t.MayLag {
			advanced = advanced || confirmed.Sub(t.confirmed) > minConfirmationAdvance
			h.reader = reader
		}
		t.confirmed = confirmed
	}
	if advanced {
		h.notify()
	}
}

// notify wakes the goroutines that serve followers.
func (h *Hub) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}
