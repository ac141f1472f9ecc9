package quarantine

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Crash is the end of one life of an upstream as it began to run a request.
type Crash struct {
	Upstream    vaneyoke.UpstreamID  `json:"upstream"`
	Incarnation vaneyoke.Incarnation `json:"incarnation,omitempty"` // 0 where the upstream does not tell
	// Again counts the lives that ended before under the same incarnation: an upstream that runs anew has begun another life,
	// also where its entry does not say so yet.
	EarlierCrashes int `json:"again,omitempty"`
}

// Row is what the store holds of a content.
type Row struct {
	Content  vaneyoke.ContentID
	Crashes  []Crash
	Revision vaneyoke.Revision
}

// Event is something that a node learns.
type Event interface{ event() }

// Crashed says that an upstream ended as it began to run a request of this node.
type CrashObserved struct {
	Content     vaneyoke.ContentID
	Upstream    vaneyoke.UpstreamID
	Incarnation vaneyoke.Incarnation
	SentAt      time.Time // when the request was sent to it
}

// Survived says that an upstream has answered a request of this node in whole.
type RequestCompleted struct{ Content vaneyoke.ContentID }

// Heard tells of a crash that another node knows.
type CrashReported struct {
	Content       vaneyoke.ContentID
	Crash         Crash
	Origin        vaneyoke.VMID // that saw it
	FromNeighbour bool          // whether that node is next to this one
}

// HeardSurvived says that another node had a request answered in whole.
type CompletionReported struct{ Content vaneyoke.ContentID }

// Recorded tells all rows of the store.
type RowsUpdated struct{ Rows []Row }

// Tick says that the time has come that State.Next told; Reads says whether this node reads the store for others.
type Tick struct{ ReadsStore bool }

func (CrashObserved) event()      {}
func (RequestCompleted) event()   {}
func (CrashReported) event()      {}
func (CompletionReported) event() {}
func (RowsUpdated) event()        {}
func (Tick) event()               {}

// Effect is something that the node has to do.
type Effect interface{ effect() }

// Bar says that a content is sent to no upstream from now on.
type Block struct {
	Content vaneyoke.ContentID
	Crashes []Crash
}

// Lift says that a content is barred no more.
type Unblock struct{ Content vaneyoke.ContentID }

// Tell has the node tell the others of a crash.
type BroadcastCrash struct {
	Content vaneyoke.ContentID
	Crash   Crash
}

// Reason says why a crash does not count.
type Reason string

// The reasons.
const (
	ReasonSameCrash    Reason = "same_life" // two losses at an upstream that has ended once
	ReasonSimultaneous Reason = "together"  // the upstream fell with another, which counts
	ReasonBlocked      Reason = "barred"    // enough crashes are known
)

// Dismiss says that a crash does not count.
type Dismiss struct {
	Content vaneyoke.ContentID
	Crash   Crash
	Reason  Reason
}

// TellSurvived has the node tell the others that a content is innocent.
type BroadcastCompletion struct{ Content vaneyoke.ContentID }

// Write has the node write a content's crashes where its row has a revision, 0 for no row.
type WriteRow struct{ Row Row }

// Remove has the node remove a content's row of a revision.
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
