package placement_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

const (
	unevenMemory      = 55_000 // tokens per engine
	unevenNodes       = 60
	unevenReportDelay = 200 * time.Millisecond
	unevenGossipDelay = 40 * time.Millisecond
)

// newUnevenSim returns a simulation of engines with 55,000 tokens of memory, prompts of 5,200 tokens of which others share 200, and answers of up
// to 1,120 tokens.
func newUnevenSim(seed uint64, rate float64, chooser outageChooser) *outageSim {
	sim := newOutageSim(seed, unevenEngines, chooser)
	sim.memory, sim.outages = unevenMemory, nil
	sim.arrivalRate = func(time.Duration) float64 { return rate }
	sim.newRun = func(rng *rand.Rand) *outageRun {
		return &outageRun{prompt: int(min(max(5200+400*rng.NormFloat64(), 2000), 8000)), outputLen: 5 * int(min(max(150+40*rng.NormFloat64(), 10), 224))}
	}
	if observer, ok := chooser.(outageObserver); ok {
		sim.observer = observer
	}
	return sim
}

// unevenChooser chooses as the product does, on nodes that get load reports of 200 ms ago and tell each other about slow engines.
type unevenChooser struct {
	rng         *rand.Rand
	nodes       []*placement.State
	origin      time.Time
	gossipLoss  float64 // share of the nodes that a factor does not reach
	reportLoss  float64 // share of the reports that are lost
	ignoresPace bool    // whether the pace of streams is not seen
	gossip      []toldSlowness
	told        int
	placed      int
}

// toldSlowness is a factor on its way to the other nodes.
type toldSlowness struct {
	at     time.Duration
	from   int
	engine vaneyoke.UpstreamID
	factor gossip.Factor
}

func newUnevenChooser(spread placement.Spread) *unevenChooser {
	c := &unevenChooser{rng: rand.New(rand.NewPCG(5, 6)), origin: time.Unix(1000, 0)}
	var all []vaneyoke.Upstream
	for i := range unevenEngines {
		u := engineUpstream(vaneyoke.UpstreamID(fmt.Sprint("e", i)))
		u.DataCentre = vaneyoke.DataCentreID(fmt.Sprint("d", i%3))
		all = append(all, u)
	}
	for range unevenNodes {
		s := placement.New("a", retry.DefaultBreakerConfig())
		s.SetUpstreams(all)
		s.SetSpread(spread)
		c.nodes = append(c.nodes, s)
	}
	return c
}

func (c *unevenChooser) needOf(r *outageRun) placement.Need {
	return placement.Need{
		Kind: need.Kind, Service: need.Service, PromptBytes: r.prompt, AnswerTokens: 1120, SharedTokens: 200, Affinity: r.name, Replicate: true,
	}
}

func (c *unevenChooser) choose(sim *outageSim, r *outageRun) (*outageEngine, time.Duration) {
	c.deliver(sim.now)
	if r.node == 0 {
		c.placed++
		r.node, r.name = 1+c.rng.IntN(len(c.nodes)), fmt.Sprint("p", c.placed)
	}
	s, now, wanted := c.nodes[r.node-1], c.origin.Add(sim.now), c.needOf(r)
	c.report(sim, s, now, s.AffinityUpstreams(now, wanted))
	c.report(sim, s, now, s.SpilloverUpstreams(now, c.rng, wanted))
	if r.generated == 0 && !s.HasRoom(now, wanted) {
		if wait, ok := (admission.CapacityWait{Timeout: outageTimeout, LatencyGoal: outageLatencyGoal}).NextCheck(outageTimeout - (sim.now - r.arrivedAt)); ok {
			return nil, wait
		}
	}
	u, _, _ := s.Pick(now, c.rng, wanted)
	s.Sent(now, u.ID)
	s.Reserve(now, u.ID, wanted)
	r.plannedReplica = nil
	if replica, ok := s.PickReplica(now, c.rng, wanted, u); ok {
		r.plannedReplica = sim.engine(replica.ID)
	}
	e := sim.engine(u.ID)
	if !e.isUp(sim.now) {
		c.release(r)
		s.Ended(now, u.ID, placement.OutcomeUnreachable, false)
	}
	return e, 0
}

func (c *unevenChooser) report(sim *outageSim, s *placement.State, now time.Time, upstreams []vaneyoke.Upstream) {
	for _, u := range upstreams {
		e := sim.engine(u.ID)
		if !e.isUp(sim.now) || len(e.reports) == 0 || c.rng.Float64() < c.reportLoss {
			continue
		}
		s.Reported(now, u.ID, e.reports[max(len(e.reports)-int(unevenReportDelay/outageTick), 0)])
	}
}

// deliver applies what nodes have told each other.
func (c *unevenChooser) deliver(now time.Duration) {
	for len(c.gossip) > 0 && c.gossip[0].at <= now {
		told := c.gossip[0]
		c.gossip = c.gossip[1:]
		for i, s := range c.nodes {
			if i != told.from && c.rng.Float64() >= c.gossipLoss {
				s.RecordSlowness(c.origin.Add(now), told.engine, 0, told.factor)
			}
		}
	}
}

func (c *unevenChooser) produced(_ *outageSim, e *outageEngine, r *outageRun, at time.Duration) {
	s, now := c.nodes[r.node-1], c.origin.Add(at)
	if r.firstTokenAt == 0 {
		r.firstTokenAt = at
		s.FirstToken(now, e.id, at-r.sentAt, r.prompt)
	}
	if c.ignoresPace || r.generated%5 != 0 {
		return
	}
	if interval, ok := r.pace.Add(now); ok {
		if factor, isNews := s.Paced(now, e.id, interval); isNews {
			c.told++
			c.gossip = append(c.gossip, toldSlowness{at: at + unevenGossipDelay, from: r.node - 1, engine: e.id, factor: factor})
		}
	}
}

func (c *unevenChooser) ended(_ *outageSim, e *outageEngine, r *outageRun, at time.Duration, lost bool) {
	s, now := c.nodes[r.node-1], c.origin.Add(at)
	outcome := placement.OutcomeDone
	if lost {
		outcome = placement.OutcomeLost
	}
	if !lost && r.firstTokenAt > 0 {
		s.Completed(now, e.id, c.needOf(r), at-r.firstTokenAt)
	}
	s.Ended(now, e.id, outcome, r.firstTokenAt > 0)
	c.release(r)
}

func (c *unevenChooser) release(r *outageRun) {
	if r.plannedReplica != nil {
		c.nodes[r.node-1].ReleaseReplica(r.plannedReplica.id, c.needOf(r))
		r.plannedReplica = nil
	}
}

func (c *unevenChooser) replica(sim *outageSim, _ *outageEngine, r *outageRun) *outageEngine {
	if r.plannedReplica == nil || !r.plannedReplica.isUp(sim.now) {
		return nil
	}
	return r.plannedReplica
}

// allKnowing chooses the engine that starts a request first, with full knowledge of all queues, memory and speeds.
type allKnowing struct{}

func (allKnowing) choose(sim *outageSim, r *outageRun) (best *outageEngine, retryAfter time.Duration) {
	var bestStart float64
	for _, e := range sim.engines {
		memory := e.queuedTokens() + e.memory() + r.prompt + r.outputLen
		for _, q := range e.runs {
			memory += (q.outputLen - q.generated) / 2
		}
		if !e.isUp(sim.now) || (memory > sim.memory && sim.now-r.arrivedAt < outageTimeout/2) {
			continue
		}
		start := float64(e.queuedTokens()-e.prefilled+r.prompt) * (1 + float64(memory)/float64(sim.memory)) / sim.speed(e, sim.now)
		if best == nil || start < bestStart {
			best, bestStart = e, start
		}
	}
	if best == nil {
		return nil, outageTick
	}
	return best, 0
}

// unevenResult is the outcome of a simulation.
type unevenResult struct {
	inTime, served float64 // shares of the requests
	displaced      int
	busiest        float64       // prompts sent to the busiest engine against the mean
	firstToken     time.Duration // mean time to the first token
}

func playUneven(t *testing.T, name string, sim *outageSim) unevenResult {
	sim.run()
	most, sum := 0, 0
	for _, e := range sim.engines {
		most, sum = max(most, e.prompts), sum+e.prompts
	}
	r := unevenResult{
		inTime: float64(sim.inTime) / float64(sim.requests), served: float64(sim.served) / float64(sim.requests), displaced: sim.displaced,
		busiest: float64(most*len(sim.engines)) / float64(sum), firstToken: lo.Sum(sim.firstTokens) / time.Duration(max(len(sim.firstTokens), 1)),
	}
	told := 0
	if c, ok := sim.chooser.(*unevenChooser); ok {
		told = c.told
	}
	t.Logf("%s: %d requests, in time %.3f, served %.3f, displaced %d, busiest %.2f of the mean, first token %d ms, %.2f million tokens read, factors told %d",
		name, sim.requests, r.inTime, r.served, r.displaced, r.busiest, r.firstToken.Milliseconds(), float64(sim.tokensRead)/1e6, told)
	return r
}

// number returns the engine's number in the simulation.
func (e *outageEngine) number() int {
	n, _ := strconv.Atoi(strings.TrimPrefix(string(e.id), "e"))
	return n
}
