package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Config holds the timing of the reports.
type Config struct {
	WindowLength   time.Duration
	ReportDeadline time.Duration // time after a window's end within which it must be reported
}

const (
	finalizeDivisor   = 2                      // a window's counts become final after this part of ReportDeadline
	repeatDivisor     = 4                      // the last part of ReportDeadline is left to repeated calls to the store and the platform
	commitInterval    = 500 * time.Millisecond // minimum time between two transactions
	retryDelay        = 500 * time.Millisecond // time after a failed call before the next one
	maxPendingBatches = 256                    // batches waiting to be written
	maxRowsPut        = 24                     // rows that a transaction writes: with their expected revisions, the ledger and the removed rows, they stay below the store's limit
	maxRowsRemoved    = 16                     // rows that a transaction removes
	maxPutBytes       = 700_000                // estimated bytes of the rows that a transaction writes
	maxRowBytes       = 48_000                 // estimated bytes of a row
	minOutage         = 2 * time.Second        // store calls must fail for this long to count as an outage
	lateCountsQuiet   = 3 * time.Second        // after an outage, no window becomes final until no counts of due windows came for this long
	maxLateCountsWait = 5 * time.Minute        // longest wait for such counts
	maxBackfill       = 1000                   // windows before the open ones with which a new ledger may begin
)

// Reporter writes the counts to the store and reports them to the platform. The counts of a window are final in the store before they are sent, so that
// every report of it is the same, whichever node sends it and however often.
type Reporter struct {
	config Config

	loaded     bool
	ledger     Ledger
	rows       map[Window]Row
	pending    []Batch
	nextReport Window // windows before this one have been reported

	inFlight     *Commit // transaction in flight; nil for none
	loading      bool
	sending      bool
	failingSince time.Time // since when store calls fail; zero if the last one succeeded
	recoveredAt  time.Time // end of the last outage, or when the node began to write
	afterOutage  bool      // whether recoveredAt is the end of an outage
	lateCountsAt time.Time // when counts of a due window were last received
	wall         time.Time // at the last Tick
	retryAt      time.Time // the store is not called before this
	sendAt       time.Time // no report is sent before this

	effects []Effect
}

// NewReporter returns a reporter that has not loaded the store's rows.
func NewReporter(config Config) *Reporter { return &Reporter{config: config, rows: map[Window]Row{}} }

// Full reports whether no further batch is accepted.
func (r *Reporter) Full() bool { return len(r.pending) >= maxPendingBatches }

// Handle processes an event and returns the effects to carry out.
func (r *Reporter) Handle(now time.Time, ev Event) []Effect {
	r.effects = nil
	switch e := ev.(type) {
	case BatchReceived:
		r.receive(now, e.Batch)
	case Loaded:
		r.load(now, e)
	case Committed:
		r.committed(now, e.Revision)
	case Failed:
		r.failed(now)
	case ReportSent:
		r.reportSent(now, e)
	case Tick:
		r.tick(now, e)
	}
	return r.effects
}

func (r *Reporter) emit(e Effect) { r.effects = append(r.effects, e) }

// receive keeps a batch until it is written; duplicates of pending batches are ignored.
func (r *Reporter) receive(now time.Time, batch Batch) {
	if slices.ContainsFunc(r.pending, func(p Batch) bool { return p.sameAs(&batch) }) {
		return
	}
	r.pending = append(r.pending, batch)
	for window := range batch.Counts {
		if r.isDue(window) {
			r.lateCountsAt = now
		}
	}
}

func (r *Reporter) isDue(window Window) bool {
	return !r.wall.Before(window.End(r.config.WindowLength).Add(r.config.ReportDeadline / finalizeDivisor))
}

func (r *Reporter) failed(now time.Time) {
	r.inFlight, r.loading, r.loaded = nil, false, false
	r.retryAt = now.Add(retryDelay)
	if r.failingSince.IsZero() {
		r.failingSince = now
	}
}

// storeAnswered records that the store has answered. After an outage, and when the node has just begun to write, other nodes still hold counts of due windows.
func (r *Reporter) storeAnswered(now time.Time) {
	outage := !r.failingSince.IsZero() && now.Sub(r.failingSince) >= minOutage
	if r.recoveredAt.IsZero() || outage {
		r.recoveredAt, r.lateCountsAt, r.afterOutage = now, now, outage
	}
	r.failingSince = time.Time{}
}

// awaitsLateCounts reports whether a window may not become final yet, because other nodes still send the counts that they buffered during an outage,
// or while no node wrote. In the latter case they buffered them for seconds only, and the window is reported in time.
func (r *Reporter) awaitsLateCounts(now time.Time, window Window) bool {
	if now.Sub(r.lateCountsAt) >= lateCountsQuiet || now.Sub(r.recoveredAt) >= maxLateCountsWait {
		return false
	}
	latest := window.End(r.config.WindowLength).Add(r.config.ReportDeadline - r.config.ReportDeadline/repeatDivisor)
	return r.afterOutage || r.wall.Before(latest)
}

func (r *Reporter) load(now time.Time, e Loaded) {
	r.loading, r.loaded = false, true
	r.storeAnswered(now)
	r.ledger = e.Ledger
	r.rows = map[Window]Row{}
	for _, row := range e.Rows {
		r.rows[row.Window] = row
	}
	r.nextReport = max(r.nextReport, r.ledger.FirstUnreported)
}

// committed updates the state after a transaction was applied.
func (r *Reporter) committed(now time.Time, revision vaneyoke.Revision) {
	c := r.inFlight
	if c == nil {
		return
	}
	r.inFlight = nil
	r.storeAnswered(now)
	r.ledger = c.Ledger
	r.ledger.Revision = revision
	r.nextReport = max(r.nextReport, r.ledger.FirstUnreported)
	for _, row := range c.Put {
		row.Revision = revision
		r.rows[row.Window] = row
	}
	for _, row := range c.Remove {
		delete(r.rows, row.Window)
	}
	r.pending = slices.DeleteFunc(r.pending, func(batch Batch) bool {
		covered := r.ledger.Watermarks.covers(&batch)
		if covered {
			r.emit(Written{Origin: batch.Origin, Life: batch.Life, Seq: batch.Seq})
		}
		return covered
	})
}

func (r *Reporter) reportSent(now time.Time, e ReportSent) {
	r.sending = false
	if !e.Accepted {
		r.sendAt = now.Add(retryDelay)
		return
	}
	r.nextReport = max(r.nextReport, e.Window+1)
}

func (r *Reporter) tick(now time.Time, t Tick) {
	r.wall = t.Wall
	if !t.MayWrite && !t.MayReport {
		if r.inFlight == nil {
			r.loaded, r.recoveredAt = false, time.Time{} // others write meanwhile
		}
		return
	}
	switch {
	case r.inFlight != nil, r.loading, now.Before(r.retryAt):
	case !r.loaded:
		r.loading = true
		r.emit(Load{})
	default:
		r.commit(now, t)
	}
	r.sendReport(now, t)
}

// commit writes the pending batches, makes the counts of due windows final, and removes the windows that were reported.
func (r *Reporter) commit(now time.Time, t Tick) {
	current := WindowAt(t.Wall, r.config.WindowLength)
	c := &Commit{Ledger: r.ledger}
	c.Ledger.Watermarks = r.ledger.Watermarks.clone()
	created := c.Ledger.Revision == 0
	if created {
		c.Ledger.FirstUnreported = r.firstWindow(WindowAt(t.Wall.Add(-r.config.ReportDeadline/finalizeDivisor), r.config.WindowLength)) // earlier counts of other nodes may still be in flight
	}
	put := map[Window]Row{}
	added := r.addPending(c, put, current)
	finalized := t.MayReport && r.finalize(now, c, put)
	removed := t.MayReport && r.removeReported(c, put)
	if !created && !added && !finalized && !removed {
		return
	}
	for _, window := range slices.Sorted(maps.Keys(put)) {
		c.Put = append(c.Put, put[window])
	}
	r.inFlight = c
	r.retryAt = now.Add(commitInterval)
	r.emit(*c)
}

// firstWindow returns the first window to report with a new ledger: the first that is open or has pending counts.
func (r *Reporter) firstWindow(open Window) Window {
	first := open
	for _, p := range r.pending {
		for window := range p.Counts {
			first = min(first, window)
		}
	}
	return max(first, open-maxBackfill)
}

// addPending adds the pending batches to the rows, as far as they fit into a transaction, and reports whether there were any.
func (r *Reporter) addPending(c *Commit, put map[Window]Row, current Window) (added bool) {
	for i := range r.pending {
		batch := &r.pending[i]
		if added && !r.fits(put, batch) {
			return added
		}
		if !c.Ledger.Watermarks.covers(batch) {
			c.Ledger.Watermarks.record(batch, current)
			for window, counts := range batch.Counts {
				r.addCounts(c, put, window, counts)
			}
		}
		added = true
	}
	return added
}

// fits reports whether a transaction that writes the rows in put can also hold the windows of a batch.
func (r *Reporter) fits(put map[Window]Row, batch *Batch) bool {
	rows, bytes := len(put), 0
	for _, row := range put {
		bytes += row.Counts.estimatedBytes()
	}
	for window, counts := range batch.Counts {
		bytes += counts.estimatedBytes()
		if _, ok := put[window]; !ok {
			rows++
			bytes += r.rows[window].Counts.estimatedBytes()
		}
	}
	return rows <= maxRowsPut && bytes <= maxPutBytes
}

func (r *Reporter) addCounts(c *Commit, put map[Window]Row, window Window, counts Counts) {
	row := r.rowFor(put, window)
	if window < c.Ledger.FirstUnreported || row.Final {
		r.emit(Missed{Window: window, Requests: counts.total()})
		return
	}
	bytes, missed := row.Counts.estimatedBytes(), 0
	for workspace, n := range counts {
		if _, known := row.Counts[workspace]; !known {
			if bytes += workspaceBytes(workspace); bytes > maxRowBytes {
				missed += n
				continue
			}
		}
		row.Counts[workspace] += n
	}
	if missed > 0 {
		r.emit(Missed{Window: window, Requests: missed})
	}
	put[window] = row
}

// rowFor returns the row of a window to write, with its own copy of the counts.
func (r *Reporter) rowFor(put map[Window]Row, window Window) Row {
	if row, ok := put[window]; ok {
		return row
	}
	row := r.rows[window]
	row.Window, row.Counts = window, maps.Clone(row.Counts)
	if row.Counts == nil {
		row.Counts = Counts{}
	}
	return row
}

// finalize makes the counts of due windows final.
func (r *Reporter) finalize(now time.Time, c *Commit, put map[Window]Row) (any bool) {
	for window := max(c.Ledger.FirstUnreported, r.nextReport); r.isDue(window) && !r.awaitsLateCounts(now, window); window++ {
		row := r.rowFor(put, window)
		if row.Final {
			continue
		}
		if !r.fits(put, &Batch{Counts: Windows{window: nil}}) {
			return any
		}
		row.Final = true
		put[window] = row
		any = true
	}
	return any
}

// removeReported removes the rows of windows that were reported.
func (r *Reporter) removeReported(c *Commit, put map[Window]Row) bool {
	reported := r.nextReport > c.Ledger.FirstUnreported
	c.Ledger.FirstUnreported = max(c.Ledger.FirstUnreported, r.nextReport)
	for _, window := range slices.Sorted(maps.Keys(r.rows)) {
		if window >= c.Ledger.FirstUnreported || len(c.Remove) >= maxRowsRemoved {
			break
		}
		delete(put, window)
		c.Remove = append(c.Remove, r.rows[window])
	}
	return reported || len(c.Remove) > 0
}

// sendReport reports the first unreported window, once the store holds its counts as final.
func (r *Reporter) sendReport(now time.Time, t Tick) {
	if !t.MayReport || r.sending || now.Before(r.sendAt) {
		return
	}
	row, ok := r.rows[r.nextReport]
	if !ok || !row.Final {
		return
	}
	r.sending = true
	r.emit(SendReport{Window: row.Window, Counts: row.Counts})
}
