package placement

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	dataCentreWindow  = 500 * time.Millisecond  // within which losses at several upstreams of a data centre count together
	dataCentreLosses  = 2                       // upstreams of a data centre lost within the window that make it suspect
	dataCentreSuspect = 1500 * time.Millisecond // for which a suspect data centre is left aside
)

// dataCentreState follows the losses at the upstreams of one data centre, which often fall together.
type dataCentreState struct {
	lost  map[vaneyoke.UpstreamID]time.Time // when each was lost last
	until time.Time                         // up to which the data centre is suspect
}

// dataCentreLost notes that an upstream of a data centre was lost.
func (s *State) dataCentreLost(now time.Time, u *vaneyoke.Upstream) {
	h := s.dataCentres[u.DataCentre]
	if h == nil {
		h = &dataCentreState{lost: map[vaneyoke.UpstreamID]time.Time{}}
		s.dataCentres[u.DataCentre] = h
	}
	h.lost[u.ID] = now
	for id, at := range h.lost {
		if now.Sub(at) > dataCentreWindow {
			delete(h.lost, id)
		}
	}
	if len(h.lost) >= dataCentreLosses {
		h.until = now.Add(dataCentreSuspect)
	}
}

// suspect reports whether several upstreams of a data centre were lost at about the same time a short while ago.
func (s *State) suspect(now time.Time, dataCentre vaneyoke.DataCentreID) bool {
	h := s.dataCentres[dataCentre]
	return h != nil && now.Before(h.until)
}
