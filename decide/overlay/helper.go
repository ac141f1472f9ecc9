package overlay

import (
	"maps"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	maxHelpers    = 6                      // helpers in one plan
	maxDraws      = 8                      // random candidates looked at for one place in a plan
	maxKnown      = 64                     // helpers of which something is remembered
	provenTTL     = 10 * time.Second       // for which a helper that connected is preferred
	refusedPause  = 500 * time.Millisecond // without requests to a helper that is busy or slow, or to one for an upstream to which it may have no path
	unhelpfulTTL  = 10 * time.Second       // the same for one that is stopping or gone, or does not offer detours; one that is stopping remains the last resort
	confirmations = 2                      // helpers that must miss an upstream before it counts as down
)

// Candidate is another node that offers detours.
type Candidate struct {
	VM         vaneyoke.VMID
	DataCentre vaneyoke.DataCentreID
}

// helper is what a node remembers of another one.
type helper struct {
	isLocal     bool
	provenAt    time.Time // when it last connected this node to an upstream; zero if its last answer was none
	pausedUntil time.Time
	isStopping  bool // whether it said so before the pause
}

// helpers chooses the nodes that are asked for detours. What it remembers does not grow with the fleet.
type helpers struct {
	local, remote []Candidate // by whether they are in the node's own data centre
	known         map[vaneyoke.VMID]*helper
}

func (h *helpers) count() int { return len(h.local) + len(h.remote) }

// pick returns helpers for a path's upstream in the order in which to ask them: those proven lately before others, and those in the node's data centre before others of
// the same kind. Unproven ones are drawn at random from both data centres in turn, so that nodes that lose their paths together do not choose the
// same ones, and that a data centre that lost its paths as a whole does not delay them.
func (h *helpers) pick(now time.Time, rng Rand, p *path) []vaneyoke.VMID {
	picked := h.proven(now, rng, p)
	for sources := [][]Candidate{h.local, h.remote}; len(picked) < maxHelpers; {
		before := len(picked)
		for _, source := range sources {
			if c, ok := h.draw(now, rng, source, p, picked); ok {
				picked = append(picked, c)
			}
		}
		if len(picked) == before {
			break
		}
	}
	if len(picked) == 0 { // rather one that may not help than none
		picked = h.firstAgain()
	}
	return picked[:min(len(picked), maxHelpers)]
}

// firstAgain returns the helper whose pause ends first, if there is one.
func (h *helpers) firstAgain() (first []vaneyoke.VMID) {
	for _, vm := range slices.Sorted(maps.Keys(h.known)) {
		if len(first) == 0 || h.known[vm].pausedUntil.Before(h.known[first[0]].pausedUntil) {
			first = []vaneyoke.VMID{vm}
		}
	}
	return first
}

// proven returns the helpers that connected lately, in random order but those of the node's data centre first.
func (h *helpers) proven(now time.Time, rng Rand, p *path) []vaneyoke.VMID {
	var local, remote []vaneyoke.VMID
	for _, vm := range slices.Sorted(maps.Keys(h.known)) {
		switch known := h.known[vm]; {
		case known.provenAt.IsZero() || now.Sub(known.provenAt) >= provenTTL || now.Before(known.pausedUntil), p.isRefusedBy(now, vm):
		case known.isLocal:
			local = append(local, vm)
		default:
			remote = append(remote, vm)
		}
	}
	rng.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	rng.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	return append(local, remote...)
}

// draw returns a random candidate that is neither paused nor picked already.
func (h *helpers) draw(now time.Time, rng Rand, from []Candidate, p *path, picked []vaneyoke.VMID) (vaneyoke.VMID, bool) {
	for range min(maxDraws, len(from)) {
		c := from[rng.IntN(len(from))]
		if known := h.known[c.VM]; !slices.Contains(picked, c.VM) && !p.isRefusedBy(now, c.VM) && (known == nil || !now.Before(known.pausedUntil)) {
			return c.VM, true
		}
	}
	return "", false
}

// isStopping reports whether a helper has said that it is stopping.
func (h *helpers) isStopping(now time.Time, vm vaneyoke.VMID) bool {
	known, ok := h.known[vm]
	return ok && known.isStopping && now.Before(known.pausedUntil)
}

// lastResort returns the helper that said last that it is stopping, if there is one.
func (h *helpers) lastResort(now time.Time, p *path) (last vaneyoke.VMID, ok bool) {
	for _, vm := range slices.Sorted(maps.Keys(h.known)) {
		if h.isStopping(now, vm) && !p.isRefusedBy(now, vm) && (!ok || h.known[vm].pausedUntil.After(h.known[last].pausedUntil)) {
			last, ok = vm, true
		}
	}
	return last, ok
}

// recordConnected records that a helper connected this node to an upstream. One that is stopping remains the last resort.
func (h *helpers) recordConnected(now time.Time, vm vaneyoke.VMID) {
	known := h.get(now, vm)
	if known.isStopping && now.Before(known.pausedUntil) {
		return
	}
	known.provenAt, known.pausedUntil, known.isStopping = now, time.Time{}, false
}

// recordStopping records that a helper is stopping.
func (h *helpers) recordStopping(now time.Time, vm vaneyoke.VMID) {
	h.recordRefused(now, vm, unhelpfulTTL)
	h.known[vm].isStopping = true
}

// recordRefused records that a helper made no connection, for a reason of its own.
func (h *helpers) recordRefused(now time.Time, vm vaneyoke.VMID, pause time.Duration) {
	known := h.get(now, vm)
	known.provenAt, known.pausedUntil, known.isStopping = time.Time{}, now.Add(pause), false
}

func (h *helpers) get(now time.Time, vm vaneyoke.VMID) *helper {
	if known, ok := h.known[vm]; ok {
		return known
	}
	if len(h.known) >= maxKnown {
		h.removeOne(now)
	}
	known := &helper{isLocal: slices.ContainsFunc(h.local, func(c Candidate) bool { return c.VM == vm })}
	h.known[vm] = known
	return known
}

// removeOne forgets those of which nothing matters any more, or the one that is paused for the shortest time.
func (h *helpers) removeOne(now time.Time) {
	maps.DeleteFunc(h.known, func(_ vaneyoke.VMID, k *helper) bool {
		return !now.Before(k.pausedUntil) && now.Sub(k.provenAt) >= provenTTL
	})
	if len(h.known) < maxKnown {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(h.known)), func(a, b vaneyoke.VMID) int {
		return h.known[a].pausedUntil.Compare(h.known[b].pausedUntil)
	})
	delete(h.known, oldest)
}
