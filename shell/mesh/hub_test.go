package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// recorder is a hub of one table, and what was applied last.
func recorder() (*Hub, *watch.Rows) {
	got := &watch.Rows{}
	return NewHub(map[string]Table{"t": {Apply: func(_ time.Time, rows watch.Rows) { *got = rows }}}), got
}

func row(text string, version watch.Version) watch.Row {
	return watch.Row{Data: []byte(`"` + text + `"`), Version: version}
}

func TestHubNeverGoesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	hub, got := recorder()
	ok := hub.Word(now).Complete
	must.False(t, ok)
	set(hub, now, "t", watch.Rows{"a": row("new", 5)}, 5, now)
	set(hub, now, "t", watch.Rows{"a": row("old", 3)}, 4, now.Add(time.Second))
	must.Eq(t, watch.Rows{"a": row("new", 5)}, *got)
	set(hub, now, "none", watch.Rows{}, 9, now)
	hub.Confirm("t", 4, now.Add(time.Second), "reader") // of an older version
	word := hub.Word(now.Add(2 * time.Second))
	age, ok := word.Age, word.Complete
	must.True(t, ok)
	must.EqOp(t, 2*time.Second, age)
	hub.Confirm("t", 7, now.Add(time.Second), "reader")
	age = hub.Word(now.Add(2 * time.Second)).Age
	must.EqOp(t, time.Second, age)
}

// set gives a hub rows that the store confirmed at some time.
func set(hub *Hub, now time.Time, name string, rows watch.Rows, version watch.Version, confirmed time.Time) {
	hub.Set(now, name, rows, version)
	hub.Confirm(name, version, confirmed, "reader")
}

// TestTableThatMayLagDoesNotAge holds a hub of which one table was not confirmed for long.
func TestTableThatMayLagDoesNotAge(t *testing.T) {
	now := time.Unix(1000, 0)
	ignore := func(time.Time, watch.Rows) {}
	hub := NewHub(map[string]Table{"strict": {Apply: ignore}, "lagging": {Apply: ignore, MayLag: true}})
	set(hub, now, "lagging", watch.Rows{}, 1, now)
	ok := hub.Word(now).Complete
	must.False(t, ok) // the other one holds nothing yet
	set(hub, now, "strict", watch.Rows{}, 2, now.Add(time.Minute))
	word := hub.Word(now.Add(time.Minute + time.Second))
	age, ok := word.Age, word.Complete
	must.True(t, ok)
	must.EqOp(t, time.Second, age)
}

// TestFramesLeadToTheSameRows tells one hub's tables to another from whatever the other holds.
func TestFramesLeadToTheSameRows(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		held    watch.Rows
		version watch.Version // held; 0 for nothing
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
			from, _ := recorder()
			set(from, now, "t", watch.Rows{"a": row("1", 1), "b": row("2", 4), "c": row("3", 8)}, 9, now.Add(-time.Second))
			to, got := recorder()
			if tc.version > 0 {
				set(to, now, "t", tc.held, tc.version, now.Add(-time.Minute))
			}
			before := toldOf(to.held())
			f := nextOf(t, from, now, before)
			sent := 0
			for _, update := range f.Tables {
				sent += len(update.Rows)
			}
			must.EqOp(t, tc.sent, sent)
			if sent > 0 { // what went before the hub's first look is not known
				must.Len(t, 3, f.Tables[0].Keys)
				must.SliceEmpty(t, f.Tables[0].Gone)
			}
			to.take(now, f, nil)
			must.Eq(t, watch.Rows{"a": row("1", 1), "b": row("2", 4), "c": row("3", 8)}, *got)
			age := to.Word(now).Age
			must.EqOp(t, time.Second, age)

			set(from, now, "t", watch.Rows{"a": row("1", 1), "c": row("4", 12)}, 12, now)
			f = nextOf(t, from, now, before)
			must.Len(t, 1, f.Tables[0].Rows)
			to.take(now, f, nil)
			must.Eq(t, watch.Rows{"a": row("1", 1), "c": row("4", 12)}, *got)
			must.Nil(t, f.Tables[0].Keys) // it is known which row went
			must.Eq(t, []string{"b"}, f.Tables[0].Gone)
			f = nextOf(t, from, now, before)
			must.SliceEmpty(t, f.Tables)

			set(from, now, "t", watch.Rows{"a": row("5", 14), "c": row("4", 12)}, 14, now)
			f = nextOf(t, from, now, before)
			must.Nil(t, f.Tables[0].Keys) // no row went
			must.SliceEmpty(t, f.Tables[0].Gone)
			to.take(now, f, nil)
			must.Eq(t, watch.Rows{"a": row("5", 14), "c": row("4", 12)}, *got)
		})
	}
}

// TestRowThatIsNoJSONHoldsUpNoOther has a table with such a row; the others must be told all the same.
func TestRowThatIsNoJSONHoldsUpNoOther(t *testing.T) {
	now := time.Unix(1000, 0)
	from, _ := recorder()
	set(from, now, "t", watch.Rows{"good": row("1", 1), "bad": {Data: []byte("no JSON"), Version: 2}}, 2, now)
	to, rows := recorder()
	to.take(now, nextOf(t, from, now, told{}), nil)
	must.Eq(t, watch.Rows{"good": row("1", 1)}, *rows)
}

// nextOf returns what a hub tells next, the age of its tables with it.
func nextOf(t must.T, h *Hub, now time.Time, before told) frame {
	t.Helper()
	f, _ := nextPacketOf(t, h, now, before)
	return f
}

// nextPacketOf returns the same, and the packet that says it; nil where nothing has changed.
func nextPacketOf(t must.T, h *Hub, now time.Time, before told) (frame, packet) {
	t.Helper()
	p, b, _, err := h.next(now, before)
	must.NoError(t, err)
	f := frame{}
	if p != nil {
		f, err = p.unpack()
		must.NoError(t, err)
	}
	f.Beat = &b
	return f, p
}

// TestNewsOfTheAgeIsToldOn holds that a confirmation goes on to those that follow at once, and an age that is about the
// same does not.
func TestNewsOfTheAgeIsToldOn(t *testing.T) {
	now := time.Unix(1000, 0)
	hub, _ := recorder()
	set(hub, now, "t", watch.Rows{"a": row("1", 1)}, 1, now)
	cases := []struct {
		after time.Duration
		told  bool
	}{{time.Second, true}, {1050 * time.Millisecond, false}, {1050 * time.Millisecond, false}, {3 * time.Second, true}}
	for _, tc := range cases {
		_, _, changed, err := hub.next(now, told{"t": {version: 1}})
		must.NoError(t, err)
		hub.take(now.Add(tc.after), frame{Beat: &beat{Known: true}}, nil)
		select {
		case <-changed:
			must.True(t, tc.told, must.Sprint(tc.after))
		default:
			must.False(t, tc.told, must.Sprint(tc.after))
		}
	}
}
