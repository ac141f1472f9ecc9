package pushbacks_test

import (
	"expvar"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
	"github.com/vaneyoke/vaneyoke/shell/pushbacks"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// TestLogReportsSignalsAndRequestsSentWhileHeld checks that the log shows whether and for how long an upstream asked for no requests, and how many
// first attempts, repeats and questions were sent to it meanwhile. Earlier log lines did not distinguish these causes.
func TestLogReportsSignalsAndRequestsSentWhileHeld(t *testing.T) {
	var out strings.Builder
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true})
	now := time.Unix(1000, 0)
	holds := &fakeHolds{tracker: pushback.NewTracker(), now: now}
	n := pushbacks.New(holds, new(expvar.Map).Init(), log)
	u := vaneyoke.Upstream{ID: "u1", URL: "http://u1", Incarnation: 5}
	recordSent := func(after time.Duration, kind forward.Kind) {
		holds.now = now.Add(after)
		n.RecordSent(holds.now, u.ID, kind)
	}
	recordSignals := func(after time.Duration, signals forward.Signals) {
		holds.now = now.Add(after)
		n.RecordSignals(holds.now, u, signals)
	}
	recordSent(0, forward.KindFirst)
	recordSignals(0, forward.Signals{Pushback: 3 * time.Second})
	for range 20 { // rejections of requests that were already in flight, which are not logged again
		recordSignals(0, forward.Signals{Pushback: 3 * time.Second})
	}
	recordSent(100*time.Millisecond, forward.KindFirst)
	recordSent(200*time.Millisecond, forward.KindQuery)
	recordSent(1200*time.Millisecond, forward.KindRepeat)
	recordSent(4*time.Second, forward.KindFirst)
	recordSignals(4*time.Second, forward.Signals{Leaving: true})
	recordSignals(5*time.Second, forward.Signals{Leaving: true})
	recordSignals(5*time.Second, forward.Signals{InvalidHeader: "Retry-After"})
	recordSignals(5*time.Second, forward.Signals{InvalidHeader: "Retry-After"})
	for _, rejections := range []int{3, 3, 0, 0} {
		recordSignals(6*time.Second, forward.Signals{Brittle: forward.Brittleness{Known: true, MaxRejections: rejections}})
	}
	must.EqOp(t, `level=info msg=upstream_pushed_back asked_ms=3000 incarnation=5 ms=3000 upstream=u1
level=info msg=sent_while_held first=1 ms=1200 questions=1 repeats=1 upstream=u1
level=info msg=upstream_leaves incarnation=5 upstream=u1
level=warning msg=signal_unreadable header=Retry-After upstream=u1
level=info msg=service_brittle brittle=true rejections=3 service=shop upstream=u1
level=info msg=service_brittle brittle=false rejections=0 service=shop upstream=u1
`, out.String())
}

// RecordBrittle implements pushbacks.Holds for the only upstream of a service.
func (b *fakeHolds) RecordBrittle(_ vaneyoke.UpstreamID, maxRejections int) (service vaneyoke.ServiceID, changed bool) {
	changed = b.isBrittle != (maxRejections > 0)
	b.isBrittle = maxRejections > 0
	return "shop", changed
}

// fakeHolds decides by the upstream's signals alone.
type fakeHolds struct {
	isBrittle bool
	tracker   *pushback.Tracker
	now       time.Time
	latest    vaneyoke.Upstream // sender of the latest signal
}

func (b *fakeHolds) RecordSignal(signal pushback.Signal) (hold, before pushback.Hold, ok bool) {
	b.latest = signal.Upstream
	h, before := b.tracker.Record(b.now, signal)
	return *h, before, true
}

func (b *fakeHolds) IsHeld(id vaneyoke.UpstreamID) bool {
	return b.tracker.Hold(id).Active(b.now, &b.latest)
}

// TestReportedShutdownIsLoggedOnce has other nodes report the shutdown of an upstream again and again: it must be logged when it starts to hold the
// upstream back, and not for an incarnation before the listed one.
func TestReportedShutdownIsLoggedOnce(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	now := time.Unix(1000, 0)
	listed := vaneyoke.Upstream{ID: "u1", URL: "http://u1", Incarnation: 5}
	holds := &fakeHolds{tracker: pushback.NewTracker(), now: now}
	n := pushbacks.New(holds, new(expvar.Map).Init(), log)
	report := func(after time.Duration, incarnation vaneyoke.Incarnation, reporter vaneyoke.VMID) {
		holds.now = now.Add(after)
		n.RecordReported(holds.now, listed, incarnation, reporter, 0)
	}
	report(0, 4, "a")
	must.SliceEmpty(t, hook.AllEntries())
	for i := range 100 {
		report(time.Duration(i)*time.Second, 5, "a")
	}
	must.Len(t, 1, hook.AllEntries())
	must.False(t, holds.IsHeld("u1"))
	for range 100 {
		report(100*time.Second, 5, "b")
	}
	must.Len(t, 2, hook.AllEntries())
	must.True(t, holds.IsHeld("u1"))
}

// TestReportIgnoresTheLastAnswer has another node report a shutdown that may have begun long ago. The upstream is used on only if it answered this node
// lately, or if the report does not say when the shutdown may have begun.
func TestReportIgnoresTheLastAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		since, answered time.Duration // answered is how long ago this node sent the last request that was answered; 0 for none
		held            bool
	}{
		"just begun":                            {time.Millisecond, 0, false},
		"begun long ago":                        {time.Minute, 0, true},
		"begun long ago, but for this node":     {time.Minute, time.Second, false},
		"begun long ago, for this node as well": {time.Minute, 2 * time.Second, true},
		"just begun, long ago for this node":    {time.Millisecond, 2 * time.Second, false},
		"of an earlier build":                   {0, 2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			log, _ := logtest.NewNullLogger()
			holds := &fakeHolds{tracker: pushback.NewTracker(), now: now}
			n := pushbacks.New(holds, new(expvar.Map).Init(), log)
			if tc.answered > 0 {
				n.RecordAnswered("u1", now.Add(-tc.answered))
				n.RecordAnswered("u1", now.Add(-tc.answered-time.Second)) // an answer that took longer
			}
			n.RecordReported(now, vaneyoke.Upstream{ID: "u1", URL: "http://u1", Incarnation: 5}, 5, "a", tc.since)
			must.EqOp(t, tc.held, holds.IsHeld("u1"))
		})
	}
}

// TestAnsweredUpstreamsAreNotBounded has more upstreams answer than a node remembers.
func TestAnsweredUpstreamsAreNotBounded(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	n := pushbacks.New(&fakeHolds{tracker: pushback.NewTracker()}, new(expvar.Map).Init(), log)
	now := time.Unix(1000, 0)
	const most = 1 << 14
	for i := range most + 1 {
		n.RecordAnswered(vaneyoke.UpstreamID(fmt.Sprint(i)), now)
	}
	must.EqOp(t, time.Second, n.SinceAnswered(now.Add(time.Second), "0"))
	must.EqOp(t, time.Minute, n.SinceAnswered(now, vaneyoke.UpstreamID(fmt.Sprint(most))), must.Sprint("not remembered"))
	n.RecordAnswered("later", now.Add(2*time.Minute))
	must.EqOp(t, time.Second, n.SinceAnswered(now.Add(2*time.Minute+time.Second), "later"))
	must.EqOp(t, time.Minute, n.SinceAnswered(now.Add(time.Second), "0"), must.Sprint("forgotten"))
}
