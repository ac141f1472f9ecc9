package ratelimits

import (
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// logInterval is the minimum time between two log lines on what was sent to an upstream with a limit.
const logInterval = time.Second

// Metrics counts changes of limits, permits, and the requests sent to upstreams with a limit.
type Metrics struct{ counts *expvar.Map }

// NewMetrics returns metrics that are published under "limits" in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{counts: new(expvar.Map).Init()}
	vars.Set("limits", m.counts)
	return m
}

func (m *Metrics) countDecision(granted bool) {
	if granted {
		m.counts.Add("granted_total", 1)
		return
	}
	m.counts.Add("withheld_total", 1)
}

// UsageTracker counts what the node sends to each upstream that declares a limit.
type UsageTracker struct {
	metrics *Metrics
	log     logrus.FieldLogger

	mu      sync.Mutex
	limited map[vaneyoke.UpstreamID]*upstreamUsage
}

// upstreamUsage counts what was sent to an upstream with a limit.
type upstreamUsage struct {
	limit  vaneyoke.Limit
	since  time.Time // start of the counts
	byKind [forward.NumKinds]int
}

// NewUsageTracker returns a tracker that knows of no limits.
func NewUsageTracker(metrics *Metrics, log logrus.FieldLogger) *UsageTracker {
	return &UsageTracker{metrics: metrics, log: log, limited: map[vaneyoke.UpstreamID]*upstreamUsage{}}
}

// SetLimit records the limit that an upstream declares, or that it declares none any more.
func (t *UsageTracker) SetLimit(now time.Time, upstream vaneyoke.UpstreamID, limit vaneyoke.Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.limited[upstream]
	switch {
	case u == nil && !limit.Declared:
	case u == nil:
		t.limited[upstream] = &upstreamUsage{limit: limit, since: now}
		t.metrics.counts.Add("named_total", 1)
	case !limit.Declared:
		t.logUsage(now, upstream, u)
		delete(t.limited, upstream)
		t.metrics.counts.Add("ended_total", 1)
	case u.limit != limit:
		u.limit = limit
		t.metrics.counts.Add("changed_total", 1)
	}
}

// RecordSent counts a request that is sent to an upstream, if the upstream declares a limit.
func (t *UsageTracker) RecordSent(now time.Time, upstream vaneyoke.UpstreamID, kind forward.Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.limited[upstream]
	if u == nil {
		return
	}
	t.metrics.counts.Add(kind.String()+"_sent_total", 1)
	u.byKind[kind]++
	if now.Sub(u.since) >= logInterval {
		t.logUsage(now, upstream, u)
	}
}

// logUsage logs what was sent to an upstream since the previous line.
func (t *UsageTracker) logUsage(now time.Time, upstream vaneyoke.UpstreamID, u *upstreamUsage) {
	t.log.WithFields(logrus.Fields{
		"upstream": upstream, "rate": u.limit.Rate, "ms": now.Sub(u.since).Milliseconds(),
		"first": u.byKind[forward.KindFirst], "repeats": u.byKind[forward.KindRepeat], "questions": u.byKind[forward.KindQuery],
	}).Info("limit_used")
	u.since, u.byKind = now, [forward.NumKinds]int{}
}
