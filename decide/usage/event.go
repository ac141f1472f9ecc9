package usage

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Row is a window as the store holds it.
type Row struct {
	Window   Window
	Counts   Counts
	Fixed    bool              // whether it does not change any more
	Revision vaneyoke.Revision // 0 for a row that is not there
}

// Ledger is the store's row that every write goes by.
type Ledger struct {
	Floor    Window // the first window that has not been reported
	Marks    Marks  // of the batches that the rows hold
	Revision vaneyoke.Revision
}

// Event is something that a node learns.
type Event interface{ event() }

// Offered hands the node a batch that is to be written to the store.
type Offered struct{ Batch Batch }

// Loaded tells what the store holds.
type Loaded struct {
	Ledger Ledger
	Rows   []Row
}

// Committed says that the last transaction has been carried out, and the revision that its rows have.
type Committed struct{ Revision vaneyoke.Revision }

// Failed says that the last call to the store got no answer, was refused, or that rows had other revisions; it may have been carried out.
type Failed struct{}

// Sent says how the platform answered a report.
type Sent struct {
	Window Window
	Taken  bool
}

// Tick tells the wall clock, and whether the node may write to the store and, as the holder of the duty, report.
type Tick struct {
	Wall    time.Time
	Writes  bool
	Reports bool
}

func (Offered) event()   {}
func (Loaded) event()    {}
func (Committed) event() {}
func (Failed) event()    {}
func (Sent) event()      {}
func (Tick) event()      {}

// Effect is something that the node has to do.
type Effect interface{ effect() }

// Load has the node read the rows; Loaded or Failed must follow.
type Load struct{}

// Commit has the node write rows where all have the revisions that they name, and remove others; Committed or Failed must follow.
type Commit struct {
	Ledger Ledger
	Put    []Row
	Remove []Row
}

// Written says that the store holds a batch.
type Written struct {
	Origin vaneyoke.VMID
	Life   vaneyoke.Incarnation
	Seq    uint64
}

// Send has the node report a window; Sent must follow.
type Send struct {
	Window Window
	Counts Counts
}

// Missed says that requests were counted too late for their window.
type Missed struct {
	Window   Window
	Requests int
}

func (Load) effect()    {}
func (Commit) effect()  {}
func (Written) effect() {}
func (Send) effect()    {}
func (Missed) effect()  {}
