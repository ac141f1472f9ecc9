package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
)

// BenchmarkSightings processes and forwards 400 sightings a second from four neighbours, the load when a third of the upstreams
// of a fleet of 300 nodes is replaced; it reports the time per sighting.
func BenchmarkSightings(b *testing.B) {
	s := gossip.New("vm0", 0)
	now := time.Unix(1000, 0)
	s.Handle(now, gossip.NeighboursUpdated{VMs: []vaneyoke.VMID{"vm1", "vm2", "vm3", "vm4"}})
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		now = now.Add(time.Second / 400)
		s.Handle(now, gossip.SightingsReceived{From: "vm1", Sightings: []gossip.Sighting{{
			Origin: "vm9", Sequence: sequence, Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", sequence%900)), Kind: gossip.KindUnreachable,
		}}})
		if at := s.NextTick(); !at.IsZero() && !now.Before(at) {
			s.Handle(now, gossip.Tick{})
		}
	}
}
