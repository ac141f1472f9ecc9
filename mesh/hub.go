package mesh

import (
	"maps"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke/watch"
)

// Hub holds a copy of the store's tables, and when the store last confirmed them.
type Hub struct {
	mu      sync.Mutex
	tables  map[string]*table
	changed chan struct{} // closed at the next change
}

// Table is a table of the store that the nodes tell one another.
type Table struct {
	Source watch.Source
	Apply  func(now time.Time, rows watch.Rows) // takes in the rows after a change; it must not keep or change them
	MayLag bool                                 // whether the table's age does not count
}

type table struct {
	Table
	rows      watch.Rows
	version   watch.Version // up to which the rows are complete
	changed   watch.Version // at which they changed last
	removed   watch.Version // at which a row went last; what went before the first look is not known
	confirmed time.Time     // as of which the rows are the store's newest
}

// NewHub returns a hub of tables that hold nothing yet.
func NewHub(tables map[string]Table) *Hub {
	h := &Hub{tables: map[string]*table{}, changed: make(chan struct{})}
	for name, t := range tables {
		h.tables[name] = &table{Table: t}
	}
	return h
}

// Set takes in a table's rows as of a version; an older version than the hub's is left aside.
func (h *Hub) Set(now time.Time, name string, rows watch.Rows, version watch.Version, confirmed time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.tables[name]
	if t == nil || version < t.version {
		return
	}
	if confirmed.After(t.confirmed) {
		t.confirmed = confirmed
	}
	t.version = version
	if t.rows != nil && maps.EqualFunc(t.rows, rows, sameVersion) {
		return
	}
	if t.rows == nil || lacksAny(rows, t.rows) {
		t.removed = version
	}
	t.rows, t.changed = maps.Clone(rows), version
	t.Apply(now, t.rows)
	close(h.changed)
	h.changed = make(chan struct{})
}

// Confirm notes that the store has confirmed a table up to a version.
func (h *Hub) Confirm(name string, version watch.Version, confirmed time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.tables[name]
	if t == nil || t.rows == nil || version < t.version {
		return
	}
	t.version = version
	if confirmed.After(t.confirmed) {
		t.confirmed = confirmed
	}
}

// Age returns how long ago the store confirmed the table that was confirmed the longest ago, of those that may not lag;
// ok is false where a table holds nothing yet.
func (h *Hub) Age(now time.Time) (age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ageLocked(now)
}

func (h *Hub) ageLocked(now time.Time) (time.Duration, bool) {
	oldest := time.Duration(0)
	for _, t := range h.tables {
		if t.rows == nil {
			return 0, false
		}
		if t.MayLag {
			continue
		}
		oldest = max(oldest, now.Sub(t.confirmed))
	}
	return oldest, true
}

// lacksAny reports whether a row of before is not among the rows.
func lacksAny(rows, before watch.Rows) bool {
	for key := range before {
		if _, ok := rows[key]; !ok {
			return true
		}
	}
	return false
}

func sameVersion(a, b watch.Row) bool { return a.Version == b.Version }

// confirmAll notes that the store has confirmed all tables.
func (h *Hub) confirmAll(confirmed time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.tables {
		if confirmed.After(t.confirmed) {
			t.confirmed = confirmed
		}
	}
}
