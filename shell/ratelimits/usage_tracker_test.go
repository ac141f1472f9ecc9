package ratelimits_test

import (
	"bytes"
	"expvar"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// TestUsageTrackerLogsSentRequests declares, changes and withdraws a limit, and checks the counts of what is sent to the upstream meanwhile.
func TestUsageTrackerLogsSentRequests(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	vars := new(expvar.Map).Init()
	tracker := ratelimits.NewUsageTracker(ratelimits.NewMetrics(vars), log)
	now := time.Unix(1000, 0)
	limit := func(rate vaneyoke.PerSecond) vaneyoke.Limit { return vaneyoke.Limit{Declared: true, Rate: rate} }
	tracker.RecordSent(now, "u1", forward.KindFirst) // its limit is not known yet
	tracker.SetLimit(now, "u1", vaneyoke.Limit{})
	tracker.SetLimit(now, "u1", limit(2.8))
	tracker.SetLimit(now, "u1", limit(2.8))
	for _, kind := range []forward.Kind{forward.KindFirst, forward.KindFirst, forward.KindRepeat, forward.KindQuery} {
		tracker.RecordSent(now, "u1", kind)
		tracker.RecordSent(now, "u2", kind)
	}
	must.EqOp(t, "", out.String())
	now = now.Add(1500 * time.Millisecond)
	tracker.RecordSent(now, "u1", forward.KindRepeat)
	must.StrContains(t, out.String(), "msg=limit_used first=2 ms=1500 questions=1 rate=2.8 repeats=2 upstream=u1")
	tracker.SetLimit(now, "u1", limit(1))
	tracker.SetLimit(now, "u1", vaneyoke.Limit{})
	must.EqOp(t, 2, strings.Count(out.String(), "limit_used"))
	must.StrContains(t, vars.String(), `"first_sent_total": 2`)
	must.StrContains(t, vars.String(), `"named_total": 1`)
	must.StrContains(t, vars.String(), `"changed_total": 1`)
	must.StrContains(t, vars.String(), `"ended_total": 1`)
}
