package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

const (
	pushbackSimTime   = 30 * time.Second                  // duration of a simulation
	pushbackLastFault = 16 * time.Second                  // no faults are injected after this time
	pushbackSettled   = pushbackLastFault + 6*time.Second // no request may be rejected after this time
	pushbackGrace     = 500 * time.Millisecond            // for requests in flight when a pushback arrives
	pushbackMaxStray  = 2                                 // requests that a node may send during the rest of a pushback
	pushbackDrain     = 2 * time.Second                   // how long a node may still send new requests after a shutdown notice
	// pushbackMaxDefault is how long a node may stay away after a pushback that is too long to be honoured.
	pushbackMaxDefault = 5 * time.Second
)

// pushbackSim simulates a fleet of nodes with upstreams that push back, shut down and restart, on a simulated clock.
type pushbackSim struct {
	rng         *rand.Rand
	start       time.Time
	now         time.Time
	events      pushbackEvents
	nodes       []*pushbackNode
	upstreams   []*pushbackUpstream
	prompts     bool // whether requests are generations, with affinity, load reports and replicas
	listVersion int  // of the latest list of upstreams
	violations  []string
	requests    int
	rejected    int
	pushbacks   int // valid pushbacks sent
}

type pushbackEvent struct {
	at time.Time
	do func()
}

type pushbackEvents []pushbackEvent

func (e pushbackEvents) Len() int           { return len(e) }
func (e pushbackEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e pushbackEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *pushbackEvents) Push(x any)        { *e = append(*e, x.(pushbackEvent)) }
func (e *pushbackEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// pushbackNode is a node between two restarts.
type pushbackNode struct {
	state       *placement.State
	listVersion int // of the list that it read last
}

// pushbackUpstream is an upstream across restarts.
type pushbackUpstream struct {
	upstream           vaneyoke.Upstream
	shedsUntil         time.Time
	values             []time.Duration // pushbacks that it requests in turn; a value that is not positive stands for an invalid one
	nextValue          int
	leaving            bool
	downUntil          time.Time
	windows            map[*pushbackNode][]pushbackWindow
	shutdownNotifiedAt map[*pushbackNode]time.Time // when each node received the shutdown notice
}

// pushbackWindow is a time without requests that an incarnation of an upstream requested from a node.
type pushbackWindow struct {
	from, until time.Time
	maxUntil    time.Time // until when the node may stay away because of it
	received    int
}

func newPushbackSim(seed uint64, nodes, upstreams int, prompts bool) *pushbackSim {
	sim := &pushbackSim{rng: rand.New(rand.NewPCG(seed, 46)), start: time.Unix(1000, 0), now: time.Unix(1000, 0), prompts: prompts}
	centres := []vaneyoke.DataCentreID{"a", "b", "c"}
	if !prompts { // calls stay in the node's own data centre if all upstreams cost the same
		centres = centres[:1]
	}
	for i := range upstreams {
		sim.upstreams = append(sim.upstreams, &pushbackUpstream{
			upstream: vaneyoke.Upstream{
				ID: vaneyoke.UpstreamID(fmt.Sprint("u", i)), Kind: vaneyoke.KindService, Service: "lm", State: vaneyoke.StateLive, Slots: 6,
				URL: fmt.Sprint("http://u", i), DataCentre: centres[i%len(centres)], Incarnation: 10,
			},
			windows: map[*pushbackNode][]pushbackWindow{}, shutdownNotifiedAt: map[*pushbackNode]time.Time{},
		})
	}
	for range nodes {
		sim.nodes = append(sim.nodes, sim.newNode())
	}
	sim.schedule()
	return sim
}

func (sim *pushbackSim) newNode() *pushbackNode {
	n := &pushbackNode{state: placement.New("a", retry.DefaultBreakerConfig()), listVersion: sim.listVersion}
	n.state.SetUpstreams(sim.list())
	return n
}

// list returns the current list of upstreams; entries without a state have expired.
func (sim *pushbackSim) list() (all []vaneyoke.Upstream) {
	for _, u := range sim.upstreams {
		if u.upstream.State != "" {
			all = append(all, u.upstream)
		}
	}
	return all
}

func (sim *pushbackSim) after(delay time.Duration, do func()) {
	heap.Push(&sim.events, pushbackEvent{sim.now.Add(delay), do})
}

func (sim *pushbackSim) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(sim.rng.Int64N(int64(to-from)))
}

// schedule starts the callers and schedules all faults.
func (sim *pushbackSim) schedule() {
	for i := range sim.nodes {
		sim.after(sim.randomDuration(0, time.Second), func() { sim.send(i) })
	}
	all := sim.rng.IntN(3) == 0 // whether all shed load at the same time
	for _, u := range sim.upstreams {
		if all || sim.rng.IntN(2) == 0 {
			sim.after(sim.randomDuration(time.Second, 4*time.Second), func() { sim.shed(u) })
		}
	}
	for range 6 {
		sim.after(sim.randomDuration(2*time.Second, pushbackLastFault), func() { sim.injectFault(sim.upstreams[sim.rng.IntN(len(sim.upstreams))]) })
	}
	if len(sim.upstreams) > 1 && sim.rng.IntN(2) == 0 {
		sim.after(sim.randomDuration(2*time.Second, 10*time.Second), func() { sim.upstreams[0].leaving = true }) // the list does not show it
	}
}

// shed has an upstream reject all requests for a while, with pushbacks in its responses.
func (sim *pushbackSim) shed(u *pushbackUpstream) {
	u.shedsUntil = sim.now.Add(min(sim.randomDuration(2*time.Second, 9*time.Second), sim.start.Add(pushbackLastFault).Sub(sim.now)))
	values := []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, 0, -1, math.MaxInt64}
	u.values = nil
	for range 1 + sim.rng.IntN(4) {
		u.values = append(u.values, values[sim.rng.IntN(len(values))])
	}
}

// injectFault injects a random fault.
func (sim *pushbackSim) injectFault(u *pushbackUpstream) {
	switch sim.rng.IntN(5) {
	case 0: // it restarts under its ID, and each node learns of it at another time
		u.downUntil, u.shedsUntil, u.leaving = sim.now.Add(sim.randomDuration(0, time.Second)), time.Time{}, false
		u.upstream.Incarnation++
		u.windows, u.shutdownNotifiedAt = map[*pushbackNode][]pushbackWindow{}, map[*pushbackNode]time.Time{}
		sim.distributeList(2 * time.Second)
	case 1: // its entry is missing for a while
		u.upstream.State = ""
		sim.distributeList(100 * time.Millisecond)
		sim.after(sim.randomDuration(200*time.Millisecond, 2*time.Second), func() {
			u.upstream.State = vaneyoke.StateLive
			sim.distributeList(100 * time.Millisecond)
		})
	case 2: // nodes restart
		for range 1 + len(sim.nodes)/10 {
			sim.nodes[sim.rng.IntN(len(sim.nodes))] = sim.newNode()
		}
	case 3: // other nodes gossip what they observed of it
		kind := []gossip.Kind{gossip.KindHealthy, gossip.KindLost, gossip.KindUnreachable}[sim.rng.IntN(3)]
		for _, n := range sim.nodes {
			n.state.RecordGossip(sim.now, u.upstream.ID, kind)
		}
	case 4:
		sim.shed(u)
	}
}

// distributeList has each node read the current list at a random time within a period.
func (sim *pushbackSim) distributeList(within time.Duration) {
	all := sim.list()
	sim.listVersion++
	version := sim.listVersion
	for _, n := range sim.nodes {
		sim.after(sim.randomDuration(0, within), func() {
			if n.listVersion < version {
				n.listVersion = version
				n.state.SetUpstreams(slices.Clone(all))
			}
		})
	}
}

func (sim *pushbackSim) run() {
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(pushbackEvent)
		if e.at.Sub(sim.start) > pushbackSimTime {
			return
		}
		sim.now = e.at
		e.do()
	}
}

// send has a caller of a node send a request, and schedules its next one.
func (sim *pushbackSim) send(node int) {
	sim.after(sim.randomDuration(50*time.Millisecond, 400*time.Millisecond), func() { sim.send(node) })
	n := sim.nodes[node]
	wanted := placement.Need{Kind: vaneyoke.KindService, Service: "lm", PromptBytes: 100, AtMostOnce: sim.rng.IntN(2) == 0}
	if sim.prompts {
		wanted.Affinity, wanted.Replicate = fmt.Sprint("p", sim.rng.IntN(50)), true
		for _, u := range append(n.state.AffinityUpstreams(sim.now, wanted), n.state.SpilloverUpstreams(sim.now, sim.rng, wanted)...) {
			sim.receive(n, u, sim.now)
			n.state.Reported(sim.now, u.ID, vaneyoke.LoadReport{})
		}
	}
	sim.requests++
	sim.attempt(n, wanted, sim.now, 0)
}

// attempt places one attempt of a request that a caller sent at the given time.
func (sim *pushbackSim) attempt(n *pushbackNode, need placement.Need, sent time.Time, tries int) {
	if tries == 3 {
		return
	}
	upstream, _, ok := n.state.Pick(sim.now, sim.rng, need)
	if !ok {
		sim.checkRejection(n)
		return
	}
	if need.Replicate {
		if replica, ok := n.state.PickReplica(sim.now, sim.rng, need, upstream); ok {
			sim.receive(n, replica, sent)
			n.state.ReleaseReplica(replica.ID, need)
		}
	}
	n.state.Sent(sim.now, upstream.ID)
	sim.after(sim.randomDuration(time.Millisecond, 20*time.Millisecond), func() {
		u := sim.upstreamOf(upstream.ID)
		if sim.now.Before(u.downUntil) {
			n.state.Ended(sim.now, upstream.ID, placement.OutcomeUnreachable, false)
			sim.attempt(n, need, sent, tries+1)
			return
		}
		pushedBack, delay := sim.receive(n, upstream, sent), sim.randomDuration(5*time.Millisecond, 60*time.Millisecond)
		if pushedBack {
			delay = time.Millisecond
		}
		sim.after(delay, func() { sim.answered(n, need, upstream, sent, tries, pushedBack) })
	})
}

// answered applies the answer to a node's attempt.
func (sim *pushbackSim) answered(n *pushbackNode, need placement.Need, upstream vaneyoke.Upstream, sent time.Time, tries int, pushedBack bool) {
	if !pushedBack {
		n.state.FirstToken(sim.now, upstream.ID, 10*time.Millisecond, 0)
		n.state.Ended(sim.now, upstream.ID, placement.OutcomeDone, true)
		return
	}
	n.state.Ended(sim.now, upstream.ID, placement.OutcomeDropped, false)
	need.Avoid = append(slices.Clone(need.Avoid), upstream.ID)
	sim.attempt(n, need, sent, tries+1)
}

func (sim *pushbackSim) upstreamOf(id vaneyoke.UpstreamID) *pushbackUpstream {
	return sim.upstreams[slices.IndexFunc(sim.upstreams, func(u *pushbackUpstream) bool { return u.upstream.ID == id })]
}

// receive has a message from a node reach an upstream, checks that the node was not asked to stay away, and passes the response's signals to the
// node. It reports whether the upstream rejected the message.
func (sim *pushbackSim) receive(n *pushbackNode, upstream vaneyoke.Upstream, sent time.Time) bool {
	u := sim.upstreamOf(upstream.ID)
	if sim.now.Before(u.downUntil) {
		return false
	}
	upstream.Incarnation = u.upstream.Incarnation // the response carries the current incarnation
	for i := range u.windows[n] {
		window := &u.windows[n][i]
		if sim.now.After(window.from.Add(pushbackGrace)) && sim.now.Before(window.until) {
			if window.received++; window.received > pushbackMaxStray {
				sim.violation("%s got too many requests during the pushback of %s that it had requested", upstream.ID, window.until.Sub(window.from))
			}
		}
	}
	if notified, ok := u.shutdownNotifiedAt[n]; ok && sent.After(notified.Add(pushbackDrain)) {
		sim.violation("%s got a request while it was shutting down", upstream.ID)
	}
	signal := pushback.Signal{Upstream: upstream, Leaving: u.leaving}
	if u.leaving && u.shutdownNotifiedAt[n].IsZero() {
		u.shutdownNotifiedAt[n] = sim.now
	}
	sheds := sim.now.Before(u.shedsUntil)
	if sheds {
		signal.Pushback = u.values[u.nextValue%len(u.values)]
		u.nextValue++
		switch {
		case signal.Pushback == math.MaxInt64: // too long to be honoured, so that the default applies
			u.windows[n] = append(u.windows[n], pushbackWindow{from: sim.now, until: sim.now, maxUntil: sim.now.Add(pushbackMaxDefault)})
		case signal.Pushback > 0:
			until := sim.now.Add(signal.Pushback)
			u.windows[n] = append(u.windows[n], pushbackWindow{from: sim.now, until: until, maxUntil: until})
			sim.pushbacks++
		}
	}
	n.state.RecordSignal(sim.now, signal)
	return sheds
}

// checkRejection checks, for a node that finds no upstream, that each of them is unavailable to it or has asked it recently to stay away.
func (sim *pushbackSim) checkRejection(n *pushbackNode) {
	sim.rejected++
	if sim.now.After(sim.start.Add(pushbackSettled)) {
		sim.violation("a request was rejected although no fault is left")
	}
	for _, u := range sim.upstreams {
		isAway := sim.now.Before(u.downUntil) || u.leaving || !u.isListedBy(n)
		for _, window := range u.windows[n] {
			isAway = isAway || sim.now.Before(window.maxUntil)
		}
		if !isAway {
			sim.violation("a request was rejected although %s would take it", u.upstream.ID)
		}
	}
}

// isListedBy reports whether a node's list has the upstream's current incarnation.
func (u *pushbackUpstream) isListedBy(n *pushbackNode) bool {
	return slices.ContainsFunc(n.state.Loads(time.Time{}), func(l placement.Load) bool {
		return l.Upstream.ID == u.upstream.ID && l.Upstream.Incarnation == u.upstream.Incarnation
	})
}

func (sim *pushbackSim) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("at %s: ", sim.now.Sub(sim.start))+fmt.Sprintf(format, args...))
}

// heldBack returns the upstreams that some node stays away from at the end, although they no longer push back and are not shutting down.
func (sim *pushbackSim) heldBack() (ids []vaneyoke.UpstreamID) {
	for _, u := range sim.upstreams {
		if !u.leaving && slices.ContainsFunc(sim.nodes, func(n *pushbackNode) bool { return n.state.IsHeld(sim.now, u.upstream.ID) }) {
			ids = append(ids, u.upstream.ID)
		}
	}
	return ids
}
