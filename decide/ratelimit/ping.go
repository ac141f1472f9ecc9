package ratelimit

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// ping asks the other keepers of the upstreams for which permits are wanted, and those that would follow them, whether they are there. In a large
// fleet no other node asks one of them often enough to find out.
func (s *State) ping(now time.Time) {
	if s.pingAt.IsZero() || now.Before(s.pingAt) {
		return
	}
	s.pingAt, s.pingedAt = time.Time{}, now
	pinged := map[vaneyoke.VMID]bool{s.self: true}
	for id, k := range s.known {
		if k.bucket == nil || !k.limit.Declared || now.Sub(k.bucket.askedAt) > wantedOfLate {
			continue
		}
		for _, vm := range slices.Concat(s.keepersOf(id, k), k.next) {
			if !pinged[vm] {
				pinged[vm] = true
				s.question(now, &question{upstream: id, to: vm, at: now, endAt: now.Add(longestAsk)}, k, true)
			}
		}
		s.wakeToPing(now.Add(pingEvery))
	}
}

func (s *State) wakeToPing(at time.Time) {
	if s.pingAt.IsZero() || at.Before(s.pingAt) {
		s.pingAt = at
	}
}
