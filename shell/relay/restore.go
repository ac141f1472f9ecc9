package relay

import (
	"context"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/wire/engine"
)

// Saved is what one node has to know to go on with another's session.
type Saved struct {
	Epoch      uint64 // of the owner that goes on with it
	Restored   generation.Restored
	Trims      int // how often ids at the end were taken back
	StreamName string
	StreamBase vaneyoke.Tokens
	Upstream   vaneyoke.Upstream // of the stream; its URL is "" where it is not known any more
	Result     *Result           // nil where the session was running
	Answer     engine.Answer
}

// Save returns the session as another node would need it; its slices must not be changed.
func (s *Session) Save() Saved {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saveLocked()
}

// HandOver ends the session here and returns it as its next owner needs it.
func (s *Session) HandOver() Saved {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved := s.saveLocked()
	s.handleLocked(time.Now(), generation.Superseded{})
	return saved
}

func (s *Session) saveLocked() Saved {
	t := s.state.Transcript()
	saved := Saved{
		Epoch:    s.epoch,
		Restored: generation.Restored{Prompt: t.Prompt, IDs: t.IDs, Text: t.Text},
		Trims:    t.Trims,
		Answer:   s.answer,
	}
	if l := s.links[s.state.StreamingAttempt()]; l != nil {
		saved.StreamName, saved.StreamBase, saved.Upstream = l.name, l.base, l.upstream
		saved.Restored.Upstream = l.upstream.ID
	}
	if s.result.Ended {
		result := s.result
		saved.Result = &result
	}
	return saved
}

// Supersede ends the session here because another node goes on with it.
func (s *Session) Supersede() { s.handle(time.Now(), generation.Superseded{}) }

// LeaveToNext ends the session here because the node ends; its run goes on for the node that takes the session over.
func (s *Session) LeaveToNext() { s.handle(time.Now(), generation.NodeStopping{KeepRuns: true}) }

// Restore goes on with another node's session.
func (r *Relay) Restore(ctx context.Context, req *vaneyoke.Request, saved Saved) *Session {
	need := placement.Need{Kind: vaneyoke.KindEngine, Model: req.Model, Order: req.Order, PromptBytes: req.PromptBytes}
	m := modeOf(req)
	now := time.Now()
	from := saved.Restored
	from.Ended = saved.Result != nil
	if _, ok := m.(*whole); ok || saved.Upstream.URL == "" {
		from.Upstream = ""
	}
	state, effects := generation.Restore(now, r.configOf(req, need, m), newRand(), from)
	s := newSession(ctx, r, req, need, m, state)
	s.epoch = saved.Epoch
	goesOn := r.follow(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[generation.RestoredStream] = &link{
		upstream: saved.Upstream, name: saved.StreamName, base: saved.StreamBase, settled: true, cancel: func() {},
	}
	if s.result.Ended { // it was interrupted before it began
		return s
	}
	if saved.Result != nil {
		s.answer = saved.Answer
		s.end(*saved.Result)
		return s
	}
	if !goesOn {
		s.handleLocked(now, generation.NodeStopping{KeepRuns: true})
		return s
	}
	for _, effect := range effects {
		s.apply(effect)
	}
	s.setTimer(now)
	return s
}
