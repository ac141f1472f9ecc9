package shares_test

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/share"
	"github.com/vaneyoke/vaneyoke/shell/shares"
)

// network delivers summaries between nodes at once, unless it is down.
type network struct {
	mu    sync.Mutex
	nodes map[vaneyoke.VMID]*shares.Node
	down  atomic.Bool
	sent  atomic.Int64
}

// SendShares implements shares.Messenger.
func (n *network) SendShares(to vaneyoke.VMID, data []byte) bool {
	n.sent.Add(1)
	if n.down.Load() {
		return true
	}
	n.mu.Lock()
	node := n.nodes[to]
	n.mu.Unlock()
	go node.HandleDatagram(data)
	return true
}

// source is a shares.DemandSource of one workspace.
type source struct {
	active atomic.Bool
	counts atomic.Int64
	totals atomic.Pointer[share.Totals]
}

// Active implements shares.DemandSource.
func (s *source) Active() bool { return s.active.Load() }

// Demands implements shares.DemandSource.
func (s *source) Demands(time.Time) []share.Demand {
	s.counts.Add(1)
	return []share.Demand{{Service: "chat", Workspace: "w", Flow: share.Flow{Offered: 100}}}
}

// UpdateShares implements shares.DemandSource.
func (s *source) UpdateShares(totals share.Totals) { s.totals.Store(&totals) }

func (s *source) nodes() int {
	if totals := s.totals.Load(); totals != nil && totals.Fresh(time.Now()) {
		return totals.Nodes
	}
	return 0
}

// fleet runs nodes that all follow the first one.
type fleet struct {
	network *network
	sources []*source
	vars    []*expvar.Map
	logs    []*logtest.Hook
}

func startFleet(ctx context.Context, count int) *fleet {
	f := &fleet{network: &network{nodes: map[vaneyoke.VMID]*shares.Node{}}}
	var followers []vaneyoke.VMID
	for i := range count {
		vm := vaneyoke.VMID(fmt.Sprint("vm-", i))
		log, hook := logtest.NewNullLogger()
		log.SetOutput(io.Discard)
		vars := new(expvar.Map).Init()
		s := &source{}
		s.active.Store(true)
		f.network.nodes[vm] = shares.New(vm, f.network, s, shares.NewMetrics(vars), log)
		f.sources, f.vars, f.logs = append(f.sources, s), append(f.vars, vars), append(f.logs, hook)
		if i > 0 {
			followers = append(followers, vm)
		}
	}
	for vm, node := range f.network.nodes {
		if vm == "vm-0" {
			node.SetTree("", followers)
		} else {
			node.SetTree("vm-0", nil)
		}
		go node.Run(ctx)
	}
	return f
}

// metric returns a metric of a node's shares as JSON.
func (f *fleet) metric(node int, name string) string {
	return f.vars[node].Get("shares").(*expvar.Map).Get(name).String()
}

// lines returns the events that a node has logged.
func (f *fleet) lines(node int) (events []string) {
	for _, entry := range f.logs[node].AllEntries() {
		events = append(events, entry.Message)
	}
	return events
}

// TestNodesDoNotAddUp runs three nodes, of which two follow the first.
func TestNodesDoNotAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t.Context(), 3)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		for i, s := range f.sources {
			must.EqOp(t, 3, s.nodes(), must.Sprint(i))
			must.EqOp(t, vaneyoke.Tokens(300), s.totals.Load().Services["chat"].Urgencies[0].Offered)
			must.EqOp(t, "3", f.metric(i, "nodes"))
			var age int
			must.NoError(t, json.Unmarshal([]byte(f.metric(i, "age_ms")), &age))
			must.Between(t, 0, age, 1000)
		}
		counts, sent := f.sources[1].counts.Load(), f.network.sent.Load()
		time.Sleep(10 * time.Second)
		must.Between(t, 19, f.sources[1].counts.Load()-counts, 21)
		must.Between(t, 78, f.network.sent.Load()-sent, 82) // two up and two down, twice a second
	})
}

// TestPassiveNodesSend checks that no datagram is sent while no service is ranked, nor after that.
func TestPassiveNodesSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t.Context(), 3)
		for _, s := range f.sources {
			s.active.Store(false)
		}
		time.Sleep(time.Minute)
		must.Zero(t, f.network.sent.Load())
		f.sources[1].active.Store(true)
		time.Sleep(2 * time.Second)
		must.EqOp(t, 1, f.sources[2].nodes()) // its parent and itself are passive, and forward what it gets
		f.sources[1].active.Store(false)
		time.Sleep(5 * time.Second)
		sent := f.network.sent.Load()
		time.Sleep(time.Minute)
		must.EqOp(t, sent, f.network.sent.Load())
		must.Zero(t, f.sources[0].counts.Load())
	})
}

// TestIsolatedNodeLogsAllTheTime cuts all nodes off again and again, for 3 s each: a node goes by its own demand meanwhile, and logs no more than
// one line in 10 s.
func TestIsolatedNodeLogsAllTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t.Context(), 3)
		time.Sleep(3 * time.Second)
		must.SliceEmpty(t, f.lines(1))
		f.network.down.Store(true)
		time.Sleep(3 * time.Second)
		must.EqOp(t, 1, f.sources[1].nodes())
		must.Eq(t, []string{"shares_alone"}, f.lines(1))
		f.network.down.Store(false)
		time.Sleep(15 * time.Second)
		must.EqOp(t, 3, f.sources[1].nodes())
		must.Eq(t, []string{"shares_alone", "shares_joined"}, f.lines(1))
		for range 10 {
			f.network.down.Store(true)
			time.Sleep(3 * time.Second)
			f.network.down.Store(false)
			time.Sleep(3 * time.Second)
		}
		for i := range f.sources {
			must.LessEq(t, 2+60/10+1, len(f.lines(i)), must.Sprint(i))
		}
	})
}

// TestUnreadableDatagramIsHandled checks that data that is no summary is counted and changes nothing.
func TestUnreadableDatagramIsHandled(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	vars := new(expvar.Map).Init()
	n := shares.New("self", &network{}, &source{}, shares.NewMetrics(vars), log)
	for _, data := range []string{"", "{}", "\x0a\x7f"} {
		must.False(t, n.HandleDatagram([]byte(data)))
	}
	must.True(t, n.HandleDatagram(share.Encode(share.Summary{From: "stranger", Nodes: 5})))
	must.EqOp(t, `{"stranger": 1, "unreadable": 3}`, vars.Get("shares").(*expvar.Map).Get("dropped_total").String())
	must.EqOp(t, "-1", vars.Get("shares").(*expvar.Map).Get("age_ms").String())
}
