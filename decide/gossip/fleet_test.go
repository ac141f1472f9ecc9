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
	fanOut        = 4
	step          = 5 * time.Millisecond
	datagramDelay = 2 * time.Millisecond // one way
)

// fleet is a tree of nodes on a virtual clock, each with its own view of the upstreams.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	nodes     []*member
	inFlight  []datagram
	sent      []int // datagrams of each node
	largest   int   // sightings in one datagram
	gossipOff bool  // whether nodes send one another nothing
	lossRate  float64
	applied   func(node int, s gossip.Sighting) // nil if nothing else uses what a node applies
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
			if f.applied != nil {
				f.applied(i, e.Sighting)
			}
			m.placer.RecordGossip(f.now, e.Sighting.Upstream, e.Sighting.Kind)
		case gossip.SendSightings:
			f.send(i, e)
		}
	}
}

func (f *fleet) send(from int, e gossip.SendSightings) {
	f.sent[from]++
	f.largest = max(f.largest, len(e.Sightings))
	if f.gossipOff || f.rng.Float64() < f.lossRate {
		return
	}
	var to int
	_, _ = fmt.Sscanf(string(e.To), "vm%d", &to)
	f.inFlight = append(f.inFlight, datagram{f.now.Add(datagramDelay), from, to, append([]gossip.Sighting(nil), e.Sightings...)})
}

// advance moves the clock by one step.
func (f *fleet) advance() {
	f.now = f.now.Add(step)
	inFlight := f.inFlight
	f.inFlight = nil
	for _, d := range inFlight {
		if d.at.After(f.now) {
			f.inFlight = append(f.inFlight, d)
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

// TestFlappingUpstream has one of three upstreams lose all requests for 1.7 s, again and again, while 90 nodes send 110 calls a
// second in all, 60 % of which may be sent only once. With gossip the nodes lose a few calls each time; without it each node
// would have to lose three.
func TestFlappingUpstream(t *testing.T) {
	run := func(gossipOff bool) (lostOnce, lost, calls int) {
		f := newFleet(90, services(3))
		f.gossipOff = gossipOff
		for since := time.Duration(0); since < 11*time.Second; since += step {
			f.advance()
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
	onceWithout, without, calls := run(true)
	onceWith, with, _ := run(false)
	t.Logf("of %d calls %d were lost without gossip, %d of them allowed only once; %d and %d with gossip", calls, without, onceWithout, with, onceWith)
	must.Less(t, without/2, with)
	must.Less(t, onceWithout/5, onceWith)
}

// TestUpstreamsReplacedInBulk replaces 60 of 180 upstreams at once while no list shows it: few attempts are declined by the
// upstreams that took over their addresses, and each node sends a bounded number of datagrams, also in a fleet of 1,043 nodes.
func TestUpstreamsReplacedInBulk(t *testing.T) {
	for _, nodes := range []int{6, 90, 1043} {
		run := func(gossipOff bool) (declined, busiest, largest int) {
			f := newFleet(nodes, services(180))
			f.gossipOff = gossipOff
			f.lossRate = 0.02
			rate := 46 * float64(nodes) / 90
			for since := time.Duration(0); since < 6*time.Second; since += step {
				f.advance()
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
		without, _, _ := run(true)
		with, busiest, largest := run(false)
		t.Logf("%d nodes: %d declined without gossip, %d with it; at most %d datagrams a node, %d sightings in one", nodes, without, with, busiest, largest)
		must.LessEq(t, 16, largest)
		must.LessEq(t, 5*120, busiest)             // five neighbours, 60 upstreams, each reported once or twice
		must.LessEq(t, max(2*60, without/3), with) // each of the 60 has to be found out by one node
		must.LessEq(t, without, with)
	}
}

// TestIsolatedNodeIsNotBelieved has one node reach no upstream: it soon stops reporting, and no other node believes it alone.
func TestIsolatedNodeIsNotBelieved(t *testing.T) {
	f := newFleet(30, services(20))
	for i := range f.nodes {
		f.answered(i, "u0")
	}
	for since := time.Duration(0); since < 4*time.Second; since += step {
		f.advance()
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
		f.advance()
		f.handle(7, gossip.Observed{Upstream: "u3", Kind: gossip.KindUnreachable})
	}
	must.EqOp(t, before, f.sent[7])
}

// TestHealthyUpstreamClosesBreakers has an upstream whose breaker is open at all nodes that received sightings of its losses, until one
// of them gets an answer.
func TestHealthyUpstreamClosesBreakers(t *testing.T) {
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
		f.advance()
	}
	for range 40 {
		f.advance()
	}
	must.EqOp(t, 27, opened()) // the three nodes that observed the losses count their own elsewhere
	f.answered(9, "u2")
	for range 40 {
		f.advance()
	}
	must.EqOp(t, 1, opened()) // the node that got the answer learns of it by its own attempt
}

// TestSightingBurstIsBounded reports far more sightings than a node may forward.
func TestSightingBurstIsBounded(t *testing.T) {
	f := newFleet(2, services(1))
	f.answered(0, "u0")
	for i := range 10_000 {
		f.handle(0, gossip.Observed{Upstream: vaneyoke.UpstreamID(fmt.Sprint("x", i)), Kind: gossip.KindLost})
	}
	f.advance()
	f.advance()
	f.advance()
	must.LessEq(t, 4, f.sent[0])
	must.LessEq(t, 16, f.largest)
}
