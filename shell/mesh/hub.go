package mesh

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// newsAge is by how much a confirmation must be newer than the last one for those that follow to be told at once.
const newsAge = 100 * time.Millisecond

// Hub holds a copy of the store's tables, and when the store last confirmed them.
type Hub struct {
	mu      sync.Mutex
	tables  map[string]*table
	names   []string          // of the tables, sorted
	changed chan struct{}     // closed at the next change
	packets map[string]packet // that lead to the tables as they are, by what they lead from
	reader  vaneyoke.VMID     // the node that the store confirmed the tables to last
}

// Table is a table of the store that the nodes tell one another.
type Table struct {
	Source watch.Source
	Apply  func(now time.Time, rows watch.Rows) // takes in the rows after a change; it must not keep or change them
	MayLag bool                                 // whether the table's age does not count
	Spare  bool                                 // whether a node that follows one of an earlier build, which does not tell it, goes by the other tables
	Grace  time.Duration                        // how long rows that lapsed in an outage of the store are kept
}

type table struct {
	Table
	rows      watch.Rows
	version   watch.Version // up to which the rows are complete
	changed   watch.Version // at which they changed last
	edition   int           // counts the changes without a new version since
	removals  removals
	confirmed time.Time // as of which the rows are the store's newest
	lacking   bool      // whether the node that is followed holds all that it knows of, and not this one
}

// NewHub returns a hub of tables that hold nothing yet.
func NewHub(tables map[string]Table) *Hub {
	h := &Hub{
		tables: map[string]*table{}, names: slices.Sorted(maps.Keys(tables)), changed: make(chan struct{}), packets: map[string]packet{},
	}
	for name, t := range tables {
		h.tables[name] = &table{Table: t}
	}
	return h
}

// Set takes in a table's rows as of a version; an older version than the hub's is left aside. Confirm says when they were the newest.
func (h *Hub) Set(now time.Time, name string, rows watch.Rows, version watch.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.set(now, name, rows, version) {
		h.wake()
	}
}

// set takes in a table's rows and reports whether they are others than before.
func (h *Hub) set(now time.Time, name string, rows watch.Rows, version watch.Version) bool {
	t := h.tables[name]
	if t == nil || version < t.version {
		return false
	}
	advanced := version > t.version
	t.version = version
	if t.rows != nil && maps.EqualFunc(t.rows, rows, sameVersion) {
		t.removals.saw(version)
		return false
	}
	t.removals.note(t.rows, rows, version)
	t.edition++
	if advanced {
		t.edition = 0
	}
	t.rows, t.changed = maps.Clone(rows), version
	t.Apply(now, t.rows)
	clear(h.packets)
	return true
}

// Confirm notes that the store has confirmed a table up to a version to a node.
func (h *Hub) Confirm(name string, version watch.Version, confirmed time.Time, reader vaneyoke.VMID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.tables[name]
	if t == nil || t.rows == nil || version < t.version {
		return
	}
	t.version = version
	t.removals.confirmed(version)
	h.confirm(confirmed, reader, t)
}

// Held returns a copy of a table's rows and the version up to which they are complete; ok is false where it holds nothing.
func (h *Hub) Held(name string) (rows watch.Rows, version watch.Version, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.tables[name]
	if t == nil || t.rows == nil {
		return nil, 0, false
	}
	return maps.Clone(t.rows), t.version, true
}

// Word returns how long ago the store confirmed the table that was confirmed the longest ago, of those that may not lag; it
// knows nothing where a table holds nothing yet.
func (h *Hub) Word(now time.Time) feed.TableStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wordLocked(now)
}

func (h *Hub) wordLocked(now time.Time) feed.TableStatus {
	word := feed.TableStatus{Complete: true, Reader: h.reader}
	for _, t := range h.tables {
		if t.rows == nil && !t.lacking {
			return feed.TableStatus{}
		}
		if !t.MayLag {
			word.Age = max(word.Age, now.Sub(t.confirmed))
		}
	}
	return word
}

func sameVersion(a, b watch.Row) bool { return a.Version == b.Version }

// confirmAll notes that the store has confirmed all tables to a node.
func (h *Hub) confirmAll(confirmed time.Time, reader vaneyoke.VMID) {
	h.confirm(confirmed, reader, slices.Collect(maps.Values(h.tables))...)
}

// confirm notes as of when tables are the store's newest; where that is news, those that follow are told at once, so that
// an age grows little from one node to the next.
func (h *Hub) confirm(at time.Time, reader vaneyoke.VMID, tables ...*table) {
	news := false
	for _, t := range tables {
		if !at.After(t.confirmed) {
			continue
		}
		if !t.MayLag {
			news = news || at.Sub(t.confirmed) > newsAge
			h.reader = reader
		}
		t.confirmed = at
	}
	if news {
		h.wake()
	}
}

// wake has those that follow be told.
func (h *Hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}
