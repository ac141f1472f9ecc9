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
	"github.com/vaneyoke/vaneyoke/internal/httpcheck"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

const (
	// tickInterval is the time between two reports to the parent node. A bad version must be known at all nodes within seconds,
	// after passing up and down the levels of the tree.
	tickInterval = 250 * time.Millisecond
	storeTimeout = 1500 * time.Millisecond // of a call to the store
)

// Store stores the records of rollouts.
type Store interface {
	// Write writes a record, and its state for operators, if its row has the expected revision, 0 for no row. An error with
	// CodeStoreRace means that the row has another revision; after any other error the record may have been written.
	Write(ctx context.Context, record rollout.Record, expect vaneyoke.Revision) error
	// Now returns the time on the store's clock.
	Now(ctx context.Context) (vaneyoke.StoreTime, error)
}

// Tree reports the node's place in the distribution tree.
type Tree interface {
	// Parent returns the parent node, which this one follows; ok is false if there is none.
	Parent() (parent feed.Member, ok bool)
	// ReadsStore reports whether the node reads the store for others.
	ReadsStore() bool
}

// TrafficSplitter splits requests among the versions of a service's upstreams.
type TrafficSplitter interface {
	// SetSplit sets how a service's requests are split.
	SetSplit(service vaneyoke.ServiceID, split rollout.Split)
	// InFlightByVersion returns the number of attempts in flight by service and version.
	InFlightByVersion() map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int
}

// Node performs this node's part in rollouts.
type Node struct {
	self     vaneyoke.VMID
	store    Store
	tree     Tree
	splitter TrafficSplitter
	client   *http.Client // for the parent node
	metrics  *Metrics
	log      logrus.FieldLogger
	wake     chan struct{} // receives a value when there may be something to do

	mu    sync.Mutex
	state *rollout.State
}

// Metrics counts what a node does for rollouts.
type Metrics struct{ counts *expvar.Map }

// NewMetrics returns metrics that are published under "rollouts" in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{counts: new(expvar.Map).Init()}
	vars.Set("rollouts", m.counts)
	return m
}

// New returns a node's part in rollouts.
func New(self vaneyoke.VMID, config rollout.Config, store Store, tree Tree, splitter TrafficSplitter, client *http.Client, metrics *Metrics, log logrus.FieldLogger) *Node {
	return &Node{
		self: self, store: store, tree: tree, splitter: splitter, client: httpcheck.Client(client), metrics: metrics, log: log,
		wake: make(chan struct{}, 1), state: rollout.New(self, config),
	}
}

// SetOrders updates the present orders.
func (n *Node) SetOrders(now time.Time, orders []rollout.Order) {
	n.handle(now, rollout.OrdersUpdated{Orders: orders})
}

// SetRecords updates the present records.
func (n *Node) SetRecords(now time.Time, rows []rollout.Row) {
	n.handle(now, rollout.RecordsUpdated{Rows: rows})
}

// SetUpstreams updates the fleet's upstreams.
func (n *Node) SetUpstreams(now time.Time, all []vaneyoke.Upstream) {
	n.handle(now, rollout.UpstreamsUpdated{All: all})
}

// RecordAnswer records how an upstream answered a request of this node.
func (n *Node) RecordAnswer(now time.Time, upstream vaneyoke.Upstream, route vaneyoke.RouteID, answer rollout.Answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.Handle(now, rollout.Answered{Upstream: upstream, Route: route, Answer: answer})
}

// handle passes an event to the state, and carries out its effects.
func (n *Node) handle(now time.Time, event rollout.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, effect := range n.state.Handle(now, event) {
		n.apply(effect)
	}
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) apply(effect rollout.Effect) {
	switch e := effect.(type) {
	case rollout.SetSplit:
		n.splitter.SetSplit(e.Service, e.Split)
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

// write writes a record. The updated row that the node receives later shows whether the write took effect.
func (n *Node) write(w rollout.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := n.store.Write(ctx, w.Record, w.Expect)
	n.metrics.counts.Add("written_total", 1)
	n.log.WithFields(logrus.Fields{
		"service": w.Record.Service, "target": w.Record.Target, "stage": w.Record.Stage.String(), "reason": w.Record.Reason,
		"order": w.Record.Order, "error": err,
	}).Info("rollout_written")
}

func (n *Node) readClock() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	at, err := n.store.Now(ctx)
	if err != nil {
		n.log.WithField("error", err).Warn("store_clock_unknown")
		return
	}
	n.handle(steady.Now(), rollout.ClockRead{At: at})
}

// Run makes decisions and reports to the parent node until ctx ends; without a rollout it waits for one.
func (n *Node) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.isActive() {
			select {
			case <-ctx.Done():
				return
			case <-n.wake:
			}
			continue
		}
		n.handle(steady.Now(), rollout.Tick{InFlightByVersion: n.splitter.InFlightByVersion(), ReadsStore: n.tree.ReadsStore()})
		n.report(ctx)
		pause.For(ctx, tickInterval)
	}
}

func (n *Node) isActive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Active()
}
