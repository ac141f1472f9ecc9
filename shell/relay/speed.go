package relay

import (
	"time"

	"github.com/vaneyoke/vaneyoke/decide/placement"
)

// recordPace records the time between the chunks of a stream. Chunks that the upstream had produced before arrive at once and are left out.
func (s *Session) recordPace(now time.Time, l *link) {
	if s.relay.speeds == nil || l.fromReplica || s.mayBeCached() {
		return
	}
	if interval, ok := l.pace.Add(now); ok {
		s.relay.speeds.RecordPace(l.upstream, interval)
	}
}

// recordRun records the time from the first chunk of an attempt to its last, if it produced the whole answer.
func (s *Session) recordRun(now time.Time, l *link, outcome placement.Outcome) {
	isWhole := outcome == placement.OutcomeDone && !l.firstTokenAt.IsZero() && !l.resumed && !l.fromReplica && l.base == 0 && !s.mayBeCached()
	if s.relay.speeds != nil && s.isStream() && isWhole {
		s.relay.speeds.Completed(l.upstream.ID, s.need, now.Sub(l.firstTokenAt))
	}
}
