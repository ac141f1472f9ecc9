package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

// brittleFleet is a fleet of nodes before brittle upstreams of one service, on a clock of its own.
type brittleFleet struct {
	rng       *rand.Rand
	now       time.Time
	nodes     []*placement.State
	upstreams []*brittleUpstream
	running   []brittleCall // by their ends
	notPlaced int
}

// brittleCall is a call that an upstream runs.
type brittleCall struct {
	endsAt time.Time
	node   *placement.State
	id     vaneyoke.UpstreamID
}

type brittleUpstream struct {
	id            vaneyoke.UpstreamID
	room          int // requests that it takes at once
	maxRejections int
	endsAt        []time.Time // of the requests that it runs
	rejectedAt    []time.Time // in the last second
	falls, served int
}

const callTime = time.Second

func newBrittleFleet(nodes, upstreams, slots, room, maxRejections int) *brittleFleet {
	f := &brittleFleet{rng: rand.New(rand.NewPCG(7, 7)), now: time.Unix(1000, 0)}
	var list []vaneyoke.Upstream
	for i := range upstreams {
		id := vaneyoke.UpstreamID(fmt.Sprint("u", i))
		list = append(list, vaneyoke.Upstream{ID: id, Kind: vaneyoke.KindService, Service: "shop", URL: "http://" + string(id), State: vaneyoke.StateLive, Slots: slots})
		f.upstreams = append(f.upstreams, &brittleUpstream{id: id, room: room, maxRejections: maxRejections})
	}
	for i := range nodes {
		s := placement.New("a", retry.DefaultBreakerConfig())
		s.SetUpstreams(list)
		s.SetFleet(placement.Fleet{Size: nodes, Rank: i})
		f.nodes = append(f.nodes, s)
	}
	return f
}

// take takes a request, or rejects it.
func (u *brittleUpstream) take(now time.Time) bool {
	u.endsAt = expire(u.endsAt, now)
	if len(u.endsAt) < u.room {
		u.endsAt = append(u.endsAt, now.Add(callTime))
		u.served++
		return true
	}
	u.rejectedAt = append(expire(u.rejectedAt, now), now.Add(time.Second))
	if len(u.rejectedAt) > u.maxRejections {
		u.falls++
		u.rejectedAt = nil
	}
	return false
}

// expire removes the times that have passed.
func expire(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && !now.Before(times[0]) {
		times = times[1:]
	}
	return times
}

// run sends requests at an even rate from random nodes.
func (f *brittleFleet) run(duration time.Duration, perSecond int) {
	call := placement.Need{Kind: vaneyoke.KindService, Service: "shop"}
	interval := time.Second / time.Duration(perSecond)
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(interval) {
		for len(f.running) > 0 && !f.now.Before(f.running[0].endsAt) {
			f.running[0].node.Ended(f.now, f.running[0].id, placement.OutcomeDone, true)
			f.running = f.running[1:]
		}
		node := f.nodes[f.rng.IntN(len(f.nodes))]
		chosen, _, ok := node.Pick(f.now, f.rng, call)
		if !ok {
			f.notPlaced++
			continue
		}
		node.Sent(f.now, chosen.ID)
		var index int
		_, _ = fmt.Sscanf(string(chosen.ID), "u%d", &index)
		u := f.upstreams[index]
		node.RecordBrittle(f.now, chosen.ID, u.maxRejections)
		if !u.take(f.now) {
			node.Ended(f.now, chosen.ID, placement.OutcomeDeclined, false)
			continue
		}
		f.running = append(f.running, brittleCall{f.now.Add(callTime), node, chosen.ID})
	}
}

// brittleService is a service whose upstreams list slots, and have that room or less.
type brittleService struct{ upstreams, slots, room, maxRejections int }

// play sends a load, as a multiple of what the upstreams take, and requires that they fall over as rarely as allowed once the nodes know.
func (tc brittleService) play(t *testing.T, nodes int, load float64) {
	f := newBrittleFleet(nodes, tc.upstreams, tc.slots, tc.room, tc.maxRejections)
	perSecond := int(float64(tc.upstreams*tc.room) * float64(time.Second/callTime) * load)
	f.run(3*time.Second, perSecond)
	for _, u := range f.upstreams {
		u.falls, u.served = 0, 0
	}
	f.notPlaced = 0
	const lasts = 6 * time.Second
	f.run(lasts, perSecond)
	falls, served := 0, 0
	for _, u := range f.upstreams {
		falls, served = falls+u.falls, served+u.served
	}
	t.Logf("%d falls, %d of %d served, %d not placed", falls, served, perSecond*int(lasts/time.Second), f.notPlaced)
	must.LessEq(t, 2+tc.upstreams/10, falls)
}

var brittleServices = map[string]brittleService{
	"small":                 {3, 6, 6, 3},
	"which bear one":        {6, 8, 8, 1},
	"large":                 {24, 64, 64, 5},
	"with less room":        {24, 64, 48, 5},
	"with little room left": {24, 64, 20, 8},
}

// TestBrittleUpstreamsBearTheFleet plays fleets of 1 to 90 nodes before brittle upstreams at half and at three times the load that these take, whose
// rows tell the room that they have, or more: none may have to reject more than it bears once the nodes know.
func TestBrittleUpstreamsBearTheFleet(t *testing.T) {
	for _, nodes := range []int{1, 7, 90} {
		for name, tc := range brittleServices {
			for _, load := range []float64{0.5, 3} {
				if load > 1 && nodes > tc.upstreams*tc.slots {
					continue // TestMoreNodesThanBrittleSlots
				}
				t.Run(fmt.Sprint(nodes, " nodes, ", name, ", load ", load), func(t *testing.T) {
					t.Parallel()
					tc.play(t, nodes, load)
				})
			}
		}
	}
}

// TestMoreNodesThanBrittleSlots overloads brittle upstreams that have fewer slots in all than there are nodes.
func TestMoreNodesThanBrittleSlots(t *testing.T) {
	for _, nodes := range []int{90, 410} {
		for _, name := range []string{"small", "which bear one"} {
			t.Run(fmt.Sprint(nodes, " nodes, ", name), func(t *testing.T) { brittleServices[name].play(t, nodes, 3) })
		}
	}
}

// TestSlotSharesAddUp checks that the nodes of a fleet together get the slots that are used of each brittle upstream, and that each gets some upstream.
func TestSlotSharesAddUp(t *testing.T) {
	const upstreams, slots = 5, 64
	for _, nodes := range []int{1, 2, 7, 63, 90, 410} {
		f := newBrittleFleet(nodes, upstreams, slots, slots, 3)
		total := map[vaneyoke.UpstreamID]int{}
		for _, node := range f.nodes {
			node.RecordBrittle(f.now, "u0", 3)
			got := 0
			for {
				chosen, _, ok := node.Pick(f.now, f.rng, placement.Need{Kind: vaneyoke.KindService, Service: "shop"})
				if !ok {
					break
				}
				node.Sent(f.now, chosen.ID)
				total[chosen.ID]++
				got++
			}
			must.Positive(t, got)
		}
		for id, sent := range total {
			must.True(t, sent == slots-slots/8 || nodes > upstreams*slots, must.Sprint(nodes, " nodes, ", id, ": ", sent))
		}
	}
}

// TestBrittleServiceRecovers checks when upstreams count as brittle no more: as soon as none of the service says so, or after some time without a word.
func TestBrittleServiceRecovers(t *testing.T) {
	f := newBrittleFleet(50, 2, 1, 1, 3)
	node := f.nodes[0]
	hasRoom := func(now time.Time) bool {
		chosen, _, ok := node.Pick(now, f.rng, placement.Need{Kind: vaneyoke.KindService, Service: "shop"})
		if ok {
			node.Sent(now, chosen.ID)
		}
		return ok
	}
	for range 4 {
		must.True(t, hasRoom(f.now))
	}
	record := func(id vaneyoke.UpstreamID, rejections int, changed bool) {
		t.Helper()
		_, got := node.RecordBrittle(f.now, id, rejections)
		must.EqOp(t, changed, got)
	}
	record("u0", 3, true)
	record("u1", 3, false)
	must.False(t, hasRoom(f.now))
	record("u0", 0, false)
	must.False(t, hasRoom(f.now))
	record("u1", 0, true)
	must.True(t, hasRoom(f.now))
	record("u1", 3, true)
	must.False(t, hasRoom(f.now.Add(10*time.Second-1)))
	must.True(t, hasRoom(f.now.Add(10*time.Second)))
	record("unknown", 3, false)
}
