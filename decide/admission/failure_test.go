package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

// TestEnginesGoneAndBackAtOnce has all engines disappear for five seconds. Callers who come meanwhile have time to wait and are not rejected, though
// nothing was admitted for seconds; those who come five seconds after the engines are back are served as before.
func TestEnginesGoneAndBackAtOnce(t *testing.T) {
	w := newWorld(1, admission.ModeRanked, 4)
	w.play(10*time.Second, normal/2*w.capacity(), bothKinds, threeOf)
	gone := w.now
	for _, e := range w.engines {
		e.gone = true
	}
	w.play(5*time.Second, normal/2*w.capacity(), bothKinds, threeOf)
	back := w.now
	for _, e := range w.engines {
		e.gone = false
		for _, j := range slices.Concat(e.runs, e.queue) { // they are read again
			j.prefilled, j.toRead, j.generated = 0, float64(j.prompt), 0
			e.remove(j)
			e.queue = append(e.queue, j)
		}
	}
	w.play(15*time.Second, normal/2*w.capacity(), bothKinds, threeOf)
	w.play(callerTime, 0, bothKinds, threeOf)
	during := w.count(func(j *job) bool { return j.arrivedAt.After(gone) && !j.arrivedAt.After(back) })
	after := w.count(func(j *job) bool { return j.arrivedAt.After(back.Add(5 * time.Second)) })
	t.Logf("during %v; after %v", during, after)
	must.Zero(t, during.rejected)
	must.EqOp(t, during.offered, during.served)
	must.Greater(t, 0.97, after.share())
}

// TestCallersLeaveWhileQueued has the callers of a workspace leave by the hundred: those of others do not wait for the turns of those who left.
func TestCallersLeaveWhileQueued(t *testing.T) {
	n := newNode(admission.ModeRanked)
	for i := range 80 {
		n.arrive(vaneyoke.RequestID(fmt.Sprint("left", i)))
	}
	n.answer(admission.Room{})
	for i := range 80 {
		n.do(admission.Left{ID: vaneyoke.RequestID(fmt.Sprint("left", i))})
		n.answer(admission.Room{})
	}
	must.True(t, n.NextTick().IsZero())
	n.arrive("b1", workspace("b"))
	n.arrive("b2", workspace("b"))
	n.arrive("a1")
	n.answer(admission.Room{})
	n.drain()
	must.Eq(t, []string{"b1", "a1", "b2"}, n.decisions)
}

// TestModeChangesWhileManyWait changes the configuration there and back while requests wait: none is lost, none is decided on twice, and they are
// not all assessed at the same moment.
func TestModeChangesWhileManyWait(t *testing.T) {
	n := newNode(admission.ModePassive)
	for i := range 150 {
		n.arrive(vaneyoke.RequestID(fmt.Sprint(i)))
	}
	n.answer(admission.Room{})
	n.do(admission.ModeSet{Service: "lm", Mode: admission.ModeRanked})
	must.Len(t, 50, n.decisions, must.Sprint("over the bound"))
	must.Len(t, 1, n.assess)
	n.answer(admission.Room{})
	n.do(admission.ModeSet{Service: "lm", Mode: admission.ModePassive})
	must.SliceEmpty(t, n.assess)
	n.now = n.NextTick()
	n.do(admission.Tick{})
	must.Less(t, 20, len(n.assess))
	n.answer(admission.Room{})
	for _, mode := range []admission.Mode{admission.ModeRanked, admission.ModePassive, admission.ModeRanked} {
		n.takeAssess()
		n.do(admission.ModeSet{Service: "lm", Mode: mode})
	}
	must.Len(t, 1, n.assess, must.Sprint("though one was under way before"))
	n.answer(admission.Room{})
	n.do(admission.ModeSet{Service: "lm", Mode: admission.ModePassive})
	n.pass(20 * time.Second)
	must.Len(t, 150, n.decisions)
}

// TestFrozenNodeWakesUp has a node stand still for 20 seconds under load. Requests whose callers have left are not sent, and callers who come five
// seconds later are served as before.
func TestFrozenNodeWakesUp(t *testing.T) {
	w := newWorld(1, admission.ModeRanked, 2)
	w.play(10*time.Second, 3*normal*w.capacity(), bothKinds, threeOf)
	w.frozen = 0
	w.play(callerTime, 0, bothKinds, threeOf)
	w.frozen = -1
	back := w.now.Add(5 * time.Second)
	w.play(15*time.Second, normal/2*w.capacity(), bothKinds, threeOf)
	w.play(callerTime, 0, bothKinds, threeOf)
	after := w.count(func(j *job) bool { return j.arrivedAt.After(back) })
	t.Logf("after %v", after)
	must.EqOp(t, after.offered, after.inTime)
	must.Zero(t, w.sentInVain)

	n := newNode(admission.ModeRanked)
	n.arrive("short")
	n.arrive("long", func(r *admission.Request) { r.Deadline = n.now.Add(time.Hour) })
	n.answer(admission.Room{})
	n.now = n.now.Add(30 * time.Second)
	n.do(admission.Tick{})
	n.answer(admission.Room{Free: true})
	must.Eq(t, []string{"short hopeless", "long"}, n.decisions)
}

// TestStaleSharesAreForgotten has a node hear nothing from others any more: it goes by its own queue, charges no workspace by old figures and keeps
// no room free for work that may long be done.
func TestStaleSharesAreForgotten(t *testing.T) {
	n := newNode(admission.ModeRanked)
	n.do(demand(n.now, share.ServiceTotals{
		Active: 2, Workspaces: map[vaneyoke.WorkspaceID]share.Flow{"a": {Admitted: 9000}, "b": {Admitted: 1000}},
		Urgencies: map[share.Urgency]share.Flow{-1: {Waiting: 100}},
	}))
	n.arrive("x")
	n.arrive("y", workspace("b"), goal(5*time.Second))
	for range 5 {
		n.answer(admission.Room{Free: true})
		must.SliceEmpty(t, n.decisions)
		n.now = n.NextTick()
		n.do(admission.Tick{})
	}
	n.answer(admission.Room{})
	n.now = worldStart.Add(3*time.Second + 1)
	n.do(admission.Tick{})
	n.answer(admission.Room{Free: true})
	n.answer(admission.Room{Free: true})
	n.answer(admission.Room{Free: true})
	must.Eq(t, []string{"x", "y"}, n.decisions)
}

// TestFairnessWithoutNewsFromOthers plays one workspace at twelve times its traffic on a fleet whose nodes hear nothing of one another: each is fair
// by itself, and the others still get most of what they had.
func TestFairnessWithoutNewsFromOthers(t *testing.T) {
	w := newWorld(1, admission.ModeRanked, 4)
	w.hearsShares = false
	workspaces := []vaneyoke.WorkspaceID{"b", "c", "d", "e", "f", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a"}
	w.play(loadTime, normal/2*w.capacity()*float64(len(workspaces))/6, []kindOfRequest{routineKind}, workspaces)
	w.play(callerTime, 0, bothKinds, workspaces)
	others := w.count(func(j *job) bool { return j.workspace != "a" })
	t.Logf("others %v", others)
	must.Greater(t, 0.9, float64(others.served)/float64(others.offered))
}
