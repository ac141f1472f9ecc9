package node

import (
	"cmp"
	"runtime/metrics"
	"slices"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
)

// upstreamCounts counts a service's upstreams by their state as this node sees it.
type upstreamCounts struct {
	Live        int `json:"live"`      // that may get new requests
	Leaving     int `json:"leaving"`   // that announced that they are leaving, or are drained by a policy
	BreakerOpen int `json:"open"`      // live ones whose circuit breaker is open
	Limited     int `json:"limited"`   // live ones that declare a rate limit
	Held        int `json:"held"`      // live ones that get no requests after a pushback or a shutdown notice
	Slow        int `json:"slow"`      // live ones that are seen to be slower than usual
	InFlight    int `json:"in_flight"` // this node's open attempts
}

// slowFactor is from which factor on an upstream counts as slow.
const slowFactor = 1.5

// countUpstreams counts upstreams by service and state; engines of the caller API count under "".
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
				c.BreakerOpen++
			}
			if l.Limited {
				c.Limited++
			}
			if l.Held {
				c.Held++
			}
			if l.Factor >= slowFactor {
				c.Slow++
			}
		}
		counts[l.Upstream.Service] = c
	}
	return counts
}

// maxFailingUpstreams limits how many upstreams are reported individually, so that the metric does not grow with the fleet.
const maxFailingUpstreams = 8

// failingUpstreams returns the outcomes of this node's attempts on the upstreams with the most failures.
func failingUpstreams(loads []placement.Load) map[vaneyoke.UpstreamID]map[string]int {
	failing := lo.Filter(loads, func(l placement.Load, _ int) bool { return l.Outcomes.Bad() > 0 })
	slices.SortFunc(failing, func(a, b placement.Load) int {
		return cmp.Or(cmp.Compare(b.Outcomes.Bad(), a.Outcomes.Bad()), cmp.Compare(a.Upstream.ID, b.Upstream.ID))
	})
	counts := map[vaneyoke.UpstreamID]map[string]int{}
	for _, l := range failing[:min(len(failing), maxFailingUpstreams)] {
		outcomes := map[string]int{}
		for outcome, n := range l.Outcomes {
			if n > 0 {
				outcomes[placement.Outcome(outcome).String()] = n
			}
		}
		counts[l.Upstream.ID] = outcomes
	}
	return counts
}

// memoryBytes returns how much memory the process has obtained from the operating system.
func memoryBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
