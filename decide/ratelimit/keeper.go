package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

// setMembers takes in the nodes of the fleet, and has the keepers of each limit be worked out anew.
func (s *State) setMembers(now time.Time, all []Member) {
	s.members = lo.Filter(all, func(m Member, _ int) bool { return m.Keeps })
	s.fleet = len(all)
	if s.memberAt.IsZero() {
		s.memberAt = now
	}
	s.membersAt = now
	for id, k := range s.known {
		k.keepers = nil
		if k.bucket != nil {
			s.bucketOf(id, k)
		}
	}
	s.arrange(now)
	s.wakeToReview(now)
}

// keeps reports whether a node's build keeps limits.
func (s *State) keeps(vm vaneyoke.VMID) bool {
	return slices.ContainsFunc(s.members, func(m Member) bool { return m.VM == vm })
}

// keepersOf returns the nodes that give the permits of an upstream, each an equal share: two of its data centre and one of another, where
// there are so many, the ones with the highest hash of upstream and node. What one of them gives is lost while it cannot be reached, and
// nobody else gives it: in that way all nodes together keep the limit whomever each of them reaches.
func (s *State) keepersOf(upstream vaneyoke.UpstreamID, k *known) []vaneyoke.VMID {
	if k.keepers != nil {
		return k.keepers
	}
	near, far := s.ranked(upstream)
	own := min(len(near), max(nearKeepers, keepers-len(far)))
	k.keepers = slices.Concat(near[:own], far[:min(len(far), keepers-own)])
	k.next = slices.Concat(near[own:min(len(near), own+nextKeepers)], far[min(len(far), keepers-own):min(len(far), keepers-own+nextKeepers)])
	if len(k.keepers) > 0 {
		k.share = float64(len(s.members)) / float64(s.fleet) / float64(len(k.keepers))
	}
	return k.keepers
}

// ranked returns the nodes of an upstream's data centre and those of others, the ones with the highest hash first.
func (s *State) ranked(upstream vaneyoke.UpstreamID) (near, far []vaneyoke.VMID) {
	type ranked struct {
		member Member
		score  uint64
	}
	all := lo.Map(s.members, func(m Member, _ int) ranked { return ranked{m, rendezvous.Score(string(upstream), string(m.VM))} })
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.VM, b.member.VM))
	})
	own := s.listed(upstream).dataCentre
	for _, r := range all {
		if r.member.DataCentre == own {
			near = append(near, r.member.VM)
		} else {
			far = append(far, r.member.VM)
		}
	}
	return near, far
}

// rate returns what a keeper of an upstream gives: its share of the limit, and at least as much as it takes to learn that the limit has
// ended.
func (k *known) rate() vaneyoke.PerSecond {
	return max(k.limit.Rate, trialRate) * vaneyoke.PerSecond(k.share)
}

// bucketOf returns the permits that this node gives as a keeper of an upstream, nil where it is none. One that has become a keeper
// gives none until the one before it has heard of it; one that was it all along has what came meanwhile.
func (s *State) bucketOf(upstream vaneyoke.UpstreamID, k *known) *bucket {
	if !slices.Contains(s.keepersOf(upstream, k), s.self) {
		k.bucket = nil
		return nil
	}
	s.wakeToPing(s.pingedAt.Add(pingEvery))
	if k.bucket == nil {
		k.bucket = &bucket{at: s.memberAt}
		if s.membersAt.After(s.memberAt) {
			k.bucket.at = s.membersAt.Add(takeOver)
		}
	}
	return k.bucket
}

// asked answers a node that wants a permit.
func (s *State) asked(now time.Time, ev Asked) {
	n := ev.Question.Notice
	s.take(now, n, ev.From)
	answer := Answer{Number: ev.Question.Number, NextMs: notKeeper.Milliseconds(), TurnMs: notKeeper.Milliseconds(), Notice: n}
	k := s.known[n.Upstream]
	switch {
	case k == nil || ev.Question.Ping:
	case !k.limit.Declared:
		answer.Granted = true
	default:
		if b := s.bucketOf(n.Upstream, k); b != nil {
			answer.Granted = b.take(now, k.rate())
			if !answer.Granted {
				answer.NextMs = ceilMs(b.next(now, k.rate()))
				answer.TurnMs = ceilMs(b.comeBack(now, k.rate()))
			}
		}
	}
	if k != nil {
		answer.Notice = s.notice(now, n.Upstream, k)
	}
	s.do(Reply{To: ev.From, Answer: answer})
}

func ceilMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
