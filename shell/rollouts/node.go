package rollouts

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

const (
	// tickEvery is the time between two reports to the node above: a bad version is to be known everywhere within seconds, over
	// the levels of the tree up and down.
	tickEvery = 250 * time.Millisecond
	storeWait = 1500 * time.Millisecond // longest wait for the store
)

// Store keeps the records.
type Store interface {
	// Write writes a record, and its state for operators, where its row has a revision, 0 for no row; an error with
	// CodeStoreRace says that it has another one, and any other that the record may have been written.
	Write(ctx context.Context, record rollout.Record, expect vaneyoke.Revision) error
	// Now returns the time on the store's clock.
	Now(ctx context.Context) (rollout.StoreTime, error)
}

// Tree tells the node's place among the others.
type Tree interface {
	// Above returns the node that this one follows; ok is false where it follows none.
	Above() (above feed.Member, ok bool)
	// Reads reports whether the node reads the store for others.
	Reads() bool
}

// Divider divides requests among the versions of a service's upstreams.
type Divider interface {
	// SetSplit takes in how a service's requests are divided.
	SetSplit(service vaneyoke.ServiceID, split rollout.Split)
	// Running returns the attempts under way by service and version.
	Running() map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int
}

// Node is this node's part in roll-outs.
type Node struct {
	self    vaneyoke.VMID
	store   Store
	tree    Tree
	divider Divider
	client  *http.Client // for the node above
	metrics *Metrics
	log     logrus.FieldLogger
	woken   chan struct{} // holds something when there may be something to do

	mu    sync.Mutex
	state *rollout.State
}

// Metrics counts what a node does for roll-outs.
type Metrics struct{ counts *expvar.Map }

// NewMetrics returns metrics that are told under "rollouts" among vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{counts: new(expvar.Map).Init()}
	vars.Set("rollouts", m.counts)
	return m
}

// New returns a node's part in roll-outs.
func New(self vaneyoke.VMID, config rollout.Config, store Store, tree Tree, divider Divider, client *http.Client, metrics *Metrics, log logrus.FieldLogger) *Node {
	return &Node{
		self: self, store: store, tree: tree, divider: divider, client: client, metrics: metrics, log: log,
		woken: make(chan struct{}, 1), state: rollout.New(self, config),
	}
}

// SetOrders takes in the orders that stand.
func (n *Node) SetOrders(now time.Time, orders []rollout.Order) {
	n.handle(now, rollout.OrdersUpdated{Orders: orders})
}

// SetRecords takes in the records that stand.
func (n *Node) SetRecords(now time.Time, rows []rollout.Row) {
	n.handle(now, rollout.RecordsUpdated{Rows: rows})
}

// SetUpstreams takes in the fleet's upstreams.
func (n *Node) SetUpstreams(now time.Time, all []vaneyoke.Upstream) {
	n.handle(now, rollout.UpstreamsUpdated{All: all})
}

// Answered takes in how an upstream answered a request of this node.
func (n *Node) Answered(now time.Time, upstream vaneyoke.Upstream, route vaneyoke.RouteID, answer rollout.Answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.Handle(now, rollout.Answered{Upstream: upstream, Route: route, Answer: answer})
}

// handle gives an event to the state, and carries out what follows.
func (n *Node) handle(now time.Time, event rollout.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, effect := range n.state.Handle(now, event) {
		n.carryOut(effect)
	}
	select {
	case n.woken <- struct{}{}:
	default:
	}
}

func (n *Node) carryOut(effect rollout.Effect) {
	switch e := effect.(type) {
	case rollout.SetSplit:
		n.divider.SetSplit(e.Service, e.Split)
		n.log.WithFields(logrus.Fields{
			"service": e.Service, "target": e.Split.Target, "share": e.Split.Share, "barred": e.Split.Blocked, "held": e.Split.Held,
		}).Info("requests_divided")
	case rollout.Stopped:
		n.metrics.counts.Add("stopped_total", 1)
		n.log.WithFields(logrus.Fields{
			"service": e.Service, "target": e.Target, "reason": e.Reason, "answers": e.Answers, "failed": e.Failed,
		}).Warn("rollout_stopped")
	case rollout.Write:
		go n.write(e)
	case rollout.ReadClock:
		go n.readClock()
	}
}

// write writes a record; whether it was written is seen when its row comes back.
func (n *Node) write(w rollout.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), storeWait)
	defer cancel()
	err := n.store.Write(ctx, w.Record, w.Expect)
	n.metrics.counts.Add("written_total", 1)
	n.log.WithFields(logrus.Fields{
		"service": w.Record.Service, "target": w.Record.Target, "stage": w.Record.Stage.String(), "reason": w.Record.Reason,
		"order": w.Record.Order, "error": err,
	}).Info("rollout_written")
}

func (n *Node) readClock() {
	ctx, cancel := context.WithTimeout(context.Background(), storeWait)
	defer cancel()
	at, err := n.store.Now(ctx)
	if err != nil {
		n.log.WithField("error", err).Warn("store_clock_unknown")
		return
	}
	n.handle(steady.Now(), rollout.ClockRead{At: at})
}

// Run reports to the node above and has decisions made until ctx ends; without a roll-out it waits for one.
func (n *Node) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.isActive() {
			select {
			case <-ctx.Done():
				return
			case <-n.woken:
			}
			continue
		}
		n.handle(steady.Now(), rollout.Tick{Running: n.divider.Running(), ReadsStore: n.tree.Reads()})
		n.report(ctx)
		pause.For(ctx, tickEvery)
	}
}

func (n *Node) isActive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Active()
}
