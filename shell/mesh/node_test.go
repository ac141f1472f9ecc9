package mesh

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

const patient = 20 * time.Second

// source is a store's table whose version tests set; it can be cut off.
type source struct {
	version atomic.Int64
	cut     atomic.Bool
	reads   atomic.Int64
	lists   atomic.Int64
	writes  atomic.Int64
}

var errCut = errors.New("cut off")

func (s *source) List(context.Context) (watch.Rows, watch.Version, error) {
	s.reads.Add(1)
	s.lists.Add(1)
	if s.cut.Load() {
		return nil, 0, errCut
	}
	version := watch.Version(s.version.Load())
	return watch.Rows{"a": row(fmt.Sprint(version), version)}, version, nil
}

func (s *source) Changes(ctx context.Context, after watch.Version, wait time.Duration) ([]watch.Change, watch.Version, error) {
	s.reads.Add(1)
	for end := time.Now().Add(wait); ; {
		if s.cut.Load() {
			return nil, 0, errCut
		}
		version := watch.Version(s.version.Load())
		if version > after {
			return []watch.Change{{Key: "a", Row: row(fmt.Sprint(version), version)}}, version, nil
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return nil, after, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

// Put counts; tests set the members themselves.
func (s *source) Put(context.Context, string, []byte) error {
	s.writes.Add(1)
	return nil
}

// Remove is not used here.
func (s *source) Remove(context.Context, string, watch.Version) error { return nil }

// peer is a node of a small mesh with its own way to the store.
type peer struct {
	*Node
	store   *source
	version atomic.Int64
	stop    context.CancelFunc
	server  *httptest.Server
}

func startMesh(t *testing.T, count int) []*peer { return startMeshWith(t, count, func(*Config) {}) }

func startMeshWith(t *testing.T, count int, change func(*Config)) []*peer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := DefaultConfig()
	config.Settle, config.Feed.MemberWait, config.Feed.StaleGrace, config.Feed.RetryInterval = 20*time.Millisecond, 0, 20*time.Millisecond, 100*time.Millisecond
	config.Feed.FailbackInterval, config.Feed.OfferInterval = 200*time.Millisecond, 50*time.Millisecond
	config.Reader.Wait, config.Reader.Slack, config.Reader.Gather = 40*time.Millisecond, 40*time.Millisecond, 0
	change(&config)
	peers := make([]*peer, count)
	var all []feed.Member
	for i := range peers {
		p := &peer{store: &source{}}
		p.store.version.Store(1)
		hub := NewHub(map[string]Table{"t": {Source: p.store, Apply: func(_ time.Time, rows watch.Rows) { p.version.Store(int64(rows["a"].Version)) }}})
		self := feed.Member{VM: vaneyoke.VMID(fmt.Sprint("vm-", i)), DataCentre: "a"}
		p.Node = New(self, config, hub, p.store, http.DefaultClient, NewMetrics(new(expvar.Map).Init()), log)
		p.server = httptest.NewServer(p.Handler())
		self.Address = strings.TrimPrefix(p.server.URL, "http://")
		p.self.Address = self.Address
		all = append(all, self)
		peers[i] = p
	}
	for _, p := range peers {
		p.SetMembers(all)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.Run(ctx)
		}()
		p.stop = stop
		t.Cleanup(func() {
			p.end()
			<-done
		})
	}
	return peers
}

// end ends a peer as the death of its process would. Nobody can connect any more when its connections are closed: whoever did in
// between would be told on for good, and the server would wait for that.
func (p *peer) end() {
	p.stop()
	_ = p.server.Listener.Close()
	p.server.CloseClientConnections()
	p.server.Close()
}

func until(t *testing.T, done func() bool) {
	t.Helper()
	for start := time.Now(); !done(); time.Sleep(time.Millisecond) {
		must.Less(t, patient, time.Since(start))
	}
}

// reads returns how often each peer called the store while it made some calls in all.
func reads(peers []*peer, during func()) []int64 {
	counts := make([]int64, len(peers))
	for i, p := range peers {
		counts[i] = -p.store.reads.Load()
	}
	during()
	for i, p := range peers {
		counts[i] += p.store.reads.Load()
	}
	return counts
}

func readers(counts []int64) int {
	n := 0
	for _, c := range counts {
		if c > 0 {
			n++
		}
	}
	return n
}

func allAt(peers []*peer, version int64) func() bool {
	return func() bool {
		for _, p := range peers {
			if p.version.Load() != version {
				return false
			}
		}
		return true
	}
}

func setAll(peers []*peer, version int64) {
	for _, p := range peers {
		p.store.version.Store(version)
	}
}

// TestOneReaderTellsAll counts who reads the store, and loses the reader by each way that there is.
func TestOneReaderTellsAll(t *testing.T) {
	peers := startMesh(t, 5)
	until(t, allAt(peers, 1))
	settled := func() bool {
		return readers(reads(peers, func() { time.Sleep(100 * time.Millisecond) })) == 1
	}
	until(t, settled)
	setAll(peers, 2)
	until(t, allAt(peers, 2))

	// The reader loses its way to the store: its tables grow old, and another one reads for the rest.
	reader := readerOf(peers)
	reader.store.cut.Store(true)
	rest := without(peers, reader)
	until(t, func() bool {
		setAll(peers, 3)
		return allAt(rest, 3)()
	})
	reader.store.cut.Store(false)
	setAll(peers, 4)
	until(t, allAt(peers, 4))
	until(t, settled)

	// The reader dies: the next in rank takes its place.
	reader = readerOf(peers)
	reader.end()
	rest = without(peers, reader)
	setAll(peers, 5)
	until(t, allAt(rest, 5))
	until(t, settled)
}

func readerOf(peers []*peer) *peer {
	best := peers[0]
	for _, p := range peers {
		if p.self.Outranks(best.self) {
			best = p
		}
	}
	return best
}

func without(peers []*peer, one *peer) []*peer {
	var rest []*peer
	for _, p := range peers {
		if p != one {
			rest = append(rest, p)
		}
	}
	return rest
}

// TestReadsStoreWhileItAsksOthers cuts all nodes but the last in rank from the store, and has no time run out: the last
// one must not wait for any of them.
func TestReadsStoreWhileItAsksOthers(t *testing.T) {
	peers := startMeshWith(t, 3, func(c *Config) { c.Stall, c.Settle = time.Hour, 0 })
	last := peers[0]
	for _, p := range peers {
		if last.self.Outranks(p.self) {
			last = p
		}
	}
	for _, p := range without(peers, last) {
		p.store.cut.Store(true)
	}
	for version := range int64(5) {
		setAll(peers, version+2)
		until(t, allAt([]*peer{last}, version+2))
	}
}

// TestNextReaderGoesOnFromWhatItHolds loses the reader while all can be asked: only the next one in rank reads the store,
// and just what has changed since.
func TestNextReaderGoesOnFromWhatItHolds(t *testing.T) {
	peers := startMeshWith(t, 5, func(c *Config) { c.Feed.MemberWait, c.Feed.StaleGrace = time.Hour, time.Hour })
	until(t, allAt(peers, 1))
	reader := readerOf(peers)
	rest := without(peers, reader)
	next := readerOf(rest)
	lists := func() (n int64) {
		for _, p := range rest {
			n += p.store.lists.Load()
		}
		return n
	}
	must.EqOp(t, 0, lists()) // the others asked the reader before they read the store
	reader.end()
	until(t, func() bool {
		setAll(rest, 2)
		return allAt(rest, 2)()
	})
	must.EqOp(t, 0, lists())
	for _, p := range without(rest, next) {
		must.EqOp(t, 0, p.store.reads.Load(), must.Sprint(p.self.VM))
	}
}

// TestRegistersOnce starts nodes that stand among the members already, and one that does not.
func TestRegistersOnce(t *testing.T) {
	peers := startMeshWith(t, 3, func(c *Config) { c.Again = time.Hour }) // by themselves they do so later
	until(t, allAt(peers, 1))
	for _, p := range peers {
		must.EqOp(t, 0, p.store.writes.Load())
	}
	p := peers[0]
	p.SetMembers([]feed.Member{peers[1].self, peers[2].self})
	p.register(t.Context())
	must.EqOp(t, 1, p.store.writes.Load())
	moved := p.self
	moved.Address = "127.0.0.1:1"
	p.SetMembers([]feed.Member{moved})
	p.register(t.Context())
	must.EqOp(t, 2, p.store.writes.Load())
}

// TestTimesOfANewFleet holds that a new node, which has not seen the others register yet, does not wait for changes as long
// as one of a small fleet may: those that follow it would take its tables for old.
func TestTimesOfANewFleet(t *testing.T) {
	n := New(feed.Member{VM: "vm-0", DataCentre: "a"}, DefaultConfig(), NewHub(nil), &source{}, http.DefaultClient, NewMetrics(new(expvar.Map).Init()), logrus.New())
	must.Less(t, n.config.Feed.StaleAfter, n.config.Reader.Wait)
	must.Greater(t, n.config.Feed.StaleAfter, n.config.Small.Wait)
	must.EqOp(t, n.config.Reader.Wait, n.times().Wait)
	n.settled.Store(true)
	must.EqOp(t, n.config.Small.Wait, n.times().Wait)
	n.SetMembers([]feed.Member{{VM: "vm-0"}, {VM: "vm-1"}})
	must.EqOp(t, n.config.Reader.Wait, n.times().Wait)
}

// TestTimesLeaveRoomWithinTheBound holds that a reader's confirmations come before its tables count as old, and that a node
// that has to wait for its tables to grow old and then for the lead has a third of the bound left.
func TestTimesLeaveRoomWithinTheBound(t *testing.T) {
	for _, bound := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, time.Minute} {
		config := DefaultConfig().InForceWithin(bound)
		must.Greater(t, config.Reader.Wait, config.Feed.StaleAfter, must.Sprint(bound))
		must.LessEq(t, bound*2/3, config.Feed.StaleAfter+config.Feed.StaleGrace, must.Sprint(bound))
	}
	must.Eq(t, DefaultConfig(), DefaultConfig().InForceWithin(3*time.Second))
}
