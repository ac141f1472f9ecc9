package relay

import (
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"

	"github.com/vaneyoke/vaneyoke"
)

// pace tracks when the chunks of an answer were accepted.
type pace struct {
	first, last time.Time     // zero before the first chunk
	longestGap  time.Duration // longest gap between two chunks
}

func (p *pace) add(now time.Time) {
	if p.first.IsZero() {
		p.first = now
	} else {
		p.longestGap = max(p.longestGap, now.Sub(p.last))
	}
	p.last = now
}

// recordRoute counts an opaque request in its route's metrics.
func (s *Session) recordRoute() {
	if _, ok := s.mode.(*forwarded); !ok {
		return
	}
	s.relay.metrics.Routes.Add(s.req.Kind+" "+s.result.Code.Info().Name, 1)
	if s.result.Code == vaneyoke.CodeOK {
		s.relay.metrics.Latencies.Add(s.req.Kind, s.timeToFirst(), s.pace.longestGap, time.Since(s.req.ReceivedAt))
	}
}

// isUneventful reports whether the session succeeded without anything notable.
func (s *Session) isUneventful() bool {
	stats := s.result.Stats
	return s.result.Code == vaneyoke.CodeOK && stats.Attempts <= 1 && stats.Losses == 0 && stats.Suspected == 0 && !s.isLate() && !s.isEmpty()
}

// isEmpty reports whether a stream has ended without a chunk for a caller who had none before.
func (s *Session) isEmpty() bool {
	m, ok := s.mode.(*forwarded)
	return ok && m.Stream && m.lastEventID == "" && s.state.Transcript().Len() == 0
}

// isLate reports whether an opaque answer missed a goal of its route.
func (s *Session) isLate() bool {
	m, ok := s.mode.(*forwarded)
	return ok && (s.timeToFirst() > m.LatencyGoal || (m.EventIntervalGoal > 0 && s.pace.longestGap > m.EventIntervalGoal))
}

// timeToFirst returns the time to the first chunk, or until now if none has arrived.
func (s *Session) timeToFirst() time.Duration {
	if s.pace.first.IsZero() {
		return time.Since(s.req.ReceivedAt)
	}
	return s.pace.first.Sub(s.req.ReceivedAt)
}

// configRevision returns the revision of the configuration that an opaque request used, 0 for any other request.
func (s *Session) configRevision() vaneyoke.Revision {
	if m, ok := s.mode.(*forwarded); ok {
		return m.ConfigRevision
	}
	return 0
}

// firstMs returns the time to the first chunk in milliseconds, -1 if none has arrived.
func (s *Session) firstMs() int64 {
	if s.pace.first.IsZero() {
		return -1
	}
	return s.pace.first.Sub(s.req.ReceivedAt).Milliseconds()
}

// timeLeftMs returns the remaining time of an opaque request in milliseconds, 0 for any other request.
func (s *Session) timeLeftMs() int64 {
	if m, ok := s.mode.(*forwarded); ok {
		return time.Until(m.Deadline).Milliseconds()
	}
	return 0
}

// recordEnd writes the session's log line, metrics and span.
func (s *Session) recordEnd() {
	m, stats := s.relay.metrics, s.result.Stats
	m.Open.Add(-1)
	m.Tokens.Add(int64(s.result.Usage.Completion))
	m.Discarded.Add(int64(stats.DiscardedTokens))
	m.Reprefill.Add(int64(stats.ReprefilledTokens))
	m.Results.Add(s.result.Code.Info().Name, 1)
	s.recordRoute()
	s.countUnanswered()
	s.span.SetAttributes(attribute.Int("code", int(s.result.Code)), attribute.Int("attempts", stats.Attempts))
	s.span.End()
	if s.isUneventful() && s.relay.uneventful.Add(1)%s.relay.config.UneventfulLogEvery != 0 {
		return
	}
	framing, lastEvent := s.ending()
	s.relay.log.WithFields(logrus.Fields{
		"route":     s.req.Kind,
		"upstream":  s.lastUpstream,
		"version":   s.configRevision(),
		"prompt":    s.need.PromptBytes,
		"left_ms":   s.timeLeftMs(),
		"request":   s.req.ID,
		"content":   s.req.Content,
		"workspace": s.req.Workspace,
		"policy":    s.req.Rule,
		"code":      int(s.result.Code),
		"tokens":    s.state.Transcript().Len(),
		"attempts":  stats.Attempts,
		"losses":    stats.Losses,
		"discarded": stats.DiscardedTokens,
		"framing":   framing,
		"event":     lastEvent,
		"first_ms":  s.firstMs(),
		"gap_ms":    s.pace.longestGap.Milliseconds(),
		"ms":        time.Since(s.req.ReceivedAt).Milliseconds(),
	}).Info("session_ended")
}

// logDropped logs a session that is dropped because the relay is closed.
func (s *Session) logDropped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.result.Ended {
		return
	}
	s.relay.log.WithFields(logrus.Fields{
		"route":    s.req.Kind,
		"upstream": s.lastUpstream,
		"request":  s.req.ID,
		"sent":     s.state.MayHaveRun(),
		"tokens":   s.state.Transcript().Len(),
		"attempts": s.state.Stats().Attempts,
		"ms":       time.Since(s.req.ReceivedAt).Milliseconds(),
		"left_ms":  s.timeLeftMs(),
	}).Warn("session_dropped")
}
