package pinning

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Member is a node of the fleet.
type Member struct {
	VM         vaneyoke.VMID
	DataCentre vaneyoke.DataCentreID
	Address    string // at which it receives messages
	// Incarnation is of its process, which keeps no records of an earlier one; 0 if unknown.
	Incarnation vaneyoke.Incarnation
}

// Event is an input of the state machine.
type Event interface{ event() }

// MembersUpdated holds the nodes of the fleet whose builds keep records.
type MembersUpdated struct{ All []Member }

// StreamBegun says that this node is about to give a caller an event of a stream, or goes on with it.
type StreamBegun struct {
	Stream   StreamID
	Software Software
	// VersionUnknown says that Software.Version is not to be relied on, Revision how often this node has corrected it.
	VersionUnknown bool
	Revision       int
	Deadline       time.Time // until which the caller waits for the end of the stream
}

// StreamEnded says that this node does not serve a stream any more; each StreamBegun is followed by one.
type StreamEnded struct{ Stream StreamID }

// Lookup asks which software began a stream; LookupDecided answers it.
type Lookup struct {
	ID       LookupID
	Stream   StreamID             // "" if the caller does not name it
	Services []vaneyoke.ServiceID // that its route leads to
	MaxAge   time.Duration        // longest time since the stream began
}

// LookupCancelled says that nobody waits for the result of a lookup.
type LookupCancelled struct{ ID LookupID }

// MessageReceived is a message of another node.
type MessageReceived struct{ Message Message }

// VersionsMixed holds the services of which several software versions may have begun streams.
type VersionsMixed struct{ Services []vaneyoke.ServiceID }

// RecordsWritten is the result of WriteRecords.
type RecordsWritten struct{ OK bool }

// RecordsRead is the result of ReadRecords.
type RecordsRead struct {
	Stream  StreamID
	Records []Record // of all nodes that served the stream
	OK      bool     // whether the store answered
}

// Tick says that the time returned by NextTick has come.
type Tick struct{}

func (MembersUpdated) event()  {}
func (StreamBegun) event()     {}
func (StreamEnded) event()     {}
func (Lookup) event()          {}
func (LookupCancelled) event() {}
func (MessageReceived) event() {}
func (VersionsMixed) event()   {}
func (RecordsWritten) event()  {}
func (RecordsRead) event()     {}
func (Tick) event()            {}

// Effect is an action for the caller of Handle.
type Effect interface{ effect() }

// Send sends a message to a node; it may be lost.
type Send struct {
	To      string // its address
	Message Message
}

// LookupDecided is the result of a lookup.
type LookupDecided struct {
	ID     LookupID
	Origin Origin
}

// WriteRecords writes records of this node to the store, and drops others, in one transaction; RecordsWritten follows.
type WriteRecords struct {
	Put  []Record
	Drop []RowKey
}

// ReadRecords reads all records of a stream from the store; RecordsRead follows.
type ReadRecords struct{ Stream StreamID }

func (WriteRecords) effect()  {}
func (ReadRecords) effect()   {}
func (Send) effect()          {}
func (LookupDecided) effect() {}

// LookupID identifies a lookup of this node.
type LookupID uint64

// Message is what one node sends to another about streams.
type Message struct {
	From        vaneyoke.VMID
	Incarnation vaneyoke.Incarnation // of the sender
	Address     string               // of the sender
	Records     []Record             // for the receiver to keep
	Acks        []StreamID           // of records that the sender keeps
	Queries     []Query
	Replies     []Reply
}

// Query asks which software began a stream.
type Query struct {
	Stream   StreamID
	Services []vaneyoke.ServiceID // that the stream's route leads to
}

// Reply answers a query.
type Reply struct {
	Stream     StreamID
	Record     Record        // of the stream; its Stream is "" if the sender keeps none
	Candidates []Software    // that the sender knows of the services, if it keeps no record
	Watched    time.Duration // for which the sender has known the list of upstreams
}
