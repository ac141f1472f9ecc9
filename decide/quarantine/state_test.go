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

// TestOneCrashIsOne has one life of an upstream end under a content at many nodes, and be told by each: it counts once.
func TestOneCrashIsOne(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	for i := range 9 {
		s.Handle(now.Add(time.Duration(i)*50*time.Millisecond), quarantine.CrashObserved{Content: "c", Upstream: "u", Incarnation: 4})
		s.Handle(now, quarantine.CrashReported{Content: "c", Crash: quarantine.Crash{Upstream: "u", Incarnation: 4}})
	}
	_, barred := s.Blocked(now, "c")
	must.False(t, barred)
	for i, crash := range []quarantine.Crash{{Upstream: "u", Incarnation: 5}, {Upstream: "v", Incarnation: 4}} {
		now = now.Add(time.Duration(i+1) * time.Second)
		s.Handle(now, quarantine.CrashReported{Content: "c", Crash: crash})
	}
	left, barred := s.Blocked(now, "c")
	must.True(t, barred)
	must.EqOp(t, time.Hour, left)
}

// TestAnswerClears holds that an answer in whole clears a content, on each way by which it was known, and that an old row does not bring it
// back.
func TestAnswerClears(t *testing.T) {
	now := time.Unix(1000, 0)
	row := quarantine.Row{Content: "c", Revision: 7, Crashes: []quarantine.Crash{{Upstream: "u1"}, {Upstream: "u2"}, {Upstream: "u3"}}}
	for name, ev := range map[string]quarantine.Event{"own": quarantine.RequestCompleted{Content: "c"}, "heard": quarantine.CompletionReported{Content: "c"}} {
		t.Run(name, func(t *testing.T) {
			s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
			s.Handle(now, quarantine.RowsUpdated{Rows: []quarantine.Row{row}})
			_, barred := s.Blocked(now, "c")
			must.True(t, barred)
			s.Handle(now, ev)
			s.Handle(now, quarantine.RowsUpdated{Rows: []quarantine.Row{row}})
			_, barred = s.Blocked(now, "c")
			must.False(t, barred)
			removes := 0
			for i := range 4 {
				for _, effect := range s.Handle(now.Add(time.Duration(i)*time.Second), quarantine.Tick{}) {
					if e, ok := effect.(quarantine.RemoveRow); ok {
						must.Eq(t, quarantine.RemoveRow{Content: "c", Revision: 7}, e)
						removes++
					}
				}
			}
			must.EqOp(t, name == "own", removes > 0) // the one that has the answer removes the row, until it is gone
			s.Handle(now, quarantine.RowsUpdated{})
			must.SliceEmpty(t, s.Handle(now.Add(time.Minute), quarantine.Tick{ReadsStore: true}))
		})
	}
}

// TestHoldIsOver has a quarantine end by itself: crashes count anew, also where the row is still there, which a reader removes.
func TestHoldIsOver(t *testing.T) {
	now := time.Unix(1000, 0)
	row := quarantine.Row{Content: "c", Revision: 7, Crashes: []quarantine.Crash{{Upstream: "u1"}, {Upstream: "u2"}, {Upstream: "u3"}}}
	for _, reads := range []bool{false, true} {
		s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
		s.Handle(now, quarantine.RowsUpdated{Rows: []quarantine.Row{row}})
		later := now.Add(time.Hour)
		_, barred := s.Blocked(later, "c")
		must.False(t, barred)
		s.Handle(later, quarantine.Tick{ReadsStore: reads})
		removed := false
		for _, effect := range s.Handle(later.Add(time.Second), quarantine.Tick{ReadsStore: reads}) {
			_, ok := effect.(quarantine.RemoveRow)
			removed = removed || ok
		}
		must.EqOp(t, reads, removed)
		for i := range 3 {
			_, barred = s.Blocked(later, "c")
			must.False(t, barred)
			later = later.Add(time.Second)
			s.Handle(later, quarantine.CrashObserved{Content: "c", Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i))})
		}
		_, barred = s.Blocked(later, "c")
		must.True(t, barred)
	}
}

// TestFloodOfContents has far more contents crash upstreams once than are kept: those that are barred stay so.
func TestFloodOfContents(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	for i := range 3 {
		s.Handle(now.Add(time.Duration(i)*time.Second), quarantine.CrashObserved{Content: poison, Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i))})
	}
	for i := range 10_000 {
		s.Handle(now, quarantine.CrashObserved{Content: vaneyoke.ContentID(fmt.Sprint("c", i)), Upstream: "u9"})
	}
	_, barred := s.Blocked(now, poison)
	must.True(t, barred)
	for i := range 3 { // and another can still be
		now = now.Add(time.Second)
		s.Handle(now, quarantine.CrashObserved{Content: "new", Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i))})
	}
	_, barred = s.Blocked(now, "new")
	must.True(t, barred)
}

func effectsOf[E quarantine.Effect](effects []quarantine.Effect) (found []E) {
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// TestNodeThatKnowsLessIsTold has a node next to this one tell of a crash under a content that is barred: it is told why, now and then, so
// that a node which starts while the store is away crashes one upstream and not three.
func TestNodeThatKnowsLessIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	for i := range 3 {
		now = now.Add(time.Second)
		s.Handle(now, quarantine.CrashReported{Content: "c", Crash: quarantine.Crash{Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i))}})
	}
	heard := func(after time.Duration, n int, next bool) int {
		event := quarantine.CrashReported{Content: "c", Crash: quarantine.Crash{Upstream: vaneyoke.UpstreamID(fmt.Sprint("v", n))}, FromNeighbour: next}
		return len(effectsOf[quarantine.BroadcastCrash](s.Handle(now.Add(after), event)))
	}
	must.EqOp(t, 0, heard(0, 0, false))
	must.EqOp(t, 3, heard(0, 1, true))
	must.EqOp(t, 0, heard(100*time.Millisecond, 2, true))
	must.EqOp(t, 3, heard(time.Second, 3, true))
}

// TestWhyACrashDoesNotCount names the reason of each crash that changes nothing, but for one that is known and told once more.
func TestWhyACrashDoesNotCount(t *testing.T) {
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

// TestStoreHoldsSoManyContents has the store full of contents that crashed upstreams twice: another one is kept there only once it is
// barred, or where its row stands already.
func TestStoreHoldsSoManyContents(t *testing.T) {
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

// TestRowsBarAtOnce gives a node the store's rows: what waits here of a content that they bar is to be taken back, once.
func TestRowsBarAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	rows := quarantine.RowsUpdated{Rows: []quarantine.Row{
		{Content: "c", Revision: 7, Crashes: []quarantine.Crash{{Upstream: "u1"}, {Upstream: "u2"}, {Upstream: "u3"}}},
		{Content: "d", Revision: 8, Crashes: []quarantine.Crash{{Upstream: "u1"}, {Upstream: "u2"}}},
	}}
	barred := effectsOf[quarantine.Block](s.Handle(now, rows))
	must.Len(t, 1, barred)
	must.EqOp(t, "c", barred[0].Content)
	must.SliceEmpty(t, effectsOf[quarantine.Block](s.Handle(now, rows)))
}

// TestLivesThatAreNotTold has one upstream, which does not tell its lives apart, end again and again under a content.
func TestLivesThatAreNotTold(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	for i := range 3 {
		_, barred := s.Blocked(now, "c")
		must.False(t, barred)
		told := effectsOf[quarantine.BroadcastCrash](s.Handle(now.Add(time.Duration(i)*2*time.Second), quarantine.CrashObserved{Content: "c", Upstream: "u"}))
		must.Eq(t, []quarantine.BroadcastCrash{{Content: "c", Crash: quarantine.Crash{Upstream: "u", EarlierCrashes: i}}}, told)
	}
	_, barred := s.Blocked(now, "c")
	must.True(t, barred)
}

// TestWhoWrites holds that a node which saw a crash writes from the second one on, that another one does where it reads the store and nobody
// else has, and that nodes which were only told do not.
func TestWhoWrites(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		own, reads bool
		crashes    int
		from       time.Duration // of the first write; below 0 for none
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
			must.LessEq(t, 8, writes) // twice a second while it is not known to be written
			s.Handle(now, quarantine.RowsUpdated{Rows: []quarantine.Row{{Content: "c", Revision: 2, Crashes: crashes}}})
			must.SliceEmpty(t, effectsOf[quarantine.WriteRow](s.Handle(now.Add(9*time.Second), quarantine.Tick{ReadsStore: tc.reads})))
		})
	}
}

// TestDataCentreThatFalls has the upstreams of a data centre fall together while the same is asked at each of them by many nodes: that is
// one crash. Three such falls with nothing answered between them are taken for the request's.
func TestDataCentreThatFalls(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	fall := func() (barred bool) {
		now = now.Add(2 * time.Second)
		for i := range 20 {
			at := now.Add(time.Duration(i) * 5 * time.Millisecond)
			crash := quarantine.Crash{Upstream: vaneyoke.UpstreamID(fmt.Sprint(now.Unix(), "-", i))}
			s.Handle(at, quarantine.CrashReported{Content: "c", Crash: crash, Origin: vm(i)})
			s.Handle(at, quarantine.CrashObserved{Content: "c", Upstream: crash.Upstream + "-own", SentAt: now.Add(-time.Second)})
		}
		_, barred = s.Blocked(now, "c")
		return barred
	}
	must.False(t, fall())
	must.False(t, fall())
	s.Handle(now.Add(time.Second), quarantine.RequestCompleted{Content: "c"})
	must.False(t, fall())
	must.False(t, fall())
	must.True(t, fall())
}

// TestOneRequestInARow has one request end an upstream after the other, each within milliseconds: it was sent after the crash before, so
// that each counts, here and at a node that is told.
func TestOneRequestInARow(t *testing.T) {
	now := time.Unix(1000, 0)
	here, there := quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour}), quarantine.New(quarantine.Config{CrashThreshold: 3, BlockDuration: time.Hour})
	for i := range 3 {
		sent := now.Add(time.Millisecond)
		now = now.Add(20 * time.Millisecond)
		for _, told := range effectsOf[quarantine.BroadcastCrash](here.Handle(now, quarantine.CrashObserved{Content: "c", Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i)), SentAt: sent})) {
			there.Handle(now, quarantine.CrashReported{Content: "c", Crash: told.Crash, Origin: "vm1"})
		}
	}
	_, barred := here.Blocked(now, "c")
	must.True(t, barred)
	_, barred = there.Blocked(now, "c")
	must.True(t, barred)
}
