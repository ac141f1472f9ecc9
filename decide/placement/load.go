package placement

import (
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
)

// Outcomes counts attempts by outcome.
type Outcomes [numOutcomes]int

// Bad returns how many attempts failed because of the upstream.
func (o Outcomes) Bad() int { return o[OutcomeFailed] + o[OutcomeLost] + o[OutcomeUnreachable] }

// Load is the node's view of one upstream.
type Load struct {
	Upstream    vaneyoke.Upstream
	InFlight    int
	BreakerOpen bool          // whether its circuit breaker is open
	Drained     bool          // whether it is drained by policy
	Limited     bool          // whether it declares a rate limit
	Held        bool          // whether it gets no new attempts because of a pushback or its shutdown
	Outcomes    Outcomes      // of this node's attempts
	Factor      gossip.Factor // how slow it is
}

// Loads returns the node's view of each upstream, sorted by ID.
func (s *State) Loads(now time.Time) []Load {
	return lo.Map(s.sorted, func(e *entry, _ int) Load {
		return Load{
			Upstream: e.upstream, InFlight: e.inFlight, BreakerOpen: e.breaker.IsOpen(), Drained: e.drained, Limited: e.limit.Declared,
			Held: e.hold.Active(now, &e.upstream), Outcomes: e.outcomes, Factor: e.slowness.current(now),
		}
	})
}
