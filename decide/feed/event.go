package feed

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/names"
)

// Word is what a node says of its tables.
type TableStatus struct {
	Age      time.Duration // how long ago the store confirmed them
	Complete bool          // whether it holds all tables
	Reader   vaneyoke.VMID // the node that the store told so
}

// Event is something that a node learns.
type Event interface{ event() }

// Started says that the node has started; it is the first event.
type Started struct{}

// Members tells the members of the fleet as they are registered.
type MembersUpdated struct{ Members []Member }

// Told says that the node that is followed has spoken, and that its tables were taken in.
type StatusReceived struct {
	From   vaneyoke.VMID
	Status TableStatus
}

// Lost says that a node cannot be followed, or not any more.
type SourceLost struct{ From vaneyoke.VMID }

// Answered is a node's answer to Ask.
type QueryAnswered struct {
	From   Member
	Status TableStatus
}

// Offered says that another node offers its tables.
type OfferReceived struct {
	From   Member
	Status TableStatus
}

// StoreRead says that the store has answered this node's own call; Word says what the node's tables are then.
type StoreRead struct{ Status TableStatus }

// StoreFailed says that a call to the store failed.
type StoreFailed struct{}

// Followed says that another node began to follow this one.
type FollowerAdded struct{ VM vaneyoke.VMID }

// Unfollowed says that another node ended to follow this one.
type FollowerRemoved struct{ VM vaneyoke.VMID }

// Tick says that the time has come that State.Next told.
type Tick struct{}

func (Started) event()         {}
func (MembersUpdated) event()  {}
func (StatusReceived) event()  {}
func (SourceLost) event()      {}
func (QueryAnswered) event()   {}
func (OfferReceived) event()   {}
func (StoreRead) event()       {}
func (StoreFailed) event()     {}
func (FollowerAdded) event()   {}
func (FollowerRemoved) event() {}
func (Tick) event()            {}

// Effect is something that the node has to do.
type Effect interface{ effect() }

// Follow has the node take the tables from another one, and from no one else.
type Follow struct{ Member Member }

// Leave has the node follow nobody.
type Unfollow struct{}

// Read has the node read the store in another way than so far.
type SetReadMode struct{ Mode ReadMode }

// Ask has the node ask another one what its tables are; without an answer nothing follows.
type QueryStatus struct{ Member Member }

// Offer has the node offer its tables to others, who need not answer.
type SendOffers struct{ To []Member }

func (Follow) effect()      {}
func (Unfollow) effect()    {}
func (SetReadMode) effect() {}
func (QueryStatus) effect() {}
func (SendOffers) effect()  {}

// Reading is how a node reads the store.
type ReadMode int

// The ways of reading the store.
const (
	ReadNothing ReadMode = iota
	ReadMembers          // the list of members alone, by a node that does not know whom to ask
	ReadOnce             // one call, to find out whether the store answers; all tables where it does
	ReadAll              // all tables, for good
)

// String names the way of reading.
func (r ReadMode) String() string { return names.Of(r, "nothing", "members", "once", "all") }
