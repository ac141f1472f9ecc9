package generation_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// TestPausedStreamIsTakenForSilent does not read a stream for longer than any silence limit. Its silence counts anew from when it is read again, and
// the pause does not lengthen its limit.
func TestPausedStreamIsTakenForSilent(t *testing.T) {
	o := newOpaqueAnswer(t, func(c *generation.Config) { c.MaxRunQueries, c.EventIntervalGoal = 2, eventIntervalGoal })
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.chunks(20, 30*time.Millisecond)
	o.handle(generation.Paused{Attempt: 1, Paused: true})
	for range 4 {
		o.now = o.now.Add(2 * time.Second)
		must.Len(t, 0, o.handle(generation.Tick{}))
	}
	o.handle(generation.Paused{Attempt: 1})
	must.Len(t, 0, o.handle(generation.Tick{}))
	o.now = o.now.Add(eventIntervalGoal)
	must.True(t, has[generation.QueryRun](o.handle(generation.Tick{})))
	o.handle(generation.Paused{Attempt: 1, Paused: true})
	must.Len(t, 0, o.handle(generation.RunReported{Attempt: 1, State: vaneyoke.RunStateNone}), must.Sprint("a report of before"))
}

func TestPausedAnswerOutlivesItsDeadline(t *testing.T) {
	o := newOpaqueAnswer(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.chunk(0)
	o.handle(generation.Paused{Attempt: 1, Paused: true})
	o.now = o.now.Add(10 * time.Second)
	must.EqOp(t, vaneyoke.CodeInterrupted, find[generation.Fail](t, o.handle(generation.Tick{})).Code)
}

// TestForgottenTextChangesTheAnswer drops the delivered part of an answer; what follows is unchanged.
func TestForgottenTextChangesTheAnswer(t *testing.T) {
	o := newOpaqueAnswer(t, nil)
	o.place(o.handle(generation.Admitted{}), "e1", "")
	o.chunks(5, 30*time.Millisecond)
	answer := o.state.Transcript()
	answer.Forget(3)
	answer.Forget(2) // already gone
	must.EqOp(t, 3, answer.Forgotten)
	must.EqOp(t, "xx", string(answer.Text))
	answer.Forget(99)
	must.EqOp(t, 5, answer.Forgotten)
	o.chunk(5)
	must.EqOp(t, 6, answer.Len())
	must.EqOp(t, "x", string(answer.Text[:answer.Visible]))
}
