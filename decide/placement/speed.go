package placement

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// speedWeight is the weight of the newest sample in the speeds of a service.
const speedWeight = 0.1

// serviceSpeed holds moving averages of how fast the upstreams of a service work.
type serviceSpeed struct {
	prefill float64 // ns per prompt token; 0 if unknown
	decode  float64 // ns per token that an answer may have; 0 if unknown
	// eventInterval is the time between two events of a stream in ns.
	eventInterval median
}

func (s *State) speed(service vaneyoke.ServiceID) *serviceSpeed {
	sp := s.speeds[service]
	if sp == nil {
		sp = &serviceSpeed{}
		s.speeds[service] = sp
	}
	return sp
}

// average returns the moving average after a sample; 0 stands for an unknown one.
func average(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + speedWeight*(sample-mean)
}

// recordPrefill records the time from sending an attempt to its first token.
func (s *State) recordPrefill(now time.Time, e *entry, elapsed time.Duration) {
	work, ok := e.takeSent(now.Add(-elapsed))
	if !ok || work.ahead < 0 {
		return
	}
	sp := s.speed(e.upstream.Service)
	sp.prefill = average(sp.prefill, float64(elapsed)/float64(work.ahead+work.prompt)/float64(e.slowness.current(now)))
}

// Completed records the time from the first token of a run to its last.
func (s *State) Completed(now time.Time, id vaneyoke.UpstreamID, need Need, decodeTime time.Duration) {
	e, ok := s.entries[id]
	if !ok || need.AnswerTokens <= 0 || decodeTime <= 0 {
		return
	}
	sp := s.speed(e.upstream.Service)
	sp.decode = average(sp.decode, float64(decodeTime)/float64(need.AnswerTokens)/float64(e.slowness.current(now)))
}

// expectedStart returns the expected time to the first token of a prompt; 0 if unknown.
func (s *State) expectedStart(now time.Time, e *entry, need Need) time.Duration {
	sp := s.speed(need.Service)
	work := float64(e.queuedTokens(now, need)) + float64(need.PromptBytes)
	return time.Duration(sp.prefill * work * float64(e.slowness.current(now)))
}

// expectedRun returns the expected time from the first token of an answer to its last; 0 if unknown.
func (s *State) expectedRun(now time.Time, e *entry, need Need) time.Duration {
	return time.Duration(s.speed(need.Service).decode * float64(need.AnswerTokens) * float64(e.slowness.current(now)))
}
