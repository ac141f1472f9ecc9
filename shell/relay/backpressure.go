package relay

import (
	"context"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/backlog"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// An upstream cuts off an answer that is not read for some seconds, which shows only when it is read again. A loss is put down to the pause if the
// pause was at least minCutPause long and ended at most cutWindow before.
const (
	minCutPause = time.Second
	cutWindow   = time.Second
)

// readPause is the latest time in which an attempt's stream was not read; zero if there was none.
type readPause struct{ since, until time.Time }

func (p readPause) happened() bool { return !p.since.IsZero() }

// explains reports whether a loss at now follows from the pause.
func (p readPause) explains(now time.Time) bool {
	if !p.happened() {
		return false
	}
	until := p.until
	if until.IsZero() {
		until = now
	}
	return until.Sub(p.since) >= minCutPause && now.Sub(until) <= cutWindow
}

// awaitReader stops reading an attempt's stream until its caller has read enough of the answer.
func (s *Session) awaitReader(ctx context.Context, attempt vaneyoke.Attempt, b *Buffer) {
	if b == nil {
		return
	}
	verdict := b.check()
	if verdict == backlog.MayGrow {
		return
	}
	s.setPaused(attempt, true)
	s.relay.metrics.Paused.Add(verdict.String(), 1)
	s.logAttempt(attempt, s.upstreamOf(attempt)).WithField("reason", verdict.String()).Debug("answer_paused")
	for verdict != backlog.MayGrow {
		if !b.wait(ctx) {
			return
		}
		verdict = b.check()
	}
	s.setPaused(attempt, false)
}

func (s *Session) upstreamOf(attempt vaneyoke.Attempt) vaneyoke.UpstreamID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[attempt].upstream.ID
}

func (s *Session) setPaused(attempt vaneyoke.Attempt, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, now := s.links[attempt], time.Now()
	if paused {
		l.pause = readPause{since: now}
	} else {
		l.pause.until = now
	}
	s.handleLocked(now, generation.Paused{Attempt: attempt, Paused: paused})
}

// cutReader ends an answer whose upstream cut it off because its caller did not read it: another attempt would be cut off as well.
func (s *Session) cutReader(err error) {
	if m, ok := s.mode.(*forwarded); ok {
		m.Buffer.recordCutNow("upstream_cut_off", err)
	}
	s.handleLocked(time.Now(), generation.CallerGone{})
}

// Delivered records that the caller's connection has taken the answer up to an offset, and drops that part.
func (s *Session) Delivered(offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.mode.(*forwarded)
	if !ok {
		return
	}
	t := s.state.Transcript()
	before := t.Forgotten
	t.Forget(offset)
	m.Buffer.Delivered(t.Forgotten - before)
}
