package pushback

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	maxHolds      = 1 << 14         // beyond this, the hold that ends first is dropped
	pruneInterval = 5 * time.Second // between removals of expired holds
)

// Tracker stores the holds that upstreams requested from this node, including upstreams that are temporarily missing from the list.
type Tracker struct {
	holds      map[vaneyoke.UpstreamID]*Hold
	lastPruned time.Time
}

// NewTracker returns a tracker without holds.
func NewTracker() *Tracker { return &Tracker{holds: map[vaneyoke.UpstreamID]*Hold{}} }

// Record applies a signal and returns the resulting hold and its previous value. The hold is nil if the signal requests neither a pushback nor
// a shutdown, or comes from an earlier incarnation.
func (t *Tracker) Record(now time.Time, signal Signal) (hold *Hold, before Hold) {
	if signal.Pushback <= 0 && !signal.Leaving {
		return nil, Hold{}
	}
	t.prune(now)
	if signal.Reporter != "" {
		return t.recordReport(now, signal)
	}
	u := &signal.Upstream
	h := t.holds[u.ID]
	switch {
	case h != nil && u.Incarnation != 0 && u.Incarnation < h.Incarnation:
		return nil, Hold{}
	case h == nil:
		h = t.add(Hold{Upstream: u.ID, Incarnation: u.Incarnation, URL: u.URL})
	case !h.appliesTo(u):
		h = t.add(Hold{Upstream: u.ID, Incarnation: u.Incarnation, URL: u.URL, reported: h.reported})
	case h.Incarnation == 0:
		h.Incarnation = u.Incarnation // a later one did not send the earlier signals
	}
	before = *h
	h.extend(now, signal)
	return h, before
}

// recordReport applies a shutdown notice that another node reported. It changes nothing of what the upstream told this node.
func (t *Tracker) recordReport(now time.Time, signal Signal) (hold *Hold, before Hold) {
	u := &signal.Upstream
	h := t.holds[u.ID]
	if h == nil {
		h = t.add(Hold{Upstream: u.ID, URL: u.URL})
	}
	before = *h
	h.report(now, signal)
	return h, before
}

func (t *Tracker) add(h Hold) *Hold {
	t.holds[h.Upstream] = &h
	return &h
}

// Hold returns the hold of an upstream's latest incarnation that sent a signal, or nil if there is none.
func (t *Tracker) Hold(id vaneyoke.UpstreamID) *Hold { return t.holds[id] }

// prune removes expired holds and, if the tracker is still full, the hold that ends first.
func (t *Tracker) prune(now time.Time) {
	if now.Sub(t.lastPruned) < pruneInterval && len(t.holds) < maxHolds {
		return
	}
	t.lastPruned = now
	var earliest *Hold
	for id, h := range t.holds {
		if !now.Before(h.until()) {
			delete(t.holds, id)
			continue
		}
		if earliest == nil || h.until().Before(earliest.until()) {
			earliest = h
		}
	}
	if len(t.holds) >= maxHolds {
		delete(t.holds, earliest.Upstream)
	}
}
