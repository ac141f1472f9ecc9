package mesh

import (
	"expvar"
	"sync/atomic"

	"github.com/vaneyoke/vaneyoke"
)

// Metrics holds the counters of a node's mesh and its current status.
type Metrics struct {
	counts *expvar.Map
	status atomic.Pointer[NodeStatus]
}

// NodeStatus is the state of a node in the mesh.
type NodeStatus struct {
	Source    vaneyoke.VMID `json:"source"`    // the node that it follows; empty for none
	Followers int           `json:"followers"` // number of nodes that follow it
	Reading   string        `json:"reading"`   // how it reads the store
	Fresh     bool          `json:"fresh"`     // whether its tables are not stale
	Reader    vaneyoke.VMID `json:"reader"`    // the node to which the store confirmed the tables
	AgeMs     int64         `json:"age_ms"`    // time since that confirmation
}

// NewMetrics returns metrics that are published as "mesh" in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{counts: new(expvar.Map).Init()}
	m.status.Store(&NodeStatus{})
	m.counts.Set("part", expvar.Func(func() any { return m.status.Load() }))
	vars.Set("mesh", m.counts)
	return m
}

func (m *Metrics) setStatus(status NodeStatus) { m.status.Store(&status) }

// countReceived counts the bytes of a frame received from another node.
func (m *Metrics) countReceived(bytes int) { m.counts.Add("taken_bytes_total", int64(bytes)) }

// countSent counts the bytes of frames sent to another node, separately for tables and for their status.
func (m *Metrics) countSent(tables, age int) {
	m.counts.Add("told_bytes_total", int64(tables))
	m.counts.Add("told_age_bytes_total", int64(age))
}

// countSightingsSent counts sightings of failing upstreams sent to other nodes.
func (m *Metrics) countSightingsSent(sightings int) {
	m.counts.Add("sightings_told_total", int64(sightings))
}

// countSightingReceived counts sightings received from other nodes.
func (m *Metrics) countSightingReceived() { m.counts.Add("sightings_heard_total", 1) }

// countTooLarge counts single items that do not fit into a datagram.
func (m *Metrics) countTooLarge() { m.counts.Add("too_large_total", 1) }

// countIgnored counts datagrams of unknown types and datagrams that cannot be decoded.
func (m *Metrics) countIgnored() { m.counts.Add("passed_over_total", 1) }

func (m *Metrics) countLent()     { m.counts.Add("lent_total", 1) }
func (m *Metrics) countBorrowed() { m.counts.Add("borrowed_total", 1) }
func (m *Metrics) countQuery()    { m.counts.Add("asked_total", 1) }
func (m *Metrics) countOffer()    { m.counts.Add("offered_total", 1) }
