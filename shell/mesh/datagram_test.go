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

// bareNode returns a node that does not run.
func bareNode() *Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(feed.Member{VM: "self"}, DefaultConfig(), NewHub(nil), &source{}, http.DefaultClient, NewMetrics(new(expvar.Map).Init()), log)
}

// TestTableThatEarlierBuildsDoNotTell has a hub follow one that does not know one of its tables.
func TestTableThatEarlierBuildsDoNotTell(t *testing.T) {
	now := time.Unix(1000, 0)
	earlier, _ := recorder()
	set(earlier, now, "t", watch.Rows{"a": row("a", 5)}, 5, now)
	ignore := func(time.Time, watch.Rows) {}
	hub := NewHub(map[string]Table{"t": {Apply: ignore}, "spare": {Apply: ignore, MayLag: true, Spare: true}})
	p, b, _, err := earlier.next(now, toldOf(hub.held()))
	must.NoError(t, err)
	f, err := p.unpack()
	must.NoError(t, err)
	f.Beat = &b
	hub.take(now, f, p)
	must.True(t, hub.Word(now).Complete)
	_, held := hub.held()["spare"]
	must.False(t, held)
	alone := NewHub(map[string]Table{"t": {Apply: ignore}, "spare": {Apply: ignore, MayLag: true, Spare: true}})
	set(alone, now, "t", watch.Rows{}, 5, now)
	must.False(t, alone.Word(now).Complete) // who reads the store itself waits for all tables
	set(alone, now, "spare", watch.Rows{}, 6, now)
	must.True(t, alone.Word(now).Complete)
	_, _, known := hub.Held("spare")
	must.False(t, known)
}

// TestMessagesGoToThoseWhoTakeThem has two members, of which one's build does not take messages of limits.
func TestMessagesGoToThoseWhoTakeThem(t *testing.T) {
	listen := func() net.PacketConn {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	own, takes, earlier := listen(), listen(), listen()
	n := bareNode()
	n.datagrams.Store(&own)
	n.SetMembers([]feed.Member{
		{VM: "takes", Address: takes.LocalAddr().String(), Protocol: feed.ProtocolLimits}, {VM: "earlier", Address: earlier.LocalAddr().String()},
	})
	for _, vm := range []vaneyoke.VMID{"takes", "earlier", "unknown"} {
		n.SendLimits(vm, ratelimits.Message{By: "self"})
	}
	buffer := make([]byte, maxOfferBytes)
	must.NoError(t, takes.SetReadDeadline(time.Now().Add(20*time.Second)))
	size, _, err := takes.ReadFrom(buffer)
	must.NoError(t, err)
	must.Less(t, firstUnmarked, buffer[0])
	var got []ratelimits.Message
	n.OnLimits(func(m ratelimits.Message) { got = append(got, m) })
	n.takeMarked(buffer[:size])
	must.Eq(t, []ratelimits.Message{{By: "self"}}, got)
	must.NoError(t, earlier.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, _, err = earlier.ReadFrom(buffer)
	must.Error(t, err)
}

// TestSightingsGoToThoseWhoBearThem has a neighbour whose build does not tell what it understands: it is told of upstreams, and not of what requests did.
func TestSightingsGoToThoseWhoBearThem(t *testing.T) {
	own, err := net.ListenPacket("udp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = own.Close() })
	for speaks, want := range map[feed.ProtocolVersion]string{feed.ProtocolInitial: "lost", feed.ProtocolCurrent: "lost crash survived"} {
		to, err := net.ListenPacket("udp4", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = to.Close() })
		n := bareNode()
		n.datagrams.Store(&own)
		n.SetMembers([]feed.Member{{VM: "to", Address: to.LocalAddr().String(), Protocol: feed.ProtocolCurrent}}) // the row may be of a later build
		defer n.neighbours.met("to", speaks)()
		n.tellSightings(gossip.SendSightings{To: "to", Sightings: []gossip.Sighting{{Kind: gossip.KindCrash}}}) // not even an empty one, to the first
		n.tellSightings(gossip.SendSightings{To: "to", Sightings: []gossip.Sighting{{Kind: gossip.KindLost}, {Kind: gossip.KindCrash}, {Kind: gossip.KindSurvived}}})
		buffer := make([]byte, maxOfferBytes)
		must.NoError(t, to.SetReadDeadline(time.Now().Add(20*time.Second)))
		size, _, err := to.ReadFrom(buffer)
		must.NoError(t, err)
		if speaks != feed.ProtocolInitial {
			size, _, err = to.ReadFrom(buffer)
			must.NoError(t, err)
		}
		var got sightings
		must.NoError(t, json.Unmarshal(buffer[:size], &got))
		must.EqOp(t, want, strings.Join(lo.Map(got.All, func(s gossip.Sighting, _ int) string { return s.Kind.String() }), " "))
	}
}

// TestDatagramsThatNobodyKnows are passed over.
func TestDatagramsThatNobodyKnows(t *testing.T) {
	n := bareNode()
	taken := 0
	n.OnLimits(func(ratelimits.Message) { taken++ })
	for _, data := range []string{"\x01", "\x01{", "\x01[]", "\x02{}", "\x1f", "\x00"} {
		n.takeMarked([]byte(data))
	}
	must.Zero(t, taken)
	must.EqOp(t, "6", n.metrics.counts.Get("passed_over_total").String())
}
