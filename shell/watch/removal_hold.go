package watch

import (
	"maps"
	"time"
)

// minOutage is how long the store must have been down before missing rows are attributed to the outage.
const minOutage = time.Second

// removalHold delays the removal of rows that are missing when the store comes back after an outage. Their writers could not
// reach the store either, so some rows have expired and will be written again within a short grace period.
type removalHold struct {
	outageStart time.Time // of the present outage; the zero time for none
	until       time.Time // missing rows are kept until then
	rows        Rows      // missing in the store, and kept
}

// storeFailed records that a call to the store failed.
func (h *removalHold) storeFailed(now time.Time) {
	if h.outageStart.IsZero() {
		h.outageStart = now
	}
}

// storeRecovered records that the store can be read; after an outage, missing rows are kept for the grace period.
func (h *removalHold) storeRecovered(now time.Time, grace time.Duration) {
	if !h.outageStart.IsZero() && now.Sub(h.outageStart) >= minOutage {
		h.until = now.Add(grace)
	}
	h.outageStart = time.Time{}
}

// rowRemoved records that the store no longer has a row.
func (h *removalHold) rowRemoved(now time.Time, key string, row Row) {
	if !now.Before(h.until) {
		return
	}
	if h.rows == nil {
		h.rows = Rows{}
	}
	h.rows[key] = row
}

// remaining returns for how long missing rows are still kept; ok is false if there are none.
func (h *removalHold) remaining(now time.Time) (left time.Duration, ok bool) {
	return max(h.until.Sub(now), 0), len(h.rows) > 0
}

// expire drops the kept rows once the grace period is over, and reports whether there were any.
func (h *removalHold) expire(now time.Time) bool {
	if len(h.rows) == 0 || now.Before(h.until) {
		return false
	}
	h.rows = nil
	return true
}

// merge returns the store's rows together with the kept ones; a row that the store has again is no longer kept.
func (h *removalHold) merge(rows Rows) Rows {
	maps.DeleteFunc(h.rows, func(key string, _ Row) bool {
		_, back := rows[key]
		return back
	})
	if len(h.rows) == 0 {
		return rows
	}
	all := maps.Clone(rows)
	maps.Copy(all, h.rows)
	return all
}
