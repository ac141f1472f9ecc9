package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Config holds the settings of rollouts.
type Config struct {
	Exposure float64       // largest share of a service's requests, over all nodes, for a version not yet judged good
	Hold     time.Duration // time without requests for a version that is new to a service, because the order for it may arrive later
}

const (
	canaryExposureShare = 0.8                     // share of the exposure that the canary uses; the rest is left for the ramp
	rampShare           = 0.3                     // share of the requests during the ramp
	minRampTime         = 1500 * time.Millisecond // answers to a second of requests, and the time they take up the tree
	minFullTime         = time.Second             // all nodes learn of the full stage meanwhile
	completionShare     = 0.4                     // share of an order's time for the stages after the canary
	minCompletionTime   = 3 * time.Second         // streams in flight at the old upstreams end meanwhile
	maxCompletionTime   = 8 * time.Second
	decisionMargin      = 700 * time.Millisecond // before the deadline, at which a decision is written whatever is known: two ticks and a write
	minWriteInterval    = 700 * time.Millisecond // the row of the previous write comes back meanwhile
	reportTTL           = 2 * time.Second        // validity of a child's report; a node that changed its parent reports elsewhere
	drainTime           = 15 * time.Second       // after completion, during which old upstreams, which are being stopped, get no requests
)

// State is what a node knows of all rollouts.
type State struct {
	self       vaneyoke.VMID
	config     Config
	readsStore bool

	clockReadAt       time.Time // when the store's clock was read; zero if never
	clock             vaneyoke.StoreTime
	clockRequestedAt  time.Time // when it was last requested
	orders            map[vaneyoke.ServiceID]activeOrder
	rows              map[vaneyoke.ServiceID]Row                                    // nil until they are known
	firstSeen         map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]time.Time // when a present version appeared; zero if it came with the service's first
	upstreamCounts    map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int
	inFlightByVersion map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int
	rollouts          map[vaneyoke.ServiceID]*progress
	splits            map[vaneyoke.ServiceID]Split // as last emitted
	effects           []Effect
}

// activeOrder is a current order.
type activeOrder struct {
	Order
	learnedAt time.Time // when this node learned of it
}

// progress is what a node knows of the rollout of a service.
type progress struct {
	order         vaneyoke.Revision // revision in its record
	stage         Stage
	stageSince    time.Time // when this node learned of the stage
	ownTally      Tally
	pendingLosses map[vaneyoke.UpstreamID][]Answered // counted once the upstream answers again: a crashed upstream does not make its version bad
	children      map[vaneyoke.VMID]childReport
	bad           bool
	lastWrite     time.Time
}

// childReport is the last report of a child node.
type childReport struct {
	receivedAt time.Time
	report     Report
}

// New returns an empty state.
func New(self vaneyoke.VMID, config Config) *State {
	return &State{
		self: self, config: config, orders: map[vaneyoke.ServiceID]activeOrder{}, rollouts: map[vaneyoke.ServiceID]*progress{},
		firstSeen: map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]time.Time{}, splits: map[vaneyoke.ServiceID]Split{},
	}
}

// Handle processes an event and returns the effects to carry out; the slice is valid until the next call.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case OrdersUpdated:
		s.setOrders(now, ev.Orders)
	case RecordsUpdated:
		s.setRows(now, ev.Rows)
	case UpstreamsUpdated:
		s.setUpstreams(now, ev.All)
	case Answered:
		s.recordAnswer(ev)
		return s.effects
	case ReportReceived:
		s.recordReports(now, ev)
	case StopsReceived:
		s.applyStops(ev.Stops)
	case ClockRead:
		s.clock, s.clockReadAt = ev.At, now
		s.tick(now)
	case Tick:
		s.inFlightByVersion, s.readsStore = ev.InFlightByVersion, ev.ReadsStore
		s.tick(now)
	}
	s.updateSplits(now)
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// setOrders replaces the orders; an order that is already known keeps the time at which it was learned.
func (s *State) setOrders(now time.Time, orders []Order) {
	before := s.orders
	s.orders = make(map[vaneyoke.ServiceID]activeOrder, len(orders))
	for _, o := range orders {
		learnedAt := now
		if old, ok := before[o.Service]; ok && old.Revision == o.Revision {
			learnedAt = old.learnedAt
		}
		s.orders[o.Service] = activeOrder{Order: o, learnedAt: learnedAt}
	}
}

// setRows replaces the rows; a row of another order resets what was counted.
func (s *State) setRows(now time.Time, rows []Row) {
	s.rows = map[vaneyoke.ServiceID]Row{}
	for _, row := range rows {
		s.rows[row.Service] = row
		p := s.rollouts[row.Service]
		if p == nil || p.order != row.Order {
			p = &progress{order: row.Order, ownTally: Tally{}, pendingLosses: map[vaneyoke.UpstreamID][]Answered{}, children: map[vaneyoke.VMID]childReport{}}
			s.rollouts[row.Service] = p
		}
		if p.stage != row.Stage {
			p.stage, p.stageSince = row.Stage, now
		}
	}
}

// setUpstreams replaces the upstreams; a version is new if it appears at a service that already has other versions.
func (s *State) setUpstreams(now time.Time, all []vaneyoke.Upstream) {
	s.upstreamCounts = map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int{}
	for _, u := range all {
		if s.upstreamCounts[u.Service] == nil {
			s.upstreamCounts[u.Service] = map[vaneyoke.SoftwareVersion]int{}
		}
		s.upstreamCounts[u.Service][u.Version]++
	}
	before := s.firstSeen
	s.firstSeen = map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]time.Time{}
	for service, versions := range s.upstreamCounts {
		s.firstSeen[service] = map[vaneyoke.SoftwareVersion]time.Time{}
		for version := range versions {
			at, known := before[service][version]
			if !known && len(before[service]) > 0 {
				at = now
			}
			s.firstSeen[service][version] = at
		}
	}
}

// recordAnswer counts an answer; a loss counts once the same upstream answers again.
func (s *State) recordAnswer(ev Answered) {
	service := ev.Upstream.Service
	p, row := s.rollouts[service], s.rows[service]
	if p == nil || row.Stage.Final() || row.Stage == 0 || ev.Upstream.Version == "" {
		return
	}
	isTarget := ev.Upstream.Version == row.Target
	if ev.Answer.Kind == AnswerLost {
		p.pendingLosses[ev.Upstream.ID] = append(p.pendingLosses[ev.Upstream.ID], ev)
		return
	}
	for _, lost := range p.pendingLosses[ev.Upstream.ID] {
		p.ownTally.count(lost.Route, isTarget, lost.Answer)
	}
	delete(p.pendingLosses, ev.Upstream.ID)
	p.ownTally.count(ev.Route, isTarget, ev.Answer)
}

// recordReports stores the reports of a child node and stops the rollouts that it found bad.
func (s *State) recordReports(now time.Time, ev ReportReceived) {
	for _, report := range ev.Reports {
		p := s.rollouts[report.Service]
		if p == nil || p.order != report.Order {
			continue
		}
		p.children[ev.From] = childReport{receivedAt: now, report: report.sanitized()}
		if report.Bad {
			s.markBad(report.Service, p, "")
		}
	}
}

// applyStops stops the rollouts that another node found bad.
func (s *State) applyStops(stops []ID) {
	for _, stop := range stops {
		if p := s.rollouts[stop.Service]; p != nil && p.order == stop.Order {
			s.markBad(stop.Service, p, "")
		}
	}
}

// markBad marks the target of a rollout as bad, so that this node sends it no more requests.
func (s *State) markBad(service vaneyoke.ServiceID, p *progress, reason Reason) {
	if p.bad || p.stage.Final() {
		return
	}
	p.bad = true
	var target VersionStats
	for _, stats := range p.totalTally() {
		target.add(stats.Target)
	}
	s.emit(Stopped{Service: service, Target: s.rows[service].Target, Reason: reason, Answers: target.Answers, Failed: target.Failed})
}

// totalTally returns the tally of the node and its descendants in the tree.
func (p *progress) totalTally() Tally {
	total := p.ownTally.Clone()
	for _, child := range p.children {
		total.Add(child.report.Tally)
	}
	return total
}

// Stops returns the rollouts whose target was found bad.
func (s *State) Stops() []ID {
	var stops []ID
	for service, p := range s.rollouts {
		if p.bad {
			stops = append(stops, ID{Service: service, Order: p.order})
		}
	}
	return stops
}

// Reports returns the reports for the parent node.
func (s *State) Reports() []Report {
	var reports []Report
	for service, p := range s.rollouts {
		if p.stage.Final() {
			continue
		}
		report := Report{
			ID: ID{Service: service, Order: p.order}, Bad: p.bad, Stage: p.stage, Running: s.runningOffTarget(service), Tally: p.totalTally(),
		}
		for _, child := range p.children {
			report.Running += child.report.Running
			report.Stage = min(report.Stage, child.report.Stage)
		}
		reports = append(reports, report)
	}
	return reports
}

// runningOffTarget returns how many attempts of this node are in flight at upstreams of versions other than the target.
func (s *State) runningOffTarget(service vaneyoke.ServiceID) (n int) {
	for version, running := range s.inFlightByVersion[service] {
		if version != s.rows[service].Target {
			n += running
		}
	}
	return n
}

// updateSplits emits the splits that changed.
func (s *State) updateSplits(now time.Time) {
	services := map[vaneyoke.ServiceID]bool{}
	for _, known := range []map[vaneyoke.ServiceID]bool{keys(s.firstSeen), keys(s.orders), keys(s.rows), keys(s.splits)} {
		maps.Copy(services, known)
	}
	for service := range services {
		split := s.computeSplit(now, service)
		if old := s.splits[service]; split.equal(old) {
			continue
		}
		s.splits[service] = split
		s.emit(SetSplit{Service: service, Split: split})
	}
}

// keys returns the set of a map's keys.
func keys[V any](byService map[vaneyoke.ServiceID]V) map[vaneyoke.ServiceID]bool {
	set := make(map[vaneyoke.ServiceID]bool, len(byService))
	for key := range byService {
		set[key] = true
	}
	return set
}

func (s Split) equal(o Split) bool {
	return s.Target == o.Target && s.Share == o.Share && s.Blocked == o.Blocked && slices.Equal(s.Held, o.Held)
}

// computeSplit returns how a service's requests are split. A version that is not judged good gets at most the share of its stage, and one
// whose stage the node does not know gets no requests while others are available.
func (s *State) computeSplit(now time.Time, service vaneyoke.ServiceID) Split {
	order, hasOrder := s.orders[service]
	row, hasRow := s.rows[service]
	split := Split{Held: s.heldVersions(now, service, order.Target)}
	switch {
	case !hasOrder && (!hasRow || row.Stage == StageCompleted):
		return split
	case !hasOrder: // the order was withdrawn or the rollout reverted
		split.Target, split.Blocked = row.Target, true
		return split
	case !hasRow || row.Target != order.Target:
		split.Target = order.Target
		return split
	}
	split.Target = row.Target
	p := s.rollouts[service]
	switch {
	case row.Stage == StageReverted || (p.bad && !row.Stage.Final()):
		split.Blocked = true
	case row.Stage == StageCanary:
		split.Share = s.config.Exposure * canaryExposureShare
	case row.Stage == StageRamp:
		split.Share = max(rampShare, s.config.Exposure)
	case row.Stage == StageFull || now.Sub(p.stageSince) < drainTime:
		split.Share = 1
	default:
		split.Target = ""
	}
	return split
}

// heldVersions returns, sorted, the versions of a service that appeared so recently that an order for them may not be known yet.
func (s *State) heldVersions(now time.Time, service vaneyoke.ServiceID, target vaneyoke.SoftwareVersion) []vaneyoke.SoftwareVersion {
	var held []vaneyoke.SoftwareVersion
	for version, at := range s.firstSeen[service] {
		if version != target && !at.IsZero() && now.Sub(at) < s.config.Hold {
			held = append(held, version)
		}
	}
	slices.Sort(held)
	return held
}

// Active reports whether Tick alone may still cause effects.
func (s *State) Active() bool {
	for service, split := range s.splits {
		if row := s.rows[service]; len(split.Held) > 0 || (split.Target != "" && row.Stage != StageReverted) {
			return true
		}
	}
	for service, order := range s.orders {
		row, ok := s.rows[service]
		if !ok || !row.Stage.Final() || order.Revision > row.latestOrder() {
			return true
		}
	}
	return false
}
