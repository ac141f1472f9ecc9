package relay

import (
	"time"

	"github.com/vaneyoke/vaneyoke/decide/capacity"
	"github.com/vaneyoke/vaneyoke/decide/placement"
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
	if s.state.MayHaveRun() {
		s.count()
	}
}

// tookReading notes how long an attempt took to its first piece.
func (s *Session) tookReading(now time.Time, l *link) {
	s.count()
	if s.relay.meter != nil && !l.sentAt.IsZero() {
		s.relay.meter.Used(s.need.Service, capacity.Load{FirstChunks: 1, Prefill: now.Sub(l.sentAt), PromptTokens: s.need.PromptBytes})
	}
}

// tookRunning notes what an attempt that has come out took beside: how long it ran after its first piece and what it held of the upstream's memory, or the prompt that was read
// in vain.
func (s *Session) tookRunning(now time.Time, l *link, outcome placement.Outcome) {
	switch {
	case s.relay.meter == nil:
	case !l.begunAt.IsZero():
		ran := now.Sub(l.begunAt)
		s.relay.meter.Used(s.need.Service, capacity.Load{Decode: ran, KVTokenSeconds: float64(s.need.PromptBytes+l.pieces) * ran.Seconds()})
	case outcome == placement.OutcomeLost && !l.resumed:
		s.relay.meter.Used(s.need.Service, capacity.Load{LostTokens: s.need.PromptBytes})
	}
}
