package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// pinTo restricts further attempts to the software version of an attempt's upstream, whose output was accepted, unless an earlier one does.
func (s *Session) pinTo(attempt vaneyoke.Attempt) {
	if s.pin.IsSet {
		return
	}
	l := s.links[attempt]
	s.pin, s.origin = vaneyoke.PinTo(&l.upstream), l.upstream.ID
}

// recordContinuation logs and counts an attempt that continues a stream of which the caller has events.
func (s *Session) recordContinuation(e generation.Start, l *link, m *forwarded) {
	if !m.Stream || m.lastEventID == "" {
		return
	}
	s.relay.metrics.Continued.Add(compareVersions(s.pin, l.upstream), 1)
	s.logAttempt(e.Attempt, l.upstream.ID).WithFields(logrus.Fields{
		"software": l.upstream.Version, "origin": s.origin, "origin_software": s.pin.Version, "resumes": m.Resumes, "after": m.lastEventID,
		"age_ms": time.Since(s.req.ReceivedAt).Milliseconds(),
	}).Info("stream_continued")
}

// compareVersions returns how the software version of an upstream that continues a stream compares with the one that began it.
func compareVersions(pin vaneyoke.Pin, u vaneyoke.Upstream) string {
	switch {
	case !pin.IsSet:
		return "unknown_version"
	case !pin.Allows(&u):
		return "other_version"
	default:
		return "same_version"
	}
}
