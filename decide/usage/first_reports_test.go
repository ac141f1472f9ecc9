package usage_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/usage"
)

// firstStart plays the first start of a fleet, whose reporter creates the ledger. It returns the longest time from the end of a window to the first
// report of it, which the platform gets even if its reply is lost.
func firstStart(t *testing.T, phase time.Duration, lostWrites, lostReports int) time.Duration {
	const (
		step, tickInterval, storeTime, reportTimeout = 10 * time.Millisecond, 100 * time.Millisecond, 50 * time.Millisecond, 250 * time.Millisecond
		window, late                                 = time.Second, 8 * time.Second
	)
	type due struct {
		at    time.Time
		event usage.Event
	}
	r := usage.NewReporter(usage.Config{WindowLength: window, ReportDeadline: late})
	now := time.Unix(1_700_000_000, 0).Add(phase)
	end, nextTick := now.Add(15*time.Second), now
	var ledger usage.Ledger
	rows, reported := map[usage.Window]usage.Row{}, map[usage.Window]bool{}
	var events []due
	var latest time.Duration
	handle := func(ev usage.Event) {
		for _, effect := range r.Handle(now, ev) {
			switch e := effect.(type) {
			case usage.Load:
				loaded := usage.Loaded{Ledger: ledger}
				for _, row := range rows {
					loaded.Rows = append(loaded.Rows, row)
				}
				events = append(events, due{now.Add(storeTime), loaded})
			case usage.Commit:
				if e.Ledger.Revision != ledger.Revision {
					events = append(events, due{now.Add(storeTime), usage.Failed{}})
					break
				}
				ledger = e.Ledger
				ledger.Revision++
				for _, row := range e.Put {
					row.Revision = ledger.Revision
					rows[row.Window] = row
				}
				for _, row := range e.Remove {
					delete(rows, row.Window)
				}
				answer := usage.Event(usage.Committed{Revision: ledger.Revision})
				if lostWrites > 0 {
					lostWrites--
					answer = usage.Failed{}
				}
				events = append(events, due{now.Add(storeTime), answer})
			case usage.SendReport:
				if !reported[e.Window] {
					reported[e.Window] = true
					latest = max(latest, now.Sub(e.Window.End(window)))
				}
				answer := due{now, usage.ReportSent{Window: e.Window, Accepted: true}}
				if lostReports > 0 {
					lostReports--
					answer = due{now.Add(reportTimeout), usage.ReportSent{Window: e.Window}}
				}
				events = append(events, answer)
			}
		}
	}
	for ; now.Before(end); now = now.Add(step) {
		for waiting := events; len(waiting) > 0; waiting = waiting[1:] {
			if events = events[1:]; waiting[0].at.After(now) {
				events = append(events, waiting[0])
				continue
			}
			handle(waiting[0].event)
		}
		if !now.Before(nextTick) {
			nextTick = now.Add(tickInterval)
			handle(usage.Tick{Wall: now, MayWrite: true, MayReport: true})
		}
	}
	must.Positive(t, latest)
	return latest
}

// TestFirstWindowsAreReportedLate starts a fleet at each phase of a window, while replies of the store and of the platform are lost: the reporter waited
// for counts of other nodes until the first windows were past their deadline.
func TestFirstWindowsAreReportedLate(t *testing.T) {
	for lostWrites := range 4 {
		for lostReports := range 3 {
			for phase := time.Duration(0); phase < time.Second; phase += 50 * time.Millisecond {
				latest := firstStart(t, phase, lostWrites, lostReports)
				must.LessEq(t, 8*time.Second, latest, must.Sprintf("phase %v, %d writes and %d reports without a reply", phase, lostWrites, lostReports))
			}
		}
	}
}
