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
	choices = 16   // upstreams that are drawn for each choice
	ownBase = 0.05 // weight of an upstream on which the node has no work
	// goneFor is how long an upstream is left aside at whose address another one answered: longer than entries outlive their
	// upstreams, which is three heartbeats of some 1.2 s, and not for ever, since it may start again under its id.
	goneFor = 5 * time.Second
)

// Need says what an attempt asks of its upstream.
type Need struct {
	Kind      vaneyoke.UpstreamKind
	Model     vaneyoke.ModelID    // of an engine
	Service   vaneyoke.ServiceID  // of a service
	Order     []vaneyoke.Selector // upstreams in the order of preference; nil for any
	Avoid     []vaneyoke.UpstreamID
	Affinity  string            // names the prompt, so that it is sent where it may have been read before; "" for none
	Prefer    vaneyoke.Upstream // upstream that is taken where it takes work, also after it was replaced at its address
	Bytes     int               // size of the prompt
	Replicate bool              // whether another upstream is to keep a replica of the run
	Once      bool              // whether it may be sent to one upstream only
	Trial     bool              // whether it was drawn to try the version to which its service moves
	Free      bool              // whether only upstreams that name no limit are asked for
}

// Outcome says how an attempt on an upstream ended.
type Outcome int

// The outcomes of an attempt.
const (
	OutcomeDone        Outcome = iota + 1 // the upstream did its part
	OutcomeFailed                         // the upstream told a failure, or refused for reasons of its own
	OutcomeLost                           // the upstream was lost, fell silent or broke off
	OutcomeDropped                        // the node ended the attempt
	OutcomeUnreachable                    // the upstream takes no connections
	OutcomeGone                           // another upstream has its address
	OutcomeDeclined                       // the upstream took the request and turned it away

	outcomes = iota + 1 // how many numbers there are, with the one that stands for none
)

// String names the outcome as it stands in metrics.
func (o Outcome) String() string {
	return names.Of(o, "none", "done", "failed", "lost", "dropped", "unreachable", "gone", "declined")
}

// entry is what the node knows of one upstream.
type entry struct {
	upstream     vaneyoke.Upstream
	inFlight     int // attempts of this node
	waiting      int // those of them that have given no token yet
	replicaBytes int // of the prompts of the runs whose replicas it keeps for this node
	first        estimate
	declines     declines
	drained      bool
	reported     vaneyoke.LoadReport // what it told last
	reportedAt   time.Time
	gone         bool      // whether the list has another upstream at its address
	goneUntil    time.Time // until which another upstream is taken to have its address, because it answered there
	leaving      bool      // whether its VM is leaving
	limit        vaneyoke.Limit
	withheld     time.Time      // until which its limit leaves this node no request
	turn         time.Time      // when the last caller that was refused for it is to come back
	hold         *pushback.Hold // that it asked for in any of its lives; nil for none
	breaker      *retry.Breaker
	ended        Outcomes
}

// cost weighs one more request: how long first tokens take there, times the node's own work there.
func (e *entry) cost(now time.Time, usual time.Duration) float64 {
	return float64(e.first.expect(now, usual)) * (ownBase + e.load() + float64(e.waiting) + e.declines.of(now))
}

// load returns the node's own work on the upstream for each of its slots.
func (e *entry) load() float64 {
	slots := max(e.upstream.Slots, 1)
	return float64(e.inFlight) / float64(slots)
}

// State holds the upstreams and the node's own work on each.
type State struct {
	dataCentre vaneyoke.DataCentreID
	breaker    retry.BreakerConfig
	entries    map[vaneyoke.UpstreamID]*entry
	limits     map[vaneyoke.UpstreamID]vaneyoke.Limit // that upstreams name, also those that are not listed
	holds      *pushback.Book
	order      []*entry // by id, so that a choice depends on the random numbers alone
	scratch    []*entry
	divisions  map[vaneyoke.ServiceID]*division // of the services whose upstreams do not all get work
}

// New returns a state without upstreams for a node in the given data centre.
func New(dataCentre vaneyoke.DataCentreID, breaker retry.BreakerConfig) *State {
	return &State{
		dataCentre: dataCentre, breaker: breaker, entries: map[vaneyoke.UpstreamID]*entry{}, limits: map[vaneyoke.UpstreamID]vaneyoke.Limit{},
		holds: pushback.NewBook(), divisions: map[vaneyoke.ServiceID]*division{},
	}
}

// SetUpstreams takes in the fleet's upstreams; what is known of those that stay is kept.
func (s *State) SetUpstreams(upstreams []vaneyoke.Upstream) {
	if s.updated(upstreams) {
		return
	}
	var byURL map[string][]*entry // of those known so far; nil until one comes that is not
	entries := make(map[vaneyoke.UpstreamID]*entry, len(upstreams))
	order := make([]*entry, 0, len(upstreams))
	for _, u := range upstreams {
		e, ok := s.entries[u.ID]
		if !ok {
			e = &entry{breaker: retry.NewBreaker(s.breaker), limit: s.limits[u.ID], hold: s.holds.Of(u.ID)}
			if byURL == nil {
				byURL = lo.GroupBy(s.order, func(e *entry) string { return e.upstream.URL })
			}
			replace(byURL[u.URL])
		}
		s.update(e, ok, u)
		entries[u.ID] = e
		order = append(order, e)
	}
	slices.SortFunc(order, func(a, b *entry) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	s.entries = entries
	s.order = order
	s.arrange()
}

// updated takes in a list of the upstreams that are known already, which costs a fraction of any other, and reports whether it is one.
func (s *State) updated(upstreams []vaneyoke.Upstream) bool {
	if len(upstreams) != len(s.entries) {
		return false
	}
	for i := range upstreams {
		if s.entries[upstreams[i].ID] == nil {
			return false
		}
	}
	for i := range upstreams {
		s.update(s.entries[upstreams[i].ID], true, upstreams[i])
	}
	s.arrange()
	return true
}

func (s *State) arrange() {
	for _, d := range s.divisions {
		d.arrange(s.order)
	}
}

// update takes in what the list says of an upstream, which may have been known before.
func (s *State) update(e *entry, known bool, u vaneyoke.Upstream) {
	if u.Incarnation < e.upstream.Incarnation { // the entry is older than what the upstream told itself
		u.Incarnation = e.upstream.Incarnation
	}
	if known && (e.upstream.Incarnation != 0 && u.Incarnation > e.upstream.Incarnation || u.URL != e.upstream.URL) {
		s.reborn(e)
	}
	e.upstream = u
}

// reborn forgets what is known of an upstream's earlier life, but for this node's attempts, which end by themselves.
func (s *State) reborn(e *entry) {
	e.breaker = retry.NewBreaker(s.breaker)
	e.first, e.declines, e.reported, e.replicaBytes = estimate{}, declines{}, vaneyoke.LoadReport{}, 0
	e.gone, e.goneUntil, e.reportedAt = false, time.Time{}, time.Time{}
	e.limit, e.withheld, e.turn = vaneyoke.Limit{}, time.Time{}, time.Time{}
}

// replace notes that an upstream that was not known has come to an address: whoever had it has ended, whatever the list still
// says of them.
func replace(had []*entry) {
	for _, e := range had {
		e.gone = true
	}
}

// SetDrained takes in which upstreams are drained by policy.
func (s *State) SetDrained(drained []vaneyoke.Selector) {
	for _, e := range s.order {
		e.drained = matchesAny(drained, &e.upstream)
	}
}

// SetLeaving takes in which VMs are leaving.
func (s *State) SetLeaving(vms []vaneyoke.VMID) {
	for _, e := range s.order {
		e.leaving = e.upstream.VM != "" && slices.Contains(vms, e.upstream.VM)
	}
}

func matchesAny(selectors []vaneyoke.Selector, u *vaneyoke.Upstream) bool {
	return slices.ContainsFunc(selectors, func(s vaneyoke.Selector) bool { return s.Matches(u) })
}

// Offers reports whether any upstream, live or not, offers what the need asks for.
func (s *State) Offers(need Need) bool {
	return slices.ContainsFunc(s.order, func(e *entry) bool { return offers(&e.upstream, need) })
}

// Models returns the models that engines offer, sorted.
func (s *State) Models() []vaneyoke.ModelID {
	models := lo.Uniq(lo.FlatMap(s.order, func(e *entry, _ int) []vaneyoke.ModelID { return e.upstream.Models }))
	slices.Sort(models)
	return models
}

// anyUpstream is the order of a request for which no policy names one.
var anyUpstream = []vaneyoke.Selector{vaneyoke.SelectAll}

var tiers = []tier{
	{},
	{avoided: true},
	{other: true},
	{open: true},
	{avoided: true, open: true},
	{other: true, avoided: true, open: true},
	{other: true, open: true},
}

// othersTry is how long requests that can be sent to another upstream have to find out whether one that failed is well again,
// before one that may be sent once only does.
const othersTry = 2 * time.Second

// TakesWork reports whether an upstream may be given new work.
func (s *State) TakesWork(now time.Time, id vaneyoke.UpstreamID) bool {
	e, ok := s.entries[id]
	return ok && e.takesWork(now)
}

// mayWork reports whether nothing but failures speaks against new work on the upstream.
func (e *entry) mayWork(now time.Time) bool {
	return e.upstream.State == vaneyoke.StateLive && !e.drained && !e.leaving && !e.gone && !now.Before(e.goneUntil) && !now.Before(e.withheld) &&
		!e.hold.At(now, &e.upstream)
}

// takesWork reports whether the upstream may be given new work.
func (e *entry) takesWork(now time.Time) bool {
	return e.mayWork(now) && e.breaker.Allows(now)
}

func offers(u *vaneyoke.Upstream, need Need) bool {
	if u.Kind != need.Kind {
		return false
	}
	if need.Kind == vaneyoke.KindEngine {
		return slices.Contains(u.Models, need.Model)
	}
	return u.Service == need.Service
}

// Sent notes that an attempt goes to an upstream.
func (s *State) Sent(now time.Time, id vaneyoke.UpstreamID) {
	if e, ok := s.entries[id]; ok {
		e.inFlight++
		e.waiting++
		e.breaker.Sent(now)
	}
}

// Resumed notes that an attempt was attached again to a stream that gives tokens already.
func (s *State) Resumed(id vaneyoke.UpstreamID) {
	if e, ok := s.entries[id]; ok {
		e.inFlight++
	}
}

// FirstToken notes that an attempt's first token came after a while, which closes the breaker.
func (s *State) FirstToken(now time.Time, id vaneyoke.UpstreamID, took time.Duration, promptBytes int) {
	if e, ok := s.entries[id]; ok {
		e.waiting = max(e.waiting-1, 0)
		e.first.add(now, took, promptBytes)
		e.breaker.Succeeded()
	}
}

// Ended notes how an attempt that was sent came out; begun says whether its first token had come.
func (s *State) Ended(now time.Time, id vaneyoke.UpstreamID, outcome Outcome, begun bool) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	e.ended[outcome]++
	e.inFlight = max(e.inFlight-1, 0)
	if !begun {
		e.waiting = max(e.waiting-1, 0)
	}
	switch outcome {
	case OutcomeDone:
		e.breaker.Succeeded()
	case OutcomeFailed, OutcomeLost:
		e.breaker.Failed(now)
	case OutcomeDropped:
		e.breaker.Dropped()
	case OutcomeDeclined:
		e.breaker.Dropped()
		e.declines.add(now)
	case OutcomeUnreachable:
		e.breaker.Open(now)
	case OutcomeGone:
		e.goneUntil = now.Add(goneFor)
	}
}
