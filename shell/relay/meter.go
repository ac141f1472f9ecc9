package relay

import (
	"time"

	"github.com/vaneyoke/vaneyoke/decide/capacity"
	"github.com/vaneyoke/vaneyoke/decide/placement"
)

// countRequest counts the request once an upstream has started it.
func (s *Session) countRequest() {
	if s.relay.meter == nil || s.counted {
		return
	}
	s.counted = true
	s.relay.meter.CountRequest(s.req.Workspace)
}

// countUnanswered counts a request that an upstream may have run, but whose answer did not arrive.
func (s *Session) countUnanswered() {
	if s.state.MayHaveRun() {
		s.countRequest()
	}
}

// recordPrefill records the time from sending an attempt to its first chunk.
func (s *Session) recordPrefill(now time.Time, l *link) {
	s.countRequest()
	if s.relay.meter != nil && !l.sentAt.IsZero() {
		s.relay.meter.AddLoad(s.need.Service, capacity.Load{FirstChunks: 1, Prefill: now.Sub(l.sentAt), PromptTokens: s.need.PromptBytes})
	}
}

// recordDecode records the remaining load of an attempt that has ended: the time after its first chunk and the KV memory
// that it held, or the prompt tokens that were lost before the first chunk.
func (s *Session) recordDecode(now time.Time, l *link, outcome placement.Outcome) {
	switch {
	case s.relay.meter == nil:
	case !l.firstTokenAt.IsZero():
		decodeTime := now.Sub(l.firstTokenAt)
		s.relay.meter.AddLoad(s.need.Service, capacity.Load{Decode: decodeTime, KVTokenSeconds: float64(s.need.PromptBytes+l.chunks) * decodeTime.Seconds()})
	case outcome == placement.OutcomeLost && !l.resumed:
		s.relay.meter.AddLoad(s.need.Service, capacity.Load{LostTokens: s.need.PromptBytes})
	}
}
