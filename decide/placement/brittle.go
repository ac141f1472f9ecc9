package placement

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

const (
	brittleTTL       = 10 * time.Second // for which a service's upstreams count as brittle after the last of them said so
	reservedSlots    = 8                // one slot in so many of a brittle upstream is left unused
	minRejectedPause = 500 * time.Millisecond
	maxRejectedPause = time.Minute
	rejectionShare   = 2 // one in so many of the rejections that a brittle upstream bears may be caused
)

// Fleet says which part of the fleet's requests this node sends.
type Fleet struct {
	Size int // number of nodes
	Rank int // position of this node among them, from 0
}

// brittleness is what the upstreams of a service last said of how many rejections they bear.
type brittleness struct {
	maxRejections int // that one of them can make in a second
	until         time.Time
}

// SetFleet sets this node's part of the fleet.
func (s *State) SetFleet(fleet Fleet) { s.fleet = fleet }

// RecordBrittle records how many rejections in a second an upstream says that it bears, 0 if it does not say. It reports whether that changes whether
// the upstreams of its service count as brittle.
func (s *State) RecordBrittle(now time.Time, id vaneyoke.UpstreamID, maxRejections int) (service vaneyoke.ServiceID, changed bool) {
	e, ok := s.entries[id]
	if !ok {
		return "", false
	}
	service = e.upstream.Service
	wasBrittle := s.isBrittle(now, service)
	switch {
	case maxRejections > 0:
		s.brittle[service] = brittleness{maxRejections: maxRejections, until: now.Add(brittleTTL)}
	case e.isBrittle && !s.hasOtherBrittle(e):
		delete(s.brittle, service)
	}
	e.isBrittle = maxRejections > 0
	return service, wasBrittle != s.isBrittle(now, service)
}

// isBrittle reports whether the upstreams of a service count as brittle.
func (s *State) isBrittle(now time.Time, service vaneyoke.ServiceID) bool {
	b, ok := s.brittle[service]
	return ok && now.Before(b.until)
}

// hasOtherBrittle reports whether another upstream of the same service last said that it is brittle.
func (s *State) hasOtherBrittle(e *entry) bool {
	for _, other := range s.sorted {
		if other != e && other.isBrittle && other.upstream.Service == e.upstream.Service {
			return true
		}
	}
	return false
}

// hasBrittleRoom reports whether an upstream may get another attempt of this node. A brittle one gets no more at once from all nodes together than it
// has slots, so that it has to reject none: the slots are divided among the nodes.
func (s *State) hasBrittleRoom(now time.Time, e *entry) bool {
	if !s.isBrittle(now, e.upstream.Service) {
		return true
	}
	if now.Before(e.rejectedUntil) {
		return false
	}
	share := s.slotShare(e)
	if share == 0 && !s.hasSlotShare(e.upstream.Service) {
		share = 1 // there are more nodes than slots
	}
	return e.inFlight < share
}

// slotShare returns this node's share of an upstream's slots. The shares of all nodes add up to the slots that are used; who gets what is left of an
// even division differs from one upstream to the next.
func (s *State) slotShare(e *entry) int {
	slots := max(e.upstream.Slots, 1)
	slots -= slots / reservedSlots
	size := max(s.fleet.Size, 1)
	offset := (uint64(s.fleet.Rank) + rendezvous.Score("slots", string(e.upstream.ID))) % uint64(size) //nolint:gosec // neither is negative
	return (slots + int(offset)) / size                                                                //nolint:gosec // less than size
}

// hasSlotShare reports whether this node has a share of any upstream of a service.
func (s *State) hasSlotShare(service vaneyoke.ServiceID) bool {
	for _, e := range s.sorted {
		if e.upstream.Service == service && s.slotShare(e) > 0 {
			return true
		}
	}
	return false
}

// pauseAfterRejection keeps this node from a brittle upstream that has rejected a request, for so long that all nodes together cause no more
// rejections than it bears.
func (s *State) pauseAfterRejection(now time.Time, e *entry) {
	if !s.isBrittle(now, e.upstream.Service) {
		return
	}
	size := max(s.fleet.Size, 1)
	pause := time.Duration(rejectionShare*size) * time.Second / time.Duration(s.brittle[e.upstream.Service].maxRejections)
	pause += pause * time.Duration(s.fleet.Rank) / time.Duration(size)
	e.rejectedUntil = now.Add(min(max(pause, minRejectedPause), maxRejectedPause))
}
