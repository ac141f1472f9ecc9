package relay

import (
	"cmp"
	"context"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/share"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// Admitter is a Placer that decides which of the waiting prompts goes next.
type Admitter interface {
	// Acquire waits until a prompt may be sent, or returns an error with a result code. Assess tells whether there is room for it.
	Acquire(ctx context.Context, r admission.Request, assess func(context.Context) admission.Room) error
	// Room returns how soon an upstream could start a prompt, as far as is known.
	Room(need placement.Need) admission.Room
	// RunEnded records that an attempt on a service's upstream has ended, which had prefilled its prompt of that length.
	RunEnded(service vaneyoke.ServiceID, prompt vaneyoke.Tokens)
}

// awaitCapacity holds a prompt until an upstream has room for a first attempt, which would evict runs or replicas of others otherwise; a later
// attempt is sent at once, with new load reports. It reports whether the session continues; an error means that the prompt was rejected.
func (s *Session) awaitCapacity(need placement.Need, isFirst bool) (bool, error) {
	m, ok := s.mode.(*forwarded)
	if !ok || need.Affinity == "" || need.Prefer.URL != "" || s.blockedErr() != nil {
		return true, nil
	}
	if !isFirst {
		s.updateReports(need)
		return true, nil
	}
	if s.relay.admitter == nil {
		return s.awaitRoom(need, m), nil
	}
	err := s.relay.admitter.Acquire(s.ctx, s.admissionRequest(m), func(ctx context.Context) admission.Room {
		s.updateReports(need)
		if ctx.Err() != nil {
			return admission.Room{}
		}
		return s.relay.admitter.Room(need)
	})
	if s.ctx.Err() != nil {
		return false, nil
	}
	return err == nil, err
}

// awaitRoom holds a prompt until an upstream has room, for a part of its caller's time. It reports whether the session continues.
func (s *Session) awaitRoom(need placement.Need, m *forwarded) bool {
	startedAt := time.Now()
	capacityWait := placement.CapacityWait{Timeout: s.timeLeft(m, startedAt), LatencyGoal: cmp.Or(m.LatencyGoal, defaultLatencyGoal)}
	for {
		s.updateReports(need)
		delay, waitMore := capacityWait.NextCheck(s.timeLeft(m, time.Now()))
		if s.relay.placer.HasRoom(need) || !waitMore {
			return true
		}
		if !pause.For(s.ctx, delay) {
			return false
		}
	}
}

// admissionRequest describes the session's prompt for the queue, with times of the clock that advances while the VM is suspended.
func (s *Session) admissionRequest(m *forwarded) admission.Request {
	now, steadyNow := time.Now(), steady.Now()
	received := steadyNow.Add(s.req.ReceivedAt.Sub(now))
	return admission.Request{
		ID: s.req.ID, Service: s.need.Service, Route: vaneyoke.RouteID(s.req.Kind), Workspace: s.req.Workspace, Content: s.req.Content,
		Urgency: share.Urgency(s.req.Priority), Prompt: vaneyoke.Tokens(s.req.PromptBytes), Answer: m.AnswerTokens,
		Received: received, Goal: received.Add(cmp.Or(m.LatencyGoal, defaultLatencyGoal)), Deadline: steadyNow.Add(s.timeLeft(m, now)),
		Bytes: m.size(),
	}
}

// size returns the approximate memory that the request takes.
func (f *Forwarding) size() int {
	bytes := len(f.Message.Body) + len(f.Message.Target)
	for key, values := range f.Message.Header {
		bytes += len(key)
		for _, value := range values {
			bytes += len(value)
		}
	}
	return bytes
}

// updateReports updates the placer with load reports of the prompt's affinity upstreams, which serve prompts and answers of other nodes too, and
// of spillover upstreams if none of those is free, as far as the reports arrive in time.
func (s *Session) updateReports(need placement.Need) {
	s.queryReports(s.relay.placer.AffinityUpstreams(need))
	s.queryReports(s.relay.placer.SpilloverUpstreams(need))
}

// timeLeft returns the remaining time of the caller; suspensions of the VM shorten it.
func (s *Session) timeLeft(m *forwarded, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.Deadline.Sub(now)
}

// reportRunEnded tells the admitter that there may be room for another prompt.
func (s *Session) reportRunEnded(l *link) {
	if s.relay.admitter == nil || s.need.Affinity == "" {
		return
	}
	prompt := vaneyoke.Tokens(0)
	if l.gotFirstToken {
		prompt = vaneyoke.Tokens(s.req.PromptBytes)
	}
	s.relay.admitter.RunEnded(s.need.Service, prompt)
}
