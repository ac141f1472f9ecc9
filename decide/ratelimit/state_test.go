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

// pair is a node that is the only keeper of all limits, and what it does.
type pair struct {
	t     *testing.T
	now   time.Time
	state *ratelimit.State
}

func newPair(t *testing.T, self vaneyoke.VMID, members ...ratelimit.Member) *pair {
	p := &pair{t: t, now: start, state: ratelimit.New(self, "a", rand.New(rand.NewPCG(1, 2)))}
	p.handle(ratelimit.Members{All: members})
	p.handle(ratelimit.Upstreams{All: []vaneyoke.Upstream{{ID: "u", DataCentre: "a", Incarnation: 5}}})
	p.now = p.now.Add(time.Minute)
	return p
}

func keeper(vm vaneyoke.VMID) ratelimit.Member {
	return ratelimit.Member{VM: vm, DataCentre: "a", Keeps: true}
}

func (p *pair) handle(ev ratelimit.Event) []ratelimit.Effect {
	return slices.Clone(p.state.Handle(p.now, ev))
}

// answered has the upstream name a limit in its answer to a request that was sent a while ago; a rate below 0 stands for none.
func (p *pair) answered(rate vaneyoke.PerSecond, sent time.Duration) []ratelimit.Effect {
	limit := vaneyoke.Limit{Declared: rate >= 0, Rate: max(rate, 0)}
	return p.handle(ratelimit.Answered{Upstream: vaneyoke.Upstream{ID: "u", Incarnation: 5}, Limit: limit, SentAt: p.now.Add(-sent)})
}

func find[E ratelimit.Effect](effects []ratelimit.Effect) (found []E) {
	for _, e := range effects {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// granted asks for so many permits at once, and returns how many were granted.
func (p *pair) granted(wanted int) (n int) {
	for i := range wanted {
		d := find[ratelimit.Decide](p.handle(ratelimit.Want{ID: ratelimit.PermitID(i + 1), Upstream: "u"}))
		must.Len(p.t, 1, d)
		if d[0].Granted {
			n++
		}
	}
	return n
}

// TestPermitsComeAtTheRate has a node that is alone give itself permits: one and what comes in a second at the most are saved.
func TestPermitsComeAtTheRate(t *testing.T) {
	for rate, cases := range map[vaneyoke.PerSecond]map[time.Duration]int{
		2:    {0: 3, time.Second: 2, 3 * time.Second: 3, 250 * time.Millisecond: 0},
		0.5:  {0: 1, 900 * time.Millisecond: 0, time.Second: 1, 5 * time.Second: 1},
		0:    {0: 1, 5 * time.Second: 0, 30 * time.Second: 1}, // what tells that a limit of nothing has ended
		1000: {0: 1001, 100 * time.Millisecond: 100},
	} {
		for after, want := range cases {
			p := newPair(t, "vm0", keeper("vm0"))
			p.answered(rate, 0)
			got := p.granted(2000)
			if after > 0 {
				p.now = p.now.Add(after)
				got = p.granted(2000)
			}
			must.EqOp(t, want, got, must.Sprint(rate, " ", after))
		}
	}
}

// TestCallersComeBackOneAfterTheOther refuses callers, who are told turns that are as far apart as permits.
func TestCallersComeBackOneAfterTheOther(t *testing.T) {
	p := newPair(t, "vm0", keeper("vm0"))
	p.answered(2, 0)
	p.granted(3)
	var turns []time.Duration
	for i := range 20 {
		d := find[ratelimit.Decide](p.handle(ratelimit.Want{ID: ratelimit.PermitID(i + 1), Upstream: "u"}))[0]
		must.False(t, d.Granted)
		turns = append(turns, d.Turn)
		p.now = p.now.Add(501 * time.Millisecond / 20)
	}
	must.EqOp(t, 500*time.Millisecond, turns[0])
	must.LessEq(t, 5*time.Second, turns[len(turns)-1])
}

// TestWhatTellsOfALimit has answers come in different orders: that one names no limit counts only where its request was sent after the limit was named last.
func TestWhatTellsOfALimit(t *testing.T) {
	p := newPair(t, "vm0", keeper("vm0"))
	must.SliceEmpty(t, find[ratelimit.Believe](p.answered(-1, 0)))
	must.Len(t, 1, find[ratelimit.Believe](p.answered(3, 0)))
	must.True(t, p.state.Limited("u"))
	p.now = p.now.Add(time.Second)
	must.SliceEmpty(t, find[ratelimit.Believe](p.answered(-1, 1500*time.Millisecond)))
	must.True(t, p.state.Limited("u"))
	must.Len(t, 1, find[ratelimit.Believe](p.answered(-1, 10*time.Millisecond)))
	must.False(t, p.state.Limited("u"))
	told := func(age time.Duration, incarnation vaneyoke.Incarnation) bool {
		p.handle(ratelimit.Told{From: "vm1", Notices: []ratelimit.Notice{{
			Upstream: "u", Incarnation: incarnation, Limit: vaneyoke.Limit{Declared: true, Rate: 1}, AgeMs: age.Milliseconds(),
		}}})
		return p.state.Limited("u")
	}
	must.False(t, told(20*time.Millisecond, 5)) // older than what ended it
	must.False(t, told(0, 4))                   // of an earlier life
	must.False(t, told(-time.Hour, 4))
	must.True(t, told(0, 5))
	p.handle(ratelimit.Upstreams{All: []vaneyoke.Upstream{{ID: "u", Incarnation: 6}}})
	must.False(t, p.state.Limited("u"))
	must.False(t, told(0, 5))
	must.True(t, told(0, 6))
	p.handle(ratelimit.Upstreams{}) // the list may lag
	must.True(t, p.state.Limited("u"))
	p.now = p.now.Add(time.Minute)
	p.handle(ratelimit.Tick{})
	must.False(t, p.state.Limited("u"))
}

// TestSuspendedNodeUsesNoOldPermit has a keeper's answer come after the node stood still.
func TestSuspendedNodeUsesNoOldPermit(t *testing.T) {
	for _, stood := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
		p := newPair(t, "vm0", keeper("vm1"))
		p.answered(3, 0)
		ask := find[ratelimit.Ask](p.handle(ratelimit.Want{ID: 1, Upstream: "u"}))
		must.Len(t, 1, ask)
		p.now = p.now.Add(stood)
		d := find[ratelimit.Decide](p.handle(ratelimit.Replied{From: "vm1", Answer: ratelimit.Answer{Number: ask[0].Question.Number, Granted: true, Notice: ask[0].Question.Notice}}))
		if len(d) == 0 { // it was given up before, and may be used by another
			d = find[ratelimit.Decide](p.handle(ratelimit.Want{ID: 2, Upstream: "u"}))
		}
		got := len(d) > 0 && d[0].Granted
		must.EqOp(t, stood < 300*time.Millisecond, got, must.Sprint(stood))
	}
}

// TestAnswersThatWereNotAskedFor come from others than the keeper, or twice.
func TestAnswersThatWereNotAskedFor(t *testing.T) {
	p := newPair(t, "vm0", keeper("vm1"))
	p.answered(3, 0)
	ask := find[ratelimit.Ask](p.handle(ratelimit.Want{ID: 1, Upstream: "u"}))[0]
	answer := ratelimit.Answer{Number: ask.Question.Number, Granted: true, Notice: ask.Question.Notice}
	must.SliceEmpty(t, p.handle(ratelimit.Replied{From: "vm2", Answer: answer}))
	must.Len(t, 1, find[ratelimit.Decide](p.handle(ratelimit.Replied{From: "vm1", Answer: answer})))
	must.SliceEmpty(t, p.handle(ratelimit.Replied{From: "vm1", Answer: answer}))
	must.Len(t, 1, find[ratelimit.Ask](p.handle(ratelimit.Want{ID: 2, Upstream: "u"})))
}

// TestNewKeeperWaits has a node become a keeper because the members change: it gives nothing until the one before has heard of it.
func TestNewKeeperWaits(t *testing.T) {
	p := newPair(t, "vm0", keeper("vm1"), keeper("vm2"), keeper("vm3"))
	p.handle(ratelimit.Members{All: []ratelimit.Member{keeper("vm0")}})
	p.answered(2, 0)
	must.EqOp(t, 0, p.granted(5))
	p.now = p.now.Add(900 * time.Millisecond)
	must.EqOp(t, 0, p.granted(5))
	p.now = p.now.Add(3 * time.Second)
	must.Positive(t, p.granted(5))
}

// TestEarlierBuildsAreLeftTheirPart has half of the members keep no limits: the others give half of it, and tell them nothing.
func TestEarlierBuildsAreLeftTheirPart(t *testing.T) {
	p := newPair(t, "vm0", keeper("vm0"), ratelimit.Member{VM: "old", DataCentre: "a"})
	p.handle(ratelimit.Neighbours{VMs: []vaneyoke.VMID{"old"}})
	effects := p.answered(4, 0)
	p.now = p.now.Add(time.Second)
	effects = append(effects, p.handle(ratelimit.Tick{})...)
	must.SliceEmpty(t, find[ratelimit.Tell](effects))
	p.granted(10)
	p.now = p.now.Add(time.Second)
	must.EqOp(t, 2, p.granted(10))
}

// TestStoreHoldsWhatIsNamed has the store be told of a limit, of another rate and of its end, once each, and a node that starts learn of it.
func TestStoreHoldsWhatIsNamed(t *testing.T) {
	p := newPair(t, "vm0", keeper("vm0"))
	p.handle(ratelimit.Tick{})
	writes := find[ratelimit.Write](p.answered(3, 0))
	must.Len(t, 1, writes)
	must.EqOp(t, ratelimit.Row{Upstream: "u", Incarnation: 5, Rate: 3}, writes[0].Row)
	row := writes[0].Row
	row.Revision = 9
	p.handle(ratelimit.Recorded{Rows: []ratelimit.Row{row}})
	p.now = p.now.Add(5 * time.Second)
	must.SliceEmpty(t, find[ratelimit.Write](p.answered(3.3, 0))) // nearly the same
	must.SliceEmpty(t, find[ratelimit.Write](p.handle(ratelimit.Tick{})))

	started := newPair(t, "vm9", keeper("vm0"))
	started.handle(ratelimit.Recorded{Rows: []ratelimit.Row{row}})
	must.True(t, started.state.Limited("u"))
	must.SliceEmpty(t, find[ratelimit.Write](started.handle(ratelimit.Tick{})))

	p.now = p.now.Add(time.Second)
	writes = find[ratelimit.Write](p.answered(6, 0))
	must.Len(t, 1, writes)
	must.EqOp(t, 9, writes[0].Row.Revision)
	row.Rate, row.Revision = 6, 10
	p.handle(ratelimit.Recorded{Rows: []ratelimit.Row{row}})
	p.now = p.now.Add(5 * time.Second)
	must.Len(t, 1, find[ratelimit.Remove](p.answered(-1, 0)))
	must.SliceEmpty(t, find[ratelimit.Remove](p.handle(ratelimit.Tick{}))) // the call is under way
	p.now = p.now.Add(3 * time.Second)
	must.Len(t, 1, find[ratelimit.Remove](p.handle(ratelimit.Tick{}))) // it was lost
	p.handle(ratelimit.Recorded{})
	p.now = p.now.Add(5 * time.Second)
	must.SliceEmpty(t, p.handle(ratelimit.Tick{}))
	must.True(t, p.state.Next().IsZero())
}

// TestManyLimitsAreToldInBounds has 690 upstreams of a fleet of 410 nodes name limits within a second, each of them many rates: what a node tells
// its neighbours stays bounded.
func TestManyLimitsAreToldInBounds(t *testing.T) {
	members := make([]ratelimit.Member, 410)
	for i := range members {
		members[i] = keeper(vm(i))
	}
	p := newPair(t, "vm0", members...)
	p.handle(ratelimit.Neighbours{VMs: []vaneyoke.VMID{"vm1", "vm2", "vm3", "vm4"}})
	told, notices := 0, 0
	count := func(effects []ratelimit.Effect) {
		for _, e := range find[ratelimit.Tell](effects) {
			must.LessEq(t, 10, len(e.Notices))
			told++
			notices += len(e.Notices)
		}
	}
	began := p.now
	for i := range 20 * 690 {
		p.now = began.Add(time.Duration(i) * 20 * time.Second / (20 * 690))
		count(p.handle(ratelimit.Told{From: "vm1", Notices: []ratelimit.Notice{{
			Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", i%690)), Limit: vaneyoke.Limit{Declared: true, Rate: vaneyoke.PerSecond(i + 1)},
		}}}))
		if at := p.state.Next(); !at.IsZero() && !p.now.Before(at) {
			count(p.handle(ratelimit.Tick{}))
		}
	}
	t.Logf("%d datagrams, %d notices in 20 s", told, notices)
	must.LessEq(t, 3*690*3, notices)  // three times to each of the three others
	must.LessEq(t, 20*10*3, told)     // one each 100 ms
	must.GreaterEq(t, 690*3, notices) // each of them knows of all
}

// TestListsCostNothingWhileNoLimitIsKnown has a list of upstreams and answers that name no limit come again and again, as they do in every
// fleet where none is in need.
func TestListsCostNothingWhileNoLimitIsKnown(t *testing.T) {
	s := ratelimit.New("vm-0", "a", rand.New(rand.NewPCG(1, 1)))
	all := make([]vaneyoke.Upstream, 3000)
	for i := range all {
		all[i] = vaneyoke.Upstream{ID: vaneyoke.UpstreamID(fmt.Sprintf("u-%d", i)), DataCentre: "a", Incarnation: 7}
	}
	now := time.Unix(1000, 0)
	var listed, answered ratelimit.Event = ratelimit.Upstreams{All: all}, ratelimit.Answered{Upstream: all[5], SentAt: now}
	must.Zero(t, testing.AllocsPerRun(100, func() {
		s.Handle(now, listed)
		s.Handle(now, answered)
	}))
}
