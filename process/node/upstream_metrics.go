package node

import (
	"cmp"
	"runtime/metrics"
	"slices"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
)

// upstreamCounts says what the node believes of a service's upstreams.
type upstreamCounts struct {
	Live     int `json:"live"`      // that may be given new work
	Leaving  int `json:"leaving"`   // that say that they are leaving, or are drained by a policy
	Open     int `json:"open"`      // of the live ones, those that a circuit breaker keeps work from
	Limited  int `json:"limited"`   // of the live ones, those that name how many requests they take
	Held     int `json:"held"`      // of the live ones, those that asked for nothing for a while or said that they leave
	InFlight int `json:"in_flight"` // attempts of this node on them
}

// countUpstreams counts what a node sees of its upstreams by service; engines of the caller API count under "".
func countUpstreams(loads []placement.Load) map[vaneyoke.ServiceID]upstreamCounts {
	counts := map[vaneyoke.ServiceID]upstreamCounts{}
	for _, l := range loads {
		c := counts[l.Upstream.Service]
		c.InFlight += l.InFlight
		switch {
		case l.Upstream.State != vaneyoke.StateLive || l.Drained:
			c.Leaving++
		default:
			c.Live++
			if l.BreakerOpen {
				c.Open++
			}
			if l.Limited {
				c.Limited++
			}
			if l.Held {
				c.Held++
			}
		}
		counts[l.Upstream.Service] = c
	}
	return counts
}

// mostFailing is how many upstreams are told one by one, so that what is told does not grow with the fleet.
const mostFailing = 8

// failingUpstreams counts how this node's attempts ended at the upstreams whose fault that was most often.
func failingUpstreams(loads []placement.Load) map[vaneyoke.UpstreamID]map[string]int {
	failing := lo.Filter(loads, func(l placement.Load, _ int) bool { return l.Outcomes.Bad() > 0 })
	slices.SortFunc(failing, func(a, b placement.Load) int {
		return cmp.Or(cmp.Compare(b.Outcomes.Bad(), a.Outcomes.Bad()), cmp.Compare(a.Upstream.ID, b.Upstream.ID))
	})
	counts := map[vaneyoke.UpstreamID]map[string]int{}
	for _, l := range failing[:min(len(failing), mostFailing)] {
		ended := map[string]int{}
		for outcome, n := range l.Outcomes {
			if n > 0 {
				ended[placement.Outcome(outcome).String()] = n
			}
		}
		counts[l.Upstream.ID] = ended
	}
	return counts
}

// memoryBytes returns how much memory the process has from the system.
func memoryBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
