package capacity

import "time"

const (
	slotLength             = time.Second
	smoothingSlots         = 3               // slots over which the load is averaged
	lookbackSlots          = 30              // slots whose peak load counts
	minObservationTime     = 5 * time.Second // since the first request, before which the load is unknown
	minObservedRequests    = 20              // requests before which the load is unknown
	minRequestsPerEstimate = 10              // requests in an average from which the prefill time per token is estimated
	queueingTolerance      = 1.15            // factor on the shortest prefill time per token, above which prompts count as queued
	estimateGrowth         = 1.002           // factor on the shortest prefill time per token in each slot, so that old minima fade
	minCoverage            = 0.3             // share of the nodes that must have reported for a load to count
	minCoverageToScaleDown = 0.8             // share of the nodes from which a load may lower the plan
)

// slotLoad is the load that the nodes reported in a slot.
type slotLoad struct {
	Load
	coverage float64 // share of the nodes that reported, averaged over the slot
}

func (l slotLoad) add(other slotLoad) slotLoad {
	return slotLoad{Load: l.Add(other.Load), coverage: l.coverage + other.coverage}
}

// demand tracks the load of a service.
type demand struct {
	slots           [lookbackSlots + smoothingSlots]slotLoad
	slotStart       time.Time // start of the current slot; zero before the first load
	firstRequest    time.Time // time of the first request
	requests        int
	prefillPerToken float64 // shortest prefill time per token in seconds, over averages of several slots; 0 while unknown
}

// add adds a load with its coverage to the current slot.
func (d *demand) add(now time.Time, l Load, coverage float64) {
	d.advance(now)
	d.slots[0] = d.slots[0].add(slotLoad{Load: l, coverage: coverage})
	if l.FirstChunks > 0 && d.requests == 0 {
		d.firstRequest = now
	}
	d.requests += l.FirstChunks
}

// advance starts a new slot for each one that has passed.
func (d *demand) advance(now time.Time) {
	if d.slotStart.IsZero() {
		d.slotStart = now
	}
	for n := 0; now.Sub(d.slotStart) >= slotLength; n++ {
		if n == len(d.slots) {
			d.slotStart = now
			return
		}
		copy(d.slots[1:], d.slots[:len(d.slots)-1])
		d.slots[0] = slotLoad{}
		d.slotStart = d.slotStart.Add(slotLength)
		d.updatePrefillEstimate()
	}
}

// updatePrefillEstimate updates the prefill time per token from the latest slots. The shortest time counts, because anything above it is
// queueing: otherwise a service that is short of upstreams would seem to need ever more of them.
func (d *demand) updatePrefillEstimate() {
	d.prefillPerToken *= estimateGrowth
	l := d.sum(1)
	if l.FirstChunks < minRequestsPerEstimate || l.PromptTokens == 0 {
		return
	}
	perToken := l.Prefill.Seconds() / float64(l.PromptTokens)
	if d.prefillPerToken == 0 || perToken < d.prefillPerToken {
		d.prefillPerToken = perToken
	}
}

// sum returns the total load of smoothingSlots slots, starting with first.
func (d *demand) sum(first int) (sum slotLoad) {
	for _, l := range d.slots[first : first+smoothingSlots] {
		sum = sum.add(l)
	}
	return sum
}

// known reports whether there were enough requests to plan with.
func (d *demand) known(now time.Time) bool {
	return d.requests >= minObservedRequests && now.Sub(d.firstRequest) >= minObservationTime
}

// peakNeed returns how many upstreams serve the peak load of the recent slots, extrapolated from the nodes that reported to all nodes. The
// current slot is left out because it is incomplete. complete says whether nearly all nodes reported in the latest slots.
func (d *demand) peakNeed(now time.Time, config *ScalingConfig) (peak float64, complete bool) {
	d.advance(now)
	for first := 1; first+smoothingSlots <= len(d.slots); first++ {
		sum := d.sum(first)
		coverage := sum.coverage / smoothingSlots
		if first == 1 {
			complete = coverage >= minCoverageToScaleDown
		}
		if coverage >= minCoverage {
			peak = max(peak, config.upstreamsNeeded(sum.Load, smoothingSlots*slotLength, queueingTolerance*d.prefillPerToken)/min(coverage, 1))
		}
	}
	return peak, complete
}
