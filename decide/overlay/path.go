package overlay

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	evidenceTTL = time.Second // for which the outcome of a connection attempt tells the state of a path or an upstream
	maxPaths    = 1 << 12     // paths of which the state is known
	pathTTL     = time.Minute // after which an unused path is forgotten

	probeInterval    = 500 * time.Millisecond // between two trials of a lost path
	maxProbeInterval = 8 * time.Second        // upper bound of the interval, which doubles each time that a restored path is lost again
	searchInterval   = 250 * time.Millisecond // between two searches for a detour to an upstream to which no way connected
	maxRefusals      = 8                      // helpers remembered that have no path to an upstream
	relapseWindow    = 10 * time.Second       // in which a restored path that is lost again counts as flapping
)

// path is what a node knows of its own path to an address, and of the upstream there.
type path struct {
	connectedAt time.Time // last direct connection
	failedAt    time.Time // last failure of a direct connection attempt
	detouredAt  time.Time // last connection through a helper
	lostAt      time.Time // since when the path is lost; zero while it is in use
	restoredAt  time.Time // when it was last found to work again after a loss
	probeAt     time.Time // when a lost path is tried next
	interval    time.Duration
	searchedAt  time.Time           // when no way connected last
	missedBy    [confirmations]miss // the last helpers that could not connect to the upstream either
	refusedBy   [maxRefusals]miss   // the last helpers whose own path to it may be lost, too
}

// miss is what a helper answered that could not connect to the upstream.
type miss struct {
	helper vaneyoke.VMID
	at     time.Time
}

// lastUsed returns when the path was last tried.
func (p *path) lastUsed() time.Time {
	if p.failedAt.After(p.connectedAt) {
		return p.failedAt
	}
	return p.connectedAt
}

func (p *path) isLost() bool { return !p.lostAt.IsZero() }

// isReached reports whether the last attempt on the path is recent and succeeded.
func (p *path) isReached(now time.Time) bool {
	return !p.connectedAt.IsZero() && !p.failedAt.After(p.connectedAt) && now.Sub(p.connectedAt) < evidenceTTL
}

// isUnreached reports whether the last attempt on the path is recent and failed.
func (p *path) isUnreached(now time.Time) bool {
	return p.failedAt.After(p.connectedAt) && now.Sub(p.failedAt) < evidenceTTL
}

// lose marks the path as lost if it failed while a helper could connect.
func (p *path) lose(now time.Time) (lost bool) {
	if p.isLost() || !p.isUnreached(now) || now.Sub(p.detouredAt) >= evidenceTTL {
		return false
	}
	if p.interval > 0 && now.Sub(p.restoredAt) < relapseWindow {
		p.interval = min(2*p.interval, maxProbeInterval)
	} else {
		p.interval = probeInterval
	}
	p.lostAt, p.probeAt = now, now.Add(p.interval)
	return true
}

// restore marks the path as in use.
func (p *path) restore(now time.Time) (lostFor time.Duration, restored bool) {
	if !p.isLost() {
		return 0, false
	}
	lostFor = now.Sub(p.lostAt)
	p.lostAt, p.restoredAt = time.Time{}, now
	return lostFor, true
}

// record adds a miss to the latest ones, in place of an earlier one of the same helper or of the oldest.
func record(latest []miss, now time.Time, helper vaneyoke.VMID) {
	replaced := 0
	for i, m := range latest {
		if m.helper == helper {
			replaced = i
			break
		}
		if m.at.Before(latest[replaced].at) {
			replaced = i
		}
	}
	latest[replaced] = miss{helper, now}
}

// isRefusedBy reports whether a helper has just said that it may have no path to the upstream.
func (p *path) isRefusedBy(now time.Time, helper vaneyoke.VMID) bool {
	return slices.ContainsFunc(p.refusedBy[:], func(m miss) bool { return m.helper == helper && now.Sub(m.at) < refusedPause })
}

// recentMisses returns how many helpers have recently failed to connect to the upstream.
func (p *path) recentMisses(now time.Time) (n int) {
	for _, m := range p.missedBy {
		if m.helper != "" && now.Sub(m.at) < evidenceTTL {
			n++
		}
	}
	return n
}
