package duties

import (
	"expvar"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/lease"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// Metrics tells what a node does of duties.
type Metrics struct{ counts *expvar.Map }

// NewMetrics returns metrics that are told under "duties" among vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{counts: new(expvar.Map).Init()}
	vars.Set("duties", m.counts)
	return m
}

// LeaseView is what a node knows of a lease.
type LeaseView struct {
	Holder vaneyoke.VMID      `json:"holder"` // as it was last known
	Fence  lease.FencingToken `json:"fence"`
	Held   bool               `json:"held"` // whether this node holds it
}

// tellLeases has the leases told as a node knows them.
func (m *Metrics) tellLeases(n *Node) {
	m.counts.Set("leases", expvar.Func(func() any {
		n.mu.Lock()
		defer n.mu.Unlock()
		views := map[lease.Name]LeaseView{}
		for name, d := range n.duties {
			row, known := d.Row()
			if _, held := d.ActiveToken(steady.Now()); known {
				views[name] = LeaseView{Holder: row.Holder, Fence: row.Token, Held: held}
			}
		}
		return views
	}))
}
