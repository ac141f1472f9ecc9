package mesh

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// frame is one message from a node to a follower: the changes of its tables, their status, or both.
type frame struct {
	Status *tableStatus  `json:"beat,omitempty"`
	Tables []tableUpdate `json:"tables,omitempty"`
}

// tableStatus is the encoded form of a node's status of its tables.
type tableStatus struct {
	AgeMs    int64         `json:"age_ms"`
	Complete bool          `json:"known"`            // whether the node has all tables
	Reader   vaneyoke.VMID `json:"reader,omitempty"` // the node to which the store confirmed them
}

// newTableStatus returns the encoded form of a status.
func newTableStatus(status feed.TableStatus) tableStatus {
	return tableStatus{AgeMs: status.Age.Milliseconds(), Complete: status.Complete, Reader: status.Reader}
}

// maxAge caps the age in a status received from another node.
const maxAge = 24 * time.Hour

// decode returns the status with its age limited to the range from 0 to maxAge.
func (s tableStatus) decode() feed.TableStatus {
	age := min(max(s.AgeMs, 0), maxAge.Milliseconds())
	return feed.TableStatus{Age: time.Duration(age) * time.Millisecond, Complete: s.Complete, Reader: s.Reader}
}

// tableUpdate is the delta from an earlier version of a table to a later one.
type tableUpdate struct {
	Name    string        `json:"name"`
	Version watch.Version `json:"version"`
	Rows    []rowUpdate   `json:"rows,omitempty"`
	// Removed lists the keys of the rows removed since the earlier version; it is used only if Keys is nil.
	Removed []string `json:"gone,omitempty"`
	// Kept lists rows that are not among those of the later version and that are still used for a while.
	Kept []keptUpdate `json:"kept,omitempty"`
	// Keys lists the keys of all rows of the later version; nil if the sender knows which rows were removed.
	Keys []string `json:"keys"`
}

// rowUpdate is a row that was written. Rows must be JSON; no node could decode another one.
type rowUpdate struct {
	Key     string          `json:"key"`
	Data    json.RawMessage `json:"data"`
	Version watch.Version   `json:"version"`
}

// heldVersions are the versions of the tables that another node holds, by table name.
type heldVersions map[string]heldVersion

// heldVersion identifies the contents of a table.
type heldVersion struct {
	version    watch.Version
	subversion int // counts the changes within the same version; 0 for its first contents
}

// heldQuery encodes the versions that the hub holds as URL query parameters.
func (h *Hub) heldQuery() url.Values {
	h.mu.Lock()
	defer h.mu.Unlock()
	query := url.Values{}
	for name, t := range h.tables {
		if t.rows != nil && !t.isInexact {
			query.Set(name, strconv.FormatUint(uint64(t.version), 10))
		}
	}
	return query
}

// parseHeldVersions decodes the versions that the other node holds.
func parseHeldVersions(query url.Values) heldVersions {
	held := heldVersions{}
	for name := range query {
		if version, err := strconv.ParseUint(query.Get(name), 10, 64); err == nil {
			held[name] = heldVersion{version: watch.Version(version)}
		}
	}
	return held
}

// nextUpdate returns the packet with the changes since the held versions (nil if there are none), the status of the tables, and a channel
// that is closed at the next change. It sets held to the hub's versions. Followers that hold the same versions share one packet.
func (h *Hub) nextUpdate(now time.Time, held heldVersions) (packet, tableStatus, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	status := newTableStatus(h.statusLocked(now))
	key := h.packetKey(held)
	if key == "" {
		return nil, status, h.changed, nil
	}
	p, ok := h.packets[key]
	if !ok {
		var err error
		if p, err = pack(frame{Tables: h.updatesFor(now, held)}); err != nil {
			return nil, status, h.changed, err
		}
		if !h.hasKept() {
			h.packets[key] = p
		}
	}
	for name, t := range h.tables {
		if t.rows != nil && t.version >= held[name].version {
			held[name] = heldVersion{version: t.version, subversion: t.subversion}
		}
	}
	return p, status, h.changed, nil
}

// packetKey returns the cache key of the packet for a node with the held versions, "" if that node is up to date.
func (h *Hub) packetKey(held heldVersions) string {
	var key strings.Builder
	for _, name := range h.names {
		if base, ok := held[name]; h.tables[name].hasUpdate(base, ok) {
			fmt.Fprintf(&key, "%s:%d:%d:%t ", name, base.version, base.subversion, ok)
		}
	}
	return key.String()
}

// updatesFor returns the updates for a node with the held versions.
func (h *Hub) updatesFor(now time.Time, held heldVersions) []tableUpdate {
	var updates []tableUpdate
	for _, name := range h.names {
		if base, ok := held[name]; h.tables[name].hasUpdate(base, ok) {
			updates = append(updates, h.tables[name].updateFrom(now, name, base))
		}
	}
	return updates
}

// hasUpdate reports whether the table differs from the base version that a node holds; ok is false if it holds none.
func (t *table) hasUpdate(base heldVersion, ok bool) bool {
	return t.rows != nil && (!ok || base.version < t.changed || t.subversionDiffers(base))
}

// subversionDiffers reports whether a node holds the version of the table's last change with different rows.
func (t *table) subversionDiffers(base heldVersion) bool {
	return base.version == t.changed && base.subversion != t.subversion
}

// updateFrom returns the delta from a base version. For a base later than the table it has no rows.
func (t *table) updateFrom(now time.Time, name string, base heldVersion) tableUpdate {
	update := tableUpdate{Name: name, Version: t.version, Kept: t.keptUpdates(now)}
	baseVersion := base.version
	if t.subversionDiffers(base) && baseVersion > 0 {
		baseVersion--
	}
	var unreadable []string // left out, so that followers must not go on with the rows that they replaced
	for key, row := range t.rows {
		switch {
		case row.Version <= baseVersion:
		case json.Valid(row.Data):
			update.Rows = append(update.Rows, rowUpdate{Key: key, Data: row.Data, Version: row.Version})
		default:
			unreadable = append(unreadable, key)
		}
	}
	if !t.subversionDiffers(base) && t.removals.covers(baseVersion) {
		update.Removed = append(t.removals.removedSince(baseVersion), unreadable...)
		return update
	}
	update.Keys = make([]string, 0, len(t.rows))
	for key := range t.rows {
		if !slices.Contains(unreadable, key) {
			update.Keys = append(update.Keys, key)
		}
	}
	return update
}

// applyFrame applies a frame from another node. The packet that contained the frame is cached: followers that hold the versions which
// this node held before need the same changes, and receive the same packet. isExact is false for a source of an earlier build, which does not tell rows that it
// keeps apart from the store's.
func (h *Hub) applyFrame(now time.Time, f frame, p packet, isExact bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expireLocked(now)
	before, changed := h.heldVersions(), false
	for _, update := range f.Tables {
		isApplied := h.set(now, update.Name, h.mergedRows(update), update.Version, decodeKept(now, update.Kept)) // the next status carries the time of the confirmation
		changed = changed || isApplied
		if t := h.tables[update.Name]; t != nil {
			t.noteSource(update, isApplied, isExact)
		}
	}
	if changed && len(p) > 0 && !h.hasKept() {
		h.packets[h.packetKey(before)] = p
	}
	if changed {
		h.notify()
	}
	if f.Status != nil && f.Status.Complete {
		for _, t := range h.tables {
			t.missingAtSource = t.Optional && t.rows == nil // the source sends all tables it has before this status
		}
		h.confirmAll(now.Add(-f.Status.decode().Age), f.Status.Reader)
	}
}

// noteSource records whether the rows may hold some that the store does not have, after an update: until a source that tells these apart has named all keys.
func (t *table) noteSource(update tableUpdate, isApplied, isExact bool) {
	switch {
	case isExact && update.Keys != nil && update.Version >= t.version:
		t.isInexact = false
	case isApplied && !isExact:
		t.isInexact = true
	}
}

// heldVersions returns the versions that the hub holds.
func (h *Hub) heldVersions() heldVersions {
	held := heldVersions{}
	for name, t := range h.tables {
		if t.rows != nil {
			held[name] = heldVersion{version: t.version, subversion: t.subversion}
		}
	}
	return held
}

// mergedRows returns a table's rows with an update applied.
func (h *Hub) mergedRows(update tableUpdate) watch.Rows {
	rows := watch.Rows{}
	t := h.tables[update.Name]
	switch {
	case t == nil:
	case update.Keys == nil:
		maps.Copy(rows, t.rows)
		for _, key := range update.Removed {
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
