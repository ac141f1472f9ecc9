package mesh

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/share"
	"github.com/vaneyoke/vaneyoke/shell/shares"
)

// demand is a shares.DemandSource of one workspace.
type demand struct{ totals atomic.Pointer[share.Totals] }

// Active implements shares.DemandSource.
func (*demand) Active() bool { return true }

// Demands implements shares.DemandSource.
func (*demand) Demands(time.Time) []share.Demand {
	return []share.Demand{{Service: "chat", Workspace: "w", Flow: share.Flow{Offered: 100}}}
}

// UpdateShares implements shares.DemandSource.
func (d *demand) UpdateShares(totals share.Totals) { d.totals.Store(&totals) }

// TestSharesAreLostInTheMesh runs nodes that add up their demand over loopback, and kills the one at the root; then the store goes away, which must
// not matter.
func TestSharesAreLostInTheMesh(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	demands := map[*peer]*demand{}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	peers := startMeshPrepared(t, 5, func(*Config) {}, func(p *peer) {
		demands[p] = &demand{}
		node := shares.New(p.self.VM, p.Node, demands[p], shares.NewMetrics(new(expvar.Map).Init()), log)
		p.OnShares(node.HandleDatagram)
		p.OnTree(node.SetTree)
		go node.Run(ctx)
	})
	agree := func(peers []*peer, count int) func() bool {
		return func() bool {
			for _, p := range peers {
				totals := demands[p].totals.Load()
				if totals == nil || totals.Nodes != count || totals.Services["chat"].Urgencies[0].Offered != vaneyoke.Tokens(100*count) || !totals.Fresh(time.Now()) {
					return false
				}
			}
			return true
		}
	}
	waitUntil(t, agree(peers, 5))
	root := highestRanked(peers)
	root.kill()
	rest := without(peers, root)
	waitUntil(t, agree(rest, 4))
	for _, p := range rest {
		p.store.down.Store(true)
	}
	waitUntil(t, func() bool {
		for _, p := range rest {
			if !p.Stale() {
				return false
			}
		}
		return true
	})
	waitUntil(t, agree(rest, 4))
}

// TestSharesAreSentOnlyToSupportingBuilds has neighbours of earlier builds, whose rows were written by a later one: they must get no summary.
func TestSharesAreSentOnlyToSupportingBuilds(t *testing.T) {
	own, err := net.ListenPacket("udp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = own.Close() })
	to, err := net.ListenPacket("udp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = to.Close() })
	n := idleNode()
	n.datagrams.Store(&own)
	n.SetMembers([]feed.Member{{VM: "to", Address: to.LocalAddr().String(), Protocol: feed.ProtocolCurrent}})
	must.False(t, n.SendShares("to", []byte("s"))) // no neighbour
	for _, protocol := range []feed.ProtocolVersion{feed.ProtocolInitial, feed.ProtocolLimits} {
		disconnect := n.neighbours.connected("to", protocol)
		must.False(t, n.SendShares("to", []byte("s")))
		disconnect()
	}
	defer n.neighbours.connected("to", feed.ProtocolShares)()
	must.False(t, n.SendShares("unknown", []byte("s")))
	must.False(t, n.SendShares("to", make([]byte, maxDatagramBytes)))
	must.True(t, n.SendShares("to", []byte("summary")))
	buffer := make([]byte, maxReceivedBytes)
	must.NoError(t, to.SetReadDeadline(time.Now().Add(20*time.Second)))
	size, _, err := to.ReadFrom(buffer)
	must.NoError(t, err)
	must.EqOp(t, "\x02summary", string(buffer[:size]))
	var got []byte
	n.OnShares(func(data []byte) bool {
		got = append(got, data...)
		return true
	})
	n.handleDatagram(t.Context(), buffer[:size])
	must.EqOp(t, "summary", string(got))
	must.Nil(t, n.metrics.counts.Get("passed_over_total"))
}

// TestSummaryIsMistakenForAnotherMessage checks that the largest summary fits into a datagram, and that no summary can be read as the JSON of
// builds that know no type bytes.
func TestSummaryIsMistakenForAnotherMessage(t *testing.T) {
	must.LessEq(t, maxReceivedBytes, 1+share.MaxBytes)
	data := append([]byte{typeShares}, share.Encode(share.Summary{From: "vm-1", Nodes: 1})...)
	var any any
	must.Error(t, json.Unmarshal(data, &any))
	must.Less(t, firstTextByte, data[0])
}

// TestUnreadableSharesAreIgnored checks that summaries that cannot be read are counted, as are those that come to a node that handles none.
func TestUnreadableSharesAreIgnored(t *testing.T) {
	n := idleNode()
	n.handleDatagram(t.Context(), []byte{typeShares})
	n.OnShares(func(data []byte) bool {
		_, err := share.Decode(data)
		return err == nil
	})
	n.handleDatagram(t.Context(), []byte("\x02{}"))
	must.EqOp(t, "2", n.metrics.counts.Get("passed_over_total").String())
}
