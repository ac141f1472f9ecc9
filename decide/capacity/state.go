package capacity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	onDemandShare      = 0.2                    // share of the need that is kept on on-demand upstreams
	headroom           = 1.1                    // factor on the need when planning
	scaleDownThreshold = 0.65                   // share of the plan below which the need must fall for the plan to be lowered
	scaleDownFactor    = 0.7                    // smallest share of the plan to which it is lowered at a time: traffic that stops may return at once, and new upstreams take time to boot
	scaleDownCooldown  = 10 * time.Second       // since the last change of the plan, before it is lowered
	onDemandCooldown   = 6 * time.Second        // after an increase, during which the number of on-demand upstreams is not lowered
	noCapacityBackoff  = 3 * time.Second        // before ordering again from a pool without available upstreams
	orderGrace         = 3 * time.Second        // beyond the boot time, within which an order must be fulfilled
	maxRetryInterval   = time.Minute            // longest time between two repeats of an unfulfilled order
	listSettleTime     = 3 * time.Second        // time without growth of the list of upstreams, before it is relied on while the load is unknown
	dutySettleTime     = 5 * time.Second        // time for which a node must have held the duty before it orders with the load unknown: a previous holder may still be ordering, and a starting fleet changes its reader
	replacementStep    = 6                      // step of the number of on-demand upstreams that replace missing preemptible ones
	minOrderInterval   = 400 * time.Millisecond // between two orders for a pool
)

// unknownOutcomeRetries are the delays at which an order without an answer is repeated, because it may be carried out at any time until then.
var unknownOutcomeRetries = []time.Duration{time.Second, 5 * time.Second, 14 * time.Second}

// State decides how many upstreams to order.
type State struct {
	services  map[vaneyoke.ServiceID]*service
	upstreams []vaneyoke.Upstream
	listed    bool // whether the list of upstreams is known
}

// New returns an empty state.
func New() *State { return &State{services: map[vaneyoke.ServiceID]*service{}} }

// service holds the state of a service.
type service struct {
	config          ScalingConfig
	dataCentres     []vaneyoke.DataCentreID // cheapest first
	demand          demand
	live            map[Pool]int
	planned         float64 // number of upstreams that serve the load; 0 until the load is known
	plannedAt       time.Time
	raisedAt        map[Pool]time.Time // when a pool's number was last raised
	noCapacityUntil map[Pool]time.Time // until when a pool gets no order
	lastOrders      map[Pool]*lastOrder
	hadDuty         bool      // whether the node held the duty at the last tick
	dutySince       time.Time // when the node got the duty
	initialCount    int       // most live upstreams seen since then, before the node ordered any
	initialCountAt  time.Time // when initialCount last grew
}

// lastOrder is the last order for a pool.
type lastOrder struct {
	count         int
	at            time.Time
	retryInterval time.Duration // time before an unfulfilled order is repeated
	retryAt       []time.Time   // when the order is repeated in any case
	pending       bool          // whether there is no answer yet
}

// Handle processes an event and returns the orders to carry out.
func (s *State) Handle(now time.Time, ev Event) []Order {
	switch e := ev.(type) {
	case ConfigsUpdated:
		s.setConfigs(now, e.All)
	case UpstreamsUpdated:
		s.upstreams, s.listed = e.All, true
		s.countUpstreams()
	case LoadReported:
		for id, svc := range s.services {
			svc.demand.add(now, e.Loads[id], e.Coverage)
		}
	case OrderResult:
		if svc := s.services[e.Order.Service]; svc != nil {
			svc.handleResult(now, e)
		}
	case Tick:
		var orders []Order
		for _, id := range slices.Sorted(maps.Keys(s.services)) {
			orders = append(orders, s.services[id].tick(now, e.HoldsDuty(id))...)
		}
		return orders
	}
	return nil
}

// Services returns the services whose upstreams can be ordered.
func (s *State) Services() []vaneyoke.ServiceID { return slices.Sorted(maps.Keys(s.services)) }

// setConfigs replaces the configurations and keeps the state of known services.
func (s *State) setConfigs(now time.Time, configs []ScalingConfig) {
	kept := map[vaneyoke.ServiceID]*service{}
	for _, config := range configs {
		svc := s.services[config.Service]
		if svc == nil {
			svc = &service{plannedAt: now, raisedAt: map[Pool]time.Time{}, noCapacityUntil: map[Pool]time.Time{}, lastOrders: map[Pool]*lastOrder{}}
		}
		svc.config = config
		svc.dataCentres = slices.SortedFunc(maps.Keys(config.Prices), func(a, b vaneyoke.DataCentreID) int {
			return cmp.Or(cmp.Compare(config.Prices[a], config.Prices[b]), cmp.Compare(a, b))
		})
		kept[config.Service] = svc
	}
	s.services = kept
	s.countUpstreams()
}

// countUpstreams counts the upstreams that are not leaving, by pool.
func (s *State) countUpstreams() {
	if !s.listed {
		return
	}
	for id, svc := range s.services {
		svc.live = map[Pool]int{}
		for i := range s.upstreams {
			if u := &s.upstreams[i]; u.Service == id && u.State != vaneyoke.StateLeaving {
				svc.live[Pool{u.DataCentre, u.Preemptible}]++
			}
		}
	}
}

// handleResult records the outcome of an order and schedules repeats if it is unknown.
func (svc *service) handleResult(now time.Time, e OrderResult) {
	o := svc.lastOrders[e.Order.Pool]
	if o == nil {
		return
	}
	o.pending = false
	switch e.Outcome {
	case OutcomeAccepted:
	case OutcomeNoCapacity:
		svc.noCapacityUntil[e.Order.Pool] = now.Add(noCapacityBackoff)
		o.count = -1
	case OutcomeUnknown:
		o.retryAt = nil
		for _, after := range unknownOutcomeRetries {
			o.retryAt = append(o.retryAt, now.Add(after))
		}
	}
}

// tick returns the orders that are due.
func (svc *service) tick(now time.Time, holdsDuty bool) (due []Order) {
	if !holdsDuty || len(svc.dataCentres) == 0 || svc.live == nil {
		svc.hadDuty = holdsDuty && svc.hadDuty
		return nil
	}
	if !svc.hadDuty { // the orders of the previous holder are not known
		svc.hadDuty = true
		clear(svc.lastOrders)
		svc.plannedAt, svc.dutySince, svc.initialCount = now, now, 0
	}
	svc.recordInitialCount(now)
	svc.updatePlan(now)
	if svc.planned == 0 && (svc.initialCount == 0 || now.Sub(svc.initialCountAt) < listSettleTime || now.Sub(svc.dutySince) < dutySettleTime) {
		return nil // the list may be incomplete, and fewer would be ordered than there are
	}
	targets, reason := svc.targets()
	for _, pool := range svc.pools() {
		if order, ok := svc.order(now, pool, targets[pool], reason); ok {
			due = append(due, order)
		}
	}
	return due
}

// recordInitialCount records the number of live upstreams until the node orders any.
func (svc *service) recordInitialCount(now time.Time) {
	if n := svc.liveCount(); n > svc.initialCount && len(svc.lastOrders) == 0 {
		svc.initialCount, svc.initialCountAt = n, now
	}
}

// updatePlan follows the load: up at once, down in steps if the load is clearly lower for a while (hysteresis), so that the number of
// upstreams does not oscillate.
func (svc *service) updatePlan(now time.Time) {
	if !svc.demand.known(now) {
		return
	}
	need, complete := svc.demand.peakNeed(now, &svc.config)
	lower := complete && need < scaleDownThreshold*svc.planned && now.Sub(svc.plannedAt) >= scaleDownCooldown
	switch {
	case need > svc.planned:
		svc.planned, svc.plannedAt = math.Ceil(need*headroom), now
	case lower:
		svc.planned, svc.plannedAt = max(math.Ceil(need*headroom), math.Floor(scaleDownFactor*svc.planned), 1), now
	}
}

// pools returns the pools, preemptible ones first: on-demand upstreams are released only once the preemptible ones exist.
func (svc *service) pools() (all []Pool) {
	for _, preemptible := range []bool{true, false} {
		if preemptible && !svc.hasPreemptible() {
			continue
		}
		for _, centre := range svc.dataCentres {
			all = append(all, Pool{centre, preemptible})
		}
	}
	return all
}

func (svc *service) hasPreemptible() bool {
	return svc.config.PreemptiblePriceRatio > 0 && svc.config.PreemptiblePriceRatio < 1
}

// liveCount returns the number of live upstreams, preemptible and on-demand.
func (svc *service) liveCount() (n int) {
	for _, count := range svc.live {
		n += count
	}
	return n
}

// targets returns how many upstreams each pool is to have. Preemptible upstreams are to serve the load even if any one data centre fails. A
// share of on-demand upstreams is kept beside them, and more replace missing preemptible ones until these are back. While the load is
// unknown, the total number stays as it is.
func (svc *service) targets() (map[Pool]int, Reason) {
	need, reason := svc.planned, ReasonLoad
	centres := float64(len(svc.dataCentres))
	total := need
	switch {
	case need == 0:
		need, reason = float64(svc.initialCount), ReasonCheaper
		total = need
	case centres > 1:
		total = need * centres / (centres - 1)
	}
	targets := map[Pool]int{}
	if !svc.hasPreemptible() {
		svc.spreadOnDemand(targets, total)
		return targets, reason
	}
	each := int(math.Ceil(total / centres))
	existing := 0
	for _, centre := range svc.dataCentres {
		pool := Pool{centre, true}
		room := svc.config.Max - max(svc.onDemandCount(centre), svc.minOnDemand(need))
		targets[pool] = max(min(each, room), 0)
		existing += min(svc.live[pool], targets[pool])
	}
	onDemand := float64(svc.minOnDemand(need)) * centres
	if missing := need - float64(existing); missing > onDemand {
		onDemand = min(math.Ceil(missing/replacementStep)*replacementStep, math.Ceil(need))
		if reason == ReasonLoad {
			reason = ReasonShortage
		}
	}
	svc.spreadOnDemand(targets, onDemand)
	return targets, reason
}

// onDemandCount returns how many on-demand upstreams a data centre has or has been ordered to have. The list of upstreams counts only until there is
// an order, because it holds upstreams that have just ended beside their replacements.
func (svc *service) onDemandCount(centre vaneyoke.DataCentreID) int {
	pool := Pool{centre, false}
	if o := svc.lastOrders[pool]; o != nil && o.count >= 0 {
		return o.count
	}
	return svc.live[pool]
}

// minOnDemand returns how many on-demand upstreams each data centre is to have at least.
func (svc *service) minOnDemand(need float64) int {
	return max(int(math.Ceil(need*onDemandShare/float64(len(svc.dataCentres)))), svc.config.Min, 1)
}

// spreadOnDemand spreads on-demand upstreams evenly over the data centres; the remainder goes to the cheapest.
func (svc *service) spreadOnDemand(targets map[Pool]int, total float64) {
	left := int(math.Ceil(total))
	for i, centre := range svc.dataCentres {
		share := (left + len(svc.dataCentres) - i - 1) / (len(svc.dataCentres) - i)
		room := max(svc.config.Max-targets[Pool{centre, true}], svc.config.Min)
		n := max(min(share, room), svc.config.Min)
		targets[Pool{centre, false}] = n
		left = max(left-n, 0)
	}
}

// order returns an order for a pool if one is due.
func (svc *service) order(now time.Time, pool Pool, target int, reason Reason) (Order, bool) {
	o := svc.lastOrders[pool]
	live := svc.live[pool]
	current := live
	if o != nil && o.count >= 0 {
		current = o.count
	}
	if target >= current {
		if target > current {
			svc.raisedAt[pool] = now
		}
	} else if !pool.Preemptible && (now.Sub(svc.raisedAt[pool]) < onDemandCooldown || now.Sub(svc.dutySince) < onDemandCooldown) {
		target = current
	}
	switch {
	case now.Before(svc.noCapacityUntil[pool]):
		return Order{}, false
	case o == nil:
		o = &lastOrder{retryInterval: svc.config.BootTime + orderGrace}
		svc.lastOrders[pool] = o
		if target == live {
			o.count, o.at = target, now
			return Order{}, false
		}
	case o.pending || now.Sub(o.at) < minOrderInterval:
		return Order{}, false
	case o.count != target:
		o.retryInterval = svc.config.BootTime + orderGrace
	case len(o.retryAt) > 0 && !now.Before(o.retryAt[0]):
		o.retryAt = o.retryAt[1:]
		reason = ReasonRetry
	case live != target && now.Sub(o.at) >= o.retryInterval:
		o.retryInterval = min(2*o.retryInterval, maxRetryInterval)
		reason = ReasonRetry
	default:
		return Order{}, false
	}
	o.count, o.at, o.pending = target, now, true
	return Order{Pool: pool, Service: svc.config.Service, Count: target, Current: live, Need: svc.planned, Reason: reason}, true
}
