package placement

import (
	"slices"

	"github.com/vaneyoke/vaneyoke"
)

// SetAnnounced sets the versions that begin streams only where no other is available.
func (s *State) SetAnnounced(versions map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion) {
	s.announced = versions
	s.refreshAnnounced()
}

// refreshAnnounced marks the upstreams whose version is announced.
func (s *State) refreshAnnounced() {
	for _, e := range s.sorted {
		e.isAnnounced = slices.Contains(s.announced[e.upstream.Service], e.upstream.Version)
	}
}
