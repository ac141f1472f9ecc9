package pushback_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
)

// reported is a shutdown notice that another node reported, received after some time.
type reported struct {
	after       time.Duration
	incarnation vaneyoke.Incarnation
	reporter    vaneyoke.VMID
}

// TestShutdownReportedByOtherNodes lists reports of shutdowns, and how long a listed upstream is held back for them. One report of one node held an
// upstream back for ten minutes, whatever the upstream answered, and one of an unknown incarnation held back all later ones.
func TestShutdownReportedByOtherNodes(t *testing.T) {
	restarted, unknown := upstream, upstream
	restarted.Incarnation, unknown.Incarnation = 6, 0
	const s = time.Second
	cases := map[string]struct {
		reports      []reported
		listedBefore vaneyoke.Upstream // when the reports came
		listed       vaneyoke.Upstream
		until        time.Duration // 0 if it is not held back
	}{
		"of one node":                              {[]reported{{0, 5, "a"}}, upstream, upstream, 30 * s},
		"of one node again and again":              {[]reported{{0, 5, "a"}, {10 * s, 5, "a"}, {29 * s, 5, "a"}, {40 * s, 5, "a"}, {300 * s, 5, "a"}}, upstream, upstream, 30 * s},
		"of two nodes":                             {[]reported{{0, 5, "a"}, {s, 5, "b"}}, upstream, upstream, 601 * s},
		"confirmed after it has ended":             {[]reported{{0, 5, "a"}, {60 * s, 5, "b"}}, upstream, upstream, 660 * s},
		"of the next incarnation, not listed yet":  {[]reported{{0, 6, "a"}}, upstream, restarted, 30 * s},
		"of an earlier incarnation":                {[]reported{{0, 4, "a"}, {0, 4, "b"}}, upstream, upstream, 0},
		"of the incarnation before a restart":      {[]reported{{0, 5, "a"}, {0, 5, "b"}}, upstream, restarted, 0},
		"late, of the one before a restart":        {[]reported{{0, 5, "a"}, {0, 5, "b"}}, restarted, restarted, 0},
		"of an unknown incarnation":                {[]reported{{0, 0, "a"}}, upstream, upstream, 30 * s},
		"of an unknown one before a restart":       {[]reported{{0, 0, "a"}, {s, 0, "b"}}, upstream, restarted, 0},
		"while none is known":                      {[]reported{{0, 0, "a"}, {s, 0, "b"}, {2 * s, 0, "c"}}, unknown, unknown, 30 * s},
		"while none is known, then restarted":      {[]reported{{0, 0, "a"}, {s, 0, "b"}}, unknown, restarted, 30 * s},
		"of a later incarnation than there is":     {[]reported{{0, math.MaxUint64, "a"}}, upstream, upstream, 30 * s},
		"of a restart after an earlier life ended": {[]reported{{0, 5, "a"}, {300 * s, 6, "a"}}, upstream, restarted, 330 * s},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := pushback.NewTracker()
			for _, r := range tc.reports {
				if signal, ok := pushback.Reported(tc.listedBefore, r.incarnation, r.reporter, 0); ok {
					tracker.Record(start.Add(r.after), signal)
				}
			}
			held := func(after time.Duration) bool { return tracker.Hold("u").Active(start.Add(after), &tc.listed) }
			if tc.until == 0 {
				must.False(t, held(2*s))
				return
			}
			must.True(t, held(tc.until-time.Millisecond))
			must.False(t, held(tc.until))
		})
	}
}

// TestReportedShutdownActsAtOnce compares an upstream's own notice with one that another node got: an upstream that leaves still serves for a while, and
// has to be without new work after a few seconds only.
func TestReportedShutdownActsAtOnce(t *testing.T) {
	own, told := pushback.NewTracker(), pushback.NewTracker()
	answer{0, upstream, 0, true}.record(own)
	signal, ok := pushback.Reported(upstream, upstream.Incarnation, "a", 0)
	must.True(t, ok)
	told.Record(start, signal)
	must.True(t, own.Hold("u").Active(start, &upstream))
	must.True(t, told.Hold("u").HasAnnouncedLeaving(start, &upstream))
	must.False(t, told.Hold("u").Active(start.Add(time.Second), &upstream))
	must.True(t, told.Hold("u").Active(start.Add(2*time.Second), &upstream))
}

// TestReportedShutdownBeganEarlier has a node hear of shutdowns that may have begun some time before: the upstream has to be without new work that much
// sooner. The delay always began with the report.
func TestReportedShutdownBeganEarlier(t *testing.T) {
	for since, starts := range map[time.Duration]time.Duration{
		0: 1500 * time.Millisecond, time.Second: 500 * time.Millisecond, 1500 * time.Millisecond: 0, time.Hour: 0, -time.Hour: 1500 * time.Millisecond, math.MinInt64: 1500 * time.Millisecond,
	} {
		told := pushback.NewTracker()
		signal, ok := pushback.Reported(upstream, upstream.Incarnation, "a", since)
		must.True(t, ok)
		told.Record(start, signal)
		must.False(t, told.Hold("u").Active(start.Add(starts-time.Millisecond), &upstream) && starts > 0, must.Sprint(since))
		must.True(t, told.Hold("u").Active(start.Add(starts), &upstream), must.Sprint(since))
	}
}

// TestReportsDoNotReplaceSignals has another node report a shutdown while the upstream asks for no requests itself: its own signals must count
// as before, whichever incarnation the report is about. A report of a later incarnation ended the pushback and had later signals ignored.
func TestReportsDoNotReplaceSignals(t *testing.T) {
	for _, incarnation := range []vaneyoke.Incarnation{0, 4, 5, 6, math.MaxUint64} {
		tracker := pushback.NewTracker()
		answer{0, upstream, 50 * time.Second, false}.record(tracker)
		if signal, ok := pushback.Reported(upstream, incarnation, "a", 0); ok {
			tracker.Record(start, signal)
		}
		must.True(t, tracker.Hold("u").IsPushedBack(start.Add(49*time.Second), &upstream), must.Sprint(incarnation))
		answer{40 * time.Second, upstream, 60 * time.Second, false}.record(tracker)
		must.True(t, tracker.Hold("u").IsPushedBack(start.Add(99*time.Second), &upstream), must.Sprint(incarnation))
		answer{40 * time.Second, upstream, 0, true}.record(tracker)
		must.True(t, tracker.Hold("u").IsLeaving(start.Add(600*time.Second), &upstream), must.Sprint(incarnation))
	}
}

// TestUnknownIncarnationEndsWhenOneIsKnown has an upstream send signals before and after its incarnation is listed: the next one must not be held.
func TestUnknownIncarnationEndsWhenOneIsKnown(t *testing.T) {
	tracker := pushback.NewTracker()
	unknown, restarted := upstream, upstream
	unknown.Incarnation, restarted.Incarnation = 0, 6
	answer{0, unknown, time.Second, false}.record(tracker)
	answer{0, upstream, 0, true}.record(tracker)
	must.True(t, tracker.Hold("u").IsLeaving(start, &upstream))
	must.False(t, tracker.Hold("u").IsLeaving(start, &restarted))
}
