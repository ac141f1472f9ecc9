package placement

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
)

// Heard takes in what another node saw of an upstream. Many nodes that send few requests each would otherwise each have to
// lose some to an upstream that loses all: 27 calls a second in a fleet of 90 nodes, none of which sends it one a second.
func (s *State) Heard(now time.Time, id vaneyoke.UpstreamID, kind gossip.Kind) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	switch kind {
	case gossip.KindLost:
		e.breaker.Failed(now)
	case gossip.KindUnreachable:
		e.breaker.Open(now)
	case gossip.KindReplaced:
		e.goneUntil = now.Add(goneFor)
	case gossip.KindHealthy:
		e.breaker.Succeeded()
	default: // says nothing of the way to it
	}
}
