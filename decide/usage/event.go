package usage

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Row is a window's row in the store.
type Row struct {
	Window   Window
	Counts   Counts
	Final    bool              // whether the counts do not change any more
	Revision vaneyoke.Revision // 0 for a missing row
}

// Ledger is the row that every transaction updates, if it still has the expected revision.
type Ledger struct {
	FirstUnreported Window     // earlier windows have been reported
	Watermarks      Watermarks // of the batches merged into the rows
	Revision        vaneyoke.Revision
}

// Event is an input of a Reporter.
type Event interface{ event() }

// BatchReceived delivers a batch to be written to the store.
type BatchReceived struct{ Batch Batch }

// Loaded delivers the rows in the store.
type Loaded struct {
	Ledger Ledger
	Rows   []Row
}

// Committed reports that the last transaction was applied; its rows have the revision.
type Committed struct{ Revision vaneyoke.Revision }

// Failed reports that the last call to the store got no answer, was refused, or met rows with other revisions; it may have been applied.
type Failed struct{}

// ReportSent reports whether the platform accepted a report.
type ReportSent struct {
	Window   Window
	Accepted bool
}

// Tick is the periodic event: it carries the wall-clock time, and whether the node may write to the store and, as the holder of the duty, send reports.
type Tick struct {
	Wall      time.Time
	MayWrite  bool
	MayReport bool
}

func (BatchReceived) event() {}
func (Loaded) event()        {}
func (Committed) event()     {}
func (Failed) event()        {}
func (ReportSent) event()    {}
func (Tick) event()          {}

// Effect is an action that the caller of Handle has to carry out.
type Effect interface{ effect() }

// Load reads the rows; Loaded or Failed must follow.
type Load struct{}

// Commit writes rows and removes others in one transaction, if all have the given revisions; Committed or Failed must follow.
type Commit struct {
	Ledger Ledger
	Put    []Row
	Remove []Row
}

// Written reports that the store holds a batch.
type Written struct {
	Origin vaneyoke.VMID
	Life   vaneyoke.Incarnation
	Seq    uint64
}

// SendReport sends the report of a window; ReportSent must follow.
type SendReport struct {
	Window Window
	Counts Counts
}

// Missed reports requests that are in no report, because they were counted too late for their window or exceeded a limit.
type Missed struct {
	Window   Window
	Requests int
}

func (Load) effect()       {}
func (Commit) effect()     {}
func (Written) effect()    {}
func (SendReport) effect() {}
func (Missed) effect()     {}
