package feed

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/names"
)

// TableStatus is what a node reports about its tables.
type TableStatus struct {
	Age      time.Duration // time since the store confirmed them
	Complete bool          // whether the node holds all tables
	Reader   vaneyoke.VMID // the node whose read of the store confirmed them
}

// Event is an input of State.Handle.
type Event interface{ event() }

// Started reports that the node has started; it is the first event.
type Started struct{}

// MembersUpdated carries the registered members of the fleet.
type MembersUpdated struct{ Members []Member }

// StatusReceived reports that the source has sent its status, and that its tables were applied.
type StatusReceived struct {
	From   vaneyoke.VMID
	Status TableStatus
}

// SourceLost reports that a node cannot be followed, or that the stream from it ended.
type SourceLost struct{ From vaneyoke.VMID }

// QueryAnswered carries a node's answer to QueryStatus.
type QueryAnswered struct {
	From   Member
	Status TableStatus
}

// OfferReceived reports that another node offers its tables.
type OfferReceived struct {
	From   Member
	Status TableStatus
}

// StoreRead reports that a store call of this node succeeded; Status describes the node's tables after it.
type StoreRead struct{ Status TableStatus }

// StoreFailed reports that a store call of this node failed.
type StoreFailed struct{}

// FollowerAdded reports that another node began to follow this one.
type FollowerAdded struct{ VM vaneyoke.VMID }

// FollowerRemoved reports that another node stopped following this one.
type FollowerRemoved struct{ VM vaneyoke.VMID }

// Tick reports that the time returned by State.NextTick has come.
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

// Effect is an action that the node has to take.
type Effect interface{ effect() }

// Follow makes the node take its tables from Member, and from no other node.
type Follow struct{ Member Member }

// Unfollow makes the node follow no other node.
type Unfollow struct{}

// SetReadMode changes how the node reads the store.
type SetReadMode struct{ Mode ReadMode }

// QueryStatus asks another node for the status of its tables. Without an answer no event follows.
type QueryStatus struct{ Member Member }

// SendOffers offers the node's tables to other nodes, which need not answer.
type SendOffers struct{ To []Member }

func (Follow) effect()      {}
func (Unfollow) effect()    {}
func (SetReadMode) effect() {}
func (QueryStatus) effect() {}
func (SendOffers) effect()  {}

// ReadMode is how a node reads the store.
type ReadMode int

// The read modes.
const (
	ReadNothing ReadMode = iota
	ReadMembers          // only the list of members, by a node that knows no other node to ask
	ReadOnce             // one call to probe whether the store answers; it reads all tables if it does
	ReadAll              // all tables, continuously
)

// String returns the name of the mode.
func (r ReadMode) String() string { return names.Of(r, "nothing", "members", "once", "all") }
