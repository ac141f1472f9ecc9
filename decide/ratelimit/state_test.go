package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/ratelimit"
)

var start = time.Unix(1000, 0)

// harness drives the state of a single node.
type harness struct {
	t     *testing.T
	now   time.Time
	state *ratelimit.State
}

func newHarness(t *testing.T, self vaneyoke.VMID, members ...ratelimit.Member) *harness {
	h := &harness{t: t, now: start, state: ratelimit.New(self, "a", rand.New(rand.NewPCG(1, 2)))}
	h.handle(ratelimit.MembersUpdated{All: members})
	h.handle(ratelimit.UpstreamsUpdated{All: []vaneyoke.Upstream{{ID: "u", DataCentre: "a", Incarnation: 5}}})
	h.now = h.now.Add(time.Minute)
	return h
}

func member(vm vaneyoke.VMID) ratelimit.Member {
	return ratelimit.Member{VM: vm, DataCentre: "a", SupportsLimits: true}
}

func (h *harness) handle(ev ratelimit.Event) []ratelimit.Effect {
	return slices.Clone(h.state.Handle(h.now, ev))
}

// observe reports a response in which the upstream declares a limit, to a request sent sentAgo before now; a negative rate stands for no limit.
func (h *harness) observe(rate vaneyoke.PerSecond, sentAgo time.Duration) []ratelimit.Effect {
	limit := vaneyoke.Limit{Declared: rate >= 0, Rate: max(rate, 0)}
	return h.handle(ratelimit.LimitObserved{Upstream: vaneyoke.Upstream{ID: "u", Incarnation: 5}, Limit: limit, SentAt: h.now.Add(-sentAgo)})
}

func find[E ratelimit.Effect](effects []ratelimit.Effect) (found []E) {
	for _, e := range effects {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// acquire asks for a number of permits at once, and returns how many were granted.
func (h *harness) acquire(wanted int) (n int) {
	for i := range wanted {
		d := find[ratelimit.PermitDecided](h.handle(ratelimit.AcquirePermit{ID: ratelimit.PermitID(i + 1), Upstream: "u"}))
		must.Len(h.t, 1, d)
		if d[0].Granted {
			n++
		}
	}
	return n
}

// TestPermitsAreGrantedAtTheRate lets the only node of a fleet grant itself permits, of which one plus those of one second can accumulate.
func TestPermitsAreGrantedAtTheRate(t *testing.T) {
	for rate, cases := range map[vaneyoke.PerSecond]map[time.Duration]int{
		2:    {0: 3, time.Second: 2, 3 * time.Second: 3, 250 * time.Millisecond: 0},
		0.5:  {0: 1, 900 * time.Millisecond: 0, time.Second: 1, 5 * time.Second: 1},
		0:    {0: 1, 5 * time.Second: 0, 30 * time.Second: 1}, // the probe rate, at which the end of a limit of 0 is noticed
		1000: {0: 1001, 100 * time.Millisecond: 100},
	} {
		for after, want := range cases {
			h := newHarness(t, "vm0", member("vm0"))
			h.observe(rate, 0)
			got := h.acquire(2000)
			if after > 0 {
				h.now = h.now.Add(after)
				got = h.acquire(2000)
			}
			must.EqOp(t, want, got, must.Sprint(rate, " ", after))
		}
	}
}

// TestRetryTimesAreSpacedByTheRate refuses callers, whose retry-after times must be as far apart as permits are.
func TestRetryTimesAreSpacedByTheRate(t *testing.T) {
	h := newHarness(t, "vm0", member("vm0"))
	h.observe(2, 0)
	h.acquire(3)
	var retryAfters []time.Duration
	for i := range 20 {
		d := find[ratelimit.PermitDecided](h.handle(ratelimit.AcquirePermit{ID: ratelimit.PermitID(i + 1), Upstream: "u"}))[0]
		must.False(t, d.Granted)
		retryAfters = append(retryAfters, d.RetryAfter)
		h.now = h.now.Add(501 * time.Millisecond / 20)
	}
	must.EqOp(t, 500*time.Millisecond, retryAfters[0])
	must.LessEq(t, 5*time.Second, retryAfters[len(retryAfters)-1])
}

// TestOnlyNewerNoticesCount reports responses and notices in different orders. A response without a limit counts only if its request was sent
// after the limit was last declared.
func TestOnlyNewerNoticesCount(t *testing.T) {
	h := newHarness(t, "vm0", member("vm0"))
	must.SliceEmpty(t, find[ratelimit.LimitUpdated](h.observe(-1, 0)))
	must.Len(t, 1, find[ratelimit.LimitUpdated](h.observe(3, 0)))
	must.True(t, h.state.Limited("u"))
	h.now = h.now.Add(time.Second)
	must.SliceEmpty(t, find[ratelimit.LimitUpdated](h.observe(-1, 1500*time.Millisecond)))
	must.True(t, h.state.Limited("u"))
	must.Len(t, 1, find[ratelimit.LimitUpdated](h.observe(-1, 10*time.Millisecond)))
	must.False(t, h.state.Limited("u"))
	receive := func(age time.Duration, incarnation vaneyoke.Incarnation) bool {
		h.handle(ratelimit.NoticesReceived{From: "vm1", Notices: []ratelimit.Notice{{
			Upstream: "u", Incarnation: incarnation, Limit: vaneyoke.Limit{Declared: true, Rate: 1}, AgeMs: age.Milliseconds(),
		}}})
		return h.state.Limited("u")
	}
	must.False(t, receive(20*time.Millisecond, 5)) // older than the end of the limit
	must.False(t, receive(0, 4))                   // of an earlier incarnation
	must.False(t, receive(-time.Hour, 4))
	must.True(t, receive(0, 5))
	h.handle(ratelimit.UpstreamsUpdated{All: []vaneyoke.Upstream{{ID: "u", Incarnation: 6}}})
	must.False(t, h.state.Limited("u"))
	must.False(t, receive(0, 5))
	must.True(t, receive(0, 6))
	h.handle(ratelimit.UpstreamsUpdated{}) // the list may lag
	must.True(t, h.state.Limited("u"))
	h.now = h.now.Add(time.Minute)
	h.handle(ratelimit.Tick{})
	must.False(t, h.state.Limited("u"))
}

// TestSuspendedNodeUsesNoExpiredPermit lets an owner's response arrive after the node was suspended, by when the owner may have granted others.
func TestSuspendedNodeUsesNoExpiredPermit(t *testing.T) {
	for _, suspended := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
		h := newHarness(t, "vm0", member("vm1"))
		h.observe(3, 0)
		requests := find[ratelimit.SendPermitRequest](h.handle(ratelimit.AcquirePermit{ID: 1, Upstream: "u"}))
		must.Len(t, 1, requests)
		h.now = h.now.Add(suspended)
		d := find[ratelimit.PermitDecided](h.handle(ratelimit.PermitResponded{From: "vm1", Response: ratelimit.PermitResponse{Seq: requests[0].Request.Seq, Granted: true, Notice: requests[0].Request.Notice}}))
		if len(d) == 0 { // the acquisition has timed out, and another may use the permit
			d = find[ratelimit.PermitDecided](h.handle(ratelimit.AcquirePermit{ID: 2, Upstream: "u"}))
		}
		granted := len(d) > 0 && d[0].Granted
		must.EqOp(t, suspended < 300*time.Millisecond, granted, must.Sprint(suspended))
	}
}

// TestUnsolicitedResponsesAreIgnored sends responses from a node that was not asked, and duplicates.
func TestUnsolicitedResponsesAreIgnored(t *testing.T) {
	h := newHarness(t, "vm0", member("vm1"))
	h.observe(3, 0)
	request := find[ratelimit.SendPermitRequest](h.handle(ratelimit.AcquirePermit{ID: 1, Upstream: "u"}))[0]
	response := ratelimit.PermitResponse{Seq: request.Request.Seq, Granted: true, Notice: request.Request.Notice}
	must.SliceEmpty(t, h.handle(ratelimit.PermitResponded{From: "vm2", Response: response}))
	must.Len(t, 1, find[ratelimit.PermitDecided](h.handle(ratelimit.PermitResponded{From: "vm1", Response: response})))
	must.SliceEmpty(t, h.handle(ratelimit.PermitResponded{From: "vm1", Response: response}))
	must.Len(t, 1, find[ratelimit.SendPermitRequest](h.handle(ratelimit.AcquirePermit{ID: 2, Upstream: "u"})))
}

// TestNewOwnerWaitsBeforeGranting makes a node an owner by a change of the members. It must grant nothing until the previous owner has learned
// of the change.
func TestNewOwnerWaitsBeforeGranting(t *testing.T) {
	h := newHarness(t, "vm0", member("vm1"), member("vm2"), member("vm3"))
	h.handle(ratelimit.MembersUpdated{All: []ratelimit.Member{member("vm0")}})
	h.observe(2, 0)
	must.EqOp(t, 0, h.acquire(5))
	h.now = h.now.Add(900 * time.Millisecond)
	must.EqOp(t, 0, h.acquire(5))
	h.now = h.now.Add(3 * time.Second)
	must.Positive(t, h.acquire(5))
}

// TestOldBuildsKeepTheirShare runs a fleet in which half of the members don't support rate limits. The others must grant only half of a limit,
// and send those members no notices.
func TestOldBuildsKeepTheirShare(t *testing.T) {
	h := newHarness(t, "vm0", member("vm0"), ratelimit.Member{VM: "old", DataCentre: "a"})
	h.handle(ratelimit.NeighboursUpdated{VMs: []vaneyoke.VMID{"old"}})
	effects := h.observe(4, 0)
	h.now = h.now.Add(time.Second)
	effects = append(effects, h.handle(ratelimit.Tick{})...)
	must.SliceEmpty(t, find[ratelimit.SendNotices](effects))
	h.acquire(10)
	h.now = h.now.Add(time.Second)
	must.EqOp(t, 2, h.acquire(10))
}

// TestRowsFollowTheLimit checks that a limit, its change and its end are each written to the store once, and that a starting node learns of
// the limit from the row.
func TestRowsFollowTheLimit(t *testing.T) {
	h := newHarness(t, "vm0", member("vm0"))
	h.handle(ratelimit.Tick{})
	writes := find[ratelimit.WriteRow](h.observe(3, 0))
	must.Len(t, 1, writes)
	must.EqOp(t, ratelimit.Row{Upstream: "u", Incarnation: 5, Rate: 3}, writes[0].Row)
	row := writes[0].Row
	row.Revision = 9
	h.handle(ratelimit.RowsUpdated{Rows: []ratelimit.Row{row}})
	h.now = h.now.Add(5 * time.Second)
	must.SliceEmpty(t, find[ratelimit.WriteRow](h.observe(3.3, 0))) // within the tolerance
	must.SliceEmpty(t, find[ratelimit.WriteRow](h.handle(ratelimit.Tick{})))

	restarted := newHarness(t, "vm9", member("vm0"))
	restarted.handle(ratelimit.RowsUpdated{Rows: []ratelimit.Row{row}})
	must.True(t, restarted.state.Limited("u"))
	must.SliceEmpty(t, find[ratelimit.WriteRow](restarted.handle(ratelimit.Tick{})))

	h.now = h.now.Add(time.Second)
	writes = find[ratelimit.WriteRow](h.observe(6, 0))
	must.Len(t, 1, writes)
	must.EqOp(t, 9, writes[0].Row.Revision)
	row.Rate, row.Revision = 6, 10
	h.handle(ratelimit.RowsUpdated{Rows: []ratelimit.Row{row}})
	h.now = h.now.Add(5 * time.Second)
	must.Len(t, 1, find[ratelimit.RemoveRow](h.observe(-1, 0)))
	must.SliceEmpty(t, find[ratelimit.RemoveRow](h.handle(ratelimit.Tick{}))) // the call is in flight
	h.now = h.now.Add(3 * time.Second)
	must.Len(t, 1, find[ratelimit.RemoveRow](h.handle(ratelimit.Tick{}))) // the call was lost
	h.handle(ratelimit.RowsUpdated{})
	h.now = h.now.Add(5 * time.Second)
	must.SliceEmpty(t, h.handle(ratelimit.Tick{}))
	must.True(t, h.state.NextTick().IsZero())
}

// TestGossipOfManyLimitsIsBounded has 690 upstreams of a fleet of 410 nodes declare limits within a second, with a rate that keeps changing. The
// datagrams and notices that a node sends to its neighbours must stay bounded.
func TestGossipOfManyLimitsIsBounded(t *testing.T) {
	members := make([]ratelimit.Member, 410)
	for i := range members {
		members[i] = member(vm(i))
	}
	h := newHarness(t, "vm0", members...)
	h.handle(ratelimit.NeighboursUpdated{VMs: []vaneyoke.VMID{"vm1", "vm2", "vm3", "vm4"}})
	datagrams, notices := 0, 0
	count := func(effects []ratelimit.Effect) {
		for _, e := range find[ratelimit.SendNotices](effects) {
			must.LessEq(t, 10, len(e.Notices))
			datagrams++
			notices += len(e.Notices)
		}
	}
	began := h.now
	for i := range 20 * 690 {
		h.now = began.Add(time.Duration(i) * 20 * time.Second / (20 * 690))
		count(h.handle(ratelimit.NoticesReceived{From: "vm1", Notices: []ratelimit.Notice{{
			Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i%690)), Limit: vaneyoke.Limit{Declared: true, Rate: vaneyoke.PerSecond(i + 1)},
		}}}))
		if at := h.state.NextTick(); !at.IsZero() && !h.now.Before(at) {
			count(h.handle(ratelimit.Tick{}))
		}
	}
	t.Logf("%d datagrams, %d notices in 20 s", datagrams, notices)
	must.LessEq(t, 3*690*3, notices)   // three times to each of the three other neighbours
	must.LessEq(t, 20*10*3, datagrams) // one per neighbour each 100 ms
	must.GreaterEq(t, 690*3, notices)  // each of them learns of all limits
}

// TestUpdatesWithoutLimitsDoNotAllocate repeats lists of upstreams and responses without a limit, as they arrive in every fleet whose
// upstreams are not overloaded.
func TestUpdatesWithoutLimitsDoNotAllocate(t *testing.T) {
	s := ratelimit.New("vm-0", "a", rand.New(rand.NewPCG(1, 1)))
	all := make([]vaneyoke.Upstream, 3000)
	for i := range all {
		all[i] = vaneyoke.Upstream{ID: vaneyoke.UpstreamID(fmt.Sprintf("u-%d", i)), DataCentre: "a", Incarnation: 7}
	}
	now := time.Unix(1000, 0)
	var listUpdate, observed ratelimit.Event = ratelimit.UpstreamsUpdated{All: all}, ratelimit.LimitObserved{Upstream: all[5], SentAt: now}
	must.Zero(t, testing.AllocsPerRun(100, func() {
		s.Handle(now, listUpdate)
		s.Handle(now, observed)
	}))
}
