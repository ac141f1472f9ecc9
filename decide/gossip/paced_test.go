package gossip_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
)

// TestPaceIsTakenForAFailure tells twice, late and out of order how slow an upstream is: it is applied once each, and does not count as a failure.
func TestPaceIsTakenForAFailure(t *testing.T) {
	now, s := time.Unix(1000, 0), gossip.New("self", 0)
	s.Handle(now, gossip.NeighboursUpdated{VMs: []vaneyoke.VMID{"x", "y"}})
	applied := 0
	for _, sequence := range []uint64{3, 1, 2, 1, 3} {
		effects := s.Handle(now, gossip.SightingsReceived{From: "x", Sightings: []gossip.Sighting{{Origin: "o", Sequence: sequence, Upstream: "u", Kind: gossip.KindPaced, Factor: 2}}})
		applied += len(effects)
	}
	must.EqOp(t, 3, applied)
	s.Handle(now, gossip.Observed{Upstream: "v", Kind: gossip.KindHealthy})
	s.Handle(now, gossip.Observed{Upstream: "u", Kind: gossip.KindHealthy}) // reported only if it was seen to fail
	var sent []gossip.Sighting
	for _, effect := range s.Handle(now.Add(time.Second), gossip.Tick{}) {
		if e, ok := effect.(gossip.SendSightings); ok {
			must.EqOp(t, vaneyoke.VMID("y"), e.To)
			sent = append(sent, e.Sightings...)
		}
	}
	must.SliceLen(t, 3, sent)
	for _, sighting := range sent {
		must.EqOp(t, gossip.KindPaced, sighting.Kind)
		must.EqOp(t, 2, sighting.Factor)
		must.EqOp(t, 1, sighting.Hops)
	}
}

// TestImpossiblePaceIsForwarded tells factors that cannot be.
func TestImpossiblePaceIsForwarded(t *testing.T) {
	now, s := time.Unix(1000, 0), gossip.New("self", 0)
	s.Handle(now, gossip.NeighboursUpdated{VMs: []vaneyoke.VMID{"x", "y"}})
	for i, factor := range []float64{0, -1, math.NaN(), math.Inf(1), 1e300, 0.1, 9} {
		must.SliceEmpty(t, s.Handle(now, gossip.SightingsReceived{From: "x", Sightings: []gossip.Sighting{{
			Origin: "o", Sequence: uint64(i + 1), Upstream: "u", Kind: gossip.KindPaced, Factor: gossip.Factor(factor),
		}}}))
	}
	must.True(t, s.NextTick().IsZero())
}

// TestPaceCrowdsOutFailures observes the pace of many upstreams, some of them repeatedly, and then that one is lost: the loss is sent, and each pace
// at most once in two seconds.
func TestPaceCrowdsOutFailures(t *testing.T) {
	now, s := time.Unix(1000, 0), gossip.New("self", 0)
	s.Handle(now, gossip.NeighboursUpdated{VMs: []vaneyoke.VMID{"x"}})
	s.Handle(now, gossip.Observed{Upstream: "u", Kind: gossip.KindHealthy})
	for i := range 500 {
		upstream := vaneyoke.UpstreamID(rune('A' + i%200))
		s.Handle(now, gossip.Observed{Upstream: upstream, Kind: gossip.KindPaced, Run: gossip.Run{Incarnation: 1}, Factor: 2})
	}
	s.Handle(now, gossip.Observed{Upstream: "u", Kind: gossip.KindLost})
	counts := map[gossip.Kind]int{}
	for _, effect := range s.Handle(now, gossip.Tick{}) {
		if e, ok := effect.(gossip.SendSightings); ok {
			for _, sighting := range e.Sightings {
				counts[sighting.Kind]++
			}
		}
	}
	must.Eq(t, map[gossip.Kind]int{gossip.KindPaced: 32, gossip.KindLost: 1}, counts)
	s.Handle(now.Add(time.Second), gossip.Observed{Upstream: "A", Kind: gossip.KindPaced, Run: gossip.Run{Incarnation: 1}, Factor: 2})
	must.True(t, s.NextTick().IsZero())
}
