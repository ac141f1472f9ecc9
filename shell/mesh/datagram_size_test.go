package mesh

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/ratelimit"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
)

// TestMessagesFitIntoDatagrams sends a neighbour the largest batches of items, with the longest names in use.
//
// Batches were once limited only by their number of items. Sixteen crashes from a node with a long name, or ten limits of upstreams with long
// ids, exceeded 2 KiB, of which nodes read only the first 2 KiB, so each such datagram was lost as a whole.
func TestMessagesFitIntoDatagrams(t *testing.T) {
	own, err := net.ListenPacket("udp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = own.Close() })
	to, err := net.ListenPacket("udp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = to.Close() })
	n := idleNode()
	n.datagrams.Store(&own)
	n.SetMembers([]feed.Member{{VM: "to", Address: to.LocalAddr().String(), Protocol: feed.ProtocolCurrent}})
	defer n.neighbours.connected("to", feed.ProtocolCurrent)()
	const crashes, limits = 16, 10
	var all []gossip.Sighting
	for i := range crashes {
		all = append(all, gossip.Sighting{
			Origin: "edge-loughborough-hall-1043", Sequence: uint64(1_000_000_000 + i), Upstream: "i-7f3a91c2b4d5e6f7", Kind: gossip.KindCrash, Hops: 10,
			Run: gossip.Run{Content: vaneyoke.ContentID(strings.Repeat("a", 24)), Incarnation: 1796260312802, PriorCrashes: 3},
		})
	}
	var notices []ratelimit.Notice
	for i := range limits {
		notices = append(notices, ratelimit.Notice{Upstream: vaneyoke.UpstreamID(fmt.Sprintf("%0200d", i)), Limit: vaneyoke.Limit{Declared: true, Rate: 2.8}})
	}
	sightingCount, noticeCount := 0, 0
	other := idleNode()
	other.self.VM = "other"
	NewGossip(other, func(gossip.Sighting) { sightingCount++ })
	other.OnLimits(func(m ratelimits.Message) { noticeCount += len(m.Notices) })
	n.sendSightings(gossip.SendSightings{To: "to", Sightings: all})
	n.SendLimits("to", ratelimits.Message{From: "self", Notices: notices})
	buffer := make([]byte, maxReceivedBytes)
	for (sightingCount < crashes || noticeCount < limits) && !t.Failed() {
		must.NoError(t, to.SetReadDeadline(time.Now().Add(2*time.Second)))
		size, _, err := to.ReadFrom(buffer)
		must.NoError(t, err, must.Sprintf("received %d of %d crashes and %d of %d limits", sightingCount, crashes, noticeCount, limits))
		other.handleDatagram(t.Context(), buffer[:size])
	}
}
