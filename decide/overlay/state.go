package overlay

import (
	"maps"
	"time"
)

// State tracks the paths of one node.
type State struct {
	paths map[string]*path // by address
}

// New returns a state without paths.
func New() *State { return &State{paths: map[string]*path{}} }

// Connected records a direct connection to an address.
func (s *State) Connected(now time.Time, address string) { s.path(now, address).connectedAt = now }

// Failed records that no direct connection to an address could be made. It returns the time since the last one; ok is false if there was none.
func (s *State) Failed(now time.Time, address string) (sinceConnected time.Duration, ok bool) {
	p := s.path(now, address)
	p.failedAt = now
	return now.Sub(p.connectedAt), !p.connectedAt.IsZero()
}

// Summary counts paths by the outcome of their last attempt, as far as that is recent.
type Summary struct {
	Reached   int `json:"reached"`
	Unreached int `json:"unreached"`
}

// Summary returns the current counts.
func (s *State) Summary(now time.Time) (summary Summary) {
	for _, p := range s.paths {
		switch {
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
