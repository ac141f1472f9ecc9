package share

import (
	"cmp"
	"maps"
	"slices"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/protofield"
)

// workspaceBytes is the encoded size that the workspaces of a summary to the parent may have.
const workspaceBytes = 256

// sum is the demand of several nodes.
type sum map[vaneyoke.ServiceID]*serviceSum

type serviceSum struct {
	urgencies  map[Urgency]Flow
	workspaces map[vaneyoke.WorkspaceID]Flow
	others     Flow
	sketch     Sketch
}

func (s sum) service(id vaneyoke.ServiceID) *serviceSum {
	if s[id] == nil {
		s[id] = &serviceSum{urgencies: map[Urgency]Flow{}, workspaces: map[vaneyoke.WorkspaceID]Flow{}}
	}
	return s[id]
}

// addDemands adds the demands of a node.
func (s sum) addDemands(demands []Demand) {
	for _, d := range demands {
		if !validName(d.Service) || d.Urgency < 0 || d.Urgency > maxUrgency {
			continue
		}
		service, flow := s.service(d.Service), d.Flow.clamped()
		service.urgencies[d.Urgency] = service.urgencies[d.Urgency].plus(flow)
		service.sketch.Add(d.Workspace)
		if validName(d.Workspace) {
			service.workspaces[d.Workspace] = service.workspaces[d.Workspace].plus(flow)
		} else {
			service.others = service.others.plus(flow)
		}
	}
}

// addShares adds the demand in a summary.
func (s sum) addShares(shares []ServiceShare) {
	for i := range shares {
		share := &shares[i]
		service := s.service(share.Service)
		for _, u := range share.Urgencies {
			service.urgencies[u.Urgency] = service.urgencies[u.Urgency].plus(u.Flow)
		}
		for _, w := range share.Workspaces {
			service.workspaces[w.Workspace] = service.workspaces[w.Workspace].plus(w.Flow)
		}
		service.others = service.others.plus(share.Others)
		service.sketch.Merge(share.Sketch)
	}
}

// shares returns the services with the most demand, by name.
func (s sum) shares() []ServiceShare {
	all := make([]ServiceShare, 0, len(s))
	for id, service := range s {
		all = append(all, service.share(id))
	}
	slices.SortFunc(all, func(a, b ServiceShare) int {
		return cmp.Or(cmp.Compare(b.wanted(), a.wanted()), cmp.Compare(a.Service, b.Service))
	})
	all = all[:min(len(all), maxServices)]
	slices.SortFunc(all, func(a, b ServiceShare) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// share returns the demand for a service with at most maxUrgencies, of which the last includes all that are less urgent, and maxWorkspaces.
func (s *serviceSum) share(id vaneyoke.ServiceID) ServiceShare {
	result := ServiceShare{Service: id, Others: s.others, Sketch: s.sketch}
	for _, urgency := range slices.Sorted(maps.Keys(s.urgencies)) {
		flow := s.urgencies[urgency]
		if last := len(result.Urgencies) - 1; last+1 == maxUrgencies {
			result.Urgencies[last].Flow = result.Urgencies[last].plus(flow)
		} else if flow != (Flow{}) {
			result.Urgencies = append(result.Urgencies, UrgencyFlow{urgency, flow})
		}
	}
	for workspace, flow := range s.workspaces {
		result.Workspaces = append(result.Workspaces, WorkspaceFlow{workspace, flow})
	}
	slices.SortFunc(result.Workspaces, byDemand)
	result.keep(maxWorkspaces)
	return result
}

// keep adds all workspaces but the first ones to the others.
func (s *ServiceShare) keep(count int) {
	if count >= len(s.Workspaces) {
		return
	}
	for _, w := range s.Workspaces[count:] {
		s.Others = s.Others.plus(w.Flow)
	}
	s.Workspaces = s.Workspaces[:count:count]
}

// forParent returns the shares as they are sent to the parent.
func forParent(shares []ServiceShare) []ServiceShare {
	return withinBytes(shares, workspaceBytes)
}

// forChildren returns the shares as they are sent to the children: in place of the workspaces, the overuse of those that are over their fair share
// by most, of all services.
func forChildren(shares []ServiceShare) []ServiceShare {
	type overuse struct {
		Overuse
		service int // index into shares
	}
	result := make([]ServiceShare, len(shares))
	var all []overuse
	for i := range shares {
		s := &shares[i]
		result[i] = ServiceShare{Service: s.Service, Urgencies: s.Urgencies, Active: s.active()}
		for _, o := range s.overused() {
			all = append(all, overuse{o, i})
		}
	}
	slices.SortStableFunc(all, func(a, b overuse) int { return cmp.Compare(b.Ratio, a.Ratio) })
	for _, o := range all[:min(len(all), maxOverused)] {
		result[o.service].Overused = append(result[o.service].Overused, o.Overuse)
	}
	return result
}

// overused returns the workspaces over their fair share, the farthest first.
func (s *ServiceShare) overused() (all []Overuse) {
	level := s.fairShare()
	for _, w := range s.Workspaces {
		if ratio := float64(w.Admitted) / max(level, 1); ratio > 1 {
			all = append(all, Overuse{hashOf(w.Workspace), ratio})
		}
	}
	slices.SortFunc(all, func(a, b Overuse) int {
		return cmp.Or(cmp.Compare(b.Ratio, a.Ratio), cmp.Compare(a.Workspace, b.Workspace))
	})
	return all
}

// withinBytes returns the shares with as many workspaces as fit into a number of bytes: the first of each service, then the second of each, and
// so on.
func withinBytes(shares []ServiceShare, limit int) []ServiceShare {
	shares = slices.Clone(shares)
	kept := make([]int, len(shares))
	used := 0
	for rank := range maxWorkspaces {
		for i := range shares {
			if rank >= len(shares[i].Workspaces) || kept[i] < rank {
				continue
			}
			w := shares[i].Workspaces[rank]
			size := len(protofield.AppendBytes(nil, fieldWorkspace, appendFlow(protofield.AppendString(nil, fieldName, string(w.Workspace)), w.Flow)))
			if used+size <= limit {
				used += size
				kept[i]++
			}
		}
	}
	for i := range shares {
		shares[i].keep(kept[i])
	}
	return shares
}

// fit removes workspaces and then services from a summary until it fits into a datagram.
func (s *Summary) fit() {
	if len(Encode(*s)) <= MaxBytes {
		return
	}
	s.Services = withinBytes(s.Services, 0)
	for len(s.Services) > 0 && len(Encode(*s)) > MaxBytes {
		least := 0
		for i := range s.Services {
			if s.Services[i].wanted() < s.Services[least].wanted() {
				least = i
			}
		}
		s.Services = slices.Delete(slices.Clone(s.Services), least, least+1)
	}
}
