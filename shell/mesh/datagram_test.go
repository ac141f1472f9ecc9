package mesh

import (
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// idleNode returns a node that does not run.
func idleNode() *Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(feed.Member{VM: "self"}, DefaultConfig(), NewHub(nil), &fakeStore{}, http.DefaultClient, NewMetrics(new(expvar.Map).Init()), log)
}

// TestOptionalTableMissingAtSource checks that a hub is complete without an optional table if its source, of an earlier build, does not send that table.
func TestOptionalTableMissingAtSource(t *testing.T) {
	now := time.Unix(1000, 0)
	earlier, _ := newRecordingHub()
	setConfirmed(earlier, now, "t", watch.Rows{"a": row("a", 5)}, 5, now)
	ignore := func(time.Time, watch.Rows) {}
	hub := NewHub(map[string]Table{"t": {Apply: ignore}, "spare": {Apply: ignore, MayLag: true, Optional: true}})
	p, status, _, err := earlier.nextUpdate(now, parseHeldVersions(hub.heldQuery()))
	must.NoError(t, err)
	f, err := p.unpack()
	must.NoError(t, err)
	f.Status = &status
	hub.applyFrame(now, f, p, true)
	must.True(t, hub.Status(now).Complete)
	_, held := hub.heldQuery()["spare"]
	must.False(t, held)
	reader := NewHub(map[string]Table{"t": {Apply: ignore}, "spare": {Apply: ignore, MayLag: true, Optional: true}})
	setConfirmed(reader, now, "t", watch.Rows{}, 5, now)
	must.False(t, reader.Status(now).Complete) // a node that reads the store itself waits for all tables
	setConfirmed(reader, now, "spare", watch.Rows{}, 6, now)
	must.True(t, reader.Status(now).Complete)
	_, _, known := hub.Snapshot("spare")
	must.False(t, known)
}

// TestLimitsAreSentOnlyToSupportingBuilds sends messages about rate limits to two members, one of which runs a build that does not support them.
func TestLimitsAreSentOnlyToSupportingBuilds(t *testing.T) {
	listen := func() net.PacketConn {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	own, supporting, earlier := listen(), listen(), listen()
	n := idleNode()
	n.datagrams.Store(&own)
	n.SetMembers([]feed.Member{
		{VM: "takes", Address: supporting.LocalAddr().String(), Protocol: feed.ProtocolLimits}, {VM: "earlier", Address: earlier.LocalAddr().String()},
	})
	for _, vm := range []vaneyoke.VMID{"takes", "earlier", "unknown"} {
		n.SendLimits(vm, ratelimits.Message{From: "self"})
	}
	buffer := make([]byte, maxReceivedBytes)
	must.NoError(t, supporting.SetReadDeadline(time.Now().Add(20*time.Second)))
	size, _, err := supporting.ReadFrom(buffer)
	must.NoError(t, err)
	must.Less(t, firstTextByte, buffer[0])
	var got []ratelimits.Message
	n.OnLimits(func(m ratelimits.Message) { got = append(got, m) })
	n.handleTyped(buffer[:size])
	must.Eq(t, []ratelimits.Message{{From: "self"}}, got)
	must.NoError(t, earlier.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, _, err = earlier.ReadFrom(buffer)
	must.Error(t, err)
}

// TestLaterSightingsAreSentOnlyToSupportingBuilds checks that a neighbour receives only the kinds of sighting that its build understands: the first
// builds that state a version exit when they receive a later kind, as do those that state none.
func TestLaterSightingsAreSentOnlyToSupportingBuilds(t *testing.T) {
	own, err := net.ListenPacket("udp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = own.Close() })
	for protocol, want := range map[feed.ProtocolVersion]string{
		feed.ProtocolInitial: "lost", feed.ProtocolLimits: "lost crash survived", feed.ProtocolCurrent: "lost crash survived leaving paced",
	} {
		to, err := net.ListenPacket("udp4", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = to.Close() })
		n := idleNode()
		n.datagrams.Store(&own)
		n.SetMembers([]feed.Member{{VM: "to", Address: to.LocalAddr().String(), Protocol: feed.ProtocolCurrent}}) // the row may have been written by a later build
		defer n.neighbours.connected("to", protocol)()
		n.sendSightings(gossip.SendSightings{To: "to", Sightings: []gossip.Sighting{{Kind: gossip.KindCrash}}}) // the first build gets no datagram at all, not even an empty one
		n.sendSightings(gossip.SendSightings{To: "to", Sightings: []gossip.Sighting{
			{Kind: gossip.KindLost}, {Kind: gossip.KindCrash}, {Kind: gossip.KindSurvived}, {Kind: gossip.KindLeaving}, {Kind: gossip.KindPaced, Factor: 2},
		}})
		buffer := make([]byte, maxReceivedBytes)
		must.NoError(t, to.SetReadDeadline(time.Now().Add(20*time.Second)))
		size, _, err := to.ReadFrom(buffer)
		must.NoError(t, err)
		if protocol != feed.ProtocolInitial {
			size, _, err = to.ReadFrom(buffer)
			must.NoError(t, err)
		}
		var got sightings
		must.NoError(t, json.Unmarshal(buffer[:size], &got))
		must.EqOp(t, want, strings.Join(lo.Map(got.All, func(s gossip.Sighting, _ int) string { return s.Kind.String() }), " "))
	}
}

// TestUnknownDatagramsAreIgnored checks datagrams of unknown types and with invalid contents.
func TestUnknownDatagramsAreIgnored(t *testing.T) {
	n := idleNode()
	handled := 0
	n.OnLimits(func(ratelimits.Message) { handled++ })
	for _, data := range []string{"\x01", "\x01{", "\x01[]", "\x02{}", "\x1f", "\x00"} {
		n.handleTyped([]byte(data))
	}
	must.Zero(t, handled)
	must.EqOp(t, "6", n.metrics.counts.Get("passed_over_total").String())
}
