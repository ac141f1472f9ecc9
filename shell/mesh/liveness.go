package mesh

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
)

// livenessTracker records since when members have been unreachable.
type livenessTracker struct {
	unreachableSince map[vaneyoke.VMID]time.Time
}

// record stores the result of a check.
func (t *livenessTracker) record(now time.Time, vm vaneyoke.VMID, reachable bool) {
	if reachable {
		delete(t.unreachableSince, vm)
		return
	}
	if t.unreachableSince == nil {
		t.unreachableSince = map[vaneyoke.VMID]time.Time{}
	}
	if _, ok := t.unreachableSince[vm]; !ok {
		t.unreachableSince[vm] = now
	}
}

// unreachableFor returns the members that have been unreachable for at least the duration, sorted.
func (t *livenessTracker) unreachableFor(now time.Time, d time.Duration) []vaneyoke.VMID {
	var vms []vaneyoke.VMID
	for vm, since := range t.unreachableSince {
		if now.Sub(since) >= d {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// retain drops all but the given members.
func (t *livenessTracker) retain(members []feed.Member) {
	for vm := range t.unreachableSince {
		if !slices.ContainsFunc(members, func(m feed.Member) bool { return m.VM == vm }) {
			delete(t.unreachableSince, vm)
		}
	}
}
