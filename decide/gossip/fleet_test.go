package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

const (
	fanOut = 4
	step   = 5 * time.Millisecond
	onWay  = 2 * time.Millisecond // of a datagram
)

// fleet is nodes in a tree, each with its own sight of the upstreams, on a clock of its own.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	nodes   []*member
	flying  []datagram
	sent    []int // datagrams of each node
	largest int   // sightings in one
	mute    bool  // whether nodes tell one another nothing
	lossy   float64
}

type member struct {
	gossip *gossip.State
	placer *placement.State
}

type datagram struct {
	at        time.Time
	from, to  int
	sightings []gossip.Sighting
}

func vm(i int) vaneyoke.VMID { return vaneyoke.VMID(fmt.Sprint("vm", i)) }

func newFleet(nodes int, upstreams []vaneyoke.Upstream) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(5, uint64(nodes))), now: time.Unix(1000, 0), sent: make([]int, nodes)}
	for i := range nodes {
		m := &member{gossip: gossip.New(vm(i), 0), placer: placement.New("a", retry.DefaultBreakerConfig())}
		m.placer.SetUpstreams(upstreams)
		var neighbours []vaneyoke.VMID
		if i > 0 {
			neighbours = append(neighbours, vm((i-1)/fanOut))
		}
		for child := i*fanOut + 1; child <= i*fanOut+fanOut && child < nodes; child++ {
			neighbours = append(neighbours, vm(child))
		}
		m.gossip.Handle(f.now, gossip.NeighboursUpdated{VMs: neighbours})
		f.nodes = append(f.nodes, m)
	}
	return f
}

func (f *fleet) handle(i int, ev gossip.Event) {
	m := f.nodes[i]
	for _, effect := range m.gossip.Handle(f.now, ev) {
		switch e := effect.(type) {
		case gossip.ApplySighting:
			m.placer.RecordGossip(f.now, e.Sighting.Upstream, e.Sighting.Kind)
		case gossip.SendSightings:
			f.send(i, e)
		}
	}
}

func (f *fleet) send(from int, e gossip.SendSightings) {
	f.sent[from]++
	f.largest = max(f.largest, len(e.Sightings))
	if f.mute || f.rng.Float64() < f.lossy {
		return
	}
	var to int
	_, _ = fmt.Sscanf(string(e.To), "vm%d", &to)
	f.flying = append(f.flying, datagram{f.now.Add(onWay), from, to, append([]gossip.Sighting(nil), e.Sightings...)})
}

// pass lets a step of time pass.
func (f *fleet) pass() {
	f.now = f.now.Add(step)
	flying := f.flying
	f.flying = nil
	for _, d := range flying {
		if d.at.After(f.now) {
			f.flying = append(f.flying, d)
			continue
		}
		f.handle(d.to, gossip.SightingsReceived{From: vm(d.from), Sightings: d.sightings})
	}
	for i, m := range f.nodes {
		if at := m.gossip.NextTick(); !at.IsZero() && !f.now.Before(at) {
			f.handle(i, gossip.Tick{})
		}
	}
}

// answered notes that an upstream answered a node.
func (f *fleet) answered(i int, id vaneyoke.UpstreamID) {
	f.handle(i, gossip.Observed{Upstream: id, Kind: gossip.KindHealthy})
}

func services(count int) []vaneyoke.Upstream {
	var all []vaneyoke.Upstream
	for i := range count {
		id := vaneyoke.UpstreamID(fmt.Sprint("u", i))
		all = append(all, vaneyoke.Upstream{ID: id, Kind: vaneyoke.KindService, Service: "shop", State: vaneyoke.StateLive, Slots: 6, URL: "http://" + string(id)})
	}
	return all
}

// TestFlappingUpstream has one of three upstreams lose all that it takes for 1.7 s, again and again, before 90 nodes that send 110
// calls a second in all, six in ten of which may be sent once only. Told of one another's losses the nodes lose a few calls each
// time; by themselves each would have to lose three.
func TestFlappingUpstream(t *testing.T) {
	play := func(mute bool) (lostOnce, lost, calls int) {
		f := newFleet(90, services(3))
		f.mute = mute
		for since := time.Duration(0); since < 11*time.Second; since += step {
			f.pass()
			down := since > 2*time.Second && since%(3600*time.Millisecond) < 1700*time.Millisecond
			for f.rng.Float64() < 110*step.Seconds() {
				i := f.rng.IntN(len(f.nodes))
				m := f.nodes[i]
				calls++
				once := f.rng.Float64() < 0.6
				u, _, ok := m.placer.Pick(f.now, f.rng, placement.Need{Kind: vaneyoke.KindService, Service: "shop", AtMostOnce: once})
				must.True(t, ok)
				m.placer.Sent(f.now, u.ID)
				if down && u.ID == "u0" {
					lost++
					if once {
						lostOnce++
					}
					m.placer.Ended(f.now, u.ID, placement.OutcomeLost, false)
					f.handle(i, gossip.Observed{Upstream: u.ID, Kind: gossip.KindLost})
					break
				}
				m.placer.FirstToken(f.now, u.ID, 30*time.Millisecond, 0)
				m.placer.Ended(f.now, u.ID, placement.OutcomeDone, true)
				f.answered(i, u.ID)
				break
			}
		}
		return lostOnce, lost, calls
	}
	onceAlone, alone, calls := play(true)
	onceTold, told, _ := play(false)
	t.Logf("of %d calls %d were lost alone, %d of them once only; %d and %d where nodes tell one another", calls, alone, onceAlone, told, onceTold)
	must.Less(t, alone/2, told)
	must.Less(t, onceAlone/5, onceTold)
}

// TestDataCentreFalls has 60 of 180 upstreams be replaced at once while no list says so: few attempts are declined by those that
// have their addresses, each node sends a bounded number of datagrams, and so it stays in a fleet of 1,043.
func TestDataCentreFalls(t *testing.T) {
	for _, nodes := range []int{6, 90, 1043} {
		play := func(mute bool) (declined, busiest, largest int) {
			f := newFleet(nodes, services(180))
			f.mute = mute
			f.lossy = 0.02
			rate := 46 * float64(nodes) / 90
			for since := time.Duration(0); since < 6*time.Second; since += step {
				f.pass()
				for left := rate * step.Seconds(); f.rng.Float64() < left; left-- {
					i := f.rng.IntN(len(f.nodes))
					m := f.nodes[i]
					for {
						u, _, ok := m.placer.Pick(f.now, f.rng, placement.Need{Kind: vaneyoke.KindService, Service: "shop"})
						must.True(t, ok)
						var n int
						_, _ = fmt.Sscanf(string(u.ID), "u%d", &n)
						if n%3 != 0 {
							f.answered(i, u.ID)
							break
						}
						declined++
						m.placer.Ended(f.now, u.ID, placement.OutcomeGone, false)
						f.handle(i, gossip.Observed{Upstream: u.ID, Kind: gossip.KindReplaced})
					}
				}
			}
			for _, sent := range f.sent {
				busiest = max(busiest, sent)
			}
			return declined, busiest, f.largest
		}
		alone, _, _ := play(true)
		told, busiest, largest := play(false)
		t.Logf("%d nodes: %d declined alone, %d told; at most %d datagrams a node, %d sightings in one", nodes, alone, told, busiest, largest)
		must.LessEq(t, 16, largest)
		must.LessEq(t, 5*120, busiest)           // five neighbours, 60 upstreams, each told once or twice
		must.LessEq(t, max(2*60, alone/3), told) // each of the 60 has to be found out by one
		must.LessEq(t, alone, told)
	}
}

// TestNodeThatIsCutOffIsNotBelieved has one node reach no upstream: neither does it tell for long, nor is it believed alone.
func TestNodeThatIsCutOffIsNotBelieved(t *testing.T) {
	f := newFleet(30, services(20))
	for i := range f.nodes {
		f.answered(i, "u0")
	}
	for since := time.Duration(0); since < 4*time.Second; since += step {
		f.pass()
		if since%(40*time.Millisecond) == 0 {
			f.handle(7, gossip.Observed{Upstream: vaneyoke.UpstreamID(fmt.Sprint("u", f.rng.IntN(20))), Kind: gossip.KindUnreachable})
		}
		for i, m := range f.nodes {
			for _, load := range m.placer.Loads(time.Time{}) {
				must.False(t, load.BreakerOpen, must.Sprint(i, load.Upstream.ID))
			}
		}
	}
	before := f.sent[7]
	must.Positive(t, before)
	for since := time.Duration(0); since < time.Second; since += step {
		f.pass()
		f.handle(7, gossip.Observed{Upstream: "u3", Kind: gossip.KindUnreachable})
	}
	must.EqOp(t, before, f.sent[7])
}

// TestUpstreamThatIsWellAgain is open at all nodes until one of them gets an answer.
func TestUpstreamThatIsWellAgain(t *testing.T) {
	f := newFleet(30, services(4))
	for i := range f.nodes {
		f.answered(i, "u0")
	}
	opened := func() (n int) {
		for _, m := range f.nodes {
			for _, load := range m.placer.Loads(time.Time{}) {
				if load.BreakerOpen {
					n++
				}
			}
		}
		return n
	}
	for i := range 3 {
		f.handle(4+i, gossip.Observed{Upstream: "u2", Kind: gossip.KindLost})
		f.pass()
	}
	for range 40 {
		f.pass()
	}
	must.EqOp(t, 27, opened()) // the three that saw it count their own losses elsewhere
	f.answered(9, "u2")
	for range 40 {
		f.pass()
	}
	must.EqOp(t, 1, opened()) // the one that has the answer learns of it by its own attempt
}

// TestStormIsBounded tells far more than a node may tell on.
func TestStormIsBounded(t *testing.T) {
	f := newFleet(2, services(1))
	f.answered(0, "u0")
	for i := range 10_000 {
		f.handle(0, gossip.Observed{Upstream: vaneyoke.UpstreamID(fmt.Sprint("x", i)), Kind: gossip.KindLost})
	}
	f.pass()
	f.pass()
	f.pass()
	must.LessEq(t, 4, f.sent[0])
	must.LessEq(t, 16, f.largest)
}
