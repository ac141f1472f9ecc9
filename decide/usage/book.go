package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Config holds the bounds of the reports.
type Config struct {
	Length time.Duration // of a window
	Late   time.Duration // time after a window's end within which it is to be reported
}

const (
	fixShare     = 2                      // part of the time after a window's end after which its counts are fixed
	commitEvery  = 500 * time.Millisecond // shortest time between two transactions
	retryAfter   = 500 * time.Millisecond // time after a call that failed before the next
	mostPending  = 256                    // batches that wait to be written
	mostPut      = 24                     // rows that a transaction writes: with their revisions and the ledger's, and those that it removes, they are fewer than the store takes
	mostRemoved  = 16                     // rows that a transaction removes
	mostPutBytes = 700_000                // estimated bytes of the rows that a transaction writes
	mostRowBytes = 48_000                 // estimated bytes of a row
	outageFrom   = 2 * time.Second        // of calls that fail from which the store was away
	lateQuiet    = 3 * time.Second        // without counts of windows that are due, after the store was away, before any is fixed
	lateMost     = 5 * time.Minute        // for which it is waited for such counts
	firstBack    = 1000                   // windows before those that are open that a ledger may begin with
)

// Book is a node's part in keeping the counts in the store and in reporting them: what is to be reported is fixed in the store before it is sent, so
// that whoever sends it, and however often, sends the same.
type Book struct {
	config Config

	loaded  bool
	ledger  Ledger
	rows    map[Window]Row
	pending []Batch
	done    Window // windows before this one have been reported

	under   *Commit // transaction on its way; nil for none
	loading bool
	sending bool
	failing time.Time // since when the store's calls fail; zero where the last one did not
	backAt  time.Time // when the store was back last
	lateAt  time.Time // when counts of a window that was due came last
	wall    time.Time // as it was told last
	retryAt time.Time // before which the store is not called
	sendAt  time.Time // before which nothing is sent

	effects []Effect
}

// NewBook returns the part of a node that knows nothing of the store.
func NewBook(config Config) *Book { return &Book{config: config, rows: map[Window]Row{}} }

// Full reports whether no further batch is taken.
func (b *Book) Full() bool { return len(b.pending) >= mostPending }

// Handle takes in an event and returns what the node has to do.
func (b *Book) Handle(now time.Time, ev Event) []Effect {
	b.effects = nil
	switch e := ev.(type) {
	case Offered:
		b.offer(now, e.Batch)
	case Loaded:
		b.load(now, e)
	case Committed:
		b.committed(now, e.Revision)
	case Failed:
		b.failed(now)
	case Sent:
		b.sent(now, e)
	case Tick:
		b.tick(now, e)
	}
	return b.effects
}

func (b *Book) emit(e Effect) { b.effects = append(b.effects, e) }

// offer keeps a batch until it is written; one that waits already does not wait twice.
func (b *Book) offer(now time.Time, batch Batch) {
	if slices.ContainsFunc(b.pending, func(p Batch) bool { return p.is(&batch) }) {
		return
	}
	b.pending = append(b.pending, batch)
	for window := range batch.Counts {
		if b.isDue(window) {
			b.lateAt = now
		}
	}
}

func (b *Book) isDue(window Window) bool {
	return !b.wall.Before(window.End(b.config.Length).Add(b.config.Late / fixShare))
}

func (b *Book) failed(now time.Time) {
	b.under, b.loading, b.loaded = nil, false, false
	b.retryAt = now.Add(retryAfter)
	if b.failing.IsZero() {
		b.failing = now
	}
}

// answered notes that the store has answered. After an outage, and where the node has just begun to write, the nodes still hold counts of windows that are due.
func (b *Book) answered(now time.Time) {
	if b.backAt.IsZero() || !b.failing.IsZero() && now.Sub(b.failing) >= outageFrom {
		b.backAt, b.lateAt = now, now
	}
	b.failing = time.Time{}
}

// awaitsCounts reports whether nothing is fixed yet, because the nodes still hand on what they kept during an outage.
func (b *Book) awaitsCounts(now time.Time) bool {
	return now.Sub(b.lateAt) < lateQuiet && now.Sub(b.backAt) < lateMost
}

func (b *Book) load(now time.Time, e Loaded) {
	b.loading, b.loaded = false, true
	b.answered(now)
	b.ledger = e.Ledger
	b.rows = map[Window]Row{}
	for _, r := range e.Rows {
		b.rows[r.Window] = r
	}
	b.done = max(b.done, b.ledger.Floor)
}

// committed takes in that the rows stand as they were written.
func (b *Book) committed(now time.Time, revision vaneyoke.Revision) {
	c := b.under
	if c == nil {
		return
	}
	b.under = nil
	b.answered(now)
	b.ledger = c.Ledger
	b.ledger.Revision = revision
	b.done = max(b.done, b.ledger.Floor)
	for _, r := range c.Put {
		r.Revision = revision
		b.rows[r.Window] = r
	}
	for _, r := range c.Remove {
		delete(b.rows, r.Window)
	}
	b.pending = slices.DeleteFunc(b.pending, func(batch Batch) bool {
		covered := b.ledger.Marks.covers(&batch)
		if covered {
			b.emit(Written{Origin: batch.Origin, Life: batch.Life, Seq: batch.Seq})
		}
		return covered
	})
}

func (b *Book) sent(now time.Time, e Sent) {
	b.sending = false
	if !e.Taken {
		b.sendAt = now.Add(retryAfter)
		return
	}
	b.done = max(b.done, e.Window+1)
}

func (b *Book) tick(now time.Time, t Tick) {
	b.wall = t.Wall
	if !t.Writes && !t.Reports {
		if b.under == nil {
			b.loaded, b.backAt = false, time.Time{} // others write meanwhile
		}
		return
	}
	switch {
	case b.under != nil, b.loading, now.Before(b.retryAt):
	case !b.loaded:
		b.loading = true
		b.emit(Load{})
	default:
		b.commit(now, t)
	}
	b.send(now, t)
}

// commit writes what waits, fixes the windows that are due, and removes those that were reported.
func (b *Book) commit(now time.Time, t Tick) {
	here := At(t.Wall, b.config.Length)
	c := &Commit{Ledger: b.ledger}
	c.Ledger.Marks = b.ledger.Marks.clone()
	created := c.Ledger.Revision == 0
	if created {
		c.Ledger.Floor = b.firstOf(At(t.Wall.Add(-b.config.Late/fixShare), b.config.Length)) // what nodes counted before may be on its way
	}
	put := map[Window]Row{}
	took := b.addTo(c, put, here)
	fixed := t.Reports && !b.awaitsCounts(now) && b.fix(c, put)
	removed := t.Reports && b.remove(c, put)
	if !created && !took && !fixed && !removed {
		return
	}
	for _, window := range slices.Sorted(maps.Keys(put)) {
		c.Put = append(c.Put, put[window])
	}
	b.under = c
	b.retryAt = now.Add(commitEvery)
	b.emit(*c)
}

// firstOf returns the first window that is reported where none was before: the first of those that are open, or that counts wait for.
func (b *Book) firstOf(open Window) Window {
	first := open
	for _, p := range b.pending {
		for window := range p.Counts {
			first = min(first, window)
		}
	}
	return max(first, open-firstBack)
}

// addTo adds the batches that wait to the rows, as far as a transaction holds them, and reports whether there were any.
func (b *Book) addTo(c *Commit, put map[Window]Row, here Window) (took bool) {
	for i := range b.pending {
		batch := &b.pending[i]
		if took && !b.hasRoom(put, batch) {
			return took
		}
		if !c.Ledger.Marks.covers(batch) {
			c.Ledger.Marks.take(batch, here)
			for window, counts := range batch.Counts {
				b.addCounts(c, put, window, counts)
			}
		}
		took = true
	}
	return took
}

// hasRoom reports whether a transaction that writes some rows can hold a batch's windows besides.
func (b *Book) hasRoom(put map[Window]Row, batch *Batch) bool {
	rows, bytes := len(put), 0
	for _, row := range put {
		bytes += row.Counts.bytes()
	}
	for window, counts := range batch.Counts {
		bytes += counts.bytes()
		if _, ok := put[window]; !ok {
			rows++
			bytes += b.rows[window].Counts.bytes()
		}
	}
	return rows <= mostPut && bytes <= mostPutBytes
}

func (b *Book) addCounts(c *Commit, put map[Window]Row, window Window, counts Counts) {
	row := b.rowFor(put, window)
	if window < c.Ledger.Floor || row.Fixed {
		b.emit(Missed{Window: window, Requests: counts.total()})
		return
	}
	bytes, missed := row.Counts.bytes(), 0
	for workspace, n := range counts {
		if _, known := row.Counts[workspace]; !known {
			if bytes += bytesOf(workspace); bytes > mostRowBytes {
				missed += n
				continue
			}
		}
		row.Counts[workspace] += n
	}
	if missed > 0 {
		b.emit(Missed{Window: window, Requests: missed})
	}
	put[window] = row
}

// rowFor returns a window's row as it is to be written, with counts of its own.
func (b *Book) rowFor(put map[Window]Row, window Window) Row {
	if row, ok := put[window]; ok {
		return row
	}
	row := b.rows[window]
	row.Window, row.Counts = window, maps.Clone(row.Counts)
	if row.Counts == nil {
		row.Counts = Counts{}
	}
	return row
}

// fix has the windows change no more whose time is over.
func (b *Book) fix(c *Commit, put map[Window]Row) (any bool) {
	for window := max(c.Ledger.Floor, b.done); b.isDue(window); window++ {
		row := b.rowFor(put, window)
		if row.Fixed {
			continue
		}
		if !b.hasRoom(put, &Batch{Counts: Windows{window: nil}}) {
			return any
		}
		row.Fixed = true
		put[window] = row
		any = true
	}
	return any
}

// remove takes off the windows that were reported.
func (b *Book) remove(c *Commit, put map[Window]Row) bool {
	reported := b.done > c.Ledger.Floor
	c.Ledger.Floor = max(c.Ledger.Floor, b.done)
	for _, window := range slices.Sorted(maps.Keys(b.rows)) {
		if window >= c.Ledger.Floor || len(c.Remove) >= mostRemoved {
			break
		}
		delete(put, window)
		c.Remove = append(c.Remove, b.rows[window])
	}
	return reported || len(c.Remove) > 0
}

// send reports the first window that was not reported, once the store holds that it is fixed.
func (b *Book) send(now time.Time, t Tick) {
	if !t.Reports || b.sending || now.Before(b.sendAt) {
		return
	}
	row, ok := b.rows[b.done]
	if !ok || !row.Fixed {
		return
	}
	b.sending = true
	b.emit(Send{Window: row.Window, Counts: row.Counts})
}
