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

const testTimeout = 20 * time.Second

// fakeStore is a table of a store whose version the tests set, and which can be made unavailable.
type fakeStore struct {
	version atomic.Int64
	down    atomic.Bool
	reads   atomic.Int64
	lists   atomic.Int64
	writes  atomic.Int64
}

var errUnavailable = errors.New("store unavailable")

func (s *fakeStore) List(context.Context) (watch.Rows, watch.Version, error) {
	s.reads.Add(1)
	s.lists.Add(1)
	if s.down.Load() {
		return nil, 0, errUnavailable
	}
	version := watch.Version(s.version.Load())
	return watch.Rows{"a": row(fmt.Sprint(version), version)}, version, nil
}

func (s *fakeStore) Changes(ctx context.Context, after watch.Version, wait time.Duration) ([]watch.Change, watch.Version, error) {
	s.reads.Add(1)
	for end := time.Now().Add(wait); ; {
		if s.down.Load() {
			return nil, 0, errUnavailable
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

// Put counts the writes; tests set the members themselves.
func (s *fakeStore) Put(context.Context, string, []byte) error {
	s.writes.Add(1)
	return nil
}

// Remove does nothing.
func (s *fakeStore) Remove(context.Context, string, watch.Version) error { return nil }

// peer is a node of a small mesh with its own connection to the store.
type peer struct {
	*Node
	store   *fakeStore
	version atomic.Int64
	stop    context.CancelFunc
	server  *httptest.Server
}

func startMesh(t *testing.T, count int) []*peer { return startMeshWith(t, count, func(*Config) {}) }

func startMeshWith(t *testing.T, count int, change func(*Config)) []*peer {
	return startMeshPrepared(t, count, change, func(*peer) {})
}

// startMeshPrepared calls prepare with each peer before it runs.
func startMeshPrepared(t *testing.T, count int, change func(*Config), prepare func(*peer)) []*peer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := DefaultConfig()
	config.SettleTime, config.Feed.MemberWait, config.Feed.StaleGrace, config.Feed.RetryInterval = 20*time.Millisecond, 0, 20*time.Millisecond, 100*time.Millisecond
	config.Feed.FailbackInterval, config.Feed.OfferInterval = 200*time.Millisecond, 50*time.Millisecond
	config.Reader.PollWait, config.Reader.PollSlack, config.Reader.BatchDelay = 40*time.Millisecond, 40*time.Millisecond, 0
	change(&config)
	peers := make([]*peer, count)
	var all []feed.Member
	for i := range peers {
		p := &peer{store: &fakeStore{}}
		p.store.version.Store(1)
		hub := NewHub(map[string]Table{"t": {Source: p.store, Apply: func(_ time.Time, rows watch.Rows) { p.version.Store(int64(rows["a"].Version)) }}})
		self := feed.Member{VM: vaneyoke.VMID(fmt.Sprint("vm-", i)), DataCentre: "a"}
		p.Node = New(self, config, hub, p.store, http.DefaultClient, NewMetrics(new(expvar.Map).Init()), log)
		p.server = httptest.NewServer(p.Handler())
		self.Address = strings.TrimPrefix(p.server.URL, "http://")
		p.self.Address = self.Address
		all = append(all, self)
		peers[i] = p
		prepare(p)
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
			p.kill()
			<-done
		})
	}
	return peers
}

// kill stops a peer like a crash of its process. It closes the listener before the connections: a follower that connected in between would be
// served forever, and the server's Close would wait for it.
func (p *peer) kill() {
	p.stop()
	_ = p.server.Listener.Close()
	p.server.CloseClientConnections()
	p.server.Close()
}

func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for start := time.Now(); !done(); time.Sleep(time.Millisecond) {
		must.Less(t, testTimeout, time.Since(start))
	}
}

// storeCallsDuring returns the number of calls that each peer made to the store while the function ran.
func storeCallsDuring(peers []*peer, during func()) []int64 {
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

func countReaders(counts []int64) int {
	n := 0
	for _, c := range counts {
		if c > 0 {
			n++
		}
	}
	return n
}

func allAtVersion(peers []*peer, version int64) func() bool {
	return func() bool {
		for _, p := range peers {
			if p.version.Load() != version {
				return false
			}
		}
		return true
	}
}

func setVersion(peers []*peer, version int64) {
	for _, p := range peers {
		p.store.version.Store(version)
	}
}

// TestOneReaderServesAll checks that only one node reads the store, also after the reader loses the store and after it crashes.
func TestOneReaderServesAll(t *testing.T) {
	peers := startMesh(t, 5)
	waitUntil(t, allAtVersion(peers, 1))
	settled := func() bool {
		return countReaders(storeCallsDuring(peers, func() { time.Sleep(100 * time.Millisecond) })) == 1
	}
	waitUntil(t, settled)
	setVersion(peers, 2)
	waitUntil(t, allAtVersion(peers, 2))

	// The reader loses the store: its tables become stale, and another node reads for the rest.
	reader := highestRanked(peers)
	reader.store.down.Store(true)
	rest := without(peers, reader)
	waitUntil(t, func() bool {
		setVersion(peers, 3)
		return allAtVersion(rest, 3)()
	})
	reader.store.down.Store(false)
	setVersion(peers, 4)
	waitUntil(t, allAtVersion(peers, 4))
	waitUntil(t, settled)

	// The reader crashes: the next in rank replaces it.
	reader = highestRanked(peers)
	reader.kill()
	rest = without(peers, reader)
	setVersion(peers, 5)
	waitUntil(t, allAtVersion(rest, 5))
	waitUntil(t, settled)
}

func highestRanked(peers []*peer) *peer {
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

// TestReadsStoreWhileQueriesArePending makes the store unavailable to all nodes but the last in rank and disables the peer timeout: the last
// node must not wait for any of the others.
func TestReadsStoreWhileQueriesArePending(t *testing.T) {
	peers := startMeshWith(t, 3, func(c *Config) { c.PeerTimeout, c.SettleTime = time.Hour, 0 })
	last := peers[0]
	for _, p := range peers {
		if last.self.Outranks(p.self) {
			last = p
		}
	}
	for _, p := range without(peers, last) {
		p.store.down.Store(true)
	}
	for version := range int64(5) {
		setVersion(peers, version+2)
		waitUntil(t, allAtVersion([]*peer{last}, version+2))
	}
}

// TestNextReaderResumesFromItsVersions kills the reader while all other nodes are reachable: only the next in rank may read the store, and
// only the changes since the version that it holds.
func TestNextReaderResumesFromItsVersions(t *testing.T) {
	peers := startMeshWith(t, 5, func(c *Config) { c.Feed.MemberWait, c.Feed.StaleGrace = time.Hour, time.Hour })
	waitUntil(t, allAtVersion(peers, 1))
	reader := highestRanked(peers)
	rest := without(peers, reader)
	next := highestRanked(rest)
	lists := func() (n int64) {
		for _, p := range rest {
			n += p.store.lists.Load()
		}
		return n
	}
	must.EqOp(t, 0, lists()) // the others queried the reader before they would read the store
	reader.kill()
	waitUntil(t, func() bool {
		setVersion(rest, 2)
		return allAtVersion(rest, 2)()
	})
	must.EqOp(t, 0, lists())
	for _, p := range without(rest, next) {
		must.EqOp(t, 0, p.store.reads.Load(), must.Sprint(p.self.VM))
	}
}

// TestRegistersOnce checks that a node registers only if its current entry is not among the members.
func TestRegistersOnce(t *testing.T) {
	peers := startMeshWith(t, 3, func(c *Config) { c.MaxReregisterDelay = time.Hour }) // keeps the automatic registration from interfering
	waitUntil(t, allAtVersion(peers, 1))
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

// TestWatchConfigOfNewFleet checks that a new node, which has not seen the others register yet, does not wait for changes as long as a single
// node may: its followers would consider its tables stale.
func TestWatchConfigOfNewFleet(t *testing.T) {
	n := New(feed.Member{VM: "vm-0", DataCentre: "a"}, DefaultConfig(), NewHub(nil), &fakeStore{}, http.DefaultClient, NewMetrics(new(expvar.Map).Init()), logrus.New())
	must.Less(t, n.config.Feed.StaleAfter, n.config.Reader.PollWait)
	must.Greater(t, n.config.Feed.StaleAfter, n.config.SingleNode.PollWait)
	must.EqOp(t, n.config.Reader.PollWait, n.watchConfig().PollWait)
	n.settled.Store(true)
	must.EqOp(t, n.config.SingleNode.PollWait, n.watchConfig().PollWait)
	n.SetMembers([]feed.Member{{VM: "vm-0"}, {VM: "vm-1"}})
	must.EqOp(t, n.config.Reader.PollWait, n.watchConfig().PollWait)
}

// TestTimingsFitPropagationBound checks that a reader's confirmations arrive before its tables become stale, and that a node which first waits
// for its tables to become stale and then for Feed.Lead has a third of the bound left.
func TestTimingsFitPropagationBound(t *testing.T) {
	for _, bound := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, time.Minute} {
		config := DefaultConfig().InForceWithin(bound)
		must.Greater(t, config.Reader.PollWait, config.Feed.StaleAfter, must.Sprint(bound))
		must.LessEq(t, bound*2/3, config.Feed.StaleAfter+config.Feed.StaleGrace, must.Sprint(bound))
	}
	must.Eq(t, DefaultConfig(), DefaultConfig().InForceWithin(3*time.Second))
}
