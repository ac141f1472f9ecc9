package overlay

import (
	"maps"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/names"
)

const (
	// HeadStart is how long each way of a plan is tried before the next one is tried beside it.
	HeadStart = 25 * time.Millisecond
	// slowHelper is after how long without an answer a helper that another way overtook counts as slow.
	slowHelper = 2 * HeadStart

	trialRatio = 0.1 // trials of a detour allowed for each connection, while a path is not known to be lost
	maxTrials  = 10  // trials that can be saved up

	searchRate  = 4  // requests a second to helpers while none of them connects
	maxSearches = 24 // requests in a row before that rate applies
)

// Rand draws random numbers; rand.Rand of math/rand/v2 is one.
type Rand interface {
	// IntN returns a random number from 0 to n-1.
	IntN(n int) int
	// Shuffle orders n elements at random.
	Shuffle(n int, swap func(i, j int))
}

// Way is one way to connect to an upstream: the node's own path, or a detour of one hop.
type Way struct {
	Helper     vaneyoke.VMID // the node that connects; "" for the node's own path
	LastResort bool          // whether the helper is stopping, and is to connect only as no other way does
}

// IsDirect reports whether the way is the node's own path.
func (w Way) IsDirect() bool { return w.Helper == "" }

// Plan says how to connect to an upstream.
type Plan struct {
	Ways  []Way // to be tried in this order
	Probe bool  // whether the node's own path is to be tried at once beside them, because it may work again
}

// Refusal is why a helper made no connection.
type Refusal int

// The reasons of a helper.
const (
	RefusalMissed   Refusal = iota // it reaches other upstreams, but not this one
	RefusalNoPath                  // its own path to the upstream may be lost
	RefusalBusy                    // it keeps as many connections for others as it may
	RefusalNoAnswer                // it did not answer in time
	RefusalUnusable                // it has stopped or is gone, or does not know the upstream or the request
	RefusalStopping                // it is stopping, and connects only as the last resort
)

// String returns the reason's name in logs and metrics.
func (r Refusal) String() string {
	return names.Of(r, "missed", "no_path", "busy", "no_answer", "unusable", "stopping")
}

// State tracks a node's paths and helpers.
type State struct {
	rng        Rand
	dataCentre vaneyoke.DataCentreID
	paths      map[string]*path // by address
	helpers    helpers
	trials     float64   // trials of a detour that are left
	searches   float64   // requests to helpers that are left until one of them connects
	searchedAt time.Time // when searches was last updated
}

// New returns the state of a node that knows no helper.
func New(dataCentre vaneyoke.DataCentreID, rng Rand) *State {
	return &State{rng: rng, dataCentre: dataCentre, paths: map[string]*path{}, helpers: helpers{known: map[vaneyoke.VMID]*helper{}}, trials: maxTrials, searches: maxSearches}
}

// SetCandidates sets the other nodes that offer detours.
func (s *State) SetCandidates(candidates []Candidate) {
	s.helpers.local, s.helpers.remote = nil, nil
	for _, c := range candidates {
		if c.DataCentre == s.dataCentre {
			s.helpers.local = append(s.helpers.local, c)
		} else {
			s.helpers.remote = append(s.helpers.remote, c)
		}
	}
}

// HasHelpers reports whether any other node offers detours.
func (s *State) HasHelpers() bool { return s.helpers.count() > 0 }

// Plan returns how to connect to an address.
func (s *State) Plan(now time.Time, address string) Plan {
	p := s.path(now, address)
	s.trials = min(s.trials+trialRatio, maxTrials)
	var detours []Way
	for _, vm := range s.helpers.pick(now, s.rng, p) {
		detours = append(detours, Way{Helper: vm, LastResort: s.helpers.isStopping(now, vm)})
	}
	if vm, ok := s.helpers.lastResort(now, p); ok && !slices.ContainsFunc(detours, func(w Way) bool { return w.Helper == vm }) {
		detours = append(detours, Way{Helper: vm, LastResort: true})
	}
	if !p.isLost() {
		return Plan{Ways: append([]Way{{}}, detours...)}
	}
	probe := !now.Before(p.probeAt)
	if probe {
		p.probeAt = now.Add(p.interval)
	}
	return Plan{Ways: append(detours, Way{}), Probe: probe}
}

// MayTry reports whether a way of a plan may be tried now. Detours to an upstream that helpers miss as well, and trials while the node's own path is
// not known to be lost, are limited: the loss of many upstreams must not make each node try all others.
func (s *State) MayTry(now time.Time, address string, way Way) bool {
	if way.IsDirect() {
		return true
	}
	p := s.path(now, address)
	if s.IsDown(now, address) {
		return false
	}
	if !p.isLost() && now.Sub(p.searchedAt) < searchInterval {
		return false
	}
	s.searches = min(s.searches+searchRate*now.Sub(s.searchedAt).Seconds(), maxSearches)
	s.searchedAt = now
	if s.searches < 1 || (!p.isLost() && s.trials < 1) {
		return false
	}
	s.searches--
	if !p.isLost() {
		s.trials--
	}
	return true
}

// NoneConnected records that no way of a plan connected to an address.
func (s *State) NoneConnected(now time.Time, address string) { s.path(now, address).searchedAt = now }

// DirectConnected records a direct connection to an address. It returns for how long the path had been lost; restored is false if it had not.
func (s *State) DirectConnected(now time.Time, address string) (lostFor time.Duration, restored bool) {
	p := s.path(now, address)
	p.connectedAt = now
	p.missedBy = [confirmations]miss{}
	return p.restore(now)
}

// DirectFailed records that no direct connection to an address could be made. It reports whether the path is thereby found to be lost.
func (s *State) DirectFailed(now time.Time, address string) (lost bool) {
	p := s.path(now, address)
	p.failedAt = now
	return p.lose(now)
}

// DetourConnected records a connection through a helper. It reports whether the node's own path is thereby found to be lost.
func (s *State) DetourConnected(now time.Time, address string, vm vaneyoke.VMID) (lost bool) {
	p := s.path(now, address)
	p.detouredAt = now
	p.missedBy = [confirmations]miss{}
	s.helpers.recordConnected(now, vm)
	s.searches = maxSearches
	if !p.isLost() {
		s.trials = min(s.trials+1, maxTrials)
	}
	return p.lose(now)
}

// DetourRefused records that a helper made no connection.
func (s *State) DetourRefused(now time.Time, address string, vm vaneyoke.VMID, refusal Refusal) {
	p := s.path(now, address)
	switch refusal {
	case RefusalMissed:
		record(p.missedBy[:], now, vm)
		return
	case RefusalNoPath:
		record(p.refusedBy[:], now, vm)
	case RefusalBusy, RefusalNoAnswer:
		s.helpers.recordRefused(now, vm, refusedPause)
	case RefusalUnusable:
		s.helpers.recordRefused(now, vm, unhelpfulTTL)
	case RefusalStopping:
		s.helpers.recordStopping(now, vm)
	}
	if !p.isLost() { // the upstream has noticed nothing of the trial
		s.trials = min(s.trials+1, maxTrials)
	}
}

// DetourOvertaken records that another way connected before a helper answered.
func (s *State) DetourOvertaken(now time.Time, vm vaneyoke.VMID, waited time.Duration) {
	s.searches = min(s.searches+1, maxSearches)
	if waited >= slowHelper {
		s.helpers.recordRefused(now, vm, refusedPause)
	}
}

// IsDown reports whether enough helpers have recently failed to connect to an upstream as well.
func (s *State) IsDown(now time.Time, address string) bool {
	p, ok := s.paths[address]
	return ok && p.recentMisses(now) >= min(confirmations, max(s.helpers.count(), 1))
}

// Help says what this node can do for another one that asks for a detour.
type Help int

// The answers to a request for a detour.
const (
	HelpConnects Help = iota // it tries to connect
	HelpMissed               // it reaches other upstreams, but not this one
	HelpNoPath               // its own path may be lost
)

// Help returns whether this node should try to connect to an address for another node. It does not if its own path is lost, or has just failed.
func (s *State) Help(now time.Time, address string) Help {
	p := s.path(now, address)
	switch {
	case p.isLost():
		return HelpNoPath
	case p.isUnreached(now):
		return s.HelpAfterMiss(now)
	default:
		return HelpConnects
	}
}

// HelpAfterMiss returns what to answer after this node has failed to connect to an upstream: the miss is evidence of the upstream's state only if the
// node reaches most of those that it tries.
func (s *State) HelpAfterMiss(now time.Time) Help {
	if summary := s.Summary(now); summary.Reached > summary.Unreached+summary.Lost {
		return HelpMissed
	}
	return HelpNoPath
}

// SinceConnected returns the time since the last direct connection to an address; ok is false if there was none.
func (s *State) SinceConnected(now time.Time, address string) (since time.Duration, ok bool) {
	p, known := s.paths[address]
	if !known || p.connectedAt.IsZero() {
		return 0, false
	}
	return now.Sub(p.connectedAt), true
}

// Summary counts paths: those in use by the outcome of their last attempt, as far as that is recent, and those that are lost.
type Summary struct {
	Reached   int `json:"reached"`
	Unreached int `json:"unreached"`
	Lost      int `json:"lost"` // while a helper reaches the upstream
}

// Summary returns the current counts.
func (s *State) Summary(now time.Time) (summary Summary) {
	for _, p := range s.paths {
		switch {
		case p.isLost():
			summary.Lost++
		case p.isReached(now):
			summary.Reached++
		case p.isUnreached(now):
			summary.Unreached++
		}
	}
	return summary
}

// path returns the path to an address, which is added if it is new.
func (s *State) path(now time.Time, address string) *path {
	if p, ok := s.paths[address]; ok {
		return p
	}
	if len(s.paths) >= maxPaths {
		s.removeUnused(now)
	}
	p := &path{}
	s.paths[address] = p
	return p
}

// removeUnused forgets paths that were not tried for long, or all if there are none such.
func (s *State) removeUnused(now time.Time) {
	maps.DeleteFunc(s.paths, func(_ string, p *path) bool { return now.Sub(p.lastUsed()) > pathTTL })
	if len(s.paths) >= maxPaths {
		clear(s.paths)
	}
}
