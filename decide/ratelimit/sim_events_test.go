package ratelimit_test

import (
	"container/heap"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/ratelimit"
)

// eventQueue is a heap of events by time, then by the order in which they were scheduled.
type eventQueue []event

type event struct {
	at  time.Time
	seq int
	run func()
}

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules an event relative to now.
func (s *simulation) after(d time.Duration, run func()) {
	s.lastSeq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.lastSeq, run: run})
}

// atTime schedules an event relative to the start of the simulation.
func (s *simulation) atTime(sinceStart time.Duration, run func()) {
	s.after(s.start.Add(sinceStart).Sub(s.now), run)
}

// run runs the simulation for the given time.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// deliver lets a node handle an event, and carries out the effects. An event to a frozen node waits until the freeze ends.
func (s *simulation) deliver(n *node, ev ratelimit.Event) {
	generation := n.generation
	if s.now.Before(n.frozenUntil) {
		s.after(n.frozenUntil.Sub(s.now), func() {
			if n.generation == generation && n.up {
				s.deliver(n, ev)
			}
		})
		return
	}
	if !n.up || n.oldBuild {
		return
	}
	for _, effect := range slices.Clone(n.state.Handle(s.now, ev)) {
		s.apply(n, effect)
	}
	s.scheduleTick(n)
}

// scheduleTick schedules a node's next tick.
func (s *simulation) scheduleTick(n *node) {
	at := n.state.NextTick()
	if at.IsZero() || (!n.nextTick.IsZero() && !at.Before(n.nextTick)) {
		return
	}
	n.nextTick = at
	generation := n.generation
	s.after(max(at.Sub(s.now), 0), func() {
		if n.generation == generation && n.nextTick.Equal(at) {
			n.nextTick = time.Time{}
			s.deliver(n, ratelimit.Tick{})
		}
	})
}

func (s *simulation) apply(n *node, effect ratelimit.Effect) {
	switch e := effect.(type) {
	case ratelimit.SendNotices:
		s.send(n, e.To, ratelimit.NoticesReceived{From: n.vm, Notices: slices.Clone(e.Notices)})
	case ratelimit.SendPermitRequest:
		s.requests++
		s.send(n, e.To, ratelimit.PermitRequested{From: n.vm, Request: e.Request})
	case ratelimit.SendPermitResponse:
		s.send(n, e.To, ratelimit.PermitResponded{From: n.vm, Response: e.Response})
	case ratelimit.CheckLiveness:
		s.checkLiveness(n, e.VM)
	case ratelimit.WriteRow:
		s.writeRow(e.Row, e.Row, e.Row.Upstream)
	case ratelimit.RemoveRow:
		s.writeRow(e.Row, ratelimit.Row{}, e.Row.Upstream)
	case ratelimit.PermitDecided:
		c := n.pending[e.ID]
		if c == nil { // decided synchronously
			n.pending[e.ID] = &call{granted: e.Granted, retryAfter: e.AvailableIn}
			return
		}
		delete(n.pending, e.ID)
		s.permitDecided(n, c, e)
	}
}

// send sends a datagram, which may be lost. It panics if the receiver is of an old build, which must not be sent any.
func (s *simulation) send(from *node, to vaneyoke.VMID, ev ratelimit.Event) {
	s.datagrams[from.number]++
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.vm == to })
	if i < 0 || s.rng.Float64() < s.loss {
		return
	}
	n := s.nodes[i]
	if n.oldBuild {
		panic("a node of an old build was sent a datagram on limits")
	}
	latency := localLatency
	if s.regions && n.dataCentre != from.dataCentre {
		latency = regionLatency
	}
	generation := n.generation
	s.after(latency, func() {
		if n.generation == generation && n.up && !n.partitioned && !from.partitioned {
			s.deliver(n, ev)
		}
	})
}
