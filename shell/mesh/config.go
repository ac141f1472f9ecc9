package mesh

import (
	"context"
	"net"
	"time"

	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// Config holds the timeouts and intervals of the mesh.
type Config struct {
	Feed              feed.Config   // which node to follow, and when to read the store
	SettleTime        time.Duration // after the start, the number of members is not used: the other nodes of a new fleet are still registering
	HeartbeatInterval time.Duration // time between two frames while nothing changes
	PeerTimeout       time.Duration // time without a frame after which the source counts as lost; also the timeout of a query to another node
	Reader            watch.Config  // for a node that reads the store on behalf of others
	SingleNode        watch.Config  // for a node without other members
	Lagging           watch.Config  // for tables with MayLag

	// FirstStart is set when the whole system starts for the first time. The store has no members yet, so a node first registers itself, and reads the members after the others had time to register.
	FirstStart          bool
	MembersReadDelay    time.Duration // time from the start of such a node to its first read of the members
	MembersReadInterval time.Duration // time between two reads of the members while it reads nothing else

	MembersTable       string        // name of the table that lists the members
	LivenessInterval   time.Duration // time between two checks of which members are reachable
	RemoveAfter        time.Duration // a member is removed after it was unreachable for this long
	MaxReregisterDelay time.Duration // upper bound of the random delay before a removed node registers again

	ListenPacket PacketListener // nil for a socket of the system
}

// PacketListener opens the socket from which a node sends datagrams to others and receives theirs.
type PacketListener func(ctx context.Context, network, address string) (net.PacketConn, error)

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	reader := watch.DefaultConfig()
	reader.PollWait, reader.PollSlack = 1100*time.Millisecond, 500*time.Millisecond
	lagging := watch.DefaultConfig()
	lagging.PollWait, lagging.PollSlack, lagging.BatchDelay = 10*time.Second, 500*time.Millisecond, 300*time.Millisecond
	lagging.BaseBackoff, lagging.MaxListBackoff, lagging.MaxBackoff = time.Second, time.Second, 2*time.Second // a node that knows no members receives offers of the tables sooner
	return Config{
		Feed: feed.DefaultConfig(), SettleTime: time.Second, HeartbeatInterval: 250 * time.Millisecond, PeerTimeout: 800 * time.Millisecond,
		Reader: reader, SingleNode: watch.DefaultConfig(), Lagging: lagging,
		MembersReadDelay: 350 * time.Millisecond, MembersReadInterval: time.Second,
		MembersTable: "members", LivenessInterval: time.Minute, RemoveAfter: 10 * time.Minute, MaxReregisterDelay: 2 * time.Second,
	}
}

// AtFirstStart returns the configuration for the first start of the whole system. The time between a node's first read of the members and
// its read of all tables because it knows no other member stays the same as at any other start.
func (c Config) AtFirstStart() Config {
	c.FirstStart = true
	c.Feed.MemberWait += c.MembersReadDelay
	return c
}

// waitMargin is the difference between the age at which tables become stale and a reader's shorter wait for changes.
const waitMargin = 400 * time.Millisecond

// InForceWithin returns the configuration for a fleet in which a change must take effect on all nodes within the bound. Tables become stale
// after at most half of it, which leaves a node whose source has lost the store the other half to find another source.
func (c Config) InForceWithin(bound time.Duration) Config {
	c.Feed.StaleAfter = min(c.Feed.StaleAfter, bound/2)
	c.Reader.PollWait = min(c.Reader.PollWait, max(c.Feed.StaleAfter-waitMargin, c.Feed.StaleAfter/2))
	c.Feed.StaleGrace = min(c.Feed.StaleGrace, bound/10)
	return c
}
