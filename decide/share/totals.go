package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// newTotals returns the totals in a summary.
func newTotals(measuredAt time.Time, nodes int, shares []ServiceShare) Totals {
	t := Totals{MeasuredAt: measuredAt, Nodes: nodes, Services: make(map[vaneyoke.ServiceID]ServiceTotals, len(shares))}
	for i := range shares {
		s := &shares[i]
		service := ServiceTotals{
			Urgencies: make(map[Urgency]Flow, len(s.Urgencies)), Workspaces: make(map[vaneyoke.WorkspaceID]Flow, len(s.Workspaces)), Others: s.Others, Active: s.active(),
		}
		for _, u := range s.Urgencies {
			service.Urgencies[u.Urgency] = service.Urgencies[u.Urgency].plus(u.Flow)
		}
		for _, w := range s.Workspaces {
			service.Workspaces[w.Workspace] = service.Workspaces[w.Workspace].plus(w.Flow)
		}
		for _, o := range s.Overused {
			if service.Overused == nil {
				service.Overused = map[Hash]float64{}
			}
			service.Overused[o.Workspace] = o.Ratio
		}
		t.Services[s.Service] = service
	}
	return t
}

// active returns the number of workspaces with demand, which is at least the number of those listed.
func (s *ServiceShare) active() int {
	listed := len(s.Workspaces)
	if s.Others != (Flow{}) {
		listed++
	}
	return max(listed, s.Active, s.Sketch.Count())
}

// fairShare returns the most that a workspace may have admitted within its max-min fair share; infinite if all demand is met.
func (s *ServiceShare) fairShare() float64 {
	if !s.contended() {
		return math.Inf(1)
	}
	flows := make([]Flow, 0, len(s.Workspaces))
	for _, w := range s.Workspaces {
		flows = append(flows, w.Flow)
	}
	return fairShare(flows, s.Others, s.active()-len(s.Workspaces))
}

// Fresh reports whether the totals are recent enough to decide by.
func (t Totals) Fresh(now time.Time) bool {
	return !t.MeasuredAt.IsZero() && now.Sub(t.MeasuredAt) <= totalsTTL
}

// MoreUrgentWaits reports whether, in the whole fleet, more urgent requests for a service were rejected in the last interval, or more of them wait
// than the service admits within a tenth of a second.
func (t Totals) MoreUrgentWaits(service vaneyoke.ServiceID, urgency Urgency) bool {
	return t.unmet(service, urgency-1).contended()
}

// WaitsInTime reports whether, in the whole fleet, more requests that are at least as urgent wait and can still be in time than the service admits
// within a tenth of a second.
func (t Totals) WaitsInTime(service vaneyoke.ServiceID, urgency Urgency) bool {
	flow := t.unmet(service, urgency)
	flow.Rejected = 0
	return flow.contended()
}

// unmet returns the demand for a service of the given urgency and more urgent ones, with all that the service admits, which they could have.
func (t Totals) unmet(service vaneyoke.ServiceID, urgency Urgency) Flow {
	var sum Flow
	for other, flow := range t.Services[service].Urgencies {
		if other > urgency {
			flow = Flow{Admitted: flow.Admitted}
		}
		sum = sum.plus(flow)
	}
	return sum
}

// Overuse returns the ratio of what a workspace had admitted to its max-min fair share of all that was admitted; 1 if it had no more than that,
// if it is not known, and if demand is met: nothing was rejected, and no more waits than is admitted within a tenth of a second.
func (t Totals) Overuse(service vaneyoke.ServiceID, workspace vaneyoke.WorkspaceID) float64 {
	s := t.Services[service]
	if ratio := s.Overused[hashOf(workspace)]; ratio > 1 {
		return ratio
	}
	own, ok := s.Workspaces[workspace]
	if !ok || !s.contended() {
		return 1
	}
	flows := make([]Flow, 0, len(s.Workspaces))
	for _, flow := range s.Workspaces {
		flows = append(flows, flow)
	}
	level := fairShare(flows, s.Others, s.Active-len(s.Workspaces))
	return max(1, float64(own.Admitted)/max(level, 1))
}

// contended reports whether the demand for a service is not met.
func (s ServiceTotals) contended() bool {
	var all Flow
	for _, flow := range s.Urgencies {
		all = all.plus(flow)
	}
	return all.contended()
}

// fairShare divides what was admitted to some workspaces, and to a number of others of which only the sum is known, by max-min fairness: whoever
// asks less than an equal part gets what it asks, and the rest is divided equally. It returns that equal part.
func fairShare(flows []Flow, others Flow, otherCount int) float64 {
	type group struct{ wanted, count float64 }
	groups := make([]group, 0, len(flows)+1)
	var room, count float64
	for _, f := range flows {
		groups = append(groups, group{float64(f.wanted()), 1})
		room += float64(f.Admitted)
	}
	if others != (Flow{}) {
		n := float64(max(otherCount, 1))
		groups = append(groups, group{float64(others.wanted()) / n, n})
		room += float64(others.Admitted)
	}
	for _, g := range groups {
		count += g.count
	}
	slices.SortFunc(groups, func(a, b group) int { return cmp.Compare(a.wanted, b.wanted) })
	for _, g := range groups {
		if g.wanted*count >= room {
			return room / count
		}
		room -= g.wanted * g.count
		count -= g.count
	}
	return math.Inf(1)
}
