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
	mostFixed    = 20                     // windows that are fixed at a time
	mostCounted  = 2000                   // workspaces of a window, which a row of the store holds
	mostPerWrite = 40                     // rows that a transaction writes
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
		b.offer(e.Batch)
	case Loaded:
		b.load(e)
	case Committed:
		b.committed(e.Revision)
	case Failed:
		b.under, b.loading, b.loaded = nil, false, false
		b.retryAt = now.Add(retryAfter)
	case Sent:
		b.sent(now, e)
	case Tick:
		b.tick(now, e)
	}
	return b.effects
}

func (b *Book) emit(e Effect) { b.effects = append(b.effects, e) }

// offer keeps a batch until it is written; one that waits already does not wait twice.
func (b *Book) offer(batch Batch) {
	if !slices.ContainsFunc(b.pending, func(p Batch) bool { return p.is(&batch) }) {
		b.pending = append(b.pending, batch)
	}
}

func (b *Book) load(e Loaded) {
	b.loading, b.loaded = false, true
	b.ledger = e.Ledger
	b.rows = map[Window]Row{}
	for _, r := range e.Rows {
		b.rows[r.Window] = r
	}
	b.done = max(b.done, b.ledger.Floor)
}

// committed takes in that the rows stand as they were written.
func (b *Book) committed(revision vaneyoke.Revision) {
	c := b.under
	if c == nil {
		return
	}
	b.under = nil
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
	if !t.Writes && !t.Reports {
		if b.under == nil {
			b.loaded = false // others write meanwhile
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
	fixed := t.Reports && b.fix(c, put, t.Wall)
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
	for _, p := range b.pending {
		for window := range p.Counts {
			open = min(open, window)
		}
	}
	return open
}

// addTo adds the batches that wait to the rows, and reports whether there were any.
func (b *Book) addTo(c *Commit, put map[Window]Row, here Window) (took bool) {
	for i := range b.pending {
		batch := &b.pending[i]
		if !c.Ledger.Marks.covers(batch) {
			c.Ledger.Marks.take(batch, here)
			for window, counts := range batch.Counts {
				b.addCounts(c, put, window, counts)
			}
		}
		took = true
		if len(put) >= mostPerWrite {
			return took
		}
	}
	return took
}

func (b *Book) addCounts(c *Commit, put map[Window]Row, window Window, counts Counts) {
	row := b.rowFor(put, window)
	if window < c.Ledger.Floor || row.Fixed {
		total := 0
		for _, n := range counts {
			total += n
		}
		b.emit(Missed{Window: window, Requests: total})
		return
	}
	for workspace, n := range counts {
		if _, known := row.Counts[workspace]; known || len(row.Counts) < mostCounted {
			row.Counts[workspace] += n
		}
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
func (b *Book) fix(c *Commit, put map[Window]Row, wall time.Time) (any bool) {
	fixed := 0
	for window := max(c.Ledger.Floor, b.done); fixed < mostFixed && len(put) < mostPerWrite; window++ {
		if wall.Before(window.End(b.config.Length).Add(b.config.Late / fixShare)) {
			return any
		}
		row := b.rowFor(put, window)
		if row.Fixed {
			continue
		}
		row.Fixed = true
		put[window] = row
		any = true
		fixed++
	}
	return any
}

// remove takes off the windows that were reported.
func (b *Book) remove(c *Commit, put map[Window]Row) bool {
	reported := b.done > c.Ledger.Floor
	c.Ledger.Floor = max(c.Ledger.Floor, b.done)
	for _, window := range slices.Sorted(maps.Keys(b.rows)) {
		if window >= c.Ledger.Floor || len(c.Remove) >= mostPerWrite {
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
