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

// TestSuspectsAreTakenOffIfGone has members be suspected: one that takes connections stays, unless its row is of a later build, and a node whose own tables are old takes nobody off.
func TestSuspectsAreTakenOffIfGone(t *testing.T) {
	there := httptest.NewServer(bareNode().Handler())
	t.Cleanup(there.Close)
	earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	t.Cleanup(earlier.Close)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, gone.Close())
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, fresh := range []bool{true, false} {
		registry := &removed{rows: map[string]watch.Version{}}
		hub := NewHub(map[string]Table{"members": {Apply: func(time.Time, watch.Rows) {}, MayLag: true}})
		set(hub, time.Now(), "members", watch.Rows{"there": row("x", 3), "gone": row("x", 4), "self": row("x", 5), "earlier": row("x", 7), "always": row("x", 8)}, 9, time.Now())
		n := New(feed.Member{VM: "self"}, DefaultConfig(), hub, registry, http.DefaultClient, NewMetrics(new(expvar.Map).Init()), log)
		n.SetMembers([]feed.Member{
			{VM: "self"}, {VM: "there", Address: there.Listener.Addr().String(), Protocol: feed.ProtocolCurrent}, {VM: "gone", Address: gone.Addr().String()},
			{VM: "earlier", Address: earlier.Listener.Addr().String(), Protocol: feed.ProtocolCurrent}, {VM: "always", Address: earlier.Listener.Addr().String()},
		})
		n.metrics.takesPart(Part{Fresh: fresh})
		for _, vm := range []vaneyoke.VMID{"there", "gone", "self", "unknown", "earlier", "always"} {
			n.TakeOffIfGone(vm)
		}
		want := map[string]watch.Version{}
		if fresh {
			want["gone"], want["earlier"] = 4, 7
		}
		must.Eq(t, want, registry.rows)
	}
}

// TestNodeThatWasTakenOffRegistersAgain takes a node off the members that runs: it registers itself once.
func TestNodeThatWasTakenOffRegistersAgain(t *testing.T) {
	peers := startMeshWith(t, 3, func(c *Config) { c.Again = 50 * time.Millisecond })
	until(t, allAt(peers, 1))
	p := peers[0]
	others := []feed.Member{peers[1].self, peers[2].self}
	until(t, func() bool { // the run may not have looked at the members yet
		p.SetMembers(append(others, p.self))
		p.SetMembers(others)
		time.Sleep(10 * time.Millisecond)
		return p.store.writes.Load() > 0
	})
	p.SetMembers(append(others, p.self))
	writes := p.store.writes.Load()
	time.Sleep(100 * time.Millisecond)
	must.LessEq(t, writes+2, p.store.writes.Load()) // what was begun before
}

// TestNeighboursTellTheirDialect has nodes follow one another, and asks what they know of each other's builds, also after one has ended.
func TestNeighboursTellTheirDialect(t *testing.T) {
	peers := startMesh(t, 3)
	until(t, allAt(peers, 1))
	known := func(p *peer) (n int) {
		for _, other := range peers {
			if p.neighbours.dialect(other.self.VM) == feed.ProtocolCurrent {
				n++
			}
		}
		return n
	}
	until(t, func() bool {
		sum := 0
		for _, p := range peers {
			sum += known(p)
		}
		return sum == 4 // two nodes follow one
	})
	peers[0].end()
	until(t, func() bool { return known(peers[1])+known(peers[2]) == 2 })
}
