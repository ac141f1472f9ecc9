package relay

import (
	"time"

	"github.com/vaneyoke/vaneyoke/decide/capacity"
)

// count counts the request once an upstream has begun it.
func (s *Session) count() {
	if s.relay.meter == nil || s.counted {
		return
	}
	s.counted = true
	s.relay.meter.Began(s.req.Workspace)
}

// countUnanswered counts a request that an upstream may have run without an answer that came.
func (s *Session) countUnanswered() {
	if s.state.Sent() {
		s.count()
	}
}

// tookReading notes how long an attempt took to its first piece.
func (s *Session) tookReading(now time.Time, l *link) {
	s.count()
	if s.relay.meter != nil && !l.sentAt.IsZero() {
		s.relay.meter.Used(s.need.Service, capacity.Load{Begun: 1, Reading: now.Sub(l.sentAt)})
	}
}

// tookRunning notes how long an attempt ran after its first piece, and what it held of the upstream's memory.
func (s *Session) tookRunning(now time.Time, l *link) {
	if s.relay.meter == nil || l.begunAt.IsZero() {
		return
	}
	ran := now.Sub(l.begunAt)
	s.relay.meter.Used(s.need.Service, capacity.Load{Running: ran, Held: float64(s.need.Bytes+l.pieces) * ran.Seconds()})
}
