package admission

import (
	"math"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

// demandKey is what demand is counted by.
type demandKey struct {
	service   vaneyoke.ServiceID
	workspace vaneyoke.WorkspaceID
	urgency   share.Urgency
}

// demandCount counts requests since the last call of State.Demands.
type demandCount struct {
	offered, admitted, waiting vaneyoke.Tokens
	rejected                   int
}

// demandCounts holds the counts since the last call of State.Demands.
type demandCounts struct {
	since  time.Time
	counts map[demandKey]*demandCount
	order  []demandKey
}

func (d *demandCounts) of(e *entry) *demandCount {
	key := demandKey{service: e.Service, workspace: e.Workspace, urgency: e.Urgency}
	if d.counts == nil {
		d.counts = map[demandKey]*demandCount{}
	}
	if d.counts[key] == nil {
		d.counts[key] = &demandCount{}
		d.order = append(d.order, key)
	}
	return d.counts[key]
}

func (d *demandCounts) offer(e *entry)  { d.of(e).offered += max(e.Prompt, 1) }
func (d *demandCounts) admit(e *entry)  { d.of(e).admitted += max(e.Prompt, 1) }
func (d *demandCounts) reject(e *entry) { d.of(e).rejected++ }

// Demands returns the demand since its last call, and starts to count anew. A request counts as waiting if it was assessed and there was no room,
// as long as it can still be in time.
func (s *State) Demands(now time.Time) []share.Demand {
	d := &s.demands
	for _, q := range s.queues {
		for _, e := range q.entries {
			if e.isHeldUp(now) && !q.isLate(now, e) {
				d.of(e).waiting += max(e.Prompt, 1)
			}
		}
	}
	elapsed := now.Sub(d.since).Seconds()
	if d.since.IsZero() || elapsed <= 0 {
		elapsed = 1
	}
	demands := make([]share.Demand, 0, len(d.order))
	for _, key := range d.order {
		c := d.counts[key]
		demands = append(demands, share.Demand{Service: key.service, Workspace: key.workspace, Urgency: key.urgency, Flow: share.Flow{
			Offered:  vaneyoke.Tokens(math.Ceil(float64(c.offered) / elapsed)),
			Admitted: vaneyoke.Tokens(math.Ceil(float64(c.admitted) / elapsed)),
			Waiting:  c.waiting,
			Rejected: int(math.Ceil(float64(c.rejected) / elapsed)),
		}})
	}
	s.demands = demandCounts{since: now, order: d.order[:0]}
	return demands
}
