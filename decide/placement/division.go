package placement

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

// division is how a service's requests are divided among the versions of its upstreams.
type division struct {
	rollout.Split
	service vaneyoke.ServiceID
	tried   map[vaneyoke.UpstreamID]bool // upstreams of the target that requests which try it go to
	others  bool                         // whether there are upstreams of other versions that may get work
}

// SetSplit takes in how a service's requests are divided.
func (s *State) SetSplit(service vaneyoke.ServiceID, split rollout.Split) {
	if split.Target == "" && len(split.Held) == 0 {
		delete(s.divisions, service)
		return
	}
	d := &division{Split: split, service: service}
	d.arrange(s.order)
	s.divisions[service] = d
}

// arrange chooses the upstreams that a trial goes to: as large a share of the target's as of the requests, the same on every
// node, so that each bears what it would have to bear if all requests went there.
func (d *division) arrange(all []*entry) {
	var targets []*entry
	d.others = false
	for _, e := range all {
		switch {
		case e.upstream.Service != d.service:
		case d.isTarget(e):
			targets = append(targets, e)
		case !d.isHeld(e):
			d.others = true
		}
	}
	d.tried = map[vaneyoke.UpstreamID]bool{}
	for _, e := range byHash(string(d.Target), targets, int(math.Ceil(d.Share*float64(len(targets))))) {
		d.tried[e.upstream.ID] = true
	}
}

func (d *division) isTarget(e *entry) bool { return d.Target != "" && e.upstream.Version == d.Target }
func (d *division) isHeld(e *entry) bool   { return slices.Contains(d.Held, e.upstream.Version) }

// moved reports whether all requests go to the target.
func (d *division) moved() bool { return d.Share >= 1 }

// suits reports whether an upstream is of a version that a request is meant for; or, where other is true, of one that gets it
// because nobody else takes work. A version that is not judged good gets nothing of the latter kind while others are there.
func (s *State) suits(need Need, e *entry, other bool) bool {
	d := s.divisions[need.Service]
	if d == nil || need.Kind != vaneyoke.KindService {
		return !other
	}
	switch {
	case d.isTarget(e):
		switch {
		case d.Blocked:
			return false
		case d.moved():
			return !other
		case need.Trial && d.tried[e.upstream.ID]:
			return !other
		default:
			return other && !d.others
		}
	case d.isHeld(e):
		return other && !d.others
	case d.moved():
		return other
	default:
		return other == (need.Trial && len(d.tried) > 0)
	}
}

// together reports whether a replica of a run on one upstream may be kept on another: not by a version that may be taken back.
func (s *State) together(a, b *vaneyoke.Upstream) bool {
	return s.divisions[b.Service] == nil || a.Version == b.Version
}

// Draws reports whether a new request tries the version to which its service moves. Each request is drawn by itself, so that
// the fleet's share is that of each node, whatever the nodes know of one another.
func (s *State) Draws(rng *rand.Rand, service vaneyoke.ServiceID) bool {
	d := s.divisions[service]
	return d != nil && !d.Blocked && d.Share > 0 && rng.Float64() < d.Share
}

// Running returns the attempts under way by service and version.
func (s *State) Running() map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int {
	running := map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int{}
	for _, e := range s.order {
		u := &e.upstream
		if u.Kind != vaneyoke.KindService {
			continue
		}
		if running[u.Service] == nil {
			running[u.Service] = map[vaneyoke.SoftwareVersion]int{}
		}
		running[u.Service][u.Version] += e.inFlight
	}
	return running
}
