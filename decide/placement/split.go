package placement

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

// serviceSplit is how a service's requests are split among the versions of its upstreams.
type serviceSplit struct {
	rollout.Split
	service          vaneyoke.ServiceID
	canaries         map[vaneyoke.UpstreamID]bool // upstreams of the target version that get canary requests
	hasOtherVersions bool                         // whether upstreams of other versions may get work
}

// SetSplit sets how a service's requests are split among the versions of its upstreams.
func (s *State) SetSplit(service vaneyoke.ServiceID, split rollout.Split) {
	if split.Target == "" && len(split.Held) == 0 {
		delete(s.splits, service)
		return
	}
	sp := &serviceSplit{Split: split, service: service}
	sp.selectCanaries(s.sorted)
	s.splits[service] = sp
}

// selectCanaries selects the upstreams for canary requests: the same share of the target's upstreams as of the requests, and the same upstreams
// on every node, so that each gets the load that it would get if all requests went to the target.
func (sp *serviceSplit) selectCanaries(all []*entry) {
	var targets []*entry
	sp.hasOtherVersions = false
	for _, e := range all {
		switch {
		case e.upstream.Service != sp.service:
		case sp.isTarget(e):
			targets = append(targets, e)
		case !sp.isHeld(e):
			sp.hasOtherVersions = true
		}
	}
	sp.canaries = map[vaneyoke.UpstreamID]bool{}
	for _, e := range topByHash(string(sp.Target), targets, int(math.Ceil(sp.Share*float64(len(targets))))) {
		sp.canaries[e.upstream.ID] = true
	}
}

// isTarget reports whether an upstream runs the target version.
func (sp *serviceSplit) isTarget(e *entry) bool {
	return sp.Target != "" && e.upstream.Version == sp.Target
}

// isHeld reports whether an upstream runs a version that gets no requests yet.
func (sp *serviceSplit) isHeld(e *entry) bool { return slices.Contains(sp.Held, e.upstream.Version) }

// isComplete reports whether all requests go to the target.
func (sp *serviceSplit) isComplete() bool { return sp.Share >= 1 }

// matchesSplit reports whether an upstream runs a version that the request is meant for or, if fallback is true, one that gets the request
// because no other upstream takes work. A version that has not been accepted gets no fallback requests while other versions are available.
func (s *State) matchesSplit(need Need, e *entry, fallback bool) bool {
	sp := s.splits[need.Service]
	if sp == nil || need.Kind != vaneyoke.KindService {
		return !fallback
	}
	switch {
	case need.Pin.IsSet: // an answer goes on at its own version whatever its share is, unless that has failed
		return !fallback && !s.IsPinnedToBlocked(need)
	case sp.isTarget(e):
		switch {
		case sp.Blocked:
			return false
		case sp.isComplete():
			return !fallback
		case need.Canary && sp.canaries[e.upstream.ID]:
			return !fallback
		default:
			return fallback && !sp.hasOtherVersions
		}
	case sp.isHeld(e):
		return fallback && !sp.hasOtherVersions
	case sp.isComplete():
		return fallback
	default:
		return fallback == (need.Canary && len(sp.canaries) > 0)
	}
}

// IsPinnedToBlocked reports whether a need is pinned to a version that was taken back, so that it gets nothing any more.
func (s *State) IsPinnedToBlocked(need Need) bool {
	sp := s.splits[need.Service]
	return sp != nil && need.Kind == vaneyoke.KindService && need.Pin.IsSet && sp.Blocked && need.Pin.Version == sp.Target
}

// DrawCanary reports whether a new request is to test the version that its service is moving to. Requests are drawn independently, so that the
// fleet's share equals each node's without coordination.
func (s *State) DrawCanary(rng *rand.Rand, service vaneyoke.ServiceID) bool {
	sp := s.splits[service]
	return sp != nil && !sp.Blocked && sp.Share > 0 && rng.Float64() < sp.Share
}

// InFlightByVersion returns the attempts in flight by service and version.
func (s *State) InFlightByVersion() map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int {
	inFlight := map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int{}
	for _, e := range s.sorted {
		u := &e.upstream
		if u.Kind != vaneyoke.KindService {
			continue
		}
		if inFlight[u.Service] == nil {
			inFlight[u.Service] = map[vaneyoke.SoftwareVersion]int{}
		}
		inFlight[u.Service][u.Version] += e.inFlight
	}
	return inFlight
}
