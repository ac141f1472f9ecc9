package relay

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/forecast"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// minGapChunks is the number of chunks of a run from which its mean chunk gap is sampled.
const minGapChunks = 8

// forecasts is the node's table of what recent answers took.
type forecasts struct {
	mu    sync.Mutex
	table *forecast.Table
}

func newForecasts() *forecasts { return &forecasts{table: forecast.New()} }

func (f *forecasts) addFirstChunk(now time.Time, key forecast.Key, promptTokens int, elapsed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.AddFirstChunk(now, key, vaneyoke.Tokens(promptTokens), elapsed)
}

func (f *forecasts) addChunkGap(now time.Time, key forecast.Key, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.AddChunkGap(now, key, gap)
}

func (f *forecasts) addAnswer(now time.Time, key forecast.Key, stated, chunks vaneyoke.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.AddAnswer(now, key, stated, chunks)
}

func (f *forecasts) expect(now time.Time, key forecast.Key, promptTokens int, stated vaneyoke.Tokens) forecast.Expected {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Expect(now, key, vaneyoke.Tokens(promptTokens), stated)
}

func (s *Session) forecastKey() forecast.Key {
	return forecast.Key{Service: s.need.Service, Route: vaneyoke.RouteID(s.req.Kind)}
}

// needsForecast reports whether an event may lead to a further attempt or to a replica.
func (s *Session) needsForecast(ev generation.Event) bool {
	if _, ok := s.mode.(*forwarded); !ok || !s.relay.config.Generation.UsefulOnly {
		return false
	}
	switch ev := ev.(type) {
	case generation.Admitted:
		return s.need.Replicate
	case generation.Placed:
		return ev.Attempt > 1
	case generation.NotPlaced, generation.Lost, generation.Tick, generation.Probed, generation.RunReported:
		return true
	default:
		return false
	}
}

// forecast returns what recent answers say about the session's.
func (s *Session) forecast(now time.Time) generation.Forecast {
	return generation.Forecast(s.relay.forecasts.expect(now, s.forecastKey(), s.need.PromptBytes, s.statedTokens()))
}

// statedTokens returns the most tokens that the answer may have, 0 if that or what the caller has received of it before is unknown.
func (s *Session) statedTokens() vaneyoke.Tokens {
	if m, ok := s.mode.(*forwarded); ok && m.Stream && m.ResumeAfter == "" {
		return m.AnswerTokens
	}
	return 0
}

// recordFirstChunk records how long an attempt at an opaque request took to its first chunk.
func (s *Session) recordFirstChunk(now time.Time, l *link) {
	if _, ok := s.mode.(*forwarded); ok {
		s.relay.forecasts.addFirstChunk(now, s.forecastKey(), s.need.PromptBytes, now.Sub(l.sentAt))
	}
}

// recordChunkGap records the mean gap between the chunks of an attempt that has ended.
func (s *Session) recordChunkGap(now time.Time, l *link) {
	if s.isStream() && l.chunks >= minGapChunks && !l.pause.happened() {
		s.relay.forecasts.addChunkGap(now, s.forecastKey(), l.lastReceivedAt.Sub(l.firstTokenAt)/time.Duration(l.chunks-1))
	}
}

// recordLength records the number of chunks of a complete answer.
func (s *Session) recordLength(now time.Time) {
	if stated := s.statedTokens(); stated > 0 {
		s.relay.forecasts.addAnswer(now, s.forecastKey(), stated, s.state.Transcript().Len())
	}
}

// recordNotBegun logs and counts an attempt that was not begun, or a replica that is not kept.
func (s *Session) recordNotBegun(e generation.NotBegun) {
	if e.Reason == generation.ReasonReplicaUseless && !s.need.Replicate {
		return
	}
	s.relay.metrics.NotBegun.Add(e.Reason.String(), 1)
	if e.Reason != generation.ReasonReplicaUseless && !e.FromReplica {
		s.relay.metrics.Saved.Add(int64(s.need.PromptBytes))
	}
	s.relay.log.WithFields(logrus.Fields{
		"request": s.req.ID, "attempt": int(e.Attempt), "reason": e.Reason, "remaining_ms": e.Remaining.Milliseconds(),
		"expected_first_ms": e.ExpectedFirst.Milliseconds(), "expected_rest_ms": e.ExpectedRest.Milliseconds(),
	}).Info("attempt_not_begun")
}

// recordGivenUp logs and counts an answer whose runs were ended because they could not complete it in time.
func (s *Session) recordGivenUp(e generation.GivenUp) {
	s.relay.metrics.GivenUp.Add(1)
	s.relay.log.WithFields(logrus.Fields{
		"request": s.req.ID, "attempt": int(e.Attempt), "remaining_ms": e.Remaining.Milliseconds(), "expected_rest_ms": e.ExpectedRest.Milliseconds(),
	}).Info("run_given_up")
}
