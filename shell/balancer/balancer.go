package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

// noUpstreamRetryAfter is the retry-after time if no upstream is live or the retry budget is exhausted.
const noUpstreamRetryAfter = 2 * time.Second

// Balancer chooses upstreams for the sessions of one node.
type Balancer struct {
	mu           sync.Mutex
	state        *placement.State
	history      *pinning.History
	budgetConfig retry.BudgetConfig
	budgets      map[vaneyoke.ServiceID]*retry.Budget // by service; all engines share the entry ""
	rng          *rand.Rand

	leaving []vaneyoke.VMID
}

// New returns a Balancer for the given state.
func New(state *placement.State, budgetConfig retry.BudgetConfig, rng *rand.Rand) *Balancer {
	return &Balancer{state: state, history: pinning.NewHistory(), budgetConfig: budgetConfig, budgets: map[vaneyoke.ServiceID]*retry.Budget{}, rng: rng}
}

// budget returns the retry budget of a service. Budgets are separate so that retries of one service do not use up those of another.
func (b *Balancer) budget(service vaneyoke.ServiceID) *retry.Budget {
	budget := b.budgets[service]
	if budget == nil {
		budget = retry.NewBudget(b.budgetConfig)
		b.budgets[service] = budget
	}
	return budget
}

// SetUpstreams sets the upstreams of the fleet and which of them are drained.
func (b *Balancer) SetUpstreams(upstreams []vaneyoke.Upstream, drained []vaneyoke.Selector) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history.Update(time.Now(), upstreams)
	b.state.SetUpstreams(upstreams)
	b.state.SetDrained(drained)
	b.state.SetLeaving(b.leaving)
}

// SetLeaving sets the VMs that are leaving.
func (b *Balancer) SetLeaving(vms []vaneyoke.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = vms
	b.state.SetLeaving(vms)
}

// SetDrained sets which upstreams are drained.
func (b *Balancer) SetDrained(drained []vaneyoke.Selector) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetDrained(drained)
}

// SetRetryBurst sets how many retries this node can accumulate for each service.
func (b *Balancer) SetRetryBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetConfig.Burst = burst
	for _, budget := range b.budgets {
		budget.SetBurst(burst)
	}
}

// Admit records an accepted request, which adds a fraction of a retry to the budget.
func (b *Balancer) Admit(need placement.Need) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(need.Service).Admit(time.Now())
}

// Place selects an upstream, records an attempt on it, and returns it with its expected time to first token.
func (b *Balancer) Place(need placement.Need, isRetry bool) (vaneyoke.Upstream, time.Duration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if isRetry && !b.budget(need.Service).Take(now) {
		return vaneyoke.Upstream{}, 0, vaneyoke.ErrRetryAfter(vaneyoke.CodeRetryExhausted, noUpstreamRetryAfter, "the node's retry budget is spent")
	}
	upstream, expectedTTFT, ok := b.state.Pick(now, b.rng, need)
	if !ok {
		if isRetry {
			b.budget(need.Service).GiveBack(now)
		}
		return vaneyoke.Upstream{}, 0, b.placementError(now, need)
	}
	b.state.Sent(now, upstream.ID)
	b.state.Reserve(now, upstream.ID, need)
	return upstream, expectedTTFT, nil
}

// RefundRetry returns a retry to the budget that never reached its upstream.
func (b *Balancer) RefundRetry(need placement.Need) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(need.Service).GiveBack(time.Now())
}

// RecordReplaced undoes a placement on an upstream whose address now belongs to another upstream. Nothing was sent to it.
func (b *Balancer) RecordReplaced(need placement.Need, isRetry bool, id vaneyoke.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.undoPlacement(time.Now(), need, isRetry, id, placement.OutcomeGone)
}

// Upstream returns a listed upstream.
func (b *Balancer) Upstream(id vaneyoke.UpstreamID) (vaneyoke.Upstream, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Upstream(id)
}

// undoPlacement reverts a placement on an upstream to which nothing was sent.
func (b *Balancer) undoPlacement(now time.Time, need placement.Need, isRetry bool, id vaneyoke.UpstreamID, outcome placement.Outcome) {
	b.state.Ended(now, id, outcome, false)
	if isRetry {
		b.budget(need.Service).GiveBack(now)
	}
}

// Lend takes one retry from a service's budget for another node, and reports whether one was available.
func (b *Balancer) Lend(service vaneyoke.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Take(time.Now())
}

func (b *Balancer) placementError(now time.Time, need placement.Need) error {
	if need.Pin.IsSet {
		return b.pinnedError(now, need)
	}
	if !b.state.Offers(need) {
		return vaneyoke.Err(vaneyoke.CodeUnknownModel, "no upstream offers %s%s", need.Model, need.Service)
	}
	return b.unavailableError(now, need)
}

// unavailableError returns why none of the upstreams that offer what is needed takes an attempt.
func (b *Balancer) unavailableError(now time.Time, need placement.Need) error {
	pushbackRetryAfter, isPushedBack := b.state.PushbackRetryAfter(now, b.rng, need)
	if limitRetryAfter, ok := b.state.LimitRetryAfter(now, need); ok && (!isPushedBack || limitRetryAfter <= pushbackRetryAfter) {
		return vaneyoke.ErrRetryAfter(vaneyoke.CodeWithheld, limitRetryAfter, "the upstreams that could take the request get as many as they name already")
	}
	if isPushedBack {
		return vaneyoke.ErrRetryAfter(vaneyoke.CodePushedBack, pushbackRetryAfter, "the upstreams that could take the request have asked for nothing for a while")
	}
	return vaneyoke.ErrRetryAfter(vaneyoke.CodeNoUpstream, noUpstreamRetryAfter, "no upstream is live")
}

// Offers reports whether any upstream offers the model or service of need.
func (b *Balancer) Offers(need placement.Need) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Offers(need)
}

// PromptHolders returns the upstreams that may have the prompt cached.
func (b *Balancer) PromptHolders(need placement.Need) []vaneyoke.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.PromptHolders(time.Now(), need)
}

// AffinityUpstreams returns the upstreams that are preferred for a prompt, by affinity.
func (b *Balancer) AffinityUpstreams(need placement.Need) []vaneyoke.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.AffinityUpstreams(time.Now(), need)
}

// SpilloverUpstreams returns further upstreams that can be queried for load reports if all upstreams preferred for a prompt are busy.
func (b *Balancer) SpilloverUpstreams(need placement.Need) []vaneyoke.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.SpilloverUpstreams(time.Now(), b.rng, need)
}

// PickReplica selects an upstream for a replica of a run on primary, in another data centre if possible.
func (b *Balancer) PickReplica(need placement.Need, primary vaneyoke.Upstream) (vaneyoke.Upstream, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.PickReplica(time.Now(), b.rng, need, primary)
}

// ReleaseReplica records that a replica is no longer needed.
func (b *Balancer) ReleaseReplica(replica vaneyoke.UpstreamID, need placement.Need) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.ReleaseReplica(replica, need)
}

// Resumed records that an attempt reconnected to its upstream after a lost connection.
func (b *Balancer) Resumed(id vaneyoke.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Resumed(id)
}

// Ended records the outcome of an attempt; begun says whether its first token had arrived.
func (b *Balancer) Ended(id vaneyoke.UpstreamID, outcome placement.Outcome, begun bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Ended(time.Now(), id, outcome, begun)
}

// Suspected records that an upstream does not go on with an attempt, which is still in flight.
func (b *Balancer) Suspected(id vaneyoke.UpstreamID, outcome placement.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Suspected(time.Now(), id, outcome)
}

// FirstToken records the time to first token of an attempt.
func (b *Balancer) FirstToken(id vaneyoke.UpstreamID, took time.Duration, promptBytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.FirstToken(time.Now(), id, took, promptBytes)
}

// AcceptsWork reports whether an upstream may get new attempts.
func (b *Balancer) AcceptsWork(id vaneyoke.UpstreamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.AcceptsWork(time.Now(), id)
}

// SetSplit sets how the requests of a service are divided among the versions of its upstreams.
func (b *Balancer) SetSplit(service vaneyoke.ServiceID, split rollout.Split) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetSplit(service, split)
}

// DrawCanary decides at random whether a new request goes to the target version of its service's rollout.
func (b *Balancer) DrawCanary(service vaneyoke.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.DrawCanary(b.rng, service)
}

// InFlightByVersion returns the number of attempts in flight by service and version.
func (b *Balancer) InFlightByVersion() map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int {
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

// RetriesLeft returns the number of retries left for each service that has a budget.
func (b *Balancer) RetriesLeft() map[vaneyoke.ServiceID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return lo.MapValues(b.budgets, func(budget *retry.Budget, _ vaneyoke.ServiceID) int { return int(budget.Left(now)) })
}
