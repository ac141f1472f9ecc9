package mesh

import (
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// newKeepingHub returns a hub that keeps rows, and those that it has in use.
func newKeepingHub() (*Hub, *usedRows) {
	got := &usedRows{}
	return NewHub(map[string]Table{"t": {Grace: modelGrace, Apply: func(_ time.Time, rows watch.Rows) { got.set(rows) }}}), got
}

// usedRows holds the rows that a hub has in use.
type usedRows struct {
	mu   sync.Mutex
	rows watch.Rows
}

func (u *usedRows) set(rows watch.Rows) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rows = maps.Clone(rows)
}

func (u *usedRows) get() watch.Rows {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rows
}

// sendFrame passes what a hub has for a node with the held versions to that node.
func sendFrame(t *testing.T, from, to *Hub, held heldVersions, isExact bool) frame {
	t.Helper()
	p, _, _, err := from.nextUpdate(steady.Now(), held)
	must.NoError(t, err)
	if p == nil {
		return frame{}
	}
	f, err := p.unpack()
	must.NoError(t, err)
	to.applyFrame(steady.Now(), f, p, isExact)
	return f
}

var (
	bothRows = watch.Rows{"a": row("1", 1), "b": row("2", 2)}
	oneRow   = watch.Rows{"a": row("1", 1)}
	goneRow  = watch.Rows{"b": row("2", 2)}
)

// Guards against followers that drop rows at once which went during an outage, or that use them for longer than their source, or after it has ended.
func TestKeptRowsEndInTimeAtFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, inUse := newKeepingHub()
		near, nearInUse := newKeepingHub()
		far, farInUse := newKeepingHub()
		starting, startingInUse := newKeepingHub()
		aware, awareInUse := newKeepingHub()
		nearHeld, farHeld := heldVersions{}, heldVersions{}
		reader.Set(steady.Now(), "t", bothRows, 2, watch.Kept{})
		sendFrame(t, reader, near, nearHeld, true)
		sendFrame(t, near, far, farHeld, true)
		aware.Set(steady.Now(), "t", oneRow, 3, watch.Kept{})
		until := steady.Now().Add(time.Second)
		reader.Set(steady.Now(), "t", oneRow, 3, watch.Kept{Rows: goneRow, Until: until})
		time.Sleep(400 * time.Millisecond)
		sendFrame(t, reader, near, nearHeld, true)
		sendFrame(t, near, far, farHeld, true)
		sendFrame(t, far, starting, heldVersions{}, true)
		sendFrame(t, reader, aware, heldVersions{"t": {version: 2}}, true)
		for _, rows := range []*usedRows{inUse, nearInUse, farInUse, startingInUse} {
			must.Eq(t, bothRows, rows.get())
		}
		must.Eq(t, oneRow, awareInUse.get()) // it knew that the row is gone
		time.Sleep(time.Until(until) + 10*time.Millisecond)
		for _, rows := range []*usedRows{inUse, nearInUse, farInUse, startingInUse} {
			must.Eq(t, oneRow, rows.get())
		}
	})
}

// Guards against rows of an earlier build's hold that stay, because that build hands them on as the store's and then ends.
func TestRowsOfEarlierBuildsAreReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		earlier, _ := newKeepingHub()
		later, _ := newKeepingHub()
		follower, inUse := newKeepingHub()
		earlier.Set(steady.Now(), "t", bothRows, 3, watch.Kept{}) // at version 3 the store has one row
		sendFrame(t, earlier, follower, heldVersions{}, false)
		_, _, ok := follower.Snapshot("t")
		must.False(t, ok) // it does not resume reading from these
		later.Set(steady.Now(), "t", oneRow, 3, watch.Kept{})
		sendFrame(t, later, follower, parseHeldVersions(follower.heldQuery()), true)
		must.Eq(t, oneRow, inUse.get())
		_, _, ok = follower.Snapshot("t")
		must.True(t, ok)
	})
}

// Guards against an update that is sent to several followers with the time that a kept row had left for the first.
func TestUpdatesWithKeptRowsAreNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, _ := newKeepingHub()
		reader.Set(steady.Now(), "t", bothRows, 2, watch.Kept{})
		reader.Set(steady.Now(), "t", oneRow, 3, watch.Kept{Rows: goneRow, Until: steady.Now().Add(time.Second)})
		for left := int64(1000); left > 0; left -= 400 {
			follower, _ := newKeepingHub()
			f := sendFrame(t, reader, follower, heldVersions{"t": {version: 2}}, true)
			must.EqOp(t, left, f.Tables[0].Kept[0].LeftMs)
			time.Sleep(400 * time.Millisecond)
		}
		time.Sleep(time.Second)
	})
}
