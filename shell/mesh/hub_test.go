package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// newRecordingHub returns a hub of one table and the rows that it applied last.
func newRecordingHub() (*Hub, *watch.Rows) {
	got := &watch.Rows{}
	return NewHub(map[string]Table{"t": {Apply: func(_ time.Time, rows watch.Rows) { *got = rows }}}), got
}

func row(text string, version watch.Version) watch.Row {
	return watch.Row{Data: []byte(`"` + text + `"`), Version: version}
}

func TestHubIgnoresOlderVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	hub, got := newRecordingHub()
	ok := hub.Status(now).Complete
	must.False(t, ok)
	setConfirmed(hub, now, "t", watch.Rows{"a": row("new", 5)}, 5, now)
	setConfirmed(hub, now, "t", watch.Rows{"a": row("old", 3)}, 4, now.Add(time.Second))
	must.Eq(t, watch.Rows{"a": row("new", 5)}, *got)
	setConfirmed(hub, now, "none", watch.Rows{}, 9, now)
	hub.Confirm("t", 4, now.Add(time.Second), "reader") // an older version
	status := hub.Status(now.Add(2 * time.Second))
	age, ok := status.Age, status.Complete
	must.True(t, ok)
	must.EqOp(t, 2*time.Second, age)
	hub.Confirm("t", 7, now.Add(time.Second), "reader")
	age = hub.Status(now.Add(2 * time.Second)).Age
	must.EqOp(t, time.Second, age)
}

// setConfirmed sets rows of a hub that the store confirmed at the given time.
func setConfirmed(hub *Hub, now time.Time, name string, rows watch.Rows, version watch.Version, confirmed time.Time) {
	hub.Set(now, name, rows, version, watch.Kept{})
	hub.Confirm(name, version, confirmed, "reader")
}

// TestLaggingTableDoesNotCountForAge checks that a table with MayLag and an old confirmation does not make the tables older.
func TestLaggingTableDoesNotCountForAge(t *testing.T) {
	now := time.Unix(1000, 0)
	ignore := func(time.Time, watch.Rows) {}
	hub := NewHub(map[string]Table{"strict": {Apply: ignore}, "lagging": {Apply: ignore, MayLag: true}})
	setConfirmed(hub, now, "lagging", watch.Rows{}, 1, now)
	ok := hub.Status(now).Complete
	must.False(t, ok) // the other table has no rows yet
	setConfirmed(hub, now, "strict", watch.Rows{}, 2, now.Add(time.Minute))
	status := hub.Status(now.Add(time.Minute + time.Second))
	age, ok := status.Age, status.Complete
	must.True(t, ok)
	must.EqOp(t, time.Second, age)
}

// TestFramesReplicateRows sends the updates of one hub to another, which starts with various rows.
func TestFramesReplicateRows(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		initial watch.Rows
		version watch.Version // of the initial rows; 0 for none
		sent    int           // rows in the frame
	}{
		"nothing":   {nil, 0, 3},
		"same":      {watch.Rows{"a": row("1", 1), "b": row("2", 4), "c": row("3", 8)}, 9, 0},
		"older row": {watch.Rows{"a": row("1", 1), "b": row("0", 2), "c": row("3", 8)}, 8, 0},
		"all older": {watch.Rows{"a": row("1", 1), "b": row("0", 2)}, 3, 2},
		"gone row":  {watch.Rows{"a": row("1", 1), "z": row("9", 2)}, 3, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if name == "older row" {
				tc.version, tc.sent = 3, 2
			}
			from, _ := newRecordingHub()
			setConfirmed(from, now, "t", watch.Rows{"a": row("1", 1), "b": row("2", 4), "c": row("3", 8)}, 9, now.Add(-time.Second))
			to, got := newRecordingHub()
			if tc.version > 0 {
				setConfirmed(to, now, "t", tc.initial, tc.version, now.Add(-time.Minute))
			}
			held := parseHeldVersions(to.heldQuery())
			f := nextFrame(t, from, now, held)
			sent := 0
			for _, update := range f.Tables {
				sent += len(update.Rows)
			}
			must.EqOp(t, tc.sent, sent)
			if sent > 0 { // the hub does not know which rows were removed before its first read
				must.Len(t, 3, f.Tables[0].Keys)
				must.SliceEmpty(t, f.Tables[0].Removed)
			}
			to.applyFrame(now, f, nil, true)
			must.Eq(t, watch.Rows{"a": row("1", 1), "b": row("2", 4), "c": row("3", 8)}, *got)
			age := to.Status(now).Age
			must.EqOp(t, time.Second, age)

			setConfirmed(from, now, "t", watch.Rows{"a": row("1", 1), "c": row("4", 12)}, 12, now)
			f = nextFrame(t, from, now, held)
			must.Len(t, 1, f.Tables[0].Rows)
			to.applyFrame(now, f, nil, true)
			must.Eq(t, watch.Rows{"a": row("1", 1), "c": row("4", 12)}, *got)
			must.Nil(t, f.Tables[0].Keys) // the hub knows which row was removed
			must.Eq(t, []string{"b"}, f.Tables[0].Removed)
			f = nextFrame(t, from, now, held)
			must.SliceEmpty(t, f.Tables)

			setConfirmed(from, now, "t", watch.Rows{"a": row("5", 14), "c": row("4", 12)}, 14, now)
			f = nextFrame(t, from, now, held)
			must.Nil(t, f.Tables[0].Keys) // no row was removed
			must.SliceEmpty(t, f.Tables[0].Removed)
			to.applyFrame(now, f, nil, true)
			must.Eq(t, watch.Rows{"a": row("5", 14), "c": row("4", 12)}, *got)
		})
	}
}

// TestInvalidJSONRowDoesNotBlockOthers checks that the other rows of a table are sent if one is not valid JSON.
func TestInvalidJSONRowDoesNotBlockOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	from, _ := newRecordingHub()
	setConfirmed(from, now, "t", watch.Rows{"good": row("1", 1), "bad": {Data: []byte("no JSON"), Version: 2}}, 2, now)
	to, rows := newRecordingHub()
	to.applyFrame(now, nextFrame(t, from, now, heldVersions{}), nil, true)
	must.Eq(t, watch.Rows{"good": row("1", 1)}, *rows)
}

// nextFrame returns the next update of a hub together with its status.
func nextFrame(t must.T, h *Hub, now time.Time, held heldVersions) frame {
	t.Helper()
	f, _ := nextPacket(t, h, now, held)
	return f
}

// nextPacket returns the same, and the packet that contains it; nil if nothing has changed.
func nextPacket(t must.T, h *Hub, now time.Time, held heldVersions) (frame, packet) {
	t.Helper()
	p, status, _, err := h.nextUpdate(now, held)
	must.NoError(t, err)
	f := frame{}
	if p != nil {
		f, err = p.unpack()
		must.NoError(t, err)
	}
	f.Status = &status
	return f, p
}

// TestConfirmationIsForwardedAtOnce checks that a newer confirmation is sent to followers at once, but not one that changes the age only a
// little.
func TestConfirmationIsForwardedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	hub, _ := newRecordingHub()
	setConfirmed(hub, now, "t", watch.Rows{"a": row("1", 1)}, 1, now)
	cases := []struct {
		after    time.Duration
		notified bool
	}{{time.Second, true}, {1050 * time.Millisecond, false}, {1050 * time.Millisecond, false}, {3 * time.Second, true}}
	for _, tc := range cases {
		_, _, changed, err := hub.nextUpdate(now, heldVersions{"t": {version: 1}})
		must.NoError(t, err)
		hub.applyFrame(now.Add(tc.after), frame{Status: &tableStatus{Complete: true}}, nil, true)
		select {
		case <-changed:
			must.True(t, tc.notified, must.Sprint(tc.after))
		default:
			must.False(t, tc.notified, must.Sprint(tc.after))
		}
	}
}
