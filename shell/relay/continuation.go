package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
)

// basisFirstOutput is the basis of a pin that an answer's first output on this node has set, as it is logged.
const basisFirstOutput = "first_output"

// pinTo restricts further attempts to the software version of an attempt's upstream, whose output was accepted, unless they are restricted already.
func (s *Session) pinTo(attempt vaneyoke.Attempt) {
	l := s.links[attempt]
	if s.pin.IsSet || l == nil {
		return
	}
	current := s.currentProcess(l.upstream)
	switch {
	case l.isConfirmed || current.Incarnation == l.upstream.Incarnation:
		s.pinToProcess(l.upstream)
	case l.isPrompt():
		s.pinToProcess(current)
	default: // the output may have waited in the connection since before the restart
		s.pin, s.pinnedBy = pinToNobody(&l.upstream), l.upstream
	}
}

func (s *Session) pinToProcess(u vaneyoke.Upstream) { s.pin, s.pinnedBy = vaneyoke.PinTo(&u), u }

// repin corrects the pin of an answer whose upstream turns out to be a later incarnation than was known.
func (s *Session) repin(u vaneyoke.Upstream) {
	s.logRepinned(u)
	s.pinnedBy = u
	s.setPin(vaneyoke.PinTo(&u))
}

func (s *Session) logRepinned(u vaneyoke.Upstream) {
	s.relay.log.WithFields(logrus.Fields{
		"request": s.req.ID, "upstream": u.ID, "incarnation": uint64(u.Incarnation), "before_incarnation": uint64(s.pinnedBy.Incarnation),
		"software": u.Version, "before_software": s.pin.Version, "known": !u.VersionUnknown,
	}).Info("stream_repinned")
}

// setPin corrects the pin of an answer, here and in the stream's record.
func (s *Session) setPin(pin vaneyoke.Pin) {
	s.pin = pin
	s.repins++
	if s.registered != "" {
		s.unregisterStream()
		s.registered = ""
		s.registerStream()
	}
}

// resolvePin returns the pin of the next attempt; where the version was not known, it may be by now.
func (s *Session) resolvePin() vaneyoke.Pin {
	if !s.pin.VersionUnknown || s.relay.processes == nil {
		return s.pin
	}
	if current, ok := s.relay.processes.Upstream(s.pinnedBy.ID); ok && current.Incarnation == s.pinnedBy.Incarnation && !current.VersionUnknown {
		s.repin(current)
	}
	return s.pin
}

// pinToOrigin restricts all attempts to the software that began the stream of which the caller has events.
func (s *Session) pinToOrigin() {
	m, ok := s.mode.(*forwarded)
	if !ok || !m.Origin.IsKnown() {
		return
	}
	s.pin = vaneyoke.Pin{IsSet: true, Version: m.Origin.Software.Version}
	s.registerStream()
}

// registerStream has other nodes keep the software that began the stream.
func (s *Session) registerStream() {
	m, ok := s.mode.(*forwarded)
	if !ok || !s.need.Continuable || s.relay.registry == nil || s.registered != "" {
		return
	}
	attempt := s.req.ID
	if m.Resumes != "" {
		attempt = m.Resumes
	}
	s.registered = pinning.NewStreamID(s.req.Workspace, attempt)
	s.relay.registry.StreamBegun(pinning.StreamBegun{
		Stream: s.registered, Software: pinning.Software{Service: s.need.Service, Version: s.pin.Version},
		VersionUnknown: s.pin.VersionUnknown, Revision: s.repins, Deadline: m.Deadline,
	})
}

// unregisterStream ends what registerStream began.
func (s *Session) unregisterStream() {
	if s.registered != "" {
		s.relay.registry.StreamEnded(s.registered)
	}
}

// recordContinuation logs and counts an attempt that continues a stream of which the caller has events.
func (s *Session) recordContinuation(e generation.Start, l *link, m *forwarded) {
	if !m.Stream || m.lastEventID == "" {
		return
	}
	basis := basisFirstOutput
	if m.ResumeAfter != "" {
		basis = m.Origin.Basis.String()
	}
	s.relay.metrics.Continued.Add(compareVersions(s.pin, l.upstream), 1)
	s.logAttempt(e.Attempt, l.upstream.ID).WithFields(logrus.Fields{
		"software": l.upstream.Version, "origin": s.pinnedBy.ID, "origin_software": s.pin.Version, "basis": basis, "resumes": m.Resumes, "after": m.lastEventID,
		"age_ms": time.Since(s.req.ReceivedAt).Milliseconds(),
	}).Info("stream_continued")
}

// recordNotContinued logs that an answer cannot go on because its software version is gone.
func (s *Session) recordNotContinued(e generation.Place, err error) {
	if code := vaneyoke.CodeOf(err); code.IsFinal() {
		s.relay.log.WithFields(logrus.Fields{
			"request": s.req.ID, "attempt": int(e.Attempt), "software": s.pin.Version, "origin": s.pinnedBy.ID, "tokens": s.state.Transcript().Len(),
			"code": int(code), "error": err, "age_ms": time.Since(s.req.ReceivedAt).Milliseconds(),
		}).Info("stream_not_continued")
	}
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
