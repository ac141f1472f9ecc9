package duties

import (
	"expvar"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/lease"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// Metrics counts what a node does for its duties.
type Metrics struct{ counts *expvar.Map }

// NewMetrics returns metrics that are published under "duties" in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{counts: new(expvar.Map).Init()}
	vars.Set("duties", m.counts)
	return m
}

// LeaseView is the state of a lease as a node knows it.
type LeaseView struct {
	Holder vaneyoke.VMID      `json:"holder"` // last one known
	Token  lease.FencingToken `json:"fence"`
	Held   bool               `json:"held"` // whether this node holds it
}

// publishLeases publishes the leases as n knows them.
func (m *Metrics) publishLeases(n *Node) {
	m.counts.Set("leases", expvar.Func(func() any {
		n.mu.Lock()
		defer n.mu.Unlock()
		views := map[lease.Name]LeaseView{}
		for name, d := range n.duties {
			row, known := d.Row()
			if _, held := d.ActiveToken(steady.Now()); known {
				views[name] = LeaseView{Holder: row.Holder, Token: row.Token, Held: held}
			}
		}
		return views
	}))
}
