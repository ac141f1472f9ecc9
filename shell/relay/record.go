package relay

import (
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"

	"github.com/vaneyoke/vaneyoke"
)

// pace follows when an answer's pieces were let through.
type pace struct {
	first, last time.Time     // zero before the first piece
	longest     time.Duration // longest pause between two pieces
}

func (p *pace) add(now time.Time) {
	if p.first.IsZero() {
		p.first = now
	} else {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

// measure counts an opaque request at its route.
func (s *Session) measure() {
	if _, ok := s.mode.(*forwarded); !ok {
		return
	}
	s.relay.metrics.Routes.Add(s.req.Kind+" "+s.result.Code.Info().Name, 1)
	if s.result.Code == vaneyoke.CodeOK {
		s.relay.metrics.Latencies.Add(s.req.Kind, s.pace.first.Sub(s.req.ReceivedAt), s.pace.longest, time.Since(s.req.ReceivedAt))
	}
}

// isPlain reports whether nothing is to be told of the session but that it went well.
func (s *Session) isPlain() bool {
	stats := s.result.Stats
	return s.result.Code == vaneyoke.CodeOK && stats.Attempts <= 1 && stats.Losses == 0 && stats.Suspected == 0 && !s.isLate()
}

// isLate reports whether an opaque answer came later than its route aims at.
func (s *Session) isLate() bool {
	m, ok := s.mode.(*forwarded)
	return ok && (s.pace.first.Sub(s.req.ReceivedAt) > m.Goal || (m.Pause > 0 && s.pace.longest > m.Pause))
}

// version returns the version of the configuration that an opaque request went by, 0 for any other.
func (s *Session) version() vaneyoke.Revision {
	if m, ok := s.mode.(*forwarded); ok {
		return m.Version
	}
	return 0
}

// firstMs returns the time to the first piece in milliseconds, -1 where none has come.
func (s *Session) firstMs() int64 {
	if s.pace.first.IsZero() {
		return -1
	}
	return s.pace.first.Sub(s.req.ReceivedAt).Milliseconds()
}

// leftMs returns what was left of an opaque request's time when it ended, in milliseconds.
func (s *Session) leftMs() int64 {
	if m, ok := s.mode.(*forwarded); ok {
		return time.Until(m.Deadline).Milliseconds()
	}
	return 0
}

// record writes the session's log line, metrics and span.
func (s *Session) record() {
	m, stats := s.relay.metrics, s.result.Stats
	m.Open.Add(-1)
	m.Tokens.Add(int64(s.result.Usage.Completion))
	m.Discarded.Add(int64(stats.DiscardedTokens))
	m.Reprefill.Add(int64(stats.ReprefilledTokens))
	m.Results.Add(s.result.Code.Info().Name, 1)
	s.measure()
	s.countUnanswered()
	s.span.SetAttributes(attribute.Int("code", int(s.result.Code)), attribute.Int("attempts", stats.Attempts))
	s.span.End()
	if s.isPlain() && s.relay.plain.Add(1)%s.relay.config.PlainEvery != 0 {
		return
	}
	s.relay.log.WithFields(logrus.Fields{
		"route":     s.req.Kind,
		"upstream":  s.last,
		"version":   s.version(),
		"prompt":    s.need.PromptBytes,
		"left_ms":   s.leftMs(),
		"request":   s.req.ID,
		"content":   s.req.Content,
		"workspace": s.req.Workspace,
		"policy":    s.req.Rule,
		"code":      int(s.result.Code),
		"tokens":    s.state.Transcript().Len(),
		"attempts":  stats.Attempts,
		"losses":    stats.Losses,
		"discarded": stats.DiscardedTokens,
		"first_ms":  s.firstMs(),
		"gap_ms":    s.pace.longest.Milliseconds(),
		"ms":        time.Since(s.req.ReceivedAt).Milliseconds(),
	}).Info("session_ended")
}

// drop tells of a session that is left where it stands because the relay is closed.
func (s *Session) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.result.Ended {
		return
	}
	s.relay.log.WithFields(logrus.Fields{
		"route":    s.req.Kind,
		"upstream": s.last,
		"request":  s.req.ID,
		"sent":     s.state.MayHaveRun(),
		"tokens":   s.state.Transcript().Len(),
		"attempts": s.state.Stats().Attempts,
		"ms":       time.Since(s.req.ReceivedAt).Milliseconds(),
		"left_ms":  s.leftMs(),
	}).Warn("session_dropped")
}
