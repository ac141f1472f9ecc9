package relay

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/wire/engine"
)

// Saved is the state that one node needs to continue another's session.
type Saved struct {
	Epoch      uint64 // of the owner that continues it
	Restored   generation.Restored
	Trims      int // how often ids at the end were removed
	StreamName string
	StreamBase vaneyoke.Tokens
	Upstream   vaneyoke.Upstream // of the stream; its URL is "" if it is no longer known
	Pin        vaneyoke.Pin      // of the answer to the software version that began it
	Result     *Result           // nil if the session was running
	Answer     engine.Answer
}

// Save returns the session's state for another node; its slices must not be modified.
func (s *Session) Save() Saved {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saveLocked()
}

// HandOver returns the session's state for the next owner, and ends the session here if another node can go on with it.
func (s *Session) HandOver() (saved Saved, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	saved = s.saveLocked()
	if s.result.Ended || !s.canMove(now, saved) {
		return saved, false
	}
	s.handleLocked(now, generation.Superseded{})
	return saved, true
}

// connectTime is how long it may take at most until a run has reached its upstream.
const connectTime = time.Second

// canMove reports whether the next owner can resume the session's run, or may start another one while none works on the answer.
func (s *Session) canMove(now time.Time, saved Saved) bool {
	if _, ok := s.mode.(*unary); !ok && saved.StreamName != "" {
		return true
	}
	return s.req.Repeatable && !lo.SomeBy(lo.Values(s.links), func(l *link) bool {
		return l.started && !l.fenced && !l.outcomeReported && now.Sub(l.sentAt) >= connectTime
	})
}

func (s *Session) saveLocked() Saved {
	t := s.state.Transcript()
	saved := Saved{
		Epoch:    s.epoch,
		Restored: generation.Restored{Prompt: t.Prompt, IDs: t.IDs, Text: t.Text},
		Trims:    t.Trims,
		Answer:   s.answer,
		Pin:      s.pin,
	}
	if l := s.links[s.state.StreamingAttempt()]; l != nil {
		saved.StreamName, saved.StreamBase, saved.Upstream = l.streamName, l.base, l.upstream
		saved.Restored.Upstream = l.upstream.ID
	}
	if s.result.Ended {
		result := s.result
		saved.Result = &result
	}
	return saved
}

// Supersede ends the session here because another node continues it.
func (s *Session) Supersede() { s.handle(time.Now(), generation.Superseded{}) }

// Detach ends the session here because the node stops; its run continues for the node that takes the session over.
func (s *Session) Detach() { s.handle(time.Now(), generation.NodeStopping{KeepRuns: true}) }

// Restore continues another node's session.
func (r *Relay) Restore(ctx context.Context, req *vaneyoke.Request, saved Saved) *Session {
	need := placement.Need{Kind: vaneyoke.KindEngine, Model: req.Model, Order: req.Order, PromptBytes: req.PromptBytes}
	m := modeOf(req)
	now := time.Now()
	from := saved.Restored
	from.Ended = saved.Result != nil
	if _, ok := m.(*unary); ok || saved.Upstream.URL == "" {
		from.Upstream = ""
	}
	state, effects := generation.Restore(now, r.configOf(req, need, m), newRand(), from)
	s := newSession(ctx, r, req, need, m, state)
	s.epoch, s.pin = saved.Epoch, saved.Pin
	mayRun := r.track(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[generation.RestoredStream] = &link{
		upstream: saved.Upstream, streamName: saved.StreamName, base: saved.StreamBase, outcomeReported: true, cancel: func() {},
	}
	if s.result.Ended { // it was interrupted before it started
		return s
	}
	if saved.Result != nil {
		s.answer = saved.Answer
		s.end(*saved.Result)
		return s
	}
	if !mayRun {
		s.handleLocked(now, generation.NodeStopping{KeepRuns: true})
		return s
	}
	for _, effect := range effects {
		s.apply(effect)
	}
	s.setTimer(now, false)
	return s
}
