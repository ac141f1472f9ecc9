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
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// Path is where a node tells its tables to others, and AgePath where it tells how old they are.
const (
	Path    = "/tables"
	AgePath = "/tables/age"
)

// Registry is where members register themselves.
type Registry interface {
	// Put writes a member's entry under its VM's name, over any earlier one.
	Put(ctx context.Context, key string, data []byte) error
	// Remove takes off an entry of a version; it does nothing to a later one.
	Remove(ctx context.Context, key string, version watch.Version) error
}

// Node is this node's part in the mesh.
type Node struct {
	self     feed.Member
	config   Config
	hub      *Hub
	registry Registry
	client   *http.Client
	metrics  *Metrics
	log      logrus.FieldLogger

	settled        atomic.Bool // whether the number of members counts
	datagrams      atomic.Pointer[net.PacketConn]
	gossip         atomic.Pointer[Gossip] // nil where there is none
	neighbours     neighbours
	takeLimits     func(ratelimits.Message) // nil where limits are not kept
	takeNeighbours func([]vaneyoke.VMID)    // nil where nobody wants to know them
	events         chan feed.Event
	ended          chan struct{} // closed when Run returns

	mu      sync.Mutex
	members []feed.Member // nil while they are not known
	known   chan struct{} // closed when they are
	changed chan struct{} // holds something when members were taken in
}

// New returns a node's part in the mesh, which keeps the hub's tables up to date.
func New(self feed.Member, config Config, hub *Hub, registry Registry, client *http.Client, metrics *Metrics, log logrus.FieldLogger) *Node {
	return &Node{
		self: self, config: config, hub: hub, registry: registry, client: client, metrics: metrics, log: log,
		events: make(chan feed.Event), ended: make(chan struct{}), known: make(chan struct{}), changed: make(chan struct{}, 1),
	}
}

// SetMembers takes in the members as they are registered.
func (n *Node) SetMembers(members []feed.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members == nil {
		close(n.known)
		members = append([]feed.Member{}, members...)
	}
	n.members = members
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// ServeMembers tells the members as JSON.
func (n *Node) ServeMembers(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.registeredMembers()) // a reader that is gone needs no answer
}

// Members returns how many members there are, this node among them.
func (n *Node) Members() int { return max(len(n.registeredMembers()), 1) }

// Registered returns the members as they are registered, nil while they are not known; they must not be changed.
func (n *Node) Registered() []feed.Member { return n.registeredMembers() }

// Above returns the node that this one follows; ok is false where it follows none.
func (n *Node) Above() (above feed.Member, ok bool) {
	source := n.metrics.part.Load().Source
	return lo.Find(n.registeredMembers(), func(m feed.Member) bool { return source != "" && m.VM == source })
}

// Old reports whether the store has not confirmed the tables for long.
func (n *Node) Old() bool { return !n.metrics.part.Load().Fresh }

// Reads reports whether the node reads all tables from the store.
func (n *Node) Reads() bool { return n.metrics.part.Load().Reading == feed.ReadAll.String() }

// Confirms reports whether the node reads all tables from the store, which has confirmed them to it no longer ago than the bound.
func (n *Node) Confirms() bool {
	part := n.metrics.part.Load()
	return n.Reads() && part.Fresh && part.Reader == n.self.VM
}

// Reader returns another node to which the store has confirmed the tables; ok is false where none is known.
func (n *Node) Reader() (reader feed.Member, ok bool) {
	vm := n.metrics.part.Load().Reader
	return lo.Find(n.registeredMembers(), func(m feed.Member) bool { return m.VM == vm && vm != n.self.VM })
}

func (n *Node) registeredMembers() []feed.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members
}

// Run keeps the hub's tables up to date until ctx ends; it is called once.
func (n *Node) Run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	defer close(n.ended)
	r := &runner{
		Node: n, work: &work, state: feed.New(n.self, n.config.Feed, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		unfollow: func() {}, unread: func() {},
	}
	work.Go(func() { n.listen(ctx) })
	work.Go(func() {
		n.registerWhenKnown(ctx)
		n.tidy(ctx)
	})
	settled := time.AfterFunc(n.config.Settle, func() { n.settled.Store(true) })
	defer settled.Stop()
	r.run(ctx)
}

// post gives the run an event, unless it or ctx ends first.
func (n *Node) post(ctx context.Context, event feed.Event) {
	select {
	case n.events <- event:
	case <-ctx.Done():
	case <-n.ended:
	}
}

// isAlone reports whether there are no other members.
func (n *Node) isAlone() bool { return n.Members() == 1 }

// runner carries out what the node's state decides.
type runner struct {
	*Node
	state    *feed.State
	work     *sync.WaitGroup
	unfollow context.CancelFunc // ends the following under way
	unread   context.CancelFunc // ends the reading under way
	fresh    bool               // whether the tables were not old when it was looked last
	stood    bool               // whether the node stood among the members when it was looked last
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
		case <-r.changed:
			r.handle(ctx, feed.MembersUpdated{Members: r.registeredMembers()})
			r.stayRegistered(ctx)
		case <-timer.C:
			r.handle(ctx, feed.Tick{})
		}
	}
}

// stayRegistered has a node that was taken off the members, because others could not reach it, register itself again.
func (r *runner) stayRegistered(ctx context.Context) {
	stands := r.registered()
	if r.stood && !stands {
		r.work.Go(func() {
			if pause.For(ctx, rand.N(r.config.Again)) {
				r.register(ctx)
			}
		})
	}
	r.stood = stands
}

func (r *runner) handle(ctx context.Context, event feed.Event) {
	now := steady.Now()
	for _, effect := range r.state.Handle(now, event) {
		r.carryOut(ctx, effect)
	}
	r.setNeighbours(r.state)
	r.note(now)
}

// note logs when the tables grow old, and when they are fresh again.
func (r *runner) note(now time.Time) {
	fresh := r.state.Fresh(now)
	source, _ := r.state.Source()
	word := r.state.Status(now)
	r.metrics.takesPart(Part{
		Source: source.VM, Followers: r.state.FollowerCount(), Reading: r.state.ReadMode().String(), Fresh: fresh,
		Reader: word.Reader, AgeMs: word.Age.Milliseconds(),
	})
	if fresh == r.fresh {
		return
	}
	r.fresh = fresh
	fields := logrus.Fields{"peer": source.VM, "age_ms": word.Age.Milliseconds(), "reader": word.Reader}
	if fresh {
		r.log.WithFields(fields).Info("tables_fresh")
	} else {
		r.log.WithFields(fields).Info("tables_old")
	}
}

func (r *runner) carryOut(ctx context.Context, effect feed.Effect) {
	switch e := effect.(type) {
	case feed.Follow:
		r.unfollow()
		following, cancel := context.WithCancel(ctx)
		r.unfollow = cancel
		r.work.Go(func() { r.followUntilLost(following, e.Member) })
	case feed.Unfollow:
		r.unfollow()
	case feed.SetReadMode:
		r.unread()
		reading, cancel := context.WithCancel(ctx)
		r.unread = cancel
		if e.Mode == feed.ReadNothing {
			r.log.Info("leaves_store")
		} else {
			r.log.WithFields(logrus.Fields{"reading": e.Mode.String(), "members": r.Members()}).Info("reads_store")
		}
		r.read(reading, e.Mode)
	case feed.QueryStatus:
		r.work.Go(func() { r.ask(ctx, e.Member) })
	case feed.SendOffers:
		r.offer(e.To)
	}
}
