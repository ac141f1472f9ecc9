package mesh

import (
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// TestUnreachableSuspectsAreRemoved checks suspected members: one that accepts connections stays, unless its row was written by a later build, and a node
// with stale tables removes nobody.
func TestUnreachableSuspectsAreRemoved(t *testing.T) {
	reachable := httptest.NewServer(idleNode().Handler())
	t.Cleanup(reachable.Close)
	earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	t.Cleanup(earlier.Close)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, gone.Close())
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, fresh := range []bool{true, false} {
		registry := &fakeRegistry{removed: map[string]watch.Version{}}
		hub := NewHub(map[string]Table{"members": {Apply: func(time.Time, watch.Rows) {}, MayLag: true}})
		setConfirmed(hub, time.Now(), "members", watch.Rows{"there": row("x", 3), "gone": row("x", 4), "self": row("x", 5), "earlier": row("x", 7), "always": row("x", 8)}, 9, time.Now())
		n := New(feed.Member{VM: "self"}, DefaultConfig(), hub, registry, http.DefaultClient, NewMetrics(new(expvar.Map).Init()), log)
		n.SetMembers([]feed.Member{
			{VM: "self"}, {VM: "there", Address: reachable.Listener.Addr().String(), Protocol: feed.ProtocolCurrent}, {VM: "gone", Address: gone.Addr().String()},
			{VM: "earlier", Address: earlier.Listener.Addr().String(), Protocol: feed.ProtocolCurrent}, {VM: "always", Address: earlier.Listener.Addr().String()},
		})
		n.metrics.setStatus(NodeStatus{Fresh: fresh})
		for _, vm := range []vaneyoke.VMID{"there", "gone", "self", "unknown", "earlier", "always"} {
			n.RemoveIfUnreachable(vm)
		}
		want := map[string]watch.Version{}
		if fresh {
			want["gone"], want["earlier"] = 4, 7
		}
		must.Eq(t, want, registry.removed)
	}
}

// TestRemovedNodeRegistersAgain removes a running node from the members: it must register again, and only until it is among the members.
func TestRemovedNodeRegistersAgain(t *testing.T) {
	peers := startMeshWith(t, 3, func(c *Config) { c.MaxReregisterDelay = 50 * time.Millisecond })
	waitUntil(t, allAtVersion(peers, 1))
	p := peers[0]
	others := []feed.Member{peers[1].self, peers[2].self}
	waitUntil(t, func() bool { // the event loop may not have read the members yet
		p.SetMembers(append(others, p.self))
		p.SetMembers(others)
		time.Sleep(10 * time.Millisecond)
		return p.store.writes.Load() > 0
	})
	p.SetMembers(append(others, p.self))
	writes := p.store.writes.Load()
	time.Sleep(100 * time.Millisecond)
	must.LessEq(t, writes+2, p.store.writes.Load()) // registrations that had started before
}

// TestNeighboursExchangeProtocolVersions checks that source and followers know each other's protocol versions, and drop them after a node has stopped.
func TestNeighboursExchangeProtocolVersions(t *testing.T) {
	peers := startMesh(t, 3)
	waitUntil(t, allAtVersion(peers, 1))
	known := func(p *peer) (n int) {
		for _, other := range peers {
			if p.neighbours.protocol(other.self.VM) == feed.ProtocolCurrent {
				n++
			}
		}
		return n
	}
	waitUntil(t, func() bool {
		sum := 0
		for _, p := range peers {
			sum += known(p)
		}
		return sum == 4 // two nodes follow one, and each side knows the other
	})
	peers[0].kill()
	waitUntil(t, func() bool { return known(peers[1])+known(peers[2]) == 2 })
}
