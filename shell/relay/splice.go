package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// recordSplice logs and counts an attempt whose first event follows one of another attempt.
func (s *Session) recordSplice(e generation.Spliced) {
	l := s.links[e.Attempt]
	var before vaneyoke.Upstream // the zero value if another node passed the event on
	if last := s.links[s.lastAccepted]; last != nil {
		before = last.upstream
	}
	s.relay.metrics.Splices.Add(e.Splice.String(), 1)
	s.logAttempt(e.Attempt, l.upstream.ID).WithFields(logrus.Fields{
		"splice": e.Splice, "after": e.After, "event": e.Number, "software": l.upstream.Version, "before_attempt": int(s.lastAccepted),
		"before_upstream": before.ID, "before_software": before.Version, "from_replica": l.fromReplica, "age_ms": time.Since(s.req.ReceivedAt).Milliseconds(),
	}).Info("stream_spliced")
}

// recordEnding records and counts an opaque attempt whose answer was read to its end.
func (s *Session) recordEnding(attempt vaneyoke.Attempt) {
	if _, opaque := s.mode.(*forwarded); opaque {
		s.lastEnded = attempt
		s.relay.metrics.Ends.Add(s.links[attempt].head.Framing.String(), 1)
	}
}

// ending describes how an opaque answer ended, as it is logged: what framed the body that was last read to its end, "" if none was, and the id of the
// last event that was accepted or that the caller had.
func (s *Session) ending() (framing, lastEvent string) {
	m, opaque := s.mode.(*forwarded)
	if !opaque {
		return "", ""
	}
	if l := s.links[s.lastEnded]; l != nil {
		framing = l.head.Framing.String()
	}
	return framing, m.lastEventID
}
