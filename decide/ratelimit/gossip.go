package ratelimit

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// outbox is the queue of notices to a neighbour.
type outbox struct {
	to    vaneyoke.VMID
	queue []queuedNotice
}

// queuedNotice is a notice of the current limit of an upstream.
type queuedNotice struct {
	upstream  vaneyoke.UpstreamID
	sendsLeft int // repeated, since datagrams may be lost
}

// queueNotice queues a notice of an upstream's limit for all neighbours except the one that it came from.
func (s *State) queueNotice(now time.Time, upstream vaneyoke.UpstreamID, except vaneyoke.VMID) {
	for _, box := range s.outboxes {
		if box.to != except {
			box.add(upstream)
		}
	}
	s.scheduleGossip(now.Add(gossipBatchDelay))
}

func (b *outbox) add(upstream vaneyoke.UpstreamID) {
	b.queue = slices.DeleteFunc(b.queue, func(q queuedNotice) bool { return q.upstream == upstream })
	b.queue = append(b.queue, queuedNotice{upstream: upstream, sendsLeft: noticeSends})
}

// scheduleGossip schedules the next notices to the neighbours, at least gossipInterval after the last ones.
func (s *State) scheduleGossip(at time.Time) {
	at = later(at, s.lastGossip.Add(gossipInterval))
	if s.nextGossip.IsZero() || at.Before(s.nextGossip) {
		s.nextGossip = at
	}
}

// setNeighbours sets the neighbours of this node.
func (s *State) setNeighbours(now time.Time, vms []vaneyoke.VMID) {
	vms = slices.Compact(slices.Sorted(slices.Values(vms)))
	if !slices.Equal(vms, s.neighbours) {
		s.neighbours = vms
		s.rebuildOutboxes(now)
	}
}

// rebuildOutboxes creates an outbox for each neighbour whose build supports rate limits. A new neighbour is sent all declared limits, since
// it may have just started.
func (s *State) rebuildOutboxes(now time.Time) {
	before := s.outboxes
	s.outboxes = nil
	for _, vm := range s.neighbours {
		if vm == s.self || !s.supportsLimits(vm) {
			continue
		}
		i := slices.IndexFunc(before, func(b *outbox) bool { return b.to == vm })
		if i >= 0 {
			s.outboxes = append(s.outboxes, before[i])
			continue
		}
		box := &outbox{to: vm}
		for id, e := range s.limits {
			if e.limit.Declared {
				box.add(id)
			}
		}
		s.outboxes = append(s.outboxes, box)
		if len(box.queue) > 0 {
			s.scheduleGossip(now.Add(gossipBatchDelay))
		}
	}
}

// sendGossip sends each neighbour a datagram of notices, and schedules the rest.
func (s *State) sendGossip(now time.Time) {
	if s.nextGossip.IsZero() || now.Before(s.nextGossip) {
		return
	}
	s.nextGossip, s.lastGossip = time.Time{}, now
	for _, box := range s.outboxes {
		batch := box.queue[:min(len(box.queue), maxNoticesPerMessage)]
		box.queue = slices.Clone(box.queue[len(batch):])
		var notices []Notice
		for _, q := range batch {
			e := s.limits[q.upstream]
			if e == nil {
				continue
			}
			notices = append(notices, s.notice(now, q.upstream, e))
			if q.sendsLeft > 1 {
				box.queue = append(box.queue, queuedNotice{upstream: q.upstream, sendsLeft: q.sendsLeft - 1})
			}
		}
		if len(notices) > 0 {
			s.emit(SendNotices{To: box.to, Notices: notices})
		}
		if len(box.queue) > 0 {
			s.scheduleGossip(now.Add(gossipInterval))
		}
	}
}
