package generation_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// Guards against a stream of the caller API whose run is ended before the attempt that replaces it has reached its engine.
func TestTokenStreamEndsBeforeItsReplacementIsReached(t *testing.T) {
	o := newOpaqueAnswer(t, func(c *generation.Config) {
		c.Opaque, c.Recovery, c.ProbeEvery, c.MaxAttempts, c.Deadline = false, vaneyoke.RecoverFrugal, 0, 0, time.Time{}
	})
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.handle(generation.PromptTokenized{Attempt: 1, IDs: []vaneyoke.TokenID{7}})
	o.chunk(0)
	o.chunk(1)
	place := find[generation.Place](t, placeAgain(o))
	o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e2"})
	o.handle(generation.Lost{Attempt: place.Attempt, Cause: generation.CauseNotSent})
	o.chunkOf(1, 2)
	must.EqOp(t, 3, o.state.Transcript().Len())
}

// Guards against a run that continues an answer of which its replacement has removed the last token.
func TestReplacedRunContinuesAShorterAnswer(t *testing.T) {
	o := newOpaqueAnswer(t, func(c *generation.Config) {
		c.Opaque, c.Recovery, c.ProbeEvery, c.MaxAttempts, c.Deadline = false, vaneyoke.RecoverFrugal, 0, 0, time.Time{}
	})
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.handle(generation.PromptTokenized{Attempt: 1, IDs: []vaneyoke.TokenID{7}})
	o.handle(&generation.Received{Attempt: 1, Batch: vaneyoke.Batch{IDs: []vaneyoke.TokenID{1, 2}, Text: []byte("x")}})
	place := find[generation.Place](t, placeAgain(o))
	find[generation.InspectTail](t, o.handle(generation.Placed{Attempt: place.Attempt, Upstream: "e2"}))
	inspected := o.handle(generation.TailInspected{Attempt: place.Attempt, Buffered: 1})
	must.EqOp(t, 1, find[generation.Cancel](t, inspected).Attempt)
	must.EqOp(t, 1, find[generation.Start](t, inspected).From)
	o.chunkOf(1, 2)
	must.EqOp(t, 1, o.state.Transcript().Len())
}

// Guards against an answer of the caller API that ends because the engine that raced its silent run refused it.
func TestRefusedHedgeEndsTheAnswer(t *testing.T) {
	o := newOpaqueAnswer(t, func(c *generation.Config) {
		c.Opaque, c.ProbeEvery, c.MaxAttempts, c.Deadline = false, 0, 0, time.Time{}
	})
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.handle(generation.PromptTokenized{Attempt: 1, IDs: []vaneyoke.TokenID{7}})
	o.chunk(0)
	hedge := find[generation.Place](t, placeAgain(o))
	o.handle(generation.Placed{Attempt: hedge.Attempt, Upstream: "e2"})
	must.SliceEmpty(t, o.handle(generation.Rejected{Attempt: hedge.Attempt}))
	o.chunkOf(1, 1)
	must.EqOp(t, 2, o.state.Transcript().Len())
}
