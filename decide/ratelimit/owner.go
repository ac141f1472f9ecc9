package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

// setMembers sets the members of the fleet, and recomputes the owners of each limit.
func (s *State) setMembers(now time.Time, all []Member) {
	s.members = lo.Filter(all, func(m Member, _ int) bool { return m.SupportsLimits })
	s.fleetSize = len(all)
	if s.firstMembersAt.IsZero() {
		s.firstMembersAt = now
	}
	s.lastMembersAt = now
	for id, e := range s.limits {
		e.owners = nil
		if e.bucket != nil {
			s.bucketOf(id, e)
		}
	}
	s.rebuildOutboxes(now)
	s.scheduleReconcile(now)
}

// supportsLimits reports whether a node is a member whose build supports rate limits.
func (s *State) supportsLimits(vm vaneyoke.VMID) bool {
	return slices.ContainsFunc(s.members, func(m Member) bool { return m.VM == vm })
}

// ownersOf returns the owners of an upstream's limit, each of which grants an equal share of it. They are chosen by rendezvous hashing: two from
// the upstream's data centre and one from another, if there are enough nodes. The share of an unreachable owner is lost rather than granted by
// others, so that all nodes together stay within the limit whichever owners each of them can reach.
func (s *State) ownersOf(upstream vaneyoke.UpstreamID, e *limitEntry) []vaneyoke.VMID {
	if e.owners != nil {
		return e.owners
	}
	local, remote := s.rankedMembers(upstream)
	fromLocal := min(len(local), max(localOwners, ownersPerLimit-len(remote)))
	e.owners = slices.Concat(local[:fromLocal], remote[:min(len(remote), ownersPerLimit-fromLocal)])
	e.standbys = slices.Concat(local[fromLocal:min(len(local), fromLocal+standbysPerGroup)], remote[min(len(remote), ownersPerLimit-fromLocal):min(len(remote), ownersPerLimit-fromLocal+standbysPerGroup)])
	if len(e.owners) > 0 {
		e.share = float64(len(s.members)) / float64(s.fleetSize) / float64(len(e.owners))
	}
	return e.owners
}

// rankedMembers returns the nodes of an upstream's data centre and those of others, by descending rendezvous score.
func (s *State) rankedMembers(upstream vaneyoke.UpstreamID) (local, remote []vaneyoke.VMID) {
	type scored struct {
		member Member
		score  uint64
	}
	all := lo.Map(s.members, func(m Member, _ int) scored { return scored{m, rendezvous.Score(string(upstream), string(m.VM))} })
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.VM, b.member.VM))
	})
	dataCentre := s.listingOf(upstream).dataCentre
	for _, r := range all {
		if r.member.DataCentre == dataCentre {
			local = append(local, r.member.VM)
		} else {
			remote = append(remote, r.member.VM)
		}
	}
	return local, remote
}

// rate returns the rate at which an owner grants permits: its share of the limit, or of minProbeRate if that is higher.
func (e *limitEntry) rate() vaneyoke.PerSecond {
	return max(e.limit.Rate, minProbeRate) * vaneyoke.PerSecond(e.share)
}

// bucketOf returns this node's bucket as an owner of a limit, nil if it is not an owner. The bucket of a new owner fills only once the previous
// owner has learned of the change; that of a node which was an owner from the start fills from then on.
func (s *State) bucketOf(upstream vaneyoke.UpstreamID, e *limitEntry) *bucket {
	if !slices.Contains(s.ownersOf(upstream, e), s.self) {
		e.bucket = nil
		return nil
	}
	s.schedulePing(s.lastPing.Add(pingInterval))
	if e.bucket == nil {
		e.bucket = &bucket{refilledAt: s.firstMembersAt}
		if s.lastMembersAt.After(s.firstMembersAt) {
			e.bucket.refilledAt = s.lastMembersAt.Add(newOwnerDelay)
		}
	}
	return e.bucket
}

// handleRequest responds to another node's request for a permit.
func (s *State) handleRequest(now time.Time, ev PermitRequested) {
	n := ev.Request.Notice
	s.applyNotice(now, n, ev.From)
	response := PermitResponse{Seq: ev.Request.Seq, AvailableInMs: notOwnerDelay.Milliseconds(), RetryAfterMs: notOwnerDelay.Milliseconds(), Notice: n}
	e := s.limits[n.Upstream]
	switch {
	case e == nil || ev.Request.Ping:
	case !e.limit.Declared:
		response.Granted = true
	default:
		if b := s.bucketOf(n.Upstream, e); b != nil {
			response.Granted = b.take(now, e.rate())
			if !response.Granted {
				response.AvailableInMs = ceilMs(b.untilAvailable(now, e.rate()))
				response.RetryAfterMs = ceilMs(b.reserveRetry(now, e.rate()))
			}
		}
	}
	if e != nil {
		response.Notice = s.notice(now, n.Upstream, e)
	}
	s.emit(SendPermitResponse{To: ev.From, Response: response})
}

// ceilMs returns a duration in milliseconds, rounded up.
func ceilMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
