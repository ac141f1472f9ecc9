package duties

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/capacity"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/lease"
	"github.com/vaneyoke/vaneyoke/decide/usage"
	"github.com/vaneyoke/vaneyoke/internal/httpcheck"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// Names of the duties' leases.
const (
	DutyUsage    lease.Name = "usage"
	DutyCapacity lease.Name = "capacity"
)

const (
	tickInterval           = 100 * time.Millisecond
	forwardInterval        = 500 * time.Millisecond // time between two messages to the parent node
	leaseWriteTimeout      = 900 * time.Millisecond // of a write of a lease to the store
	storeTimeout           = 1500 * time.Millisecond
	unansweredCallLifetime = 15 * time.Second // how long after it timed out the platform may still carry out a call
	flushTimeout           = 250 * time.Millisecond
)

// Leases stores the records of leases.
type Leases interface {
	// Write writes a row if it still has the given revision, and returns the new row. An error with CodeStoreRace comes with the current row; after any
	// other error the row may have been written.
	Write(ctx context.Context, name lease.Name, want lease.Row) (lease.Row, error)
}

// Ledger stores the usage counts.
type Ledger interface {
	// Load returns all rows.
	Load(ctx context.Context) (usage.Loaded, error)
	// Commit writes and removes rows if all of them still have the given revisions, and returns their new revision.
	Commit(ctx context.Context, c usage.Commit) (vaneyoke.Revision, error)
}

// Reply is the platform's answer to a call.
type Reply int

// The replies.
const (
	ReplyAccepted Reply = iota + 1
	ReplyRefused        // the platform has seen a higher token, or has no capacity
	ReplyDeclined       // the platform has done nothing
	ReplyNone           // no answer: the call may be carried out later
)

// Platform receives the calls made under the duties' leases.
type Platform interface {
	// Report reports the counts of a window.
	Report(ctx context.Context, token lease.FencingToken, window usage.Window, counts usage.Counts) (Reply, error)
	// Order orders upstreams.
	Order(ctx context.Context, token lease.FencingToken, o capacity.Order) (Reply, error)
}

// Tree reports the node's place in the distribution tree.
type Tree interface {
	// Parent returns the parent node, which this one follows; ok is false if there is none.
	Parent() (parent feed.Member, ok bool)
	// ConfirmedByStore reports whether the node reads the store, and the store has recently confirmed the tables to it.
	ConfirmedByStore() bool
	// StoreReader returns another such node; ok is false if none is known.
	StoreReader() (reader feed.Member, ok bool)
	// Members returns the number of nodes, including this one.
	Members() int
}

// Config configures the duties.
type Config struct {
	Lease lease.Config
	Usage usage.Config // its WindowLength is 0 if usage is not reported
}

// Node performs this node's part of the duties.
type Node struct {
	self     vaneyoke.VMID
	config   Config
	leases   Leases
	ledger   Ledger
	platform Platform
	tree     Tree
	client   *http.Client // for the parent node
	metrics  *Metrics
	log      logrus.FieldLogger

	mu           sync.Mutex
	duties       map[lease.Name]*duty
	clock        usage.Clock
	aggregator   *usage.Aggregator
	reporter     *usage.Reporter
	planner      *capacity.State
	autoscaled   map[vaneyoke.ServiceID]bool          // services whose upstreams this fleet orders
	loads        map[vaneyoke.ServiceID]capacity.Load // since the last message to the parent node
	loadCoverage time.Duration                        // time covered by the loads of other nodes in loads, summed over the nodes
	loadsTakenAt time.Time                            // up to which this node has sent its own load
	batchStored  chan struct{}                        // closed when the store holds another batch
	stored       usage.Watermarks                     // of the batches known to be in the store
	stopping     bool
}

// duty is a lease and the state of the calls made under it.
type duty struct {
	*lease.State
	inFlight     int       // calls in flight
	unansweredAt time.Time // when a call last timed out
}

// drained reports whether no call can still be carried out.
func (d *duty) drained(now time.Time) bool {
	return d.inFlight == 0 && (d.unansweredAt.IsZero() || now.Sub(d.unansweredAt) > unansweredCallLifetime)
}

// New returns a node's part in the duties; incarnation identifies its process.
func New(self vaneyoke.VMID, incarnation vaneyoke.Incarnation, config Config, leases Leases, ledger Ledger, platform Platform, tree Tree, client *http.Client, metrics *Metrics, log logrus.FieldLogger) *Node {
	n := &Node{
		self: self, config: config, leases: leases, ledger: ledger, platform: platform, tree: tree, client: httpcheck.Client(client), metrics: metrics, log: log,
		duties: map[lease.Name]*duty{}, aggregator: usage.NewAggregator(self, incarnation), reporter: usage.NewReporter(config.Usage), planner: capacity.New(),
		autoscaled: map[vaneyoke.ServiceID]bool{}, loads: map[vaneyoke.ServiceID]capacity.Load{}, batchStored: make(chan struct{}), stored: usage.Watermarks{},
	}
	for _, name := range []lease.Name{DutyUsage, DutyCapacity} {
		n.duties[name] = &duty{State: lease.New(self, incarnation, config.Lease)}
	}
	n.loadsTakenAt = steady.Now()
	n.clock.Sample(n.loadsTakenAt, time.Now())
	metrics.publishLeases(n)
	return n
}

// reportsUsage reports whether usage is counted and reported.
func (n *Node) reportsUsage() bool { return n.config.Usage.WindowLength > 0 }

// SetScalingConfigs updates the configuration by which upstreams are ordered.
func (n *Node) SetScalingConfigs(now time.Time, all []capacity.ScalingConfig) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.autoscaled)
	for _, t := range all {
		n.autoscaled[t.Service] = true
	}
	n.planner.Handle(now, capacity.ConfigsUpdated{All: all})
}

// SetUpstreams updates the fleet's upstreams.
func (n *Node) SetUpstreams(now time.Time, all []vaneyoke.Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.planner.Handle(now, capacity.UpstreamsUpdated{All: all})
}

// CountRequest counts a workspace's request that an upstream has started.
func (n *Node) CountRequest(workspace vaneyoke.WorkspaceID) {
	if !n.reportsUsage() || workspace == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.aggregator.CountRequest(usage.WindowAt(n.clock.Wall(steady.Now()), n.config.Usage.WindowLength), workspace)
}

// AddLoad adds the load that a request put on a service's upstreams.
func (n *Node) AddLoad(service vaneyoke.ServiceID, load capacity.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.autoscaled[service] {
		n.loads[service] = n.loads[service].Add(load)
	}
}

// Run maintains the leases, and performs the duties whose leases the node holds, until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() {
		for pause.For(ctx, forwardInterval) {
			n.forward(ctx)
		}
	})
	for pause.For(ctx, tickInterval) {
		n.tick(steady.Now())
	}
}

// ReleaseLeases makes the node release its leases, because it stops.
func (n *Node) ReleaseLeases() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = true
}

// Flush forwards the remaining counts before the node stops.
func (n *Node) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	n.forward(ctx)
}

// tick advances the leases, the usage reporter and the planner to now.
func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clock.Sample(now, time.Now())
	root := n.isRoot()
	n.tickLease(now, DutyUsage, root && n.reportsUsage())
	n.tickLease(now, DutyCapacity, root && len(n.autoscaled) > 0)
	if n.reportsUsage() {
		_, holds := n.duties[DutyUsage].ActiveToken(now)
		for _, effect := range n.reporter.Handle(now, usage.Tick{Wall: n.clock.Wall(now), MayWrite: root, MayReport: holds}) {
			n.applyUsageLocked(effect)
		}
	}
	_, holds := n.duties[DutyCapacity].ActiveToken(now)
	for _, order := range n.planner.Handle(now, capacity.Tick{HoldsDuty: func(vaneyoke.ServiceID) bool { return holds }}) {
		n.sendOrderLocked(now, order)
	}
}

// isRoot reports whether this node writes the counts of other nodes to the store, which it does while the store answers it.
func (n *Node) isRoot() bool { return n.tree.ConfirmedByStore() }

// forwardTarget returns the node to which this one forwards its counts: its parent or, if it has none and the store does not answer it, a node that the store answers.
func (n *Node) forwardTarget() (feed.Member, bool) {
	if parent, ok := n.tree.Parent(); ok {
		return parent, true
	}
	return n.tree.StoreReader()
}
