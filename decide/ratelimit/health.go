package ratelimit

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// ownerHealth tracks whether an owner responds in time.
type ownerHealth struct {
	timeouts     int       // consecutive timeouts
	firstTimeout time.Time // when the first of them occurred
	skipUntil    time.Time // until which the owner is not asked
}

func (s *State) healthOf(vm vaneyoke.VMID) *ownerHealth {
	h := s.health[vm]
	if h == nil {
		h = &ownerHealth{}
		s.health[vm] = h
	}
	return h
}

// requestTimeout returns the timeout of a request to an owner, derived from the response times measured for its data centre.
func (s *State) requestTimeout(vm vaneyoke.VMID) time.Duration {
	responseTime, ok := s.responseTimes[s.dataCentreOf(vm)]
	if !ok {
		return defaultRequestTimeout // a response that arrives later still sets the response time
	}
	return min(max(requestTimeoutFactor*responseTime, minRequestTimeout), maxRequestTimeout)
}

// recordResponse records the response time of an owner. Slower responses count at once, faster ones lower the measured time gradually.
func (s *State) recordResponse(vm vaneyoke.VMID, responseTime time.Duration) {
	*s.healthOf(vm) = ownerHealth{}
	dataCentre := s.dataCentreOf(vm)
	before := s.responseTimes[dataCentre]
	s.responseTimes[dataCentre] = max(responseTime, before-(before-responseTime)/responseTimeDecay)
}

// recordTimeout records that an owner has not responded in time; the response may still arrive. The owner is skipped only after several
// timeouts, because a single datagram may have been lost.
func (s *State) recordTimeout(now time.Time, seq uint64, r *request) {
	if r.timedOut {
		return
	}
	r.timedOut = true
	h := s.healthOf(r.to)
	if h.timeouts++; h.timeouts == 1 {
		h.firstTimeout = now
	}
	if h.timeouts >= timeoutsBeforeSkip {
		h.skipUntil = now.Add(skipDuration)
	}
	if h.timeouts > timeoutsBeforeSkip && now.Sub(h.firstTimeout) >= livenessCheckAfter {
		*h = ownerHealth{skipUntil: now.Add(skipDuration)} // an owner that is found to be alive is asked again
		s.emit(CheckLiveness{VM: r.to})
	}
	for _, a := range s.acquisitions {
		a.removePending(seq)
	}
}
