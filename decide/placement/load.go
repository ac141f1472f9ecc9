package placement

import (
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
)

// Outcomes counts attempts by how they ended.
type Outcomes [outcomes]int

// Bad returns how many attempts ended by a fault of the upstream.
func (o Outcomes) Bad() int { return o[OutcomeFailed] + o[OutcomeLost] + o[OutcomeUnreachable] }

// Load describes one upstream as the node sees it.
type Load struct {
	Upstream vaneyoke.Upstream
	InFlight int
	Open     bool     // whether the breaker holds work back
	Drained  bool     // whether a policy drains it
	Limited  bool     // whether it names how many requests it takes
	Held     bool     // whether it gets nothing new because it said so
	Ended    Outcomes // of this node's attempts there
}

// Loads returns what the node sees of each upstream, by id.
func (s *State) Loads(now time.Time) []Load {
	return lo.Map(s.order, func(e *entry, _ int) Load {
		return Load{
			Upstream: e.upstream, InFlight: e.inFlight, Open: e.breaker.IsOpen(), Drained: e.drained, Limited: e.limit.Declared,
			Held: e.hold.At(now, &e.upstream), Ended: e.ended,
		}
	})
}
