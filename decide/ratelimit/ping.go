package ratelimit

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// ping checks whether the other owners and the standbys still respond, for the upstreams for which permits were requested recently. In a large
// fleet, no other node asks one of them often enough to notice that it is gone.
func (s *State) ping(now time.Time) {
	if s.nextPing.IsZero() || now.Before(s.nextPing) {
		return
	}
	s.nextPing, s.lastPing = time.Time{}, now
	pinged := map[vaneyoke.VMID]bool{s.self: true}
	for id, e := range s.limits {
		if e.bucket == nil || !e.limit.Declared || now.Sub(e.bucket.lastRequest) > recentDemand {
			continue
		}
		for _, vm := range slices.Concat(s.ownersOf(id, e), e.standbys) {
			if !pinged[vm] {
				pinged[vm] = true
				s.sendRequest(now, &request{upstream: id, to: vm, sentAt: now, deadline: now.Add(maxRequestTimeout)}, e, true)
			}
		}
		s.schedulePing(now.Add(pingInterval))
	}
}

func (s *State) schedulePing(at time.Time) {
	if s.nextPing.IsZero() || at.Before(s.nextPing) {
		s.nextPing = at
	}
}
