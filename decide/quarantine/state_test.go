package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/quarantine"
)

// TestCrashIsCountedOnce has many nodes lose requests of one content in one crash of an upstream, and report it to each other: it counts once.
func TestCrashIsCountedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	for i := range 9 {
		s.Handle(now.Add(time.Duration(i)*50*time.Millisecond), quarantine.CrashObserved{Content: "c", Upstream: "u", Incarnation: 4})
		s.Handle(now, quarantine.CrashReported{Content: "c", Crash: quarantine.Crash{Upstream: "u", Incarnation: 4}})
	}
	_, blocked := s.Blocked(now, "c")
	must.False(t, blocked)
	for i, crash := range []quarantine.Crash{{Upstream: "u", Incarnation: 5}, {Upstream: "v", Incarnation: 4}} {
		now = now.Add(time.Duration(i+1) * time.Second)
		s.Handle(now, quarantine.CrashReported{Content: "c", Crash: crash})
	}
	remaining, blocked := s.Blocked(now, "c")
	must.True(t, blocked)
	must.EqOp(t, time.Hour, remaining)
}

// TestAnswerClearsContent checks that a complete answer clears a content, whether this node or another one received it, and that an outdated row does
// not block it again.
func TestAnswerClearsContent(t *testing.T) {
	now := time.Unix(1000, 0)
	row := quarantine.Row{Content: "c", Revision: 7, Crashes: []quarantine.Crash{{Upstream: "u1"}, {Upstream: "u2"}, {Upstream: "u3"}}}
	for name, ev := range map[string]quarantine.Event{"own": quarantine.RequestCompleted{Content: "c"}, "heard": quarantine.CompletionReported{Content: "c"}} {
		t.Run(name, func(t *testing.T) {
			s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
			s.Handle(now, quarantine.RowsUpdated{Rows: []quarantine.Row{row}})
			_, blocked := s.Blocked(now, "c")
			must.True(t, blocked)
			s.Handle(now, ev)
			s.Handle(now, quarantine.RowsUpdated{Rows: []quarantine.Row{row}})
			_, blocked = s.Blocked(now, "c")
			must.False(t, blocked)
			removes := 0
			for i := range 4 {
				for _, effect := range s.Handle(now.Add(time.Duration(i)*time.Second), quarantine.Tick{}) {
					if e, ok := effect.(quarantine.RemoveRow); ok {
						must.Eq(t, quarantine.RemoveRow{Content: "c", Revision: 7}, e)
						removes++
					}
				}
			}
			must.EqOp(t, name == "own", removes > 0) // only the node that received the answer removes the row, until it is gone
			s.Handle(now, quarantine.RowsUpdated{})
			must.SliceEmpty(t, s.Handle(now.Add(time.Minute), quarantine.Tick{ReadsStore: true}))
		})
	}
}

// TestBlockExpires checks that a block ends by itself and crashes are counted from zero, even if the row still exists; a node that reads the store
// removes it.
func TestBlockExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	row := quarantine.Row{Content: "c", Revision: 7, Crashes: []quarantine.Crash{{Upstream: "u1"}, {Upstream: "u2"}, {Upstream: "u3"}}}
	for _, reads := range []bool{false, true} {
		s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
		s.Handle(now, quarantine.RowsUpdated{Rows: []quarantine.Row{row}})
		later := now.Add(time.Hour)
		_, blocked := s.Blocked(later, "c")
		must.False(t, blocked)
		s.Handle(later, quarantine.Tick{ReadsStore: reads})
		removed := false
		for _, effect := range s.Handle(later.Add(time.Second), quarantine.Tick{ReadsStore: reads}) {
			_, ok := effect.(quarantine.RemoveRow)
			removed = removed || ok
		}
		must.EqOp(t, reads, removed)
		for i := range 3 {
			_, blocked = s.Blocked(later, "c")
			must.False(t, blocked)
			later = later.Add(time.Second)
			s.Handle(later, quarantine.CrashObserved{Content: "c", Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i))})
		}
		_, blocked = s.Blocked(later, "c")
		must.True(t, blocked)
	}
}

// TestBlockedContentsAreNotEvicted reports one crash each of far more contents than fit into memory: a blocked content stays blocked.
func TestBlockedContentsAreNotEvicted(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	for i := range 3 {
		s.Handle(now.Add(time.Duration(i)*time.Second), quarantine.CrashObserved{Content: poison, Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i))})
	}
	for i := range 10_000 {
		s.Handle(now, quarantine.CrashObserved{Content: vaneyoke.ContentID(fmt.Sprint("c", i)), Upstream: "u9"})
	}
	_, blocked := s.Blocked(now, poison)
	must.True(t, blocked)
	for i := range 3 { // a new content can still be blocked
		now = now.Add(time.Second)
		s.Handle(now, quarantine.CrashObserved{Content: "new", Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i))})
	}
	_, blocked = s.Blocked(now, "new")
	must.True(t, blocked)
}

func effectsOf[E quarantine.Effect](effects []quarantine.Effect) (found []E) {
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// TestNeighbourWithoutBlockIsSentCrashes has a neighbour report a crash under a blocked content: it is sent the crashes behind the block, at a
// limited rate. Otherwise, a node that starts while the store is unavailable would crash three upstreams instead of one.
func TestNeighbourWithoutBlockIsSentCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	for i := range 3 {
		now = now.Add(time.Second)
		s.Handle(now, quarantine.CrashReported{Content: "c", Crash: quarantine.Crash{Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i))}})
	}
	report := func(after time.Duration, n int, next bool) int {
		event := quarantine.CrashReported{Content: "c", Crash: quarantine.Crash{Upstream: vaneyoke.UpstreamID(fmt.Sprint("v", n))}, FromNeighbour: next}
		return len(effectsOf[quarantine.BroadcastCrash](s.Handle(now.Add(after), event)))
	}
	must.EqOp(t, 0, report(0, 0, false))
	must.EqOp(t, 3, report(0, 1, true))
	must.EqOp(t, 0, report(100*time.Millisecond, 2, true))
	must.EqOp(t, 3, report(time.Second, 3, true))
}

// TestDismissReasons checks the reason for each crash that does not count; a known crash that is reported again is ignored without one.
func TestDismissReasons(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 2, BlockDuration: time.Hour})
	reasons := func(after time.Duration, ev quarantine.Event) (all []quarantine.Reason) {
		for _, e := range effectsOf[quarantine.Dismiss](s.Handle(now.Add(after), ev)) {
			all = append(all, e.Reason)
		}
		return all
	}
	first := quarantine.Crash{Upstream: "u", Incarnation: 1}
	must.SliceEmpty(t, reasons(0, quarantine.CrashObserved{Content: "c", Upstream: "u", Incarnation: 1}))
	must.SliceEmpty(t, reasons(20*time.Millisecond, quarantine.CrashReported{Content: "c", Crash: first, Origin: "vm1"}))
	must.Eq(t, []quarantine.Reason{quarantine.ReasonSameCrash}, reasons(30*time.Millisecond, quarantine.CrashObserved{Content: "c", Upstream: "u", Incarnation: 1}))
	must.Eq(t, []quarantine.Reason{quarantine.ReasonSimultaneous}, reasons(40*time.Millisecond, quarantine.CrashObserved{Content: "c", Upstream: "v", Incarnation: 1, SentAt: now.Add(-time.Second)}))
	must.Eq(t, []quarantine.Reason{quarantine.ReasonSimultaneous}, reasons(50*time.Millisecond, quarantine.CrashReported{Content: "c", Crash: quarantine.Crash{Upstream: "w"}, Origin: "vm1"}))
	must.SliceEmpty(t, reasons(time.Second, quarantine.CrashReported{Content: "c", Crash: quarantine.Crash{Upstream: "x"}, Origin: "vm1"}))
	must.Eq(t, []quarantine.Reason{quarantine.ReasonBlocked}, reasons(2*time.Second, quarantine.CrashObserved{Content: "c", Upstream: "y", SentAt: now.Add(1500 * time.Millisecond)}))
}

// TestRowLimit fills the store with contents that crashed two upstreams each: another content is written only once it is blocked, or if it already
// has a row.
func TestRowLimit(t *testing.T) {
	const full = 256
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	var rows []quarantine.Row
	for i := range full {
		rows = append(rows, quarantine.Row{
			Content: vaneyoke.ContentID(fmt.Sprint("c", i)), Revision: vaneyoke.Revision(i + 1), Crashes: []quarantine.Crash{{Upstream: "u0"}, {Upstream: "u1"}},
		})
	}
	s.Handle(now, quarantine.RowsUpdated{Rows: rows})
	isWritten := func(content vaneyoke.ContentID, number int) bool {
		now = now.Add(2 * time.Second)
		s.Handle(now, quarantine.CrashObserved{Content: content, Upstream: vaneyoke.UpstreamID(fmt.Sprint("v", number))})
		return slices.ContainsFunc(effectsOf[quarantine.WriteRow](s.Handle(now, quarantine.Tick{})), func(w quarantine.WriteRow) bool { return w.Row.Content == content })
	}
	must.False(t, isWritten("new", 0))
	must.False(t, isWritten("new", 1))
	must.True(t, isWritten("c7", 2))
	must.True(t, isWritten("new", 2))
}

// TestRowsBlockOnce checks that rows which block a content cause exactly one Block, upon which its queued requests are cancelled.
func TestRowsBlockOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	rows := quarantine.RowsUpdated{Rows: []quarantine.Row{
		{Content: "c", Revision: 7, Crashes: []quarantine.Crash{{Upstream: "u1"}, {Upstream: "u2"}, {Upstream: "u3"}}},
		{Content: "d", Revision: 8, Crashes: []quarantine.Crash{{Upstream: "u1"}, {Upstream: "u2"}}},
	}}
	blocked := effectsOf[quarantine.Block](s.Handle(now, rows))
	must.Len(t, 1, blocked)
	must.EqOp(t, "c", blocked[0].Content)
	must.SliceEmpty(t, effectsOf[quarantine.Block](s.Handle(now, rows)))
}

// TestUnreportedIncarnations has one upstream, which does not report its incarnation, crash repeatedly under one content.
func TestUnreportedIncarnations(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	for i := range 3 {
		_, blocked := s.Blocked(now, "c")
		must.False(t, blocked)
		broadcast := effectsOf[quarantine.BroadcastCrash](s.Handle(now.Add(time.Duration(i)*2*time.Second), quarantine.CrashObserved{Content: "c", Upstream: "u"}))
		must.Eq(t, []quarantine.BroadcastCrash{{Content: "c", Crash: quarantine.Crash{Upstream: "u", PriorCrashes: i}}}, broadcast)
	}
	_, blocked := s.Blocked(now, "c")
	must.True(t, blocked)
}

// TestRowWriters checks that a node which observed a crash writes the row from the second crash on, that a node which reads the store writes it if
// nobody else has, and that nodes which only received reports do not.
func TestRowWriters(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		own, reads bool
		crashes    int
		from       time.Duration // of the first write; negative for none
	}{
		"own, one":     {true, false, 1, -1},
		"own, two":     {true, false, 2, 0},
		"told":         {false, false, 3, -1},
		"told, reader": {false, true, 3, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
			var crashes []quarantine.Crash
			for i := range tc.crashes {
				upstream := vaneyoke.UpstreamID(fmt.Sprint("u", i))
				crashes = append(crashes, quarantine.Crash{Upstream: upstream})
				now = now.Add(300 * time.Millisecond)
				if tc.own && i == 0 {
					s.Handle(now, quarantine.CrashObserved{Content: "c", Upstream: upstream})
				} else {
					s.Handle(now, quarantine.CrashReported{Content: "c", Crash: quarantine.Crash{Upstream: upstream}})
				}
			}
			first, writes := time.Duration(-1), 0
			for at := time.Duration(0); at < 4*time.Second; at += 100 * time.Millisecond {
				for _, w := range effectsOf[quarantine.WriteRow](s.Handle(now.Add(at), quarantine.Tick{ReadsStore: tc.reads})) {
					must.Len(t, tc.crashes, w.Row.Crashes)
					writes++
					if first < 0 {
						first = at
					}
				}
			}
			must.EqOp(t, tc.from, first)
			must.LessEq(t, 8, writes) // twice a second until the write is confirmed
			s.Handle(now, quarantine.RowsUpdated{Rows: []quarantine.Row{{Content: "c", Revision: 2, Crashes: crashes}}})
			must.SliceEmpty(t, effectsOf[quarantine.WriteRow](s.Handle(now.Add(9*time.Second), quarantine.Tick{ReadsStore: tc.reads})))
		})
	}
}

// TestDataCentreFailure has the upstreams of a data centre crash together while many nodes run requests with the same content there: this counts as
// one crash. Three such failures without an answer in between block the content.
func TestDataCentreFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	failDataCentre := func() (blocked bool) {
		now = now.Add(2 * time.Second)
		for i := range 20 {
			at := now.Add(time.Duration(i) * 5 * time.Millisecond)
			crash := quarantine.Crash{Upstream: vaneyoke.UpstreamID(fmt.Sprint(now.Unix(), "-", i))}
			s.Handle(at, quarantine.CrashReported{Content: "c", Crash: crash, Origin: vm(i)})
			s.Handle(at, quarantine.CrashObserved{Content: "c", Upstream: crash.Upstream + "-own", SentAt: now.Add(-time.Second)})
		}
		_, blocked = s.Blocked(now, "c")
		return blocked
	}
	must.False(t, failDataCentre())
	must.False(t, failDataCentre())
	s.Handle(now.Add(time.Second), quarantine.RequestCompleted{Content: "c"})
	must.False(t, failDataCentre())
	must.False(t, failDataCentre())
	must.True(t, failDataCentre())
}

// TestConsecutiveCrashesOfOneRequest has one request crash several upstreams within milliseconds. It is sent to each after the previous crash, so
// every crash counts, on this node and on one that receives its reports.
func TestConsecutiveCrashesOfOneRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	here, there := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour}), quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	for i := range 3 {
		sent := now.Add(time.Millisecond)
		now = now.Add(20 * time.Millisecond)
		for _, broadcast := range effectsOf[quarantine.BroadcastCrash](here.Handle(now, quarantine.CrashObserved{Content: "c", Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i)), SentAt: sent})) {
			there.Handle(now, quarantine.CrashReported{Content: "c", Crash: broadcast.Crash, Origin: "vm1"})
		}
	}
	_, blocked := here.Blocked(now, "c")
	must.True(t, blocked)
	_, blocked = there.Blocked(now, "c")
	must.True(t, blocked)
}
