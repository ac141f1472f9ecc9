package mesh

import (
	"context"
	"errors"
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
	"github.com/vaneyoke/vaneyoke/watch"
)

const patient = 20 * time.Second

func members(dataCentres ...string) []Member {
	var all []Member
	for _, dataCentre := range dataCentres {
		for n := range 10 {
			all = append(all, Member{VM: vaneyoke.VMID(fmt.Sprintf("%s-%d", dataCentre, n)), DataCentre: vaneyoke.DataCentreID(dataCentre)})
		}
	}
	return all
}

// TestSources holds who asks whom against what the fleet needs: one reader, no circles, one node of a data centre that
// asks another, and no node that more than a few of its own ask first.
func TestSources(t *testing.T) {
	all := members("a", "b", "c")
	readers := 0
	abroad := map[vaneyoke.DataCentreID]int{}
	followers := map[vaneyoke.VMID]int{}
	for _, self := range all {
		asked := sources(all, self, 16, 3)
		must.LessEq(t, 3, len(asked))
		if len(asked) == 0 {
			readers++
			continue
		}
		seen := map[vaneyoke.VMID]bool{}
		for _, m := range asked {
			must.EqOp(t, asked[0].DataCentre == self.DataCentre, m.DataCentre == self.DataCentre)
			must.True(t, m.outranks(self))
			must.False(t, seen[m.VM])
			seen[m.VM] = true
		}
		if asked[0].DataCentre == self.DataCentre {
			followers[asked[0].VM]++
		} else {
			abroad[self.DataCentre]++
		}
	}
	must.EqOp(t, 1, readers)
	must.MapLen(t, 2, abroad) // of each data centre but the reader's
	for dataCentre, n := range abroad {
		must.EqOp(t, 1, n, must.Sprint(dataCentre))
	}
	for vm, n := range followers {
		must.LessEq(t, fanOut, n, must.Sprint(vm))
	}
	must.SliceEmpty(t, sources(all, all[0], 30, 3)) // a small fleet
	alone := Member{VM: "c-0", DataCentre: "d", Bandwidth: 1}
	must.SliceEmpty(t, sources(append(all, alone), alone, 16, 3))
}

// TestSourcesLeadToTheReader has members ask their first choices, from one to the next: all come to the reader, which has
// the fastest link, in few steps; the further choices of a node are at least as near to it.
func TestSourcesLeadToTheReader(t *testing.T) {
	var all []Member
	for n := range 51 { // a data centre of the fleet that this is built for
		all = append(all, Member{VM: vaneyoke.VMID(fmt.Sprint("vm-", n)), DataCentre: "a", Bandwidth: 10})
	}
	all[17].Bandwidth = 200
	for _, self := range all {
		steps, at := 0, self
		for {
			asked := sources(all, at, 16, 3)
			if len(asked) == 0 {
				break
			}
			at = asked[0]
			steps++
		}
		must.EqOp(t, all[17].VM, at.VM)
		must.LessEq(t, 3, steps)
	}
}

// recorder is a hub of one table, and what was applied last.
func recorder() (*Hub, *watch.Rows) {
	got := &watch.Rows{}
	return NewHub(map[string]Table{"t": {Apply: func(_ time.Time, rows watch.Rows) { *got = rows }}}), got
}

func row(text string, version watch.Version) watch.Row {
	return watch.Row{Data: []byte(`"` + text + `"`), Version: version}
}

func TestHubNeverGoesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	hub, got := recorder()
	_, ok := hub.Age(now)
	must.False(t, ok)
	hub.Set(now, "t", watch.Rows{"a": row("new", 5)}, 5, now)
	hub.Set(now, "t", watch.Rows{"a": row("old", 3)}, 4, now.Add(time.Second))
	must.Eq(t, watch.Rows{"a": row("new", 5)}, *got)
	hub.Set(now, "none", watch.Rows{}, 9, now)
	hub.Confirm("t", 4, now.Add(time.Second)) // of an older version
	age, ok := hub.Age(now.Add(2 * time.Second))
	must.True(t, ok)
	must.EqOp(t, 2*time.Second, age)
	hub.Confirm("t", 7, now.Add(time.Second))
	age, _ = hub.Age(now.Add(2 * time.Second))
	must.EqOp(t, time.Second, age)
}

// TestTableThatMayLagDoesNotAge holds a hub of which one table was not confirmed for long.
func TestTableThatMayLagDoesNotAge(t *testing.T) {
	now := time.Unix(1000, 0)
	ignore := func(time.Time, watch.Rows) {}
	hub := NewHub(map[string]Table{"strict": {Apply: ignore}, "lagging": {Apply: ignore, MayLag: true}})
	hub.Set(now, "lagging", watch.Rows{}, 1, now)
	_, ok := hub.Age(now)
	must.False(t, ok) // the other one holds nothing yet
	hub.Set(now, "strict", watch.Rows{}, 2, now.Add(time.Minute))
	age, ok := hub.Age(now.Add(time.Minute + time.Second))
	must.True(t, ok)
	must.EqOp(t, time.Second, age)
}

// TestFramesLeadToTheSameRows tells one hub's tables to another from whatever the other holds.
func TestFramesLeadToTheSameRows(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		held    watch.Rows
		version watch.Version // held; 0 for nothing
		sent    int           // rows in the frame
	}{
		"nothing":   {nil, 0, 3},
		"same":      {watch.Rows{"a": row("1", 1), "b": row("2", 4), "c": row("3", 8)}, 9, 0},
		"older row": {watch.Rows{"a": row("1", 1), "b": row("0", 2), "c": row("3", 8)}, 8, 0},
		"all older": {watch.Rows{"a": row("1", 1), "b": row("0", 2)}, 3, 2},
		"gone row":  {watch.Rows{"a": row("1", 1), "z": row("9", 2)}, 3, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if name == "older row" {
				tc.version, tc.sent = 3, 2
			}
			from, _ := recorder()
			from.Set(now, "t", watch.Rows{"a": row("1", 1), "b": row("2", 4), "c": row("3", 8)}, 9, now.Add(-time.Second))
			to, got := recorder()
			if tc.version > 0 {
				to.Set(now, "t", tc.held, tc.version, now.Add(-time.Minute))
			}
			before := toldOf(mustQuery(t, to.held()))
			f := nextOf(t, from, now, before)
			sent := 0
			for _, update := range f.Tables {
				sent += len(update.Rows)
			}
			must.EqOp(t, tc.sent, sent)
			to.take(now, f)
			must.Eq(t, watch.Rows{"a": row("1", 1), "b": row("2", 4), "c": row("3", 8)}, *got)
			age, _ := to.Age(now)
			must.EqOp(t, time.Second, age)

			from.Set(now, "t", watch.Rows{"a": row("1", 1), "c": row("4", 12)}, 12, now)
			f = nextOf(t, from, now, before)
			must.Len(t, 1, f.Tables[0].Rows)
			to.take(now, f)
			must.Eq(t, watch.Rows{"a": row("1", 1), "c": row("4", 12)}, *got)
			must.Nil(t, f.Tables[0].Keys) // it is known which row went
			must.Eq(t, []string{"b"}, f.Tables[0].Gone)
			f = nextOf(t, from, now, before)
			must.SliceEmpty(t, f.Tables)

			from.Set(now, "t", watch.Rows{"a": row("5", 14), "c": row("4", 12)}, 14, now)
			f = nextOf(t, from, now, before)
			must.Nil(t, f.Tables[0].Keys) // no row went
			must.SliceEmpty(t, f.Tables[0].Gone)
			to.take(now, f)
			must.Eq(t, watch.Rows{"a": row("5", 14), "c": row("4", 12)}, *got)
		})
	}
}

// TestRowThatIsNoJSONHoldsUpNoOther has a table with such a row; the others must be told all the same.
func TestRowThatIsNoJSONHoldsUpNoOther(t *testing.T) {
	now := time.Unix(1000, 0)
	from, _ := recorder()
	from.Set(now, "t", watch.Rows{"good": row("1", 1), "bad": {Data: []byte("no JSON"), Version: 2}}, 2, now)
	to, rows := recorder()
	to.take(now, nextOf(t, from, now, told{}))
	must.Eq(t, watch.Rows{"good": row("1", 1)}, *rows)
}

// nextOf returns what a hub tells next, the age of its tables with it.
func nextOf(t *testing.T, h *Hub, now time.Time, before told) frame {
	t.Helper()
	p, b, _, err := h.next(now, before)
	must.NoError(t, err)
	f := frame{}
	if p != nil {
		f, err = p.unpack()
		must.NoError(t, err)
	}
	f.Beat = &b
	return f
}

func mustQuery(t *testing.T, raw string) map[string][]string {
	r := httptest.NewRequest(http.MethodGet, "/?"+raw, nil)
	must.NoError(t, r.ParseForm())
	return r.Form
}

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
	config.Direct, config.Settle, config.First, config.Lead, config.Own = 1, 20*time.Millisecond, 0, 0, 100*time.Millisecond
	config.Reader.Wait, config.Reader.Slack, config.Reader.Gather = 40*time.Millisecond, 40*time.Millisecond, 0
	change(&config)
	peers := make([]*peer, count)
	var all []Member
	for i := range peers {
		p := &peer{store: &source{}}
		p.store.version.Store(1)
		hub := NewHub(map[string]Table{"t": {Source: p.store, Apply: func(_ time.Time, rows watch.Rows) { p.version.Store(int64(rows["a"].Version)) }}})
		self := Member{VM: vaneyoke.VMID(fmt.Sprint("vm-", i)), DataCentre: "a"}
		p.Node = New(self, config, hub, p.store, http.DefaultClient, log)
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
			stop()
			p.server.CloseClientConnections()
			p.server.Close()
			<-done
		})
	}
	return peers
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
	reader.stop()
	reader.server.CloseClientConnections()
	reader.server.Close()
	rest = without(peers, reader)
	setAll(peers, 5)
	until(t, allAt(rest, 5))
	until(t, settled)
}

func readerOf(peers []*peer) *peer {
	best := peers[0]
	for _, p := range peers {
		if p.self.outranks(best.self) {
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
		if last.self.outranks(p.self) {
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
	peers := startMeshWith(t, 5, func(c *Config) { c.First, c.Lead = time.Hour, time.Hour })
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
	reader.stop()
	reader.server.CloseClientConnections()
	reader.server.Close()
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
	peers := startMesh(t, 3)
	until(t, allAt(peers, 1))
	for _, p := range peers {
		must.EqOp(t, 0, p.store.writes.Load())
	}
	p := peers[0]
	p.SetMembers([]Member{peers[1].self, peers[2].self})
	p.register(t.Context())
	must.EqOp(t, 1, p.store.writes.Load())
	moved := p.self
	moved.Address = "127.0.0.1:1"
	p.SetMembers([]Member{moved})
	p.register(t.Context())
	must.EqOp(t, 2, p.store.writes.Load())
}

// TestTimesOfANewFleet holds that a new node, which has not seen the others register yet, does not wait for changes as long
// as one of a small fleet may: those that follow it would take its tables for old.
func TestTimesOfANewFleet(t *testing.T) {
	n := New(Member{VM: "vm-0", DataCentre: "a"}, DefaultConfig(), NewHub(nil), &source{}, http.DefaultClient, logrus.New())
	must.Less(t, n.config.OldAge, n.config.Reader.Wait)
	must.Greater(t, n.config.OldAge, n.config.Small.Wait)
	must.EqOp(t, n.config.Reader.Wait, n.times().Wait)
	n.settled.Store(true)
	must.EqOp(t, n.config.Small.Wait, n.times().Wait)
	n.SetMembers(members("a", "b"))
	must.EqOp(t, n.config.Reader.Wait, n.times().Wait)
}

// TestNewsOfTheAgeIsToldOn holds that a confirmation goes on to those that follow at once, and an age that is about the
// same does not.
func TestNewsOfTheAgeIsToldOn(t *testing.T) {
	now := time.Unix(1000, 0)
	hub, _ := recorder()
	hub.Set(now, "t", watch.Rows{"a": row("1", 1)}, 1, now)
	cases := []struct {
		after time.Duration
		told  bool
	}{{time.Second, true}, {1050 * time.Millisecond, false}, {1050 * time.Millisecond, false}, {3 * time.Second, true}}
	for _, tc := range cases {
		_, _, changed, err := hub.next(now, told{"t": {version: 1}})
		must.NoError(t, err)
		hub.take(now.Add(tc.after), frame{Beat: &beat{Known: true}})
		select {
		case <-changed:
			must.True(t, tc.told, must.Sprint(tc.after))
		default:
			must.False(t, tc.told, must.Sprint(tc.after))
		}
	}
}
