package mesh

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// frame is one message of a node to another: what has changed in its tables, or how old they are.
type frame struct {
	Beat   *beat         `json:"beat,omitempty"`
	Tables []tableUpdate `json:"tables,omitempty"`
}

// beat tells how old a node's tables are.
type beat struct {
	AgeMs  int64         `json:"age_ms"`
	Known  bool          `json:"known"`            // whether the node holds all tables
	Reader vaneyoke.VMID `json:"reader,omitempty"` // the node that the store confirmed them to
}

// beatOf returns the beat that says a word.
func beatOf(w feed.TableStatus) beat {
	return beat{AgeMs: w.Age.Milliseconds(), Known: w.Complete, Reader: w.Reader}
}

// longestAge is the longest age that a beat tells.
const longestAge = 24 * time.Hour

// word returns what a beat says, as far as it can be true.
func (b beat) word() feed.TableStatus {
	age := min(max(b.AgeMs, 0), longestAge.Milliseconds())
	return feed.TableStatus{Age: time.Duration(age) * time.Millisecond, Complete: b.Known, Reader: b.Reader}
}

// tableUpdate leads from an earlier version of a table to a later one.
type tableUpdate struct {
	Name    string        `json:"name"`
	Version watch.Version `json:"version"`
	Rows    []rowUpdate   `json:"rows,omitempty"`
	// Gone are the keys of the rows that went since the earlier version, where Keys does not tell all that are left.
	Gone []string `json:"gone,omitempty"`
	// Keys are those of all rows as of the version; nil where it is known which rows went.
	Keys []string `json:"keys"`
}

// rowUpdate is a row that was written; the rows of these tables are JSON, and one that is not can be read by nobody.
type rowUpdate struct {
	Key     string          `json:"key"`
	Data    json.RawMessage `json:"data"`
	Version watch.Version   `json:"version"`
}

// told is what another node holds of each table.
type told map[string]hold

// hold is how far a node holds a table.
type hold struct {
	version watch.Version
	edition int // among those of the version; 0 for the first
}

// held returns the query by which a node tells another what it holds.
func (h *Hub) held() url.Values {
	h.mu.Lock()
	defer h.mu.Unlock()
	query := url.Values{}
	for name, t := range h.tables {
		if t.rows != nil {
			query.Set(name, strconv.FormatUint(uint64(t.version), 10))
		}
	}
	return query
}

// toldOf reads what the other side holds.
func toldOf(query url.Values) told {
	before := told{}
	for name := range query {
		if version, err := strconv.ParseUint(query.Get(name), 10, 64); err == nil {
			before[name] = hold{version: watch.Version(version)}
		}
	}
	return before
}

// next returns the packet that leads from what was told to the hub's tables, nil where nothing changed, how old the
// tables are, and a channel that is closed at the next change. Nodes that were told the same get one packet.
func (h *Hub) next(now time.Time, before told) (packet, beat, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := beatOf(h.wordLocked(now))
	key := h.behind(before)
	if key == "" {
		return nil, b, h.changed, nil
	}
	p, ok := h.packets[key]
	if !ok {
		var err error
		if p, err = pack(frame{Tables: h.updates(before)}); err != nil {
			return nil, b, h.changed, err
		}
		h.packets[key] = p
	}
	for name, t := range h.tables {
		if t.rows != nil && t.version >= before[name].version {
			before[name] = hold{version: t.version, edition: t.edition}
		}
	}
	return p, b, h.changed, nil
}

// behind names what has to be told to a node that holds some versions, "" for nothing.
func (h *Hub) behind(before told) string {
	var key strings.Builder
	for _, name := range h.names {
		if had, ok := before[name]; h.tables[name].newer(had, ok) {
			fmt.Fprintf(&key, "%s:%d:%d:%t ", name, had.version, had.edition, ok)
		}
	}
	return key.String()
}

// updates returns what a node that holds some versions lacks.
func (h *Hub) updates(before told) []tableUpdate {
	var updates []tableUpdate
	for _, name := range h.names {
		if had, ok := before[name]; h.tables[name].newer(had, ok) {
			updates = append(updates, h.tables[name].since(name, had))
		}
	}
	return updates
}

// newer reports whether the table holds other rows than a node that holds it so far, or nothing of it.
func (t *table) newer(had hold, ok bool) bool {
	return t.rows != nil && (!ok || had.version < t.changed || t.otherEdition(had))
}

// otherEdition reports whether a node holds other rows of the version at which the table changed last.
func (t *table) otherEdition(had hold) bool {
	return had.version == t.changed && had.edition != t.edition
}

// since returns the update from what another node holds; a node that holds a later version gets nothing new.
func (t *table) since(name string, before hold) tableUpdate {
	update := tableUpdate{Name: name, Version: t.version}
	had := before.version
	if t.otherEdition(before) && had > 0 {
		had--
	}
	for key, row := range t.rows {
		if row.Version > had && json.Valid(row.Data) {
			update.Rows = append(update.Rows, rowUpdate{Key: key, Data: row.Data, Version: row.Version})
		}
	}
	if !t.otherEdition(before) && t.removals.known(had) {
		update.Gone = t.removals.after(had)
		return update
	}
	update.Keys = make([]string, 0, len(t.rows))
	for key := range t.rows {
		update.Keys = append(update.Keys, key)
	}
	return update
}

// take takes in a frame of another node, and the packet that it came in. Nodes that follow this one and hold what it held lack
// what the packet says, and are told by the same one.
func (h *Hub) take(now time.Time, f frame, p packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, news := h.holds(), false
	for _, update := range f.Tables {
		news = h.set(now, update.Name, h.updated(update), update.Version) || news // the next beat says as of when
	}
	if news && len(p) > 0 {
		h.packets[h.behind(before)] = p
	}
	if news {
		h.wake()
	}
	if f.Beat != nil && f.Beat.Known {
		for _, t := range h.tables {
			t.lacking = t.Spare && t.rows == nil // what it holds was told before
		}
		h.confirmAll(now.Add(-f.Beat.word().Age), f.Beat.Reader)
	}
}

// holds returns how far the hub holds its tables.
func (h *Hub) holds() told {
	holds := told{}
	for name, t := range h.tables {
		if t.rows != nil {
			holds[name] = hold{version: t.version, edition: t.edition}
		}
	}
	return holds
}

// updated returns a table's rows after an update.
func (h *Hub) updated(update tableUpdate) watch.Rows {
	rows := watch.Rows{}
	t := h.tables[update.Name]
	switch {
	case t == nil:
	case update.Keys == nil:
		maps.Copy(rows, t.rows)
		for _, key := range update.Gone {
			delete(rows, key)
		}
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
