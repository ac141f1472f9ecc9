package mesh

import (
	"context"
	"expvar"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/shell/pins"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/shell/shares"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// noVersions is a list of no software versions.
type noVersions struct{}

func (noVersions) Software([]vaneyoke.ServiceID) ([]pinning.Software, time.Duration) { return nil, 0 }

// newReceiver returns a node that handles datagrams but does not run, and a context that is done. apply receives the sightings.
func newReceiver(apply func(gossip.Sighting)) (*Node, context.Context) {
	n := idleNode()
	NewGossip(n, apply)
	n.OnLimits(func(ratelimits.Message) {})
	log := logrus.New()
	log.SetOutput(io.Discard)
	summed := shares.New(n.self.VM, n, &demand{}, shares.NewMetrics(new(expvar.Map).Init()), log)
	summed.SetTree("vm-1", []vaneyoke.VMID{"vm-2"})
	n.OnShares(summed.HandleDatagram)
	n.OnPins(pins.New(pinning.Member{VM: n.self.VM}, noVersions{}, n, nil, pins.NewMetrics(new(expvar.Map).Init()), log).HandleDatagram)
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no event loop reads the offers
	return n, ctx
}

// TestUnknownSightingKindsAreIgnored checks that sightings of unknown kinds, as a later build may send them beside known ones, are neither
// applied nor forwarded.
//
// A sighting of kind 99 or -1 crashed each node that received it, in the goroutine that reads datagrams:
//
//	panic: runtime error: index out of range [99] with length 7
//	gossip.Kind.String(...)
//	mesh.(*Node).logSighting
func TestUnknownSightingKindsAreIgnored(t *testing.T) {
	var applied []gossip.Sighting
	n, ctx := newReceiver(func(s gossip.Sighting) { applied = append(applied, s) })
	g := n.gossip.Load()
	n.handleDatagram(ctx, []byte(`{"by":"vm-1","sightings":[{"o":"vm-2","n":1,"u":"u1","k":99},{"o":"vm-2","n":2,"u":"u1","k":-1},{"o":"vm-2","n":3,"u":"u1","k":0},`+
		`{"o":"vm-2","n":4,"u":"u1","k":8},{"o":"vm-2","n":5,"u":"u1","k":1,"h":-9},{"o":"vm-2","n":6,"u":"u1","k":1,"later":{"a":1}}],"later":[1]}`))
	must.Len(t, 1, applied)
	must.EqOp(t, gossip.KindLost, applied[0].Kind)
	must.EqOp(t, 6, applied[0].Sequence)
	g.handle(gossip.NeighboursUpdated{})
}

// FuzzDatagrams handles arbitrary datagrams.
func FuzzDatagrams(f *testing.F) {
	n, ctx := newReceiver(func(gossip.Sighting) {})
	f.Fuzz(func(_ *testing.T, data []byte) {
		n.handleDatagram(ctx, data)
		n.gossip.Load().handle(gossip.Tick{})
	})
}

// FuzzFrames applies an arbitrary packet to a hub with valid tables; the version of a table must never decrease.
func FuzzFrames(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1000, 0)
		hub, _ := newKeepingHub()
		setConfirmed(hub, now, "t", watch.Rows{"a": row("a", 5), "b": row("b", 4)}, 5, now)
		read, err := packet(data).unpack()
		if err != nil {
			return
		}
		hub.applyFrame(now, read, data, true)
		_, version, _ := hub.Snapshot("t")
		must.GreaterEq(t, 5, version)
		must.GreaterEq(t, 0, hub.Status(now).Age)
		_, _, _, err = hub.nextUpdate(now, heldVersions{})
		must.NoError(t, err)
	})
}

// FuzzMembers decodes an arbitrary row of the members beside a valid one, and passes both to a node.
func FuzzMembers(f *testing.F) {
	f.Fuzz(func(_ *testing.T, data []byte) {
		n := idleNode()
		n.SetMembers(DecodeMembers(watch.Rows{
			"vm-1": {Data: []byte(`{"vm":"vm-1","data_centre":"a","address":"127.0.0.1:1"}`), Version: 1}, "vm-2": {Data: data, Version: 2},
		}))
	})
}
