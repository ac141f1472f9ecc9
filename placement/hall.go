package placement

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	hallWindow  = 500 * time.Millisecond  // within which losses at several upstreams of a hall count together
	hallLosses  = 2                       // upstreams of a hall lost within the window that make it suspect
	hallSuspect = 1500 * time.Millisecond // for which a suspect hall is left aside
)

// hallState follows the losses at the upstreams of one hall, which often fall together.
type hallState struct {
	lost  map[vaneyoke.UpstreamID]time.Time // when each was lost last
	until time.Time                         // up to which the hall is suspect
}

// hallLost notes that an upstream of a hall was lost.
func (s *State) hallLost(now time.Time, u *vaneyoke.Upstream) {
	h := s.halls[u.Hall]
	if h == nil {
		h = &hallState{lost: map[vaneyoke.UpstreamID]time.Time{}}
		s.halls[u.Hall] = h
	}
	h.lost[u.ID] = now
	for id, at := range h.lost {
		if now.Sub(at) > hallWindow {
			delete(h.lost, id)
		}
	}
	if len(h.lost) >= hallLosses {
		h.until = now.Add(hallSuspect)
	}
}

// suspect reports whether several upstreams of a hall were lost at about the same time a short while ago.
func (s *State) suspect(now time.Time, hall vaneyoke.HallID) bool {
	h := s.halls[hall]
	return h != nil && now.Before(h.until)
}
