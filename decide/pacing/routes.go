package pacing

import (
	"math"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	maxRoutes        = 1024
	maxRemaining     = time.Hour
	maxAge           = 4 * maxRetryAfter // beyond which a caller has another deadline than those that were seen, and does not return
	longestDecay     = 0.005             // share of the longest remaining time by which it decays each second
	returnsPerReject = 2.0               // returns that are believed for each rejection of this node
	maxReturns       = 4096.0            // returns that are believed at most
	returnsHalfLife  = 10 * time.Second  // after which half of the expected returns are given up
)

// routes holds what is known of the callers of each route.
type routes map[vaneyoke.RouteID]*routeCallers

// routeCallers holds what is known of the callers of a route.
type routeCallers struct {
	longest   time.Duration // remaining time of first attempts
	seenAt    time.Time     // when longest was last updated
	returns   float64       // returns that are believed by age alone
	returnsAt time.Time     // when returns was last updated
}

// of returns the entry of a route, which replaces the one that was unused for the longest time if there are too many.
func (r routes) of(now time.Time, route vaneyoke.RouteID) *routeCallers {
	found := r[route]
	if found == nil {
		if len(r) >= maxRoutes {
			r.evict()
		}
		found = &routeCallers{seenAt: now, returnsAt: now}
		r[route] = found
	}
	return found
}

func (r routes) evict() {
	var oldest vaneyoke.RouteID
	var entry *routeCallers
	for route, callers := range r {
		if entry == nil || callers.seenAt.Before(entry.seenAt) {
			oldest, entry = route, callers
		}
	}
	delete(r, oldest)
}

// observe updates the longest remaining time of a route, and returns the age of the arriving request: the time since its caller's first attempt.
// It is 0 for a caller without a deadline.
func (r routes) observe(now time.Time, a Arrival) time.Duration {
	if a.Remaining <= 0 {
		return 0
	}
	remaining := min(a.Remaining, maxRemaining)
	c := r.of(now, a.Route)
	elapsed := min(max(now.Sub(c.seenAt).Seconds(), 0), 1/longestDecay)
	c.longest = max(time.Duration(float64(c.longest)*(1-longestDecay*elapsed)), remaining)
	c.seenAt = now
	if c.longest-remaining > maxAge {
		c.longest = remaining
	}
	return c.longest - remaining
}

// expect notes that a caller was rejected and will return.
func (r routes) expect(now time.Time, route vaneyoke.RouteID) {
	c := r.of(now, route)
	c.decayReturns(now)
	c.returns = min(c.returns+returnsPerReject, maxReturns)
}

// spend takes one of the expected returns, and reports whether there was one. A caller with a deadline of its own that is shorter than that of
// the others looks like one that returns: this bounds how many are believed by what nodes reject.
func (r routes) spend(now time.Time, route vaneyoke.RouteID) bool {
	c := r.of(now, route)
	c.decayReturns(now)
	if c.returns < 1 {
		return false
	}
	c.returns--
	return true
}

func (c *routeCallers) decayReturns(now time.Time) {
	if elapsed := now.Sub(c.returnsAt); elapsed > 0 {
		c.returns *= math.Exp2(-elapsed.Seconds() / returnsHalfLife.Seconds())
	}
	c.returnsAt = now
}
