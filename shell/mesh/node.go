package mesh

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/httpcheck"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// TablesPath is the HTTP path at which a node streams its tables to its followers, and AgePath the one at which it reports their age.
const (
	TablesPath = "/tables"
	AgePath    = "/tables/age"
)

// Registry stores the entries of the members.
type Registry interface {
	// Put writes a member's entry under the name of its VM, and replaces an earlier one.
	Put(ctx context.Context, key string, data []byte) error
	// Remove deletes an entry of the given version; an entry of a later version stays.
	Remove(ctx context.Context, key string, version watch.Version) error
}

// Node keeps this node's tables up to date from the store or another node, and serves them to followers.
type Node struct {
	self     feed.Member
	config   Config
	hub      *Hub
	registry Registry
	client   *http.Client
	metrics  *Metrics
	log      logrus.FieldLogger

	settled      atomic.Bool // whether SettleTime has passed, so that the number of members is used
	datagrams    atomic.Pointer[net.PacketConn]
	gossip       atomic.Pointer[Gossip] // nil without gossip
	neighbours   neighbours
	onLimits     func(ratelimits.Message)                             // nil if the node handles no rate limits
	onNeighbours func([]vaneyoke.VMID)                                // nil without a listener
	onShares     func(data []byte) bool                               // nil if the node handles no shares
	onPins       func(data []byte) bool                               // nil if the node keeps no records of streams
	onTree       func(parent vaneyoke.VMID, children []vaneyoke.VMID) // nil without a listener
	events       chan feed.Event
	done         chan struct{} // closed when Run returns

	mu             sync.Mutex
	members        []feed.Member // nil until first read
	membersKnown   chan struct{} // closed once members is set
	membersChanged chan struct{} // signals an update of members
}

// New returns a node that keeps the hub's tables up to date once it runs.
func New(self feed.Member, config Config, hub *Hub, registry Registry, client *http.Client, metrics *Metrics, log logrus.FieldLogger) *Node {
	return &Node{
		self: self, config: config, hub: hub, registry: registry, client: httpcheck.Client(client), metrics: metrics, log: log,
		events: make(chan feed.Event), done: make(chan struct{}), membersKnown: make(chan struct{}), membersChanged: make(chan struct{}, 1),
	}
}

// SetMembers updates the list of registered members.
func (n *Node) SetMembers(members []feed.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members == nil {
		close(n.membersKnown)
		members = append([]feed.Member{}, members...)
	}
	n.members = members
	select {
	case n.membersChanged <- struct{}{}:
	default:
	}
}

// ServeMembers writes the members as JSON.
func (n *Node) ServeMembers(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.registeredMembers()) // fails only if the client has disconnected
}

// Members returns the number of members, including this node.
func (n *Node) Members() int { return max(len(n.registeredMembers()), 1) }

// Registered returns the registered members, nil until they are known. The caller must not modify them.
func (n *Node) Registered() []feed.Member { return n.registeredMembers() }

// Parent returns the source of this node, the one that it follows; ok is false if it follows none.
func (n *Node) Parent() (parent feed.Member, ok bool) {
	source := n.metrics.status.Load().Source
	return lo.Find(n.registeredMembers(), func(m feed.Member) bool { return source != "" && m.VM == source })
}

// Stale reports whether the last confirmation of the tables by the store is too old.
func (n *Node) Stale() bool { return !n.metrics.status.Load().Fresh }

// ReadsStore reports whether the node reads all tables from the store.
func (n *Node) ReadsStore() bool { return n.metrics.status.Load().Reading == feed.ReadAll.String() }

// ConfirmedByStore reports whether the node reads all tables from the store itself and the last confirmation is not stale.
func (n *Node) ConfirmedByStore() bool {
	status := n.metrics.status.Load()
	return n.ReadsStore() && status.Fresh && status.Reader == n.self.VM
}

// StoreReader returns another node to which the store has confirmed the tables; ok is false if none is known.
func (n *Node) StoreReader() (reader feed.Member, ok bool) {
	vm := n.metrics.status.Load().Reader
	return lo.Find(n.registeredMembers(), func(m feed.Member) bool { return m.VM == vm && vm != n.self.VM })
}

func (n *Node) registeredMembers() []feed.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members
}

// Run keeps the hub's tables up to date until ctx is done. It must be called only once.
func (n *Node) Run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	defer close(n.done)
	r := &runner{
		Node: n, work: &work, state: feed.New(n.self, n.config.Feed, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		cancelFollow: func() {}, cancelRead: func() {},
	}
	work.Go(func() { n.listen(ctx) })
	work.Go(func() {
		n.registerWhenKnown(ctx)
		n.pruneMembers(ctx)
	})
	settleTimer := time.AfterFunc(n.config.SettleTime, func() { n.settled.Store(true) })
	defer settleTimer.Stop()
	r.run(ctx)
}

// post sends an event to the event loop, unless that or ctx ends first.
func (n *Node) post(ctx context.Context, event feed.Event) {
	select {
	case n.events <- event:
	case <-ctx.Done():
	case <-n.done:
	}
}

// isAlone reports whether this node is the only member.
func (n *Node) isAlone() bool { return n.Members() == 1 }

// runner is the event loop: it passes events to the state machine and executes the effects that this returns.
type runner struct {
	*Node
	state         *feed.State
	work          *sync.WaitGroup
	cancelFollow  context.CancelFunc // stops following the current source
	cancelRead    context.CancelFunc // stops the current reads of the store
	fresh         bool               // whether the tables were fresh at the last event
	wasRegistered bool               // whether the node was among the members at their last update
}

func (r *runner) run(ctx context.Context) {
	r.handle(ctx, feed.Started{})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := steady.Now()
		timer.Reset(r.state.NextTick(now).Sub(now))
		select {
		case <-ctx.Done():
			return
		case event := <-r.events:
			r.handle(ctx, event)
		case <-r.membersChanged:
			r.handle(ctx, feed.MembersUpdated{Members: r.registeredMembers()})
			r.reregisterIfRemoved(ctx)
		case <-timer.C:
			r.handle(ctx, feed.Tick{})
		}
	}
}

// reregisterIfRemoved registers the node again after others have removed it from the members because they could not reach it.
func (r *runner) reregisterIfRemoved(ctx context.Context) {
	isRegistered := r.registered()
	if r.wasRegistered && !isRegistered {
		r.work.Go(func() {
			if pause.For(ctx, rand.N(r.config.MaxReregisterDelay)) {
				r.register(ctx)
			}
		})
	}
	r.wasRegistered = isRegistered
}

func (r *runner) handle(ctx context.Context, event feed.Event) {
	now := steady.Now()
	for _, effect := range r.state.Handle(now, event) {
		r.carryOut(ctx, effect)
	}
	r.setNeighbours(r.state)
	r.reportStatus(now)
}

// reportStatus updates the metrics, and logs when the tables become stale or fresh again.
func (r *runner) reportStatus(now time.Time) {
	fresh := r.state.Fresh(now)
	source, _ := r.state.Source()
	status := r.state.Status(now)
	r.metrics.setStatus(NodeStatus{
		Source: source.VM, Followers: r.state.FollowerCount(), Reading: r.state.ReadMode().String(), Fresh: fresh,
		Reader: status.Reader, AgeMs: status.Age.Milliseconds(),
	})
	if fresh == r.fresh {
		return
	}
	r.fresh = fresh
	fields := logrus.Fields{"peer": source.VM, "age_ms": status.Age.Milliseconds(), "reader": status.Reader}
	if fresh {
		r.log.WithFields(fields).Info("tables_fresh")
	} else {
		r.log.WithFields(fields).Info("tables_old")
	}
}

func (r *runner) carryOut(ctx context.Context, effect feed.Effect) {
	switch e := effect.(type) {
	case feed.Follow:
		r.cancelFollow()
		followCtx, cancel := context.WithCancel(ctx)
		r.cancelFollow = cancel
		r.work.Go(func() { r.followUntilLost(followCtx, e.Member) })
	case feed.Unfollow:
		r.cancelFollow()
	case feed.SetReadMode:
		r.cancelRead()
		readCtx, cancel := context.WithCancel(ctx)
		r.cancelRead = cancel
		if e.Mode == feed.ReadNothing {
			r.log.Info("leaves_store")
		} else {
			r.log.WithFields(logrus.Fields{"reading": e.Mode.String(), "members": r.Members()}).Info("reads_store")
		}
		r.readStore(readCtx, e.Mode)
	case feed.QueryStatus:
		r.work.Go(func() { r.queryStatus(ctx, e.Member) })
	case feed.SendOffers:
		r.offer(e.To)
	}
}
