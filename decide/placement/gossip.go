package placement

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
)

// RecordGossip applies what another node observed of an upstream. Without it, each node would have to lose requests of its own to a failed
// upstream before it opens its circuit breaker: 27 calls a second in a fleet of 90 nodes, none of which sends it one call a second.
func (s *State) RecordGossip(now time.Time, id vaneyoke.UpstreamID, kind gossip.Kind) {
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
		e.replacedUntil = now.Add(replacedTTL)
	case gossip.KindHealthy:
		e.breaker.Succeeded()
	default: // does not concern the connection to it
	}
}
