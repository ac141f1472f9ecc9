package quarantine

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Crash is a crash of an upstream that had just begun to run a request.
type Crash struct {
	Upstream    vaneyoke.UpstreamID  `json:"upstream"`
	Incarnation vaneyoke.Incarnation `json:"incarnation,omitempty"` // 0 if the upstream does not report it
	// PriorCrashes counts the earlier crashes of the upstream under the same incarnation. An upstream that runs requests again has restarted, even
	// if its list entry does not show a new incarnation yet.
	PriorCrashes int `json:"again,omitempty"`
}

// Row is the store's row of a content.
type Row struct {
	Content  vaneyoke.ContentID
	Crashes  []Crash
	Revision vaneyoke.Revision
}

// Event is an input of State.Handle.
type Event interface{ event() }

// CrashObserved reports that an upstream crashed as it began to run a request of this node.
type CrashObserved struct {
	Content     vaneyoke.ContentID
	Upstream    vaneyoke.UpstreamID
	Incarnation vaneyoke.Incarnation
	SentAt      time.Time // when the request was sent to the upstream
}

// RequestCompleted reports that an upstream has completely answered a request of this node.
type RequestCompleted struct{ Content vaneyoke.ContentID }

// CrashReported reports a crash that another node knows of.
type CrashReported struct {
	Content       vaneyoke.ContentID
	Crash         Crash
	Origin        vaneyoke.VMID // the node that observed the crash
	FromNeighbour bool          // whether that node is a neighbour of this one in the tree
}

// CompletionReported reports that an upstream has completely answered a request of another node.
type CompletionReported struct{ Content vaneyoke.ContentID }

// RowsUpdated reports all rows of the store.
type RowsUpdated struct{ Rows []Row }

// Tick reports that the time returned by State.NextTick has come. ReadsStore says whether this node reads the store for other nodes.
type Tick struct{ ReadsStore bool }

func (CrashObserved) event()      {}
func (RequestCompleted) event()   {}
func (CrashReported) event()      {}
func (CompletionReported) event() {}
func (RowsUpdated) event()        {}
func (Tick) event()               {}

// Effect is an action that State.Handle asks its caller to carry out.
type Effect interface{ effect() }

// Block reports that no upstream gets the content from now on.
type Block struct {
	Content vaneyoke.ContentID
	Crashes []Crash
}

// Unblock reports that the content is no longer blocked.
type Unblock struct{ Content vaneyoke.ContentID }

// BroadcastCrash reports a crash to the other nodes.
type BroadcastCrash struct {
	Content vaneyoke.ContentID
	Crash   Crash
}

// Reason says why a crash does not count.
type Reason string

// The reasons for which a crash does not count.
const (
	ReasonSameCrash    Reason = "same_life" // another request was lost in a crash that is already counted
	ReasonSimultaneous Reason = "together"  // the upstream crashed together with another one, whose crash is counted
	ReasonBlocked      Reason = "barred"    // the threshold is already reached
)

// Dismiss reports that a crash does not count.
type Dismiss struct {
	Content vaneyoke.ContentID
	Crash   Crash
	Reason  Reason
}

// BroadcastCompletion reports to the other nodes that a request was completely answered, so that its content did not cause the crashes.
type BroadcastCompletion struct{ Content vaneyoke.ContentID }

// WriteRow writes the crashes of a content if its row has the given revision, 0 for no row.
type WriteRow struct{ Row Row }

// RemoveRow removes the row of a content if it has the given revision.
type RemoveRow struct {
	Content  vaneyoke.ContentID
	Revision vaneyoke.Revision
}

func (Block) effect()               {}
func (Unblock) effect()             {}
func (BroadcastCrash) effect()      {}
func (Dismiss) effect()             {}
func (BroadcastCompletion) effect() {}
func (WriteRow) effect()            {}
func (RemoveRow) effect()           {}
