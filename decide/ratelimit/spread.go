package ratelimit

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// outbox is what a neighbour is still to be told.
type outbox struct {
	to      vaneyoke.VMID
	waiting []due
}

type due struct {
	upstream vaneyoke.UpstreamID
	times    int // that it is still to be told, since a datagram may be lost
}

// spread has the neighbours be told of an upstream's limit, but for the one who told it.
func (s *State) spread(now time.Time, upstream vaneyoke.UpstreamID, from vaneyoke.VMID) {
	for _, box := range s.outboxes {
		if box.to != from {
			box.add(upstream)
		}
	}
	s.wakeToTell(now.Add(gather))
}

func (b *outbox) add(upstream vaneyoke.UpstreamID) {
	b.waiting = slices.DeleteFunc(b.waiting, func(d due) bool { return d.upstream == upstream })
	b.waiting = append(b.waiting, due{upstream: upstream, times: tellTimes})
}

// wakeToTell has the neighbours be told at a time, unless they were told a moment before it.
func (s *State) wakeToTell(at time.Time) {
	at = latest(at, s.toldAt.Add(tellPause))
	if s.tellAt.IsZero() || at.Before(s.tellAt) {
		s.tellAt = at
	}
}

// setNeighbours takes in the nodes next to this one.
func (s *State) setNeighbours(now time.Time, vms []vaneyoke.VMID) {
	vms = slices.Compact(slices.Sorted(slices.Values(vms)))
	if !slices.Equal(vms, s.neighbours) {
		s.neighbours = vms
		s.arrange(now)
	}
}

// arrange has an outbox for each neighbour whose build keeps limits. A new one is told of all limits that are named: it may have started
// just now.
func (s *State) arrange(now time.Time) {
	before := s.outboxes
	s.outboxes = nil
	for _, vm := range s.neighbours {
		if vm == s.self || !s.keeps(vm) {
			continue
		}
		i := slices.IndexFunc(before, func(b *outbox) bool { return b.to == vm })
		if i >= 0 {
			s.outboxes = append(s.outboxes, before[i])
			continue
		}
		box := &outbox{to: vm}
		for id, k := range s.known {
			if k.limit.Declared {
				box.add(id)
			}
		}
		s.outboxes = append(s.outboxes, box)
		if len(box.waiting) > 0 {
			s.wakeToTell(now.Add(gather))
		}
	}
}

// tell tells each neighbour as much as fits into a datagram, and the rest after a pause.
func (s *State) tell(now time.Time) {
	if s.tellAt.IsZero() || now.Before(s.tellAt) {
		return
	}
	s.tellAt, s.toldAt = time.Time{}, now
	for _, box := range s.outboxes {
		batch := box.waiting[:min(len(box.waiting), mostTold)]
		box.waiting = slices.Clone(box.waiting[len(batch):])
		var notices []Notice
		for _, d := range batch {
			k := s.known[d.upstream]
			if k == nil {
				continue
			}
			notices = append(notices, s.notice(now, d.upstream, k))
			if d.times > 1 {
				box.waiting = append(box.waiting, due{upstream: d.upstream, times: d.times - 1})
			}
		}
		if len(notices) > 0 {
			s.do(Tell{To: box.to, Notices: notices})
		}
		if len(box.waiting) > 0 {
			s.wakeToTell(now.Add(tellPause))
		}
	}
}
