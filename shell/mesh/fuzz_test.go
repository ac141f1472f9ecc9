package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// heardAll is a node that takes in datagrams but does not run, and what it believes of them.
func heardAll(believe func(gossip.Sighting)) (*Node, context.Context) {
	n := bareNode()
	NewGossip(n, believe)
	n.OnLimits(func(ratelimits.Message) {})
	ended, end := context.WithCancel(context.Background())
	end() // nobody takes in what is offered
	return n, ended
}

// TestSightingsOfALaterBuild come in a datagram beside one that is known: those of other kinds are neither believed nor told on.
//
// A sighting of kind 99, or of -1, ended the process of each node that got it, in the goroutine that reads datagrams:
//
//	panic: runtime error: index out of range [99] with length 7
//	gossip.Kind.String(...)
//	mesh.(*Node).logHeard
func TestSightingsOfALaterBuild(t *testing.T) {
	var believed []gossip.Sighting
	n, ctx := heardAll(func(s gossip.Sighting) { believed = append(believed, s) })
	g := n.gossip.Load()
	n.takeDatagram(ctx, []byte(`{"by":"vm-1","sightings":[{"o":"vm-2","n":1,"u":"u1","k":99},{"o":"vm-2","n":2,"u":"u1","k":-1},{"o":"vm-2","n":3,"u":"u1","k":0},`+
		`{"o":"vm-2","n":4,"u":"u1","k":7},{"o":"vm-2","n":5,"u":"u1","k":1,"h":-9},{"o":"vm-2","n":6,"u":"u1","k":1,"later":{"a":1}}],"later":[1]}`))
	must.Len(t, 1, believed)
	must.EqOp(t, gossip.KindLost, believed[0].Kind)
	must.EqOp(t, 6, believed[0].Sequence)
	g.handle(gossip.NeighboursUpdated{})
}

// FuzzDatagrams takes in any datagram.
func FuzzDatagrams(f *testing.F) {
	n, ctx := heardAll(func(gossip.Sighting) {})
	f.Fuzz(func(_ *testing.T, data []byte) {
		n.takeDatagram(ctx, data)
		n.gossip.Load().handle(gossip.Tick{})
	})
}

// FuzzFrames takes in any packet of another node's tables, after one that is well formed. What a hub holds is of a version, and never goes back.
func FuzzFrames(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1000, 0)
		hub, _ := recorder()
		set(hub, now, "t", watch.Rows{"a": row("a", 5), "b": row("b", 4)}, 5, now)
		read, err := packet(data).unpack()
		if err != nil {
			return
		}
		hub.take(now, read, data)
		_, version, _ := hub.Held("t")
		must.GreaterEq(t, 5, version)
		must.GreaterEq(t, 0, hub.Word(now).Age)
		_, _, _, err = hub.next(now, told{})
		must.NoError(t, err)
	})
}

// FuzzMembers reads any row of the members, beside one that is well formed, and works by it.
func FuzzMembers(f *testing.F) {
	f.Fuzz(func(_ *testing.T, data []byte) {
		n := bareNode()
		n.SetMembers(DecodeMembers(watch.Rows{
			"vm-1": {Data: []byte(`{"vm":"vm-1","data_centre":"a","address":"127.0.0.1:1"}`), Version: 1}, "vm-2": {Data: data, Version: 2},
		}))
	})
}
