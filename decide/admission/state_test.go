package admission_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

// TestOrder has requests wait for room and checks which goes first.
func TestOrder(t *testing.T) {
	late := goal(time.Second)
	for name, tc := range map[string]struct {
		arrive func(n *node)
		wait   time.Duration
		want   string
	}{
		"more urgent first":                {func(n *node) { n.arrive("x", urgency(2)); n.arrive("y", urgency(1)); n.arrive("z") }, 0, "z y x"},
		"in time before late":              {func(n *node) { n.arrive("x", late); n.arrive("y") }, 2 * time.Second, "y x"},
		"late but more urgent":             {func(n *node) { n.arrive("x", urgency(1)); n.arrive("y", late) }, 2 * time.Second, "y x"},
		"came back as told":                {func(n *node) { n.arrive("x"); n.arrive("y", returned(pacing.ReturnOnTime)) }, 0, "y x"},
		"came back as told, but late":      {func(n *node) { n.arrive("x"); n.arrive("y", late, returned(pacing.ReturnOnTime)) }, 2 * time.Second, "x y"},
		"came back early":                  {func(n *node) { n.arrive("x", returned(pacing.ReturnEarly)); n.arrive("y", late) }, 2 * time.Second, "y x"},
		"came back early, but more urgent": {func(n *node) { n.arrive("x", urgency(1)); n.arrive("y", returned(pacing.ReturnEarly)) }, 0, "y x"},
		"workspaces take turns":            {func(n *node) { n.arrive("x"); n.arrive("x2"); n.arrive("x3"); n.arrive("y", workspace("b")) }, 0, "x y x2 x3"},
		"the turn of a long prompt": {func(n *node) {
			n.arrive("x", prompt(3000))
			n.arrive("y", workspace("b"))
			n.arrive("y2", workspace("b"))
		}, 0, "y y2 x"},
		"the one that has to start first": {func(n *node) { n.arrive("x"); n.arrive("y", workspace("b"), goal(3*time.Second)) }, 0, "y x"},
		"a workspace over its share of the fleet": {func(n *node) {
			n.do(demand(n.now, share.ServiceTotals{
				Active: 2, Workspaces: map[vaneyoke.WorkspaceID]share.Flow{"a": {Admitted: 1500}, "b": {Admitted: 500, Waiting: 1000}},
				Urgencies: map[share.Urgency]share.Flow{0: {Admitted: 2000, Waiting: 1000}},
			}))
			n.arrive("x")
			n.arrive("y", workspace("b"))
		}, 0, "y x"},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(admission.ModeRanked)
			tc.arrive(n)
			n.answer(admission.Room{})
			n.pass(tc.wait)
			n.drain()
			must.EqOp(t, tc.want, strings.Join(n.decisions, " "))
		})
	}
}

// TestLateRequestsAreNotStarved has requests that are in time arrive without end: one that is late gets a turn once it has waited for a third of its
// caller's time.
func TestLateRequestsAreNotStarved(t *testing.T) {
	n := newNode(admission.ModeRanked)
	n.arrive("late", goal(time.Second))
	n.answer(admission.Room{})
	n.pass(2 * time.Second)
	for i := range 400 {
		n.arrive(vaneyoke.RequestID(fmt.Sprint(i)), goal(time.Hour))
		n.arrive(vaneyoke.RequestID(fmt.Sprint(i, "b")), goal(time.Hour))
		n.pass(100 * time.Millisecond)
		n.do(admission.RunEnded{Service: "lm"})
		for _, id := range n.takeAssess() {
			n.do(admission.Assessed{ID: id, Room: admission.Room{Free: true}})
		}
		n.answer(admission.Room{})
		if slices.Contains(n.decisions, "late") {
			must.Between(t, 6*time.Second, n.now.Sub(worldStart), 9*time.Second)
			return
		}
	}
	must.Unreachable(t)
}

// TestAgedRequestWithoutRoomHoldsUpOthers has the turn of a large request that is late come while there is room for small ones only: those that
// were in time waited behind it until it was admitted or rejected.
func TestAgedRequestWithoutRoomHoldsUpOthers(t *testing.T) {
	n := newNode(admission.ModeRanked)
	answer := func() {
		for len(n.assess) > 0 {
			for _, id := range n.takeAssess() {
				n.do(admission.Assessed{ID: id, Room: admission.Room{Free: id != "large"}})
			}
		}
	}
	n.arrive("large", goal(time.Second))
	n.answer(admission.Room{})
	n.pass(7 * time.Second)
	var want []string
	for i := range 20 {
		id := vaneyoke.RequestID(fmt.Sprint(i))
		n.arrive(id)
		answer()
		want = append(want, string(id))
		must.Eq(t, want, n.decisions)
	}
	n.arrive("last")
	n.answer(admission.Room{Free: true})
	must.Eq(t, append(want, "large"), n.decisions)
}

// TestOnlyTheHeadIsAssessed has many requests wait: however many there are, one assessment is under way, at the interval of the head.
func TestOnlyTheHeadIsAssessed(t *testing.T) {
	n := newNode(admission.ModeRanked)
	for i := range 50 {
		n.arrive(vaneyoke.RequestID(fmt.Sprint(i)))
	}
	must.Eq(t, []vaneyoke.RequestID{"0"}, n.assess)
	n.answer(admission.Room{})
	must.EqOp(t, n.now.Add(400*time.Millisecond), n.NextTick())
	n.now = n.NextTick()
	n.do(admission.Tick{})
	must.Len(t, 1, n.assess)
	n.answer(admission.Room{})
	n.arrive("urgent", urgency(-1))
	must.Eq(t, []vaneyoke.RequestID{"urgent"}, n.assess)
	n.do(admission.Left{ID: "urgent"})
	must.Eq(t, []vaneyoke.RequestID{"urgent", "0"}, n.assess)
	n.do(admission.Assessed{ID: "urgent", Room: admission.Room{Free: true}}) // left
	must.SliceEmpty(t, n.decisions)
}

// TestMoreUrgentRequestOvertakesAnAssessment has a more urgent request arrive while another is assessed: the room that is found is not given away.
func TestMoreUrgentRequestOvertakesAnAssessment(t *testing.T) {
	n := newNode(admission.ModeRanked)
	n.arrive("x", urgency(1))
	n.arrive("y")
	n.answer(admission.Room{Free: true})
	must.SliceEmpty(t, n.decisions)
	n.answer(admission.Room{Free: true})
	n.answer(admission.Room{Free: true})
	must.Eq(t, []string{"y", "x"}, n.decisions)
}

// TestTurnsOfWorkspaces has workspaces come and go while others wait.
func TestTurnsOfWorkspaces(t *testing.T) {
	arrive := func(n *node, from vaneyoke.WorkspaceID, ids ...vaneyoke.RequestID) {
		for _, id := range ids {
			n.arrive(id, workspace(from))
		}
	}
	admit := func(n *node, requests int) {
		n.do(admission.RunEnded{Service: "lm"})
		for range requests {
			n.answer(admission.Room{Free: true})
		}
		n.answer(admission.Room{})
	}
	for name, tc := range map[string]struct {
		change func(n *node)
		want   string
	}{
		"a newcomer gets no turns for the time before":    {func(n *node) { arrive(n, "b", "b1", "b2", "b3") }, "a1 a2 a3 a4 b1 a5 b2 a6 b3"},
		"a workspace whose requests leave keeps its turn": {func(n *node) { arrive(n, "b", "b1", "b2"); n.do(admission.Left{ID: "a5"}) }, "a1 a2 a3 a4 b1 a6 b2"},
		"a workspace that leaves owes no turns": {func(n *node) {
			for _, id := range []vaneyoke.RequestID{"a4", "a5", "a6"} {
				n.do(admission.Left{ID: id})
			}
			arrive(n, "b", "b1", "b2")
			arrive(n, "a", "a7")
		}, "a1 a2 a3 b1 a7 b2"},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(admission.ModeRanked)
			arrive(n, "a", "a1", "a2", "a3", "a4", "a5", "a6")
			arrive(n, "waits", "last")
			n.do(admission.Left{ID: "last"})
			n.answer(admission.Room{})
			admit(n, 3)
			arrive(n, "less urgent", "z")
			tc.change(n)
			n.do(admission.Left{ID: "z"})
			n.drain()
			must.EqOp(t, tc.want, strings.Join(n.decisions, " "))
		})
	}
}

// TestLateRequestsDoNotRaceForRoom has a run end while only late requests wait: they are assessed at their interval, as are those that are in time
// at nodes without runs.
func TestLateRequestsDoNotRaceForRoom(t *testing.T) {
	n := newNode(admission.ModeRanked)
	n.arrive("late", goal(time.Second))
	n.answer(admission.Room{})
	n.pass(2 * time.Second)
	due := n.NextTick()
	n.do(admission.RunEnded{Service: "lm"})
	must.SliceEmpty(t, n.assess)
	must.EqOp(t, due, n.NextTick())
	n.arrive("x")
	n.answer(admission.Room{})
	n.do(admission.RunEnded{Service: "lm"})
	must.Eq(t, []vaneyoke.RequestID{"x"}, n.assess)
}

// TestRunEndedDuringAssessment has a run end while the head is assessed: what it finds is out of date, and it is assessed again at once.
func TestRunEndedDuringAssessment(t *testing.T) {
	n := newNode(admission.ModeRanked)
	n.arrive("x")
	n.do(admission.RunEnded{Service: "lm"})
	n.answer(admission.Room{})
	must.Eq(t, []vaneyoke.RequestID{"x"}, n.assess)
	n.answer(admission.Room{})
	must.SliceEmpty(t, n.assess)
}

// TestMoreUrgentWorkElsewhere has less urgent requests find room that is not idle while more urgent ones wait anywhere in the fleet.
func TestMoreUrgentWorkElsewhere(t *testing.T) {
	waits := share.ServiceTotals{Urgencies: map[share.Urgency]share.Flow{0: {Waiting: 500}, 2: {Waiting: 9000}}}
	rejected := share.ServiceTotals{Urgencies: map[share.Urgency]share.Flow{0: {Rejected: 1}}}
	none := share.ServiceTotals{Urgencies: map[share.Urgency]share.Flow{0: {Offered: 9000, Admitted: 9000}}}
	for name, tc := range map[string]struct {
		totals share.ServiceTotals
		age    time.Duration
		room   admission.Room
		want   []string
	}{
		"waits":             {waits, 0, admission.Room{Free: true}, nil},
		"was rejected":      {rejected, 0, admission.Room{Free: true}, nil},
		"waits, but idle":   {waits, 0, admission.Room{Free: true, Idle: true}, []string{"x"}},
		"waited long ago":   {waits, 3*time.Second + 1, admission.Room{Free: true}, []string{"x"}},
		"none":              {none, 0, admission.Room{Free: true}, []string{"x"}},
		"nothing is known":  {share.ServiceTotals{}, 0, admission.Room{Free: true}, []string{"x"}},
		"waits and no room": {waits, 0, admission.Room{}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(admission.ModeRanked)
			n.do(demand(n.now.Add(-tc.age), tc.totals))
			n.arrive("x", urgency(1))
			n.answer(tc.room)
			must.Eq(t, tc.want, n.decisions)
		})
	}
}

// TestLateRequestsTakeRoomFromThoseInTime has a late request find room that is not idle while others that can be in time wait at another node, which
// would see none.
func TestLateRequestsTakeRoomFromThoseInTime(t *testing.T) {
	waits := func(u share.Urgency) share.ServiceTotals {
		return share.ServiceTotals{Urgencies: map[share.Urgency]share.Flow{u: {Waiting: 500}}}
	}
	for name, tc := range map[string]struct {
		totals share.ServiceTotals
		goal   time.Duration
		room   admission.Room
		want   []string
	}{
		"equally urgent ones wait":                   {waits(1), time.Second, admission.Room{Free: true}, nil},
		"equally urgent ones wait, but idle":         {waits(1), time.Second, admission.Room{Free: true, Idle: true}, []string{"x"}},
		"equally urgent ones wait, both are in time": {waits(1), time.Minute, admission.Room{Free: true}, []string{"x"}},
		"less urgent ones wait":                      {waits(2), time.Second, admission.Room{Free: true}, []string{"x"}},
		"equally urgent ones were rejected":          {share.ServiceTotals{Urgencies: map[share.Urgency]share.Flow{1: {Rejected: 1}}}, time.Second, admission.Room{Free: true}, []string{"x"}},
		"nothing is known":                           {share.ServiceTotals{}, time.Second, admission.Room{Free: true}, []string{"x"}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(admission.ModeRanked)
			n.arrive("x", urgency(1), goal(tc.goal))
			n.answer(admission.Room{})
			n.pass(2 * time.Second)
			n.do(demand(n.now, tc.totals))
			n.now = n.NextTick()
			n.do(admission.Tick{})
			n.answer(tc.room)
			must.Eq(t, tc.want, n.decisions)
		})
	}
}

// TestWorkspaceOverItsShareYields has a workspace with most of the fleet find room while others wait at another node, which would see none.
func TestWorkspaceOverItsShareYields(t *testing.T) {
	totals := func(waiting, lessUrgent vaneyoke.Tokens) share.ServiceTotals {
		return share.ServiceTotals{
			Active:     2,
			Workspaces: map[vaneyoke.WorkspaceID]share.Flow{"a": {Offered: 90_000, Admitted: 9000, Waiting: 90_000}, "b": {Offered: 1000 + waiting, Admitted: 1000, Waiting: waiting}},
			Urgencies:  map[share.Urgency]share.Flow{0: {Waiting: waiting - lessUrgent}, 1: {Waiting: lessUrgent}},
		}
	}
	for name, tc := range map[string]struct {
		totals share.ServiceTotals
		from   vaneyoke.WorkspaceID
		want   []string
	}{
		"others wait":                        {totals(10_000, 0), "a", nil},
		"others wait with less urgent ones":  {totals(10_000, 10_000), "a", []string{"x"}},
		"no other waits":                     {totals(0, 0), "a", []string{"x"}},
		"a workspace within its share waits": {totals(10_000, 0), "b", []string{"x"}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(admission.ModeRanked)
			n.do(demand(n.now, tc.totals))
			n.arrive("x", workspace(tc.from))
			n.answer(admission.Room{Free: true})
			must.Eq(t, tc.want, n.decisions)
		})
	}
}
