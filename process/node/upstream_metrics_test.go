package node

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
)

func TestCountUpstreams(t *testing.T) {
	load := func(service string, state vaneyoke.UpstreamState, l placement.Load) placement.Load {
		l.Upstream = vaneyoke.Upstream{Service: vaneyoke.ServiceID(service), State: state}
		return l
	}
	got := countUpstreams([]placement.Load{
		load("lm", vaneyoke.StateLive, placement.Load{InFlight: 3, Limited: true}),
		load("lm", vaneyoke.StateLive, placement.Load{InFlight: 1, BreakerOpen: true, Held: true}),
		load("lm", vaneyoke.StateLeaving, placement.Load{InFlight: 2, BreakerOpen: true}),
		load("lm", vaneyoke.StateLive, placement.Load{Drained: true}),
		load("shop", vaneyoke.StateLive, placement.Load{}),
	})
	must.Eq(t, map[vaneyoke.ServiceID]upstreamCounts{
		"lm":   {Live: 2, Leaving: 2, BreakerOpen: 1, Limited: 1, Held: 1, InFlight: 6},
		"shop": {Live: 1},
	}, got)
}

// TestFailingUpstreams counts twelve upstreams with increasing numbers of failures and one without any; the metric lists only the
// worst ones.
func TestFailingUpstreams(t *testing.T) {
	loads := []placement.Load{{Upstream: vaneyoke.Upstream{ID: "well"}, Outcomes: placement.Outcomes{placement.OutcomeDone: 100}}}
	for i := range 12 {
		loads = append(loads, placement.Load{
			Upstream: vaneyoke.Upstream{ID: vaneyoke.UpstreamID(fmt.Sprintf("i-%d", i))},
			Outcomes: placement.Outcomes{placement.OutcomeDone: 5, placement.OutcomeLost: i, placement.OutcomeUnreachable: 1},
		})
	}
	got := failingUpstreams(loads)
	must.MapLen(t, maxFailingUpstreams, got)
	must.Eq(t, map[string]int{"done": 5, "lost": 11, "unreachable": 1}, got["i-11"])
	must.MapNotContainsKey(t, got, "well")
	must.MapNotContainsKey(t, got, "i-3")
}

func TestMemoryBytes(t *testing.T) { must.Positive(t, memoryBytes()) }
