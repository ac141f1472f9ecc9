package mesh

import (
	"time"

	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// Config holds the bounds of the mesh.
type Config struct {
	Feed   feed.Config   // whom the node follows, and when it reads the store
	Settle time.Duration // for which a new node does not go by the number of members, because the others of a new fleet register meanwhile
	Beat   time.Duration // time between two frames without a change
	Stall  time.Duration // time without a frame after which the node that is followed is given up, and longest wait for a node that is asked
	Reader watch.Config  // of a node that reads the store for others
	Small  watch.Config  // of a node without others
	Slow   watch.Config  // of tables that may lag

	// FirstStart says that the whole system starts for the first time: no member stands in the store, so that a node registers itself first, and reads once the others have.
	FirstStart bool
	FirstLook  time.Duration // time from the start of such a node to its first look at the members
	NextLook   time.Duration // time between two looks at them while it reads nothing else

	Members   string        // name of the table in which the members register themselves
	Check     time.Duration // time between two looks for members that are gone
	GoneAfter time.Duration // for which a member must not have answered to be taken off
	Again     time.Duration // longest time after which a node that was taken off registers itself again
}

// DefaultConfig returns the bounds that the nodes start from.
func DefaultConfig() Config {
	reader := watch.DefaultConfig()
	reader.Wait, reader.Slack = 1100*time.Millisecond, 500*time.Millisecond
	slow := watch.DefaultConfig()
	slow.Wait, slow.Slack, slow.Gather = 10*time.Second, 500*time.Millisecond, 300*time.Millisecond
	slow.Pause, slow.First, slow.Most = time.Second, time.Second, 2*time.Second // who knows nobody is offered the tables sooner
	return Config{
		Feed: feed.DefaultConfig(), Settle: time.Second, Beat: 250 * time.Millisecond, Stall: 800 * time.Millisecond,
		Reader: reader, Small: watch.DefaultConfig(), Slow: slow,
		FirstLook: 350 * time.Millisecond, NextLook: time.Second,
		Members: "members", Check: time.Minute, GoneAfter: 10 * time.Minute, Again: 2 * time.Second,
	}
}

// AtFirstStart returns the bounds of a system that starts for the first time. A node has as long as any other from its first look at the members until it reads the
// store because it knows of none.
func (c Config) AtFirstStart() Config {
	c.FirstStart = true
	c.Feed.MemberWait += c.FirstLook
	return c
}

// waitMargin is by how much a reader's wait for changes is shorter than the age from which its tables are old.
const waitMargin = 400 * time.Millisecond

// InForceWithin returns the bounds of a fleet in which a change has to be in force within a time: a node that finds out that
// the one it follows is cut off from the store has half of it left to find another way.
func (c Config) InForceWithin(bound time.Duration) Config {
	c.Feed.StaleAfter = min(c.Feed.StaleAfter, bound/2)
	c.Reader.Wait = min(c.Reader.Wait, max(c.Feed.StaleAfter-waitMargin, c.Feed.StaleAfter/2))
	c.Feed.StaleGrace = min(c.Feed.StaleGrace, bound/10)
	return c
}
