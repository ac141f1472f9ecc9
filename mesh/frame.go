package mesh

import (
	"encoding/json"
	"maps"
	"net/url"
	"strconv"
	"time"

	"github.com/vaneyoke/vaneyoke/watch"
)

// frame is one line of what a node tells another: how old its tables are, and what has changed in them.
type frame struct {
	AgeMs  int64         `json:"age_ms"`
	Known  bool          `json:"known"` // whether the node holds all tables
	Tables []tableUpdate `json:"tables,omitempty"`
}

// tableUpdate leads from an earlier version of a table to a later one.
type tableUpdate struct {
	Name    string        `json:"name"`
	Version watch.Version `json:"version"`
	Rows    []rowUpdate   `json:"rows,omitempty"`
	// Keys are those of all rows as of the version; nil where no row went since the earlier one.
	Keys []string `json:"keys"`
}

// rowUpdate is a row that was written; the rows of these tables are JSON, and one that is not can be read by nobody.
type rowUpdate struct {
	Key     string          `json:"key"`
	Data    json.RawMessage `json:"data"`
	Version watch.Version   `json:"version"`
}

// told is the version of each table that another node holds.
type told map[string]watch.Version

// held returns the query by which a node tells another what it holds.
func (h *Hub) held() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	query := url.Values{}
	for name, t := range h.tables {
		if t.rows != nil {
			query.Set(name, strconv.FormatUint(uint64(t.version), 10))
		}
	}
	return query.Encode()
}

// toldOf reads what the other side holds.
func toldOf(query url.Values) told {
	before := told{}
	for name := range query {
		if version, err := strconv.ParseUint(query.Get(name), 10, 64); err == nil {
			before[name] = watch.Version(version)
		}
	}
	return before
}

// next returns the frame that leads from what was told to the hub's tables, and a channel that is closed at the next change.
func (h *Hub) next(now time.Time, before told) (frame, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	age, known := h.ageLocked(now)
	f := frame{AgeMs: age.Milliseconds(), Known: known}
	for name, t := range h.tables {
		had, ok := before[name]
		if t.rows == nil || (ok && had >= t.changed) {
			continue
		}
		f.Tables = append(f.Tables, t.since(name, had))
		before[name] = t.version
	}
	return f, h.changed
}

// since returns the update from what another node holds; a node that holds a later version gets nothing new.
func (t *table) since(name string, had watch.Version) tableUpdate {
	update := tableUpdate{Name: name, Version: t.version}
	for key, row := range t.rows {
		if row.Version > had && json.Valid(row.Data) {
			update.Rows = append(update.Rows, rowUpdate{Key: key, Data: row.Data, Version: row.Version})
		}
	}
	if had >= t.removed {
		return update
	}
	update.Keys = make([]string, 0, len(t.rows))
	for key := range t.rows {
		update.Keys = append(update.Keys, key)
	}
	return update
}

// take takes in a frame of another node.
func (h *Hub) take(now time.Time, f frame) {
	confirmed := now.Add(-time.Duration(f.AgeMs) * time.Millisecond)
	for _, update := range f.Tables {
		h.Set(now, update.Name, h.updated(update), update.Version, confirmed)
	}
	if f.Known {
		h.confirmAll(confirmed)
	}
}

// updated returns a table's rows after an update.
func (h *Hub) updated(update tableUpdate) watch.Rows {
	h.mu.Lock()
	defer h.mu.Unlock()
	rows := watch.Rows{}
	t := h.tables[update.Name]
	switch {
	case t == nil:
	case update.Keys == nil:
		maps.Copy(rows, t.rows)
	default:
		for _, key := range update.Keys {
			if row, ok := t.rows[key]; ok {
				rows[key] = row
			}
		}
	}
	for _, row := range update.Rows {
		rows[row.Key] = watch.Row{Data: row.Data, Version: row.Version}
	}
	return rows
}
