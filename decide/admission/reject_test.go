package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

// measured returns a node that admits 1,000 prompt tokens a second and has 12 requests of 1,000 tokens waiting.
func measured() *node {
	n := newNode(admission.ModeRanked)
	patient := func(r *admission.Request) { r.Goal, r.Deadline = n.now.Add(time.Hour), n.now.Add(2*time.Hour) }
	for i := range 32 {
		n.arrive(vaneyoke.RequestID(fmt.Sprint("before", i)), patient)
	}
	n.answer(admission.Room{})
	for range 20 {
		n.pass(time.Second)
		n.do(admission.RunEnded{Service: "lm"})
		for _, id := range n.takeAssess() {
			n.do(admission.Assessed{ID: id, Room: admission.Room{Free: true}})
		}
		n.answer(admission.Room{})
	}
	n.decisions = nil
	return n
}

// TestRetryAfterIgnoresTheDrain has a caller be rejected behind 12 seconds of work, as this node drains it.
func TestRetryAfterIgnoresTheDrain(t *testing.T) {
	n := measured()
	n.do(admission.CapsUpdated{Caps: []admission.Cap{{Workspace: "capped"}}})
	n.arrive("x", workspace("capped"), urgency(1), func(r *admission.Request) { r.Deadline = n.now.Add(time.Hour) })
	must.Eq(t, []string{"x capped"}, n.decisions)
	must.EqOp(t, 12_000, n.rejects["x"].Ahead)
	must.GreaterEq(t, 10*time.Second, n.rejects["x"].RetryAfter)
}

// TestHopelessRequestsAreRejectedAtOnce checks which of those that arrive behind 12 seconds of work are rejected.
func TestHopelessRequestsAreRejectedAtOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		remaining time.Duration // until its deadline
		change    func(*admission.Request)
		want      []string
	}{
		"far too late":                    {5 * time.Second, urgency(0), []string{"x hopeless"}},
		"late by less than estimates err": {10 * time.Second, urgency(0), nil},
		"late, but of use":                {20 * time.Second, urgency(0), nil},
		"little time, but most urgent":    {5 * time.Second, urgency(-1), nil},
		"its time is over":                {0, urgency(-1), []string{"x hopeless"}},
		"behind others as it came early":  {5 * time.Second, returned(pacing.ReturnEarly), []string{"x early"}},
	} {
		t.Run(name, func(t *testing.T) {
			n := measured()
			n.arrive("x", func(r *admission.Request) { r.Deadline, r.Goal = n.now.Add(tc.remaining), n.now.Add(-time.Second) }, tc.change)
			must.Eq(t, tc.want, n.decisions)
			if r, ok := n.rejects["x"]; ok && tc.change != nil {
				must.GreaterEq(t, pacing.MinRetryAfter, r.RetryAfter)
				must.LessEq(t, max(pacing.MinRetryAfter, tc.remaining/3), r.RetryAfter)
			}
		})
	}
}

// TestNobodyKnowsWhenAnOutageEnds has nothing be admitted for three seconds: what the service took before tells nothing, so nothing is rejected by
// it, and once there is room again it counts as before.
func TestNobodyKnowsWhenAnOutageEnds(t *testing.T) {
	n := measured()
	before := n.Queues(n.now).Services[0].Drain
	n.pass(3 * time.Second)
	n.arrive("x", func(r *admission.Request) { r.Deadline, r.Goal = n.now.Add(5*time.Second), n.now.Add(-time.Second) })
	must.SliceEmpty(t, n.decisions)
	must.Zero(t, n.Queues(n.now).Services[0].Drain)
	n.pass(30 * time.Second)
	n.do(admission.RunEnded{Service: "lm"})
	n.answer(admission.Room{Free: true})
	n.answer(admission.Room{})
	n.pass(time.Second)
	must.Greater(t, 0.9*before, n.Queues(n.now).Services[0].Drain)
}

// TestRejectionTellsWhy checks what an operator reads of a rejection.
func TestRejectionTellsWhy(t *testing.T) {
	n := measured()
	n.arrive("x", func(r *admission.Request) { r.Deadline, r.Goal = n.now.Add(5*time.Second), n.now.Add(-time.Second) })
	r := n.rejects["x"]
	must.EqOp(t, admission.ReasonHopeless, r.Reason)
	must.EqOp(t, 12_000, r.Ahead)
	must.Between(t, 11*time.Second, r.Expected, 14*time.Second)
}

// TestOverShareRejectionNamesTheShare has the same request come from a workspace that gets most of the fleet.
func TestOverShareRejectionNamesTheShare(t *testing.T) {
	n := measured()
	n.do(demand(n.now, share.ServiceTotals{
		Active: 3, Workspaces: map[vaneyoke.WorkspaceID]share.Flow{"z": {Admitted: 900, Waiting: 9000}, "a": {Offered: 2000, Admitted: 100, Waiting: 2000}},
		Urgencies: map[share.Urgency]share.Flow{0: {Admitted: 1000, Waiting: 11_000}},
	}))
	n.answer(admission.Room{})
	for i := range 5 {
		n.arrive(vaneyoke.RequestID(fmt.Sprint("z", i)), workspace("z"))
	}
	n.arrive("x", workspace("z"), func(r *admission.Request) { r.Deadline, r.Goal = n.now.Add(5*time.Second), n.now.Add(-time.Second) })
	must.Eq(t, []string{"x share"}, n.decisions)
}

// TestNoRejectionWhileThereIsRoom has requests with hardly any time arrive while the last assessment found room, or alone.
func TestNoRejectionWhileThereIsRoom(t *testing.T) {
	soon := func(n *node) func(*admission.Request) {
		return func(r *admission.Request) { r.Deadline = n.now.Add(100 * time.Millisecond) }
	}
	n := measured()
	n.drain()
	n.decisions = nil
	n.arrive("alone", soon(n))
	n.answer(admission.Room{Free: true, Start: time.Minute, Run: time.Minute})
	n.arrive("x", soon(n))
	n.arrive("early", soon(n), returned(pacing.ReturnEarly))
	n.answer(admission.Room{Free: true})
	n.answer(admission.Room{Free: true})
	must.Eq(t, []string{"alone", "x", "early"}, n.decisions)
}

// TestRequestThatCannotFinishLeavesRoomToOthers has the head's run last far beyond its caller's time while another waits.
func TestRequestThatCannotFinishLeavesRoomToOthers(t *testing.T) {
	n := newNode(admission.ModeRanked)
	n.arrive("x")
	n.arrive("y")
	n.answer(admission.Room{Free: true, Start: time.Second, Run: 30 * time.Second})
	n.answer(admission.Room{Free: true, Start: time.Second, Run: 3 * time.Second})
	must.Eq(t, []string{"x hopeless", "y"}, n.decisions)
}

// TestWaitingRequestsAreRejectedWhenTheyBecomeHopeless finds no room until the callers' time is over.
func TestWaitingRequestsAreRejectedWhenTheyBecomeHopeless(t *testing.T) {
	n := newNode(admission.ModeRanked)
	n.arrive("x")
	n.arrive("y", func(r *admission.Request) { r.Deadline = n.now.Add(3 * time.Second) })
	n.answer(admission.Room{})
	n.pass(4 * time.Second)
	must.Eq(t, []string{"y hopeless"}, n.decisions)
	n.pass(17 * time.Second)
	must.Eq(t, []string{"y hopeless", "x hopeless"}, n.decisions)
	must.True(t, n.NextTick().IsZero())
}

// TestFullQueueRejectsTheLast has more requests wait than may, by their number and by their size.
func TestFullQueueRejectsTheLast(t *testing.T) {
	for name, tc := range map[string]struct {
		last func(*admission.Request)
		want []string
	}{
		"the last of the workspace with most":  {workspace("b"), []string{"99 queue_full"}},
		"a more urgent one":                    {urgency(-1), []string{"99 queue_full"}},
		"a less urgent one":                    {urgency(1), []string{"x queue_full"}},
		"one that came early":                  {returned(pacing.ReturnEarly), []string{"x queue_full"}},
		"a large one that goes first":          {func(r *admission.Request) { r.Urgency, r.Bytes = -1, 1<<20-98_000 }, []string{"99 queue_full", "98 queue_full"}},
		"one that is too large for all queues": {func(r *admission.Request) { r.Urgency, r.Bytes = 1, 2<<20 }, []string{"x queue_full"}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(admission.ModeRanked)
			for i := range 100 {
				n.arrive(vaneyoke.RequestID(fmt.Sprint(i)))
			}
			n.arrive("x", tc.last)
			must.Eq(t, tc.want, n.decisions)
		})
	}
}

// TestPassiveRequestsAreNeverRejected has requests wait without room in a passive service: each is assessed by itself and sent after half of its
// caller's time, however many there are.
func TestPassiveRequestsAreNeverRejected(t *testing.T) {
	n := newNode(admission.ModePassive)
	for i := range 200 {
		n.arrive(vaneyoke.RequestID(fmt.Sprint(i)))
	}
	must.Len(t, 200, n.assess)
	n.answer(admission.Room{})
	n.pass(9500 * time.Millisecond)
	must.SliceEmpty(t, n.decisions)
	n.pass(100 * time.Millisecond)
	must.Len(t, 200, n.decisions)
	must.EqOp(t, "0 forced", n.decisions[0])
	n.arrive("room")
	n.answer(admission.Room{Free: true})
	must.EqOp(t, "room", n.decisions[200])
}

// TestCaps has an operator cap what waits and what arrives.
func TestCaps(t *testing.T) {
	capped := func(c admission.Cap) *node {
		n := newNode(admission.ModeRanked)
		n.arrive("other", workspace("b"))
		n.answer(admission.Room{})
		for i := range 8 {
			n.arrive(vaneyoke.RequestID(fmt.Sprint(i)))
		}
		n.do(admission.CapsUpdated{Caps: []admission.Cap{c}})
		return n
	}
	aside := capped(admission.Cap{Workspace: "a"})
	must.Len(t, 8, aside.decisions)
	aside.arrive("x")
	must.EqOp(t, "x capped", aside.decisions[8])
	aside.do(admission.CapsUpdated{})
	aside.arrive("y")
	must.Len(t, 9, aside.decisions)

	quarter := capped(admission.Cap{Workspace: "a", Route: "chat", Share: 0.25})
	must.Eq(t, []string{"0 capped", "1 capped", "2 capped", "4 capped", "5 capped", "6 capped"}, quarter.decisions)
	quarter.drain()
	quarter.decisions = nil
	for i := range 4 {
		quarter.arrive(vaneyoke.RequestID(fmt.Sprint("alone", i)))
	}
	quarter.drain()
	must.Len(t, 4, quarter.decisions, must.Sprint("nobody else waits"))

	must.SliceEmpty(t, capped(admission.Cap{Workspace: "c"}).decisions)
	must.SliceEmpty(t, capped(admission.Cap{Route: "other"}).decisions)
}

// TestCapAppliesToPassiveServices puts a route aside whose requests wait by themselves.
func TestCapAppliesToPassiveServices(t *testing.T) {
	n := newNode(admission.ModePassive)
	n.arrive("x")
	n.do(admission.CapsUpdated{Caps: []admission.Cap{{Route: "chat"}}})
	n.arrive("y")
	must.Eq(t, []string{"x capped", "y capped"}, n.decisions)
}

// TestDemands checks what other nodes hear of a node's demand.
func TestDemands(t *testing.T) {
	n := newNode(admission.ModeRanked)
	n.Demands(n.now)
	n.arrive("x")
	n.answer(admission.Room{Free: true})
	n.arrive("y", workspace("b"), urgency(1))
	n.answer(admission.Room{})
	n.arrive("z", workspace("c"), func(r *admission.Request) { r.Deadline = n.now })
	n.do(admission.CapsUpdated{Caps: []admission.Cap{{Workspace: "d"}}})
	n.arrive("aside", workspace("d"))
	n.now = n.now.Add(500 * time.Millisecond)
	must.Eq(t, []share.Demand{
		{Service: "lm", Workspace: "a", Flow: share.Flow{Offered: 2000, Admitted: 2000}},
		{Service: "lm", Workspace: "b", Urgency: 1, Flow: share.Flow{Offered: 2000, Waiting: 1000}},
		{Service: "lm", Workspace: "c", Flow: share.Flow{Offered: 2000, Rejected: 2}},
		{Service: "lm", Workspace: "d", Flow: share.Flow{Offered: 2000}},
	}, n.Demands(n.now))
	must.Eq(t, []share.Demand{{Service: "lm", Workspace: "b", Urgency: 1, Flow: share.Flow{Waiting: 1000}}}, n.Demands(n.now.Add(time.Second)))
	must.SliceEmpty(t, n.Demands(n.now.Add(4*time.Second)), must.Sprint("y is late"))
}

// TestQueues checks what operators see.
func TestQueues(t *testing.T) {
	n := measured()
	n.do(admission.CapsUpdated{Caps: []admission.Cap{{Workspace: "d"}}})
	q := n.Queues(n.now)
	must.Eq(t, []admission.Cap{{Workspace: "d"}}, q.Caps)
	must.Len(t, 1, q.Services)
	must.EqOp(t, "ranked", q.Services[0].Mode)
	must.Between(t, 800, q.Services[0].Drain, 1200)
	must.Eq(t, []admission.WaitingGroup{{Route: "chat", Workspace: "a", Requests: 12, Tokens: 12_000, OldestMs: 20_000}}, q.Services[0].Waiting)
}
