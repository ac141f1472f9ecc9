package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// origin is what is known of the upstream whose events the caller has; the zero value if nothing is.
type origin struct {
	upstream vaneyoke.UpstreamID
	version  vaneyoke.SoftwareVersion
}

func originOf(u vaneyoke.Upstream) origin { return origin{upstream: u.ID, version: u.Version} }

// recordContinuation logs and counts an attempt that continues a stream of which the caller has events.
func (s *Session) recordContinuation(e generation.Start, l *link, m *forwarded) {
	if !m.Stream || m.lastEventID == "" {
		return
	}
	s.relay.metrics.Continued.Add(m.origin.compare(l.upstream), 1)
	s.logAttempt(e.Attempt, l.upstream.ID).WithFields(logrus.Fields{
		"software": l.upstream.Version, "origin": m.origin.upstream, "origin_software": m.origin.version, "resumes": m.Resumes, "after": m.lastEventID,
		"age_ms": time.Since(s.req.ReceivedAt).Milliseconds(),
	}).Info("stream_continued")
}

// compare returns how the software version of an upstream that continues a stream compares with that of the stream's origin.
func (o origin) compare(u vaneyoke.Upstream) string {
	switch {
	case o.upstream == "":
		return "unknown_version"
	case o.version != u.Version:
		return "other_version"
	default:
		return "same_version"
	}
}
