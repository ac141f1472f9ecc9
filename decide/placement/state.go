package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
	"github.com/vaneyoke/vaneyoke/decide/retry"
	"github.com/vaneyoke/vaneyoke/internal/names"
)

const (
	sampleSize = 16   // random candidates compared per choice
	baseLoad   = 0.05 // load assumed for an upstream on which the node has no work
	// replacedTTL is how long an upstream gets no work after another one answered at its address. It exceeds the time that an entry outlives
	// its upstream, three heartbeats of about 1.2 s, and is limited because the upstream may restart under the same ID.
	replacedTTL = 5 * time.Second
)

// Need describes the upstream that an attempt requires.
type Need struct {
	Kind        vaneyoke.UpstreamKind
	Model       vaneyoke.ModelID    // for engines
	Service     vaneyoke.ServiceID  // for services
	Order       []vaneyoke.Selector // in order of preference; nil for any upstream
	Avoid       []vaneyoke.UpstreamID
	Affinity    string            // identifies the prompt, so that it goes to upstreams that may have it in their cache; "" for none
	Prefer      vaneyoke.Upstream // picked if it takes work, even under a new ID at the same address
	PromptBytes int               // size of the prompt
	// AnswerTokens is the most tokens that the answer may have; 0 if unknown.
	AnswerTokens vaneyoke.Tokens
	// SharedTokens is how many tokens at the start of the prompt other prompts may begin with too; all of them if unknown.
	SharedTokens vaneyoke.Tokens
	Replicate    bool         // whether another upstream is to keep a replica of the run
	AtMostOnce   bool         // whether it may be sent to one upstream only
	Canary       bool         // whether it was selected to test the version that its service is moving to
	Pin          vaneyoke.Pin // of the answer to the software version that began it
	Unlimited    bool         // whether only upstreams without a declared limit qualify
	Continuable  bool         // whether another attempt may go on with the answer, so that the upstream's software version should be known
}

// Outcome is how an attempt on an upstream ended.
type Outcome int

// The outcomes of an attempt.
const (
	OutcomeDone        Outcome = iota + 1 // the upstream completed its part
	OutcomeFailed                         // the upstream reported a failure, or refused for internal reasons
	OutcomeLost                           // the upstream was lost, stopped responding or broke off the stream
	OutcomeDropped                        // the node cancelled the attempt
	OutcomeUnreachable                    // the upstream accepts no connections
	OutcomeGone                           // another upstream answered at its address
	OutcomeDeclined                       // the upstream received the request and rejected it
	OutcomePathLost                       // this node could not connect to the upstream, which other nodes may reach

	numOutcomes = iota + 1 // number of outcomes, including the zero value
)

// String returns the outcome's name in metrics.
func (o Outcome) String() string {
	return names.Of(o, "none", "done", "failed", "lost", "dropped", "unreachable", "gone", "declined", "path_lost")
}

// entry is the node's state for one upstream.
type entry struct {
	upstream           vaneyoke.Upstream
	inFlight           int // attempts from this node
	awaitingFirstToken int // attempts in flight without a first token
	replicaBytes       int // prompt bytes of the runs whose replicas it keeps for this node
	firstToken         estimate
	declines           declines
	drained            bool
	report             vaneyoke.LoadReport // its latest load report
	reportedAt         time.Time
	lostAt             time.Time  // when this node last lost an attempt on it
	sent               []sentWork // by time
	slowness           *slowness  // nil if its pace is unknown
	listing            int        // position in the order in which upstreams were first listed
	replaced           bool       // whether a later upstream is listed at its address
	replacedUntil      time.Time  // until when it gets no work because another upstream answered at its address
	vmLeaving          bool       // whether its VM is being removed
	isAnnounced        bool       // whether its version is not to begin streams yet
	limit              vaneyoke.Limit
	limitedUntil       time.Time      // until when its rate limit leaves this node no request
	lastRetryAt        time.Time      // retry-after time given to the last caller refused for its limit
	isBrittle          bool           // whether it last said that it is brittle
	rejectedUntil      time.Time      // until when it gets nothing because it rejected a request while its service is brittle
	hold               *pushback.Hold // latest hold of any incarnation; nil for none
	breaker            *retry.Breaker
	outcomes           Outcomes
}

// cost returns the cost of one more request: the expected time to the first token, multiplied by the node's load on the upstream.
func (e *entry) cost(now time.Time, fallback time.Duration) float64 {
	return float64(e.firstToken.expected(now, fallback)) * (baseLoad + e.load() + float64(e.awaitingFirstToken) + e.declines.decayed(now))
}

// load returns the node's attempts in flight per slot of the upstream.
func (e *entry) load() float64 {
	slots := max(e.upstream.Slots, 1)
	return float64(e.inFlight) / float64(slots)
}

// State holds the known upstreams and this node's load on each.
type State struct {
	dataCentre vaneyoke.DataCentreID
	breaker    retry.BreakerConfig
	entries    map[vaneyoke.UpstreamID]*entry
	limits     map[vaneyoke.UpstreamID]vaneyoke.Limit // declared limits, including those of upstreams that are not listed
	holds      *pushback.Tracker
	sorted     []*entry // by ID, so that choices are deterministic for a given random source
	scratch    []*entry
	splits     map[vaneyoke.ServiceID]*serviceSplit // by service; only services that split requests by version
	speeds     map[vaneyoke.ServiceID]*serviceSpeed
	spread     Spread
	uneven     map[vaneyoke.ServiceID]*unevenness
	brittle    map[vaneyoke.ServiceID]brittleness
	announced  map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion
	listings   map[vaneyoke.UpstreamID]int // order in which upstreams were first listed, including some that are not any more
	lastListed int
	fleet      Fleet
}

// New returns a state without upstreams for a node in the given data centre.
func New(dataCentre vaneyoke.DataCentreID, breaker retry.BreakerConfig) *State {
	return &State{
		dataCentre: dataCentre, breaker: breaker, entries: map[vaneyoke.UpstreamID]*entry{}, limits: map[vaneyoke.UpstreamID]vaneyoke.Limit{},
		holds: pushback.NewTracker(), splits: map[vaneyoke.ServiceID]*serviceSplit{},
		speeds: map[vaneyoke.ServiceID]*serviceSpeed{}, uneven: map[vaneyoke.ServiceID]*unevenness{},
		brittle: map[vaneyoke.ServiceID]brittleness{}, listings: map[vaneyoke.UpstreamID]int{},
	}
}

// SetUpstreams replaces the list of upstreams and keeps the state of those that remain listed.
func (s *State) SetUpstreams(upstreams []vaneyoke.Upstream) {
	if s.updateInPlace(upstreams) {
		return
	}
	entries := make(map[vaneyoke.UpstreamID]*entry, len(upstreams))
	order := make([]*entry, 0, len(upstreams))
	for _, u := range upstreams {
		e, ok := s.entries[u.ID]
		if !ok {
			e = &entry{breaker: retry.NewBreaker(s.breaker), limit: s.limits[u.ID], hold: s.holds.Hold(u.ID), listing: s.listingOf(u.ID)}
		}
		s.update(e, ok, u)
		entries[u.ID] = e
		order = append(order, e)
	}
	slices.SortFunc(order, func(a, b *entry) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	s.entries = entries
	s.sorted = order
	s.refreshReplaced()
	s.refreshSplits()
	s.refreshAnnounced()
}

// updateInPlace applies a list with the same upstreams as before, which is much cheaper than rebuilding, and reports whether it was such a list.
func (s *State) updateInPlace(upstreams []vaneyoke.Upstream) bool {
	if len(upstreams) != len(s.entries) {
		return false
	}
	for i := range upstreams {
		if s.entries[upstreams[i].ID] == nil {
			return false
		}
	}
	isMoved := false
	for i := range upstreams {
		isMoved = s.update(s.entries[upstreams[i].ID], true, upstreams[i]) || isMoved
	}
	if isMoved {
		s.refreshReplaced()
	}
	s.refreshSplits()
	s.refreshAnnounced()
	return true
}

// refreshSplits recomputes the splits after the upstreams have changed.
func (s *State) refreshSplits() {
	for _, sp := range s.splits {
		sp.selectCanaries(s.sorted)
	}
}

// update applies the list's entry for an upstream, and reports whether the upstream has restarted or has another address; known says whether it was listed
// before.
func (s *State) update(e *entry, known bool, u vaneyoke.Upstream) (isMoved bool) {
	if u.Incarnation < e.upstream.Incarnation { // the entry is older than the upstream's own report
		u.VersionUnknown = e.upstream.VersionUnknown && u.Incarnation != 0 // an entry that states no incarnation may be of any
		u.Incarnation = e.upstream.Incarnation
	}
	isMoved = known && (e.upstream.Incarnation != 0 && u.Incarnation > e.upstream.Incarnation || u.URL != e.upstream.URL)
	if isMoved {
		s.resetAfterRestart(e)
	}
	e.upstream = u
	return isMoved
}

// resetAfterRestart drops the state of an upstream's earlier incarnation, except this node's attempts in flight, which end on their own.
func (s *State) resetAfterRestart(e *entry) {
	e.breaker = retry.NewBreaker(s.breaker)
	e.firstToken, e.declines, e.report, e.replicaBytes = estimate{}, declines{}, vaneyoke.LoadReport{}, 0
	e.replaced, e.replacedUntil, e.reportedAt, e.sent = false, time.Time{}, time.Time{}, nil
	e.slowness = nil
	e.limit, e.limitedUntil, e.lastRetryAt = vaneyoke.Limit{}, time.Time{}, time.Time{}
}

// SetDrained sets which upstreams are drained by policy.
func (s *State) SetDrained(drained []vaneyoke.Selector) {
	for _, e := range s.sorted {
		e.drained = matchesAny(drained, &e.upstream)
	}
}

// SetLeaving sets which VMs are being removed.
func (s *State) SetLeaving(vms []vaneyoke.VMID) {
	for _, e := range s.sorted {
		e.vmLeaving = e.upstream.VM != "" && slices.Contains(vms, e.upstream.VM)
	}
}

func matchesAny(selectors []vaneyoke.Selector, u *vaneyoke.Upstream) bool {
	return slices.ContainsFunc(selectors, func(s vaneyoke.Selector) bool { return s.Matches(u) })
}

// Offers reports whether any upstream, live or not, offers the required model or service.
func (s *State) Offers(need Need) bool {
	return slices.ContainsFunc(s.sorted, func(e *entry) bool { return offers(&e.upstream, need) })
}

// Models returns the models that engines offer, sorted.
func (s *State) Models() []vaneyoke.ModelID {
	models := lo.Uniq(lo.FlatMap(s.sorted, func(e *entry, _ int) []vaneyoke.ModelID { return e.upstream.Models }))
	slices.Sort(models)
	return models
}

// anyUpstream is the order of preference of a request without a policy.
var anyUpstream = []vaneyoke.Selector{vaneyoke.SelectAll}

// tiers lists the sets of candidates in the order in which they are tried.
var tiers = []tier{
	{},
	{avoided: true},
	{fallbackVersion: true},
	{ignoreBreaker: true},
	{avoided: true, ignoreBreaker: true},
	{fallbackVersion: true, avoided: true, ignoreBreaker: true},
	{fallbackVersion: true, ignoreBreaker: true},
}

// atMostOnceTrialDelay is how much later than other requests one that may be sent only once may be the trial of an open circuit breaker,
// so that normally a request that can be retried is the trial.
const atMostOnceTrialDelay = 2 * time.Second

// Upstream returns a listed upstream.
func (s *State) Upstream(id vaneyoke.UpstreamID) (vaneyoke.Upstream, bool) {
	e, ok := s.entries[id]
	if !ok {
		return vaneyoke.Upstream{}, false
	}
	return e.upstream, true
}

// confirmTTL is how long a load report shows which incarnation of an upstream runs; a restart takes longer.
const confirmTTL = 100 * time.Millisecond

// IsConfirmed reports whether an upstream's incarnation is known by a load report that was asked for a moment ago, since when no attempt on it was lost.
func (s *State) IsConfirmed(now time.Time, id vaneyoke.UpstreamID) bool {
	e, ok := s.entries[id]
	return ok && now.Sub(e.report.AskedAt) < confirmTTL && e.report.AskedAt.After(e.lostAt)
}

// AcceptsWork reports whether an upstream may get new work.
func (s *State) AcceptsWork(now time.Time, id vaneyoke.UpstreamID) bool {
	e, ok := s.entries[id]
	return ok && e.takesWork(now)
}

// isEligible reports whether the upstream may get new work, regardless of its circuit breaker.
func (e *entry) isEligible(now time.Time) bool {
	return e.upstream.State == vaneyoke.StateLive && !e.drained && !e.vmLeaving && !e.replaced && !now.Before(e.replacedUntil) && !now.Before(e.limitedUntil) &&
		!e.hold.Active(now, &e.upstream)
}

// takesWork reports whether the upstream may get new work.
func (e *entry) takesWork(now time.Time) bool {
	return e.isEligible(now) && e.breaker.Allows(now)
}

// offers reports whether an upstream offers the required model or service.
func offers(u *vaneyoke.Upstream, need Need) bool {
	if u.Kind != need.Kind || !need.Pin.Allows(u) {
		return false
	}
	if need.Kind == vaneyoke.KindEngine {
		return slices.Contains(u.Models, need.Model)
	}
	return u.Service == need.Service
}

// Sent records that an attempt was sent to an upstream.
func (s *State) Sent(now time.Time, id vaneyoke.UpstreamID) {
	if e, ok := s.entries[id]; ok {
		e.inFlight++
		e.awaitingFirstToken++
		e.breaker.Sent(now)
	}
}

// Resumed records that an attempt was reattached to a stream that already produces tokens.
func (s *State) Resumed(id vaneyoke.UpstreamID) {
	if e, ok := s.entries[id]; ok {
		e.inFlight++
	}
}

// FirstToken records the time to an attempt's first token, and closes the circuit breaker.
func (s *State) FirstToken(now time.Time, id vaneyoke.UpstreamID, elapsed time.Duration, promptBytes int) {
	if e, ok := s.entries[id]; ok {
		e.awaitingFirstToken = max(e.awaitingFirstToken-1, 0)
		e.firstToken.add(now, elapsed, promptBytes)
		s.recordPrefill(now, e, elapsed)
		e.breaker.Succeeded()
	}
}

// Ended records the outcome of an attempt; begun says whether its first token had arrived.
func (s *State) Ended(now time.Time, id vaneyoke.UpstreamID, outcome Outcome, begun bool) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	if !begun {
		e.awaitingFirstToken = max(e.awaitingFirstToken-1, 0)
	}
	s.recordOutcome(now, e, outcome)
}

// Suspected records that an upstream does not go on with an attempt, which is still in flight as no other upstream takes it over.
func (s *State) Suspected(now time.Time, id vaneyoke.UpstreamID, outcome Outcome) {
	if e, ok := s.entries[id]; ok {
		s.recordOutcome(now, e, outcome)
	}
}

func (s *State) recordOutcome(now time.Time, e *entry, outcome Outcome) {
	e.outcomes[outcome]++
	switch outcome {
	case OutcomeDone:
		e.breaker.Succeeded()
	case OutcomeFailed, OutcomeLost:
		e.breaker.Failed(now)
		e.lostAt = now
	case OutcomeDropped:
		e.breaker.Inconclusive()
	case OutcomeDeclined:
		e.breaker.Inconclusive()
		e.declines.add(now)
		s.pauseAfterRejection(now, e)
	case OutcomeUnreachable, OutcomePathLost:
		e.breaker.Open(now)
		e.lostAt = now
	case OutcomeGone:
		e.replacedUntil = now.Add(replacedTTL)
	}
}
