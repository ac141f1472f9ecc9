package mesh

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

func TestLivenessTracker(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	var tracker livenessTracker
	tracker.record(at(0), "gone", false)
	tracker.record(at(0), "back", false)
	tracker.record(at(0), "unlisted", false)
	tracker.record(at(5), "gone", false)
	tracker.record(at(5), "back", true)
	tracker.record(at(6), "back", false)
	tracker.retain([]feed.Member{{VM: "gone"}, {VM: "back"}})
	must.SliceEmpty(t, tracker.unreachableFor(at(9), 10*time.Second))
	must.Eq(t, []vaneyoke.VMID{"gone"}, tracker.unreachableFor(at(10), 10*time.Second))
	must.Eq(t, []vaneyoke.VMID{"back", "gone"}, tracker.unreachableFor(at(16), 10*time.Second))
}

// fakeRegistry records which entries were removed, with their versions, and counts registrations.
type fakeRegistry struct {
	mu      sync.Mutex
	removed map[string]watch.Version
	puts    int
}

func (r *fakeRegistry) Put(context.Context, string, []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.puts++
	return nil
}

func (r *fakeRegistry) Remove(_ context.Context, key string, version watch.Version) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed[key] = version
	return nil
}

func (r *fakeRegistry) removedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.removed)
}

func (r *fakeRegistry) putCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.puts
}

// TestUnreachableMembersAreRemoved checks a fleet in which the highest-ranked member and another one are unreachable: the reachable member with the
// highest rank removes both, the others remove none, and a node whose entry is missing registers again.
func TestUnreachableMembersAreRemoved(t *testing.T) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	closed := listen()
	_ = closed.Close()
	all := []feed.Member{ // by rank
		{VM: "gone-1", Bandwidth: 9, Address: closed.Addr().String()},
		{VM: "first", Bandwidth: 8, Address: listen().Addr().String()},
		{VM: "second", Bandwidth: 7, Address: listen().Addr().String()},
		{VM: "gone-2", Bandwidth: 6, Address: closed.Addr().String()},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := DefaultConfig()
	config.LivenessInterval, config.RemoveAfter, config.Reader.BaseBackoff = 5*time.Millisecond, 20*time.Millisecond, time.Millisecond
	start := func(self feed.Member, known []feed.Member) *fakeRegistry {
		registry := &fakeRegistry{removed: map[string]watch.Version{}}
		hub := NewHub(map[string]Table{"members": {Apply: func(time.Time, watch.Rows) {}, MayLag: true}})
		setConfirmed(hub, time.Now(), "members", watch.Rows{"gone-1": row("x", 3), "first": row("x", 4), "gone-2": row("x", 5)}, 6, time.Now())
		n := New(self, config, hub, registry, http.DefaultClient, NewMetrics(new(expvar.Map).Init()), log)
		n.SetMembers(known)
		go n.pruneMembers(t.Context())
		return registry
	}
	first := start(all[1], all)
	second := start(all[2], all)
	unknown := start(feed.Member{VM: "unknown", Bandwidth: 1, Address: "127.0.0.1:1"}, all)
	waitUntil(t, func() bool { return first.removedCount() == 2 && unknown.putCount() > 0 })
	first.mu.Lock()
	must.Eq(t, map[string]watch.Version{"gone-1": 3, "gone-2": 5}, first.removed)
	first.mu.Unlock()
	must.EqOp(t, 0, first.putCount())
	must.EqOp(t, 0, second.removedCount())
	must.EqOp(t, 0, unknown.removedCount())
}
