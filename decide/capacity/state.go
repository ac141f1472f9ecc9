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
	onDemandShare = 0.2                    // of the need that is kept of upstreams which cannot be taken away
	headroom      = 1.1                    // times the need that is planned
	lowerBelow    = 0.65                   // times the planned need below which less is planned
	lowerMost     = 0.7                    // share of the plan to which it is lowered at a time: traffic that stops may be back at once, and new upstreams need their time
	lowerAfter    = 10 * time.Second       // since the last change of the plan
	onDemandHold  = 6 * time.Second        // for which a number of upstreams that cannot be taken away is not lowered
	scarceHold    = 3 * time.Second        // for which a pool is not asked again that has none
	settleTime    = 3 * time.Second        // beyond the boot time until an order is to stand
	mostAgain     = time.Minute            // longest time between two repeats of an order that does not stand
	listSettle    = 3 * time.Second        // for which the list of upstreams must not have grown before it is gone by while the load is not known
	dutySettle    = 5 * time.Second        // for which a node must have held the duty before it orders without knowing the load: who has just begun to order may not be done, and a fleet that starts changes its reader
	missingStep   = 6                      // upstreams by which the number of those that take the place of missing ones changes
	orderEvery    = 400 * time.Millisecond // shortest time between two orders for a pool
)

// lateOrders is when an order is repeated after one that got no answer, which may be carried out any time until then.
var lateOrders = []time.Duration{time.Second, 5 * time.Second, 14 * time.Second}

// State decides how many upstreams to order.
type State struct {
	services map[vaneyoke.ServiceID]*service
	all      []vaneyoke.Upstream
	listed   bool // whether the upstreams are known
}

// New returns a state that knows no service.
func New() *State { return &State{services: map[vaneyoke.ServiceID]*service{}} }

// service is what is known of a service.
type service struct {
	terms   Terms
	centres []vaneyoke.DataCentreID // the cheapest first
	demand  demand
	live    map[Pool]int
	planned float64 // upstreams that serve the load; 0 before the load is known
	changed time.Time
	raised  map[Pool]time.Time // when a number was last raised
	scarce  map[Pool]time.Time // until when a pool is not asked
	ordered map[Pool]*ordered
	orders  bool      // whether the node held the duty when it was looked last
	gained  time.Time // when it came to hold it
	found   int       // most upstreams that stood since then, before it ordered any
	grown   time.Time // when there were last more than before
}

// ordered is the last order for a pool.
type ordered struct {
	count int
	at    time.Time
	pause time.Duration // before it is repeated where it does not stand
	again []time.Time   // when it is repeated in any case
	under bool          // whether it has no answer yet
}

// Handle takes in an event and returns what is to be ordered.
func (s *State) Handle(now time.Time, ev Event) []Order {
	switch e := ev.(type) {
	case TermsSet:
		s.setTerms(now, e.All)
	case Upstreams:
		s.all, s.listed = e.All, true
		s.count()
	case Used:
		for id, v := range s.services {
			v.demand.add(now, e.Loads[id], e.Told)
		}
	case Answered:
		if v := s.services[e.Order.Service]; v != nil {
			v.answered(now, e)
		}
	case Tick:
		var orders []Order
		for _, id := range slices.Sorted(maps.Keys(s.services)) {
			orders = append(orders, s.services[id].tick(now, e.Orders(id))...)
		}
		return orders
	}
	return nil
}

// Services returns the services whose upstreams can be ordered.
func (s *State) Services() []vaneyoke.ServiceID { return slices.Sorted(maps.Keys(s.services)) }

func (s *State) setTerms(now time.Time, all []Terms) {
	kept := map[vaneyoke.ServiceID]*service{}
	for _, t := range all {
		v := s.services[t.Service]
		if v == nil {
			v = &service{changed: now, raised: map[Pool]time.Time{}, scarce: map[Pool]time.Time{}, ordered: map[Pool]*ordered{}}
		}
		v.terms = t
		v.centres = slices.SortedFunc(maps.Keys(t.Prices), func(a, b vaneyoke.DataCentreID) int {
			return cmp.Or(cmp.Compare(t.Prices[a], t.Prices[b]), cmp.Compare(a, b))
		})
		kept[t.Service] = v
	}
	s.services = kept
	s.count()
}

// count counts the upstreams that are not about to go.
func (s *State) count() {
	if !s.listed {
		return
	}
	for id, v := range s.services {
		v.live = map[Pool]int{}
		for i := range s.all {
			if u := &s.all[i]; u.Service == id && u.State != vaneyoke.StateLeaving {
				v.live[Pool{u.DataCentre, u.Preemptible}]++
			}
		}
	}
}

func (v *service) answered(now time.Time, e Answered) {
	o := v.ordered[e.Order.Pool]
	if o == nil {
		return
	}
	o.under = false
	switch e.Outcome {
	case OutcomeTaken:
	case OutcomeScarce:
		v.scarce[e.Order.Pool] = now.Add(scarceHold)
		o.count = -1
	case OutcomeUnknown:
		o.again = nil
		for _, after := range lateOrders {
			o.again = append(o.again, now.Add(after))
		}
	}
}

// tick returns the orders that are due.
func (v *service) tick(now time.Time, orders bool) (due []Order) {
	if !orders || len(v.centres) == 0 || v.live == nil {
		v.orders = orders && v.orders
		return nil
	}
	if !v.orders { // what others ordered is not known
		v.orders = true
		clear(v.ordered)
		v.changed, v.gained, v.found = now, now, 0
	}
	v.look(now)
	v.plan(now)
	if v.planned == 0 && (v.found == 0 || now.Sub(v.grown) < listSettle || now.Sub(v.gained) < dutySettle) {
		return nil // the list may not be whole yet, and fewer would be ordered than there are
	}
	targets, reason := v.targets()
	for _, pool := range v.pools() {
		if order, ok := v.order(now, pool, targets[pool], reason); ok {
			due = append(due, order)
		}
	}
	return due
}

// look notes how many upstreams there are before any are ordered.
func (v *service) look(now time.Time) {
	if n := v.standing(); n > v.found && len(v.ordered) == 0 {
		v.found, v.grown = n, now
	}
}

// plan follows the load: up at once, down in steps where it is clearly lower for a while, so that the number does not swing with it.
func (v *service) plan(now time.Time) {
	if !v.demand.known(now) {
		return
	}
	need, whole := v.demand.need(now, &v.terms)
	lower := whole && need < lowerBelow*v.planned && now.Sub(v.changed) >= lowerAfter
	switch {
	case need > v.planned:
		v.planned, v.changed = math.Ceil(need*headroom), now
	case lower:
		v.planned, v.changed = max(math.Ceil(need*headroom), math.Floor(lowerMost*v.planned), 1), now
	}
}

// pools returns the pools, those of upstreams that may be taken away first: the others are let go only once these are there.
func (v *service) pools() (all []Pool) {
	for _, preemptible := range []bool{true, false} {
		if preemptible && !v.hasPreemptible() {
			continue
		}
		for _, centre := range v.centres {
			all = append(all, Pool{centre, preemptible})
		}
	}
	return all
}

func (v *service) hasPreemptible() bool { return v.terms.Preemptible > 0 && v.terms.Preemptible < 1 }

// standing returns how many upstreams of both kinds there are.
func (v *service) standing() (n int) {
	for _, count := range v.live {
		n += count
	}
	return n
}

// targets returns how many upstreams each pool is to have. The load is to be served without any one data centre, by upstreams that may be taken away; a share of on-demand ones
// cannot be, and on-demand ones take the place of those that are missing, until they are there again. While the load is not known, as many are kept as there are.
func (v *service) targets() (map[Pool]int, Reason) {
	need, reason := v.planned, ReasonLoad
	centres := float64(len(v.centres))
	total := need
	switch {
	case need == 0:
		need, reason = float64(v.found), ReasonCheaper
		total = need
	case centres > 1:
		total = need * centres / (centres - 1)
	}
	targets := map[Pool]int{}
	if !v.hasPreemptible() {
		v.spread(targets, total)
		return targets, reason
	}
	each := int(math.Ceil(total / centres))
	there := 0
	for _, centre := range v.centres {
		pool := Pool{centre, true}
		room := v.terms.Most - max(v.standingOnDemand(centre), v.onDemandEach(need))
		targets[pool] = max(min(each, room), 0)
		there += min(v.live[pool], targets[pool])
	}
	onDemand := float64(v.onDemandEach(need)) * centres
	if missing := need - float64(there); missing > onDemand {
		onDemand = min(math.Ceil(missing/missingStep)*missingStep, math.Ceil(need))
		if reason == ReasonLoad {
			reason = ReasonShort
		}
	}
	v.spread(targets, onDemand)
	return targets, reason
}

// standingOnDemand returns how many upstreams that cannot be taken away a data centre has or is to have. The list is gone by only before any were ordered: it
// holds those that have just ended beside those that took their place.
func (v *service) standingOnDemand(centre vaneyoke.DataCentreID) int {
	pool := Pool{centre, false}
	if o := v.ordered[pool]; o != nil && o.count >= 0 {
		return o.count
	}
	return v.live[pool]
}

// onDemandEach returns how many upstreams of each data centre are never taken away.
func (v *service) onDemandEach(need float64) int {
	return max(int(math.Ceil(need*onDemandShare/float64(len(v.centres)))), v.terms.Least, 1)
}

// spread divides upstreams that cannot be taken away among the data centres, what does not divide goes to the cheapest.
func (v *service) spread(targets map[Pool]int, total float64) {
	left := int(math.Ceil(total))
	for i, centre := range v.centres {
		share := (left + len(v.centres) - i - 1) / (len(v.centres) - i)
		room := max(v.terms.Most-targets[Pool{centre, true}], v.terms.Least)
		n := max(min(share, room), v.terms.Least)
		targets[Pool{centre, false}] = n
		left = max(left-n, 0)
	}
}

// order returns an order for a pool where one is due.
func (v *service) order(now time.Time, pool Pool, target int, reason Reason) (Order, bool) {
	o := v.ordered[pool]
	stands := v.live[pool]
	before := stands
	if o != nil && o.count >= 0 {
		before = o.count
	}
	if target >= before {
		if target > before {
			v.raised[pool] = now
		}
	} else if !pool.Preemptible && (now.Sub(v.raised[pool]) < onDemandHold || now.Sub(v.gained) < onDemandHold) {
		target = before
	}
	switch {
	case now.Before(v.scarce[pool]):
		return Order{}, false
	case o == nil:
		o = &ordered{pause: v.terms.Boot + settleTime}
		v.ordered[pool] = o
		if target == stands {
			o.count, o.at = target, now
			return Order{}, false
		}
	case o.under || now.Sub(o.at) < orderEvery:
		return Order{}, false
	case o.count != target:
		o.pause = v.terms.Boot + settleTime
	case len(o.again) > 0 && !now.Before(o.again[0]):
		o.again = o.again[1:]
		reason = ReasonAgain
	case stands != target && now.Sub(o.at) >= o.pause:
		o.pause = min(2*o.pause, mostAgain)
		reason = ReasonAgain
	default:
		return Order{}, false
	}
	o.count, o.at, o.under = target, now, true
	return Order{Pool: pool, Service: v.terms.Service, Count: target, Before: stands, Need: v.planned, Reason: reason}, true
}
