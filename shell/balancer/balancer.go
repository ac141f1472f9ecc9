package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
	"github.com/vaneyoke/vaneyoke/decide/retry"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

// noUpstreamRetry is when a caller should come back where no upstream is live.
const noUpstreamRetry = 2 * time.Second

// Balancer chooses upstreams for the sessions of one node.
type Balancer struct {
	mu      sync.Mutex
	state   *placement.State
	limits  retry.BudgetConfig
	budgets map[vaneyoke.ServiceID]*retry.Budget // of each service, and of all engines under ""
	rng     *rand.Rand

	leaving []vaneyoke.VMID
}

// New returns a balancer over the given state.
func New(state *placement.State, limits retry.BudgetConfig, rng *rand.Rand) *Balancer {
	return &Balancer{state: state, limits: limits, budgets: map[vaneyoke.ServiceID]*retry.Budget{}, rng: rng}
}

// budget returns the retry budget of a service, so that the retries at one do not keep another's from going on.
func (b *Balancer) budget(service vaneyoke.ServiceID) *retry.Budget {
	budget := b.budgets[service]
	if budget == nil {
		budget = retry.NewBudget(b.limits)
		b.budgets[service] = budget
	}
	return budget
}

// SetUpstreams takes in the fleet's upstreams and those of them that are drained.
func (b *Balancer) SetUpstreams(upstreams []vaneyoke.Upstream, drained []vaneyoke.Selector) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetUpstreams(upstreams)
	b.state.SetDrained(drained)
	b.state.SetLeaving(b.leaving)
}

// SetLeaving takes in which VMs are leaving.
func (b *Balancer) SetLeaving(vms []vaneyoke.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = vms
	b.state.SetLeaving(vms)
}

// SetDrained takes in which upstreams are drained.
func (b *Balancer) SetDrained(drained []vaneyoke.Selector) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetDrained(drained)
}

// SetRetryBurst changes how many retries this node can save up for each service.
func (b *Balancer) SetRetryBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Burst = burst
	for _, budget := range b.budgets {
		budget.SetBurst(burst)
	}
}

// Admit notes that a request was taken, which earns a share of a retry.
func (b *Balancer) Admit(need placement.Need) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(need.Service).Admit(time.Now())
}

// Place returns an upstream and its expected time to the first token, and notes that an attempt goes to it.
func (b *Balancer) Place(need placement.Need, isRetry bool) (vaneyoke.Upstream, time.Duration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if isRetry && !b.budget(need.Service).Take(now) {
		return vaneyoke.Upstream{}, 0, vaneyoke.ErrRetryAfter(vaneyoke.CodeRetryExhausted, noUpstreamRetry, "the node's retry budget is spent")
	}
	upstream, expect, ok := b.state.Pick(now, b.rng, need)
	if !ok {
		if isRetry {
			b.budget(need.Service).GiveBack(now)
		}
		return vaneyoke.Upstream{}, 0, b.unplaced(now, need)
	}
	b.state.Sent(now, upstream.ID)
	return upstream, expect, nil
}

// RefundRetry notes that a retry never reached its upstream, so that it does not count.
func (b *Balancer) RefundRetry(need placement.Need) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(need.Service).GiveBack(time.Now())
}

// Replaced notes that another upstream has the address of one that was placed; it got nothing.
func (b *Balancer) Replaced(need placement.Need, isRetry bool, id vaneyoke.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unplace(time.Now(), need, isRetry, id, placement.OutcomeGone)
}

// SetLimit takes in that an upstream names a limit, or none any more.
func (b *Balancer) SetLimit(id vaneyoke.UpstreamID, limit vaneyoke.Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetLimit(id, limit)
}

// Signalled takes in what an upstream said of itself in an answer, and returns the hold that it leads to and what it was before; ok is false where
// nothing follows.
func (b *Balancer) Signalled(signal pushback.Signal) (hold, before pushback.Hold, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, before := b.state.RecordSignal(time.Now(), signal)
	if now == nil {
		return pushback.Hold{}, before, false
	}
	return *now, before, true
}

// IsHeld reports whether an upstream gets no new attempt because it said so.
func (b *Balancer) IsHeld(id vaneyoke.UpstreamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.IsHeld(time.Now(), id)
}

// IsPushedBack reports whether an upstream wants nothing at all for a while, questions included.
func (b *Balancer) IsPushedBack(id vaneyoke.UpstreamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.IsPushedBack(time.Now(), id)
}

// Withheld notes that the limit of an upstream that was placed leaves the attempt nothing; it got nothing.
func (b *Balancer) LimitReached(need placement.Need, isRetry bool, id vaneyoke.UpstreamID, next, turn time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.state.LimitReached(now, id, next, turn)
	b.unplace(now, need, isRetry, id, placement.OutcomeDropped)
}

// unplace takes back that an upstream was placed, which got nothing.
func (b *Balancer) unplace(now time.Time, need placement.Need, isRetry bool, id vaneyoke.UpstreamID, outcome placement.Outcome) {
	b.state.Ended(now, id, outcome, false)
	if isRetry {
		b.budget(need.Service).GiveBack(now)
	}
}

// Lend spends one retry of a service's budget for another node, and reports whether there was one.
func (b *Balancer) Lend(service vaneyoke.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Take(time.Now())
}

func (b *Balancer) unplaced(now time.Time, need placement.Need) error {
	if !b.state.Offers(need) {
		return vaneyoke.Err(vaneyoke.CodeUnknownModel, "no upstream offers %s%s", need.Model, need.Service)
	}
	pushed, isPushed := b.state.PushbackRetryAfter(now, b.rng, need)
	if after, ok := b.state.LimitRetryAfter(now, need); ok && (!isPushed || after <= pushed) {
		return vaneyoke.ErrRetryAfter(vaneyoke.CodeWithheld, after, "the upstreams that could take the request get as many as they name already")
	}
	if isPushed {
		return vaneyoke.ErrRetryAfter(vaneyoke.CodePushedBack, pushed, "the upstreams that could take the request have asked for nothing for a while")
	}
	return vaneyoke.ErrRetryAfter(vaneyoke.CodeNoUpstream, noUpstreamRetry, "no upstream is live")
}

// Offers reports whether any upstream offers what the need asks for.
func (b *Balancer) Offers(need placement.Need) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Offers(need)
}

// PromptHolders returns the upstreams that may keep a prompt.
func (b *Balancer) PromptHolders(need placement.Need) []vaneyoke.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.PromptHolders(time.Now(), need)
}

// AffinityUpstreams returns the upstreams of which one is to get a prompt.
func (b *Balancer) AffinityUpstreams(need placement.Need) []vaneyoke.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.AffinityUpstreams(time.Now(), need)
}

// SpilloverUpstreams returns upstreams that can be asked for their reports because no home of a prompt is free.
func (b *Balancer) SpilloverUpstreams(need placement.Need) []vaneyoke.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.SpilloverUpstreams(time.Now(), b.rng, need)
}

// HasRoom reports whether an upstream that may get a prompt has room for it, as far as upstreams told of their memory.
func (b *Balancer) HasRoom(need placement.Need) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.HasRoom(time.Now(), need)
}

// Reported notes what an upstream told of its work.
func (b *Balancer) Reported(id vaneyoke.UpstreamID, report vaneyoke.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Reported(time.Now(), id, report)
}

// PickReplica returns an upstream that can keep a replica of a run on another, in another data centre where there is one.
func (b *Balancer) PickReplica(need placement.Need, primary vaneyoke.Upstream) (vaneyoke.Upstream, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.PickReplica(time.Now(), b.rng, need, primary)
}

// ReleaseReplica notes that a replica is needed no more.
func (b *Balancer) ReleaseReplica(replica vaneyoke.UpstreamID, need placement.Need) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.ReleaseReplica(replica, need)
}

// Heard takes in what another node saw of an upstream.
func (b *Balancer) RecordGossip(sighting gossip.Sighting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.RecordGossip(time.Now(), sighting.Upstream, sighting.Kind)
}

// Resumed notes that an attempt was attached again to an upstream that it had lost.
func (b *Balancer) Resumed(id vaneyoke.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Resumed(id)
}

// Ended notes how an attempt on a placed upstream came out.
func (b *Balancer) Ended(id vaneyoke.UpstreamID, outcome placement.Outcome, begun bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Ended(time.Now(), id, outcome, begun)
}

// FirstToken notes that an attempt's first token came after a while.
func (b *Balancer) FirstToken(id vaneyoke.UpstreamID, took time.Duration, promptBytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.FirstToken(time.Now(), id, took, promptBytes)
}

// TakesWork reports whether an upstream may be given new work.
func (b *Balancer) TakesWork(id vaneyoke.UpstreamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.TakesWork(time.Now(), id)
}

// SetSplit takes in how a service's requests are divided among the versions of its upstreams.
func (b *Balancer) SetSplit(service vaneyoke.ServiceID, split rollout.Split) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetSplit(service, split)
}

// DrawCanary reports whether a new request tries the version to which its service moves.
func (b *Balancer) DrawCanary(service vaneyoke.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.DrawCanary(b.rng, service)
}

// Running returns the attempts under way by service and version.
func (b *Balancer) Running() map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.InFlightByVersion()
}

// Models returns the models that engines offer.
func (b *Balancer) Models() []vaneyoke.ModelID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Models()
}

// RetriesLeft returns how many retries are left, for each service that was asked for.
func (b *Balancer) RetriesLeft() map[vaneyoke.ServiceID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return lo.MapValues(b.budgets, func(budget *retry.Budget, _ vaneyoke.ServiceID) int { return int(budget.Left(now)) })
}

// Loads returns what the node sees of each upstream.
func (b *Balancer) Loads() []placement.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Loads(time.Now())
}
