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

func TestAbsences(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	var a absences
	a.checked(at(0), "gone", false)
	a.checked(at(0), "back", false)
	a.checked(at(0), "unlisted", false)
	a.checked(at(5), "gone", false)
	a.checked(at(5), "back", true)
	a.checked(at(6), "back", false)
	a.keep([]feed.Member{{VM: "gone"}, {VM: "back"}})
	must.SliceEmpty(t, a.longer(at(9), 10*time.Second))
	must.Eq(t, []vaneyoke.VMID{"gone"}, a.longer(at(10), 10*time.Second))
	must.Eq(t, []vaneyoke.VMID{"back", "gone"}, a.longer(at(16), 10*time.Second))
}

// removed remembers which entries were taken off, and in which version.
type removed struct {
	mu   sync.Mutex
	rows map[string]watch.Version
	puts int
}

func (r *removed) Put(context.Context, string, []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.puts++
	return nil
}

func (r *removed) Remove(_ context.Context, key string, version watch.Version) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[key] = version
	return nil
}

func (r *removed) takenOff() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rows)
}

func (r *removed) registered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.puts
}

// TestGoneMembersAreTakenOff has a fleet whose highest member is gone and another one too: the highest that answers takes
// both off, the others leave it to that one, and a node whose entry is missing registers itself again.
func TestGoneMembersAreTakenOff(t *testing.T) {
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
	config.Check, config.GoneAfter, config.Reader.BaseBackoff = 5*time.Millisecond, 20*time.Millisecond, time.Millisecond
	start := func(self feed.Member, known []feed.Member) *removed {
		registry := &removed{rows: map[string]watch.Version{}}
		hub := NewHub(map[string]Table{"members": {Apply: func(time.Time, watch.Rows) {}, MayLag: true}})
		set(hub, time.Now(), "members", watch.Rows{"gone-1": row("x", 3), "first": row("x", 4), "gone-2": row("x", 5)}, 6, time.Now())
		n := New(self, config, hub, registry, http.DefaultClient, NewMetrics(new(expvar.Map).Init()), log)
		n.SetMembers(known)
		go n.tidy(t.Context())
		return registry
	}
	first := start(all[1], all)
	second := start(all[2], all)
	unknown := start(feed.Member{VM: "unknown", Bandwidth: 1, Address: "127.0.0.1:1"}, all)
	until(t, func() bool { return first.takenOff() == 2 && unknown.registered() > 0 })
	first.mu.Lock()
	must.Eq(t, map[string]watch.Version{"gone-1": 3, "gone-2": 5}, first.rows)
	first.mu.Unlock()
	must.EqOp(t, 0, first.registered())
	must.EqOp(t, 0, second.takenOff())
	must.EqOp(t, 0, unknown.takenOff())
}
