package ratelimits

import (
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// accountEvery is the shortest time between two lines of what was sent to an upstream that names a limit.
const accountEvery = time.Second

// Metrics counts what a node learns of limits, and what it sends to upstreams that name one.
type Metrics struct{ counts *expvar.Map }

// NewMetrics returns metrics that are told under "limits" among vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{counts: new(expvar.Map).Init()}
	vars.Set("limits", m.counts)
	return m
}

func (m *Metrics) decided(granted bool) {
	if granted {
		m.counts.Add("granted_total", 1)
		return
	}
	m.counts.Add("withheld_total", 1)
}

// Account follows which upstreams name limits, and how much the node sends to them.
type UsageTracker struct {
	metrics *Metrics
	log     logrus.FieldLogger

	mu      sync.Mutex
	limited map[vaneyoke.UpstreamID]*sent
}

// sent is what went to an upstream that names a limit.
type sent struct {
	limit vaneyoke.Limit
	since time.Time // of the counts
	kinds [forward.Kinds]int
}

// NewAccount returns an account of a node that knows of no limit.
func NewUsageTracker(metrics *Metrics, log logrus.FieldLogger) *UsageTracker {
	return &UsageTracker{metrics: metrics, log: log, limited: map[vaneyoke.UpstreamID]*sent{}}
}

// Named takes in that an upstream names a limit, or none any more.
func (a *UsageTracker) SetLimit(now time.Time, upstream vaneyoke.UpstreamID, limit vaneyoke.Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.limited[upstream]
	switch {
	case s == nil && !limit.Declared:
	case s == nil:
		a.limited[upstream] = &sent{limit: limit, since: now}
		a.metrics.counts.Add("named_total", 1)
	case !limit.Declared:
		a.tell(now, upstream, s)
		delete(a.limited, upstream)
		a.metrics.counts.Add("ended_total", 1)
	case s.limit != limit:
		s.limit = limit
		a.metrics.counts.Add("changed_total", 1)
	}
}

// Sending counts that something goes to an upstream, where it names a limit.
func (a *UsageTracker) RecordSent(now time.Time, upstream vaneyoke.UpstreamID, kind forward.Kind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.limited[upstream]
	if s == nil {
		return
	}
	a.metrics.counts.Add(kind.String()+"_sent_total", 1)
	s.kinds[kind]++
	if now.Sub(s.since) >= accountEvery {
		a.tell(now, upstream, s)
	}
}

// tell logs what has gone to an upstream since the last line.
func (a *UsageTracker) tell(now time.Time, upstream vaneyoke.UpstreamID, s *sent) {
	a.log.WithFields(logrus.Fields{
		"upstream": upstream, "rate": s.limit.Rate, "ms": now.Sub(s.since).Milliseconds(),
		"first": s.kinds[forward.KindFirst], "repeats": s.kinds[forward.KindRepeat], "questions": s.kinds[forward.KindQuestion],
	}).Info("limit_used")
	s.since, s.kinds = now, [forward.Kinds]int{}
}
