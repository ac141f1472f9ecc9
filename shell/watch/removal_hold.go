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

// kept returns the rows that are kept beside the store's; one that the store has again is no longer kept.
func (h *removalHold) kept(now time.Time, rows Rows) Kept {
	if !now.Before(h.until) {
		h.rows = nil
	}
	maps.DeleteFunc(h.rows, func(key string, _ Row) bool {
		_, back := rows[key]
		return back
	})
	return Kept{Rows: h.rows, Until: h.until}
}
