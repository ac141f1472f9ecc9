package mesh

import (
	"expvar"
	"sync/atomic"

	"github.com/vaneyoke/vaneyoke"
)

// Metrics counts what a node does for the mesh.
type Metrics struct {
	counts    *expvar.Map
	followers atomic.Int64
	source    atomic.Value // vaneyoke.VMID
}

// NewMetrics returns metrics that are told under "mesh" among vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{counts: new(expvar.Map).Init()}
	m.source.Store(vaneyoke.VMID(""))
	m.counts.Set("followers", expvar.Func(func() any { return m.followers.Load() }))
	m.counts.Set("source", expvar.Func(func() any { return m.source.Load() }))
	vars.Set("mesh", m.counts)
	return m
}

func (m *Metrics) follows(source vaneyoke.VMID, followers int) {
	m.source.Store(source)
	m.followers.Store(int64(followers))
}

// took counts the bytes of a frame of another node.
func (m *Metrics) took(bytes int) { m.counts.Add("taken_bytes_total", int64(bytes)) }

// told counts the bytes of frames to another node: of tables, and of how old they are.
func (m *Metrics) told(tables, age int) {
	m.counts.Add("told_bytes_total", int64(tables))
	m.counts.Add("told_age_bytes_total", int64(age))
}

func (m *Metrics) asked()   { m.counts.Add("asked_total", 1) }
func (m *Metrics) offered() { m.counts.Add("offered_total", 1) }
