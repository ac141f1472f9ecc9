package mesh

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/watch"
)

// Path is where a node tells its tables to others.
const Path = "/tables"

// Config holds the bounds of the mesh.
type Config struct {
	Direct int           // members up to which every node reads the store itself; 1 where each follows another as soon as there is one
	Most   int           // nodes that are asked in turn before the store is read
	Settle time.Duration // for which a new node does not go by the number of members, because the others of a new fleet register meanwhile
	First  time.Duration // how long a node of a new fleet waits for the others to register before it reads the store
	Lead   time.Duration // how long others are asked before the store is read
	Beat   time.Duration // time between two frames without a change
	Stall  time.Duration // time without a frame after which another node is asked
	OldAge time.Duration // age of the tables from which a node is not relied on
	Own    time.Duration // how long a node that found nobody to rely on waits before it asks again
	Reader watch.Config  // of a node that reads the store for others
	Small  watch.Config  // of the nodes of a fleet of which each reads the store itself
	Slow   watch.Config  // of tables that may lag

	Members   string        // name of the table in which the members register themselves
	Check     time.Duration // time between two looks for members that are gone
	GoneAfter time.Duration // for which a member must not have answered to be taken off
}

// DefaultConfig returns the bounds that the nodes start from.
func DefaultConfig() Config {
	reader := watch.DefaultConfig()
	reader.Wait, reader.Slack = 1100*time.Millisecond, 500*time.Millisecond
	slow := watch.DefaultConfig()
	slow.Wait, slow.Slack, slow.Gather = 10*time.Second, time.Second, 300*time.Millisecond
	return Config{
		Direct: 1, Most: 3, Settle: time.Second, First: 600 * time.Millisecond, Lead: 300 * time.Millisecond, Beat: 250 * time.Millisecond, Stall: 800 * time.Millisecond,
		OldAge: 1500 * time.Millisecond, Own: 3 * time.Second, Reader: reader, Small: watch.DefaultConfig(), Slow: slow,
		Members: "members", Check: time.Minute, GoneAfter: 10 * time.Minute,
	}
}

// waitMargin is by how much a reader's wait for changes is shorter than the age from which its tables are old.
const waitMargin = 400 * time.Millisecond

// InForceWithin returns the bounds of a fleet in which a change has to be in force within a time: a node that finds out that
// the one it follows is cut off from the store has half of it left to read the store itself.
func (c Config) InForceWithin(bound time.Duration) Config {
	c.OldAge = min(c.OldAge, bound/2)
	c.Reader.Wait = min(c.Reader.Wait, max(c.OldAge-waitMargin, c.OldAge/2))
	c.Lead = min(c.Lead, bound/10)
	return c
}

// Registry is where members register themselves.
type Registry interface {
	// Put writes a member's entry under its VM's name, over any earlier one.
	Put(ctx context.Context, key string, data []byte) error
	// Remove takes off an entry of a version; it does nothing to a later one.
	Remove(ctx context.Context, key string, version watch.Version) error
}

// Node is this node's part in the mesh.
type Node struct {
	self     Member
	config   Config
	hub      *Hub
	registry Registry
	client   *http.Client
	log      logrus.FieldLogger

	settled atomic.Bool // whether the number of members counts

	mu      sync.Mutex
	members []Member
	changed chan struct{} // closed when members are taken in next
}

// New returns a node's part in the mesh, which keeps the hub's tables up to date.
func New(self Member, config Config, hub *Hub, registry Registry, client *http.Client, log logrus.FieldLogger) *Node {
	return &Node{self: self, config: config, hub: hub, registry: registry, client: client, log: log, changed: make(chan struct{})}
}

// SetMembers takes in the members as they are registered.
func (n *Node) SetMembers(members []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = members
	close(n.changed)
	n.changed = make(chan struct{})
}

// Members returns how many members there are, this node among them.
func (n *Node) Members() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(len(n.members), 1)
}

// Run keeps the hub's tables up to date until ctx ends. It reads the store whenever there is no other node to rely on,
// also while it asks others for longer than a short lead, so that the loss of a reader costs no more than that.
func (n *Node) Run(ctx context.Context) {
	reading := n.startReading(ctx, n.config.First)
	defer func() { reading.stop() }()
	n.awaitMembers(ctx)
	known := n.registered()
	var registering sync.WaitGroup
	registering.Go(func() {
		n.register(ctx)
		n.tidy(ctx)
	})
	defer registering.Wait()
	settled := time.AfterFunc(n.config.Settle, func() { n.settled.Store(true) })
	defer settled.Stop()
	for ctx.Err() == nil {
		changed := n.membersChanged()
		if n.followAny(ctx, n.above(), func() { reading.stop() }) {
			reading = n.startReading(ctx, n.config.Lead)
			continue
		}
		if known || !n.isSmall() { // a new fleet is small while its nodes register
			reading.begin()
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(n.config.Own):
		}
	}
}

// awaitMembers waits until the members have been read, for a while at the longest.
func (n *Node) awaitMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.config.Settle)
	defer cancel()
	changed := n.membersChanged()
	if n.membersKnown() {
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// membersKnown reports whether the members have been read.
func (n *Node) membersKnown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members != nil
}

// membersChanged returns a channel that is closed when members are taken in next.
func (n *Node) membersChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// above returns the members that this node asks for the tables.
func (n *Node) above() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return sources(n.members, n.self, n.config.Direct, n.config.Most)
}

// isSmall reports whether the fleet is so small that every node reads the store itself.
func (n *Node) isSmall() bool { return n.Members() <= n.config.Direct }
