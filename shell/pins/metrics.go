package pins

import (
	"expvar"

	"github.com/vaneyoke/vaneyoke/decide/pinning"
)

// Metrics counts lookups by their basis, and records and queries that are exchanged with other nodes.
type Metrics struct{ counts *expvar.Map }

// NewMetrics returns metrics that are published under "pins" in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{counts: new(expvar.Map).Init()}
	vars.Set("pins", m.counts)
	return m
}

// publish adds the current figures of a node.
func (m *Metrics) publish(stats func() pinning.Stats) {
	for name, figure := range map[string]func(pinning.Stats) int{
		"records_held":          func(s pinning.Stats) int { return s.Held },
		"streams_served":        func(s pinning.Stats) int { return s.Serving },
		"streams_unreplicated":  func(s pinning.Stats) int { return s.Unacked },
		"records_refused_total": func(s pinning.Stats) int { return s.Refused },
		"rows_in_store":         func(s pinning.Stats) int { return s.Archived },
		"rows_unwritten":        func(s pinning.Stats) int { return s.Unarchived },
		"writes_failed_total":   func(s pinning.Stats) int { return s.FailedWrites },
	} {
		m.counts.Set(name, expvar.Func(func() any { return figure(stats()) }))
	}
}
