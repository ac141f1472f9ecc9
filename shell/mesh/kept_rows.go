package mesh

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// keptRow is a row that the store does not have any more and that is used until a time.
type keptRow struct {
	row   watch.Row
	until time.Time
}

// keptUpdate is the encoded form of a row that is kept beside those of a table.
type keptUpdate struct {
	rowUpdate
	LeftMs int64 `json:"left_ms"` // for which it is still used
}

func keepUntil(rows watch.Rows, until time.Time) map[string]keptRow {
	kept := make(map[string]keptRow, len(rows))
	for key, row := range rows {
		kept[key] = keptRow{row, until}
	}
	return kept
}

// keep decides which rows are kept beside the new rows of a table: of those that its source keeps, the ones that go now. A row that this hub has known as gone,
// or whose time is over, is not used again.
func (h *Hub) keep(now time.Time, name string, t *table, rows watch.Rows, kept map[string]keptRow) {
	maps.DeleteFunc(t.kept, func(key string, k keptRow) bool {
		_, isBack := rows[key]
		return isBack || !now.Before(k.until)
	})
	added := 0
	for key, k := range kept {
		_, isInStore := rows[key]
		_, isKept := t.kept[key]
		_, goes := t.rows[key]
		k.until = earlier(k.until, now.Add(t.Grace))
		if isInStore || isKept || (t.rows != nil && !goes) || !now.Before(k.until) {
			continue
		}
		if t.kept == nil {
			t.kept = map[string]keptRow{}
		}
		t.kept[key] = k
		added++
	}
	if added > 0 {
		h.log.WithFields(logrus.Fields{"table": name, "count": added}).Info("rows_kept")
		h.scheduleExpiry(now)
	}
}

// apply passes on the rows in use: the store's and those that are kept.
func (t *table) apply(now time.Time) {
	if len(t.kept) == 0 {
		t.Apply(now, t.rows)
		return
	}
	all := maps.Clone(t.rows)
	for key, k := range t.kept {
		all[key] = k.row
	}
	t.Apply(now, all)
}

// scheduleExpiry ends the use of kept rows in time, whatever becomes of the source that they came from.
func (h *Hub) scheduleExpiry(now time.Time) {
	var next time.Time
	for _, t := range h.tables {
		for _, k := range t.kept {
			if next.IsZero() || k.until.Before(next) {
				next = k.until
			}
		}
	}
	if h.expiry != nil {
		h.expiry.Stop()
		h.expiry = nil
	}
	if !next.IsZero() {
		h.expiry = time.AfterFunc(next.Sub(now), func() { h.expireKept(steady.Now()) })
	}
}

// expireKept ends the use of the kept rows whose time is over.
func (h *Hub) expireKept(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expireLocked(now)
	h.scheduleExpiry(now)
}

// expireLocked is called with each change, too, since timers stand still while a VM is suspended.
func (h *Hub) expireLocked(now time.Time) {
	for name, t := range h.tables {
		before := len(t.kept)
		maps.DeleteFunc(t.kept, func(_ string, k keptRow) bool { return !now.Before(k.until) })
		if ended := before - len(t.kept); ended > 0 {
			h.log.WithFields(logrus.Fields{"table": name, "count": ended}).Info("kept_rows_ended")
			t.apply(now)
		}
	}
}

// hasKept reports whether any table keeps rows; updates then hold times, so that they are not cached.
func (h *Hub) hasKept() bool {
	for _, t := range h.tables {
		if len(t.kept) > 0 {
			return true
		}
	}
	return false
}

// keptUpdates returns the encoded form of the rows that a table keeps.
func (t *table) keptUpdates(now time.Time) (updates []keptUpdate) {
	for key, k := range t.kept {
		if left := k.until.Sub(now); left > 0 && json.Valid(k.row.Data) {
			updates = append(updates, keptUpdate{rowUpdate{Key: key, Data: k.row.Data, Version: k.row.Version}, left.Milliseconds()})
		}
	}
	return updates
}

// decodeKept returns the rows that the source of an update keeps.
func decodeKept(now time.Time, updates []keptUpdate) map[string]keptRow {
	kept := make(map[string]keptRow, len(updates))
	for _, u := range updates {
		left := time.Duration(min(max(u.LeftMs, 0), maxAge.Milliseconds())) * time.Millisecond
		kept[u.Key] = keptRow{watch.Row{Data: u.Data, Version: u.Version}, now.Add(left)}
	}
	return kept
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
