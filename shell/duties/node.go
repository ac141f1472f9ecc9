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
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// The duties, by the names of their leases.
const (
	DutyUsage    lease.Name = "usage"
	DutyCapacity lease.Name = "capacity"
)

const (
	tickEvery   = 100 * time.Millisecond
	handEvery   = 500 * time.Millisecond // time between two reports to the node above
	leaseWait   = 900 * time.Millisecond // longest wait for the store's answer to a write of a lease
	storeWait   = 1500 * time.Millisecond
	cleanAfter  = 15 * time.Second // after a call without an answer, when it is not carried out any more
	lastHanding = 250 * time.Millisecond
)

// Leases keeps the records of leases.
type Leases interface {
	// Write writes a row where it has the revision, and returns it as it then is; an error with CodeStoreRace comes with the row that stands, and with any
	// other it may have been written.
	Write(ctx context.Context, name lease.Name, want lease.Row) (lease.Row, error)
}

// Ledger keeps what was counted.
type Ledger interface {
	// Load returns all rows.
	Load(ctx context.Context) (usage.Loaded, error)
	// Commit writes and removes rows where all have the revisions that they name, and returns the revision that they have then.
	Commit(ctx context.Context, c usage.Commit) (vaneyoke.Revision, error)
}

// Reply is how the platform answered a call.
type Reply int

// The replies.
const (
	ReplyTaken    Reply = iota + 1
	ReplyRefused        // it has seen a higher token, or there is nothing to be had
	ReplyDeclined       // it has done nothing
	ReplyNone           // there was no answer: it may be carried out later
)

// Platform takes the calls of duties.
type Platform interface {
	// Report reports the counts of a window.
	Report(ctx context.Context, fence lease.FencingToken, window usage.Window, counts usage.Counts) (Reply, error)
	// Order orders upstreams.
	Order(ctx context.Context, fence lease.FencingToken, o capacity.Order) (Reply, error)
}

// Tree tells the node's place among the others.
type Tree interface {
	// Above returns the node that this one follows; ok is false where it follows none.
	Above() (above feed.Member, ok bool)
	// Confirms reports whether the node reads the store, which has confirmed the tables to it of late.
	Confirms() bool
	// Reader returns another node that does; ok is false where none is known.
	Reader() (reader feed.Member, ok bool)
	// Members returns how many nodes there are, this one among them.
	Members() int
}

// Config holds the bounds of the duties.
type Config struct {
	Lease lease.Config
	Usage usage.Config // its length is 0 where usage is not reported
}

// Node is this node's part in the duties.
type Node struct {
	self     vaneyoke.VMID
	config   Config
	leases   Leases
	ledger   Ledger
	platform Platform
	tree     Tree
	client   *http.Client // for the node above
	metrics  *Metrics
	log      logrus.FieldLogger

	mu      sync.Mutex
	duties  map[lease.Name]*duty
	clock   usage.Clock
	tally   *usage.Aggregator
	book    *usage.Reporter
	plan    *capacity.State
	ordered map[vaneyoke.ServiceID]bool          // services whose upstreams are ordered
	loads   map[vaneyoke.ServiceID]capacity.Load // since the last report to the node above
	told    time.Duration                        // for which other nodes told theirs, which are among them, summed up
	toldAt  time.Time                            // until when this node has told its own
	written chan struct{}                        // closed at each batch that the store holds
	stored  usage.Watermarks                     // of the batches that the store is known to hold
	leaving bool
}

// duty is a lease, and what was sent under it.
type duty struct {
	*lease.State
	under    int       // calls without an answer
	silentAt time.Time // when a call was last given up without one
}

// clean reports whether nothing that was sent is under way.
func (d *duty) clean(now time.Time) bool {
	return d.under == 0 && (d.silentAt.IsZero() || now.Sub(d.silentAt) > cleanAfter)
}

// New returns a node's part in the duties; life tells its process from all others.
func New(self vaneyoke.VMID, life vaneyoke.Incarnation, config Config, leases Leases, ledger Ledger, platform Platform, tree Tree, client *http.Client, metrics *Metrics, log logrus.FieldLogger) *Node {
	n := &Node{
		self: self, config: config, leases: leases, ledger: ledger, platform: platform, tree: tree, client: client, metrics: metrics, log: log,
		duties: map[lease.Name]*duty{}, tally: usage.NewAggregator(self, life), book: usage.NewReporter(config.Usage), plan: capacity.New(),
		ordered: map[vaneyoke.ServiceID]bool{}, loads: map[vaneyoke.ServiceID]capacity.Load{}, written: make(chan struct{}), stored: usage.Watermarks{},
	}
	for _, name := range []lease.Name{DutyUsage, DutyCapacity} {
		n.duties[name] = &duty{State: lease.New(self, life, config.Lease)}
	}
	n.toldAt = steady.Now()
	n.clock.Sample(n.toldAt, time.Now())
	metrics.tellLeases(n)
	return n
}

// reportsUsage reports whether usage is counted.
func (n *Node) reportsUsage() bool { return n.config.Usage.WindowLength > 0 }

// SetTerms takes in the terms on which upstreams are ordered.
func (n *Node) SetTerms(now time.Time, all []capacity.ScalingConfig) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.ordered)
	for _, t := range all {
		n.ordered[t.Service] = true
	}
	n.plan.Handle(now, capacity.ConfigsUpdated{All: all})
}

// SetUpstreams takes in the fleet's upstreams.
func (n *Node) SetUpstreams(now time.Time, all []vaneyoke.Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.plan.Handle(now, capacity.UpstreamsUpdated{All: all})
}

// Began counts a request of a workspace that an upstream began.
func (n *Node) Began(workspace vaneyoke.WorkspaceID) {
	if !n.reportsUsage() || workspace == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tally.CountRequest(usage.WindowAt(n.clock.Wall(steady.Now()), n.config.Usage.WindowLength), workspace)
}

// Used takes in what a request took of a service's upstreams.
func (n *Node) Used(service vaneyoke.ServiceID, load capacity.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ordered[service] {
		n.loads[service] = n.loads[service].Add(load)
	}
}

// Run keeps the leases, and does the duties that the node holds, until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() {
		for pause.For(ctx, handEvery) {
			n.hand(ctx)
		}
	})
	for pause.For(ctx, tickEvery) {
		n.tick(steady.Now())
	}
}

// Leave gives up the leases that the node holds, because it ends.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// Flush hands on what was counted, for the last time.
func (n *Node) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastHanding)
	defer cancel()
	n.hand(ctx)
}

// tick lets time pass.
func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clock.Sample(now, time.Now())
	root := n.isRoot()
	n.tickLease(now, DutyUsage, root && n.reportsUsage())
	n.tickLease(now, DutyCapacity, root && len(n.ordered) > 0)
	if n.reportsUsage() {
		_, holds := n.duties[DutyUsage].ActiveToken(now)
		for _, effect := range n.book.Handle(now, usage.Tick{Wall: n.clock.Wall(now), MayWrite: root, MayReport: holds}) {
			n.keepLocked(effect)
		}
	}
	_, holds := n.duties[DutyCapacity].ActiveToken(now)
	for _, order := range n.plan.Handle(now, capacity.Tick{HoldsDuty: func(vaneyoke.ServiceID) bool { return holds }}) {
		n.orderLocked(now, order)
	}
}

// isRoot reports whether what nodes count ends at this one: the store answers it.
func (n *Node) isRoot() bool { return n.tree.Confirms() }

// next returns the node to which this one hands on what it counted: the one that it follows or, where it follows none and the store does not answer it, one that the store answers.
func (n *Node) next() (feed.Member, bool) {
	if above, ok := n.tree.Above(); ok {
		return above, true
	}
	return n.tree.Reader()
}
