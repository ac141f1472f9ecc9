package shares

import (
	"expvar"
	"sync/atomic"

	"github.com/vaneyoke/vaneyoke/decide/share"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// Metrics counts the summaries that a node exchanges, and tells how old its totals are.
type Metrics struct {
	counts  *expvar.Map
	dropped *expvar.Map // by reason
	totals  atomic.Pointer[share.Totals]
}

// NewMetrics returns metrics that are published as "shares" in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{counts: new(expvar.Map).Init(), dropped: new(expvar.Map).Init()}
	m.totals.Store(&share.Totals{})
	m.counts.Set("dropped_total", m.dropped)
	m.counts.Set("nodes", expvar.Func(func() any { return m.totals.Load().Nodes }))
	m.counts.Set("age_ms", expvar.Func(m.ageMs))
	vars.Set("shares", m.counts)
	return m
}

// ageMs returns the age of the totals, -1 while none are known.
func (m *Metrics) ageMs() any {
	totals := m.totals.Load()
	if totals.MeasuredAt.IsZero() {
		return -1
	}
	return steady.Now().Sub(totals.MeasuredAt).Milliseconds()
}

func (m *Metrics) setTotals(totals share.Totals) { m.totals.Store(&totals) }

func (m *Metrics) countSent(bytes int) {
	m.counts.Add("sent_total", 1)
	m.counts.Add("sent_bytes_total", int64(bytes))
}

func (m *Metrics) countReceived(bytes int) {
	m.counts.Add("received_total", 1)
	m.counts.Add("received_bytes_total", int64(bytes))
}

func (m *Metrics) countDropped(reason string) { m.dropped.Add(reason, 1) }
func (m *Metrics) countTooLarge()             { m.counts.Add("too_large_total", 1) }
