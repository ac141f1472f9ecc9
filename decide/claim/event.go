package claim

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Event is an input of the state machine.
type Event interface{ event() }

// RequestReceived reports that the caller's request was received; it is the first event.
type RequestReceived struct{}

// Stored reports that the last write was applied.
type Stored struct{}

// Conflict reports that the last write was not applied, because the row has another version; Existing is the current row.
type Conflict struct{ Existing Versioned }

// StoreFailed reports that the last write failed. Unknown is set where it may have been applied; otherwise it was not, because the store is down.
type StoreFailed struct{ Unknown bool }

// Answered delivers the upstream's answer.
type Answered struct{ Answer Answer }

// NotRun reports that no upstream ran the request, or will run it.
type NotRun struct{ Code vaneyoke.Code }

// MayHaveRun reports that the upstream may have run the request.
type MayHaveRun struct{}

func (RequestReceived) event() {}
func (Stored) event()          {}
func (Conflict) event()        {}
func (StoreFailed) event()     {}
func (Answered) event()        {}
func (NotRun) event()          {}
func (MayHaveRun) event()      {}

// Effect is an action that the caller of Handle has to carry out.
type Effect interface{ effect() }

// Write stores a record if the row has the expected version, 0 for no row.
type Write struct {
	Record Record
	Expect Version
}

// Run sends the request to an upstream, once.
type Run struct{}

// Reply sends the outcome of the request to the caller.
type Reply struct {
	Code       vaneyoke.Code
	Answer     *Answer       // set where Code is CodeOK
	RetryAfter time.Duration // 0 where a retry does not help
}

// Settle revokes the row in the background if the claim's own write was applied after all.
type Settle struct{ Record Record }

func (Write) effect()  {}
func (Run) effect()    {}
func (Reply) effect()  {}
func (Settle) effect() {}
