package gateway

import "time"

// StopPlan holds the times by which a node stops.
type StopPlan struct {
	Since          time.Time     // when the stop was requested
	Deadline       time.Time     // when all accepted requests must have been answered
	ReroutingDelay time.Duration // how long the platform may take to route new connections to other nodes
	// LongRequestWindow is how long after Since the node still accepts requests whose answer may take until after Deadline:
	// most end in time, and a caller whose stream is cut off at the end resumes it elsewhere.
	LongRequestWindow time.Duration
}

// ageMilliseconds returns the time since the stop was requested in milliseconds, -1 for a node that does not stop.
func (s *StopPlan) ageMilliseconds(now time.Time) int64 {
	if s == nil {
		return -1
	}
	return now.Sub(s.Since).Milliseconds()
}

// incomingRequest holds what decides whether a stopping node accepts a request.
type incomingRequest struct {
	connOpenedAt time.Time     // zero if unknown
	deadline     time.Time     // when its caller stops waiting
	answerTime   time.Duration // how long after it was sent on an answer is due; 0 for until the deadline
	stream       bool
	resumable    bool // whether another node can resume the stream
}

// isDue reports whether the answer to a request that is sent on now is due before the stop's deadline.
func (s *StopPlan) isDue(now time.Time, a incomingRequest) bool {
	return !a.deadline.After(s.Deadline) || a.answerTime > 0 && !now.Add(a.answerTime).After(s.Deadline)
}

// canOutlast reports whether a request is accepted early in a stop although its answer may be due later.
func (a incomingRequest) canOutlast() bool { return a.resumable || !a.stream }

// acceptsUntil returns until when a request may be completed to be accepted.
func (s *StopPlan) acceptsUntil(a incomingRequest) time.Time {
	if !a.deadline.After(s.Deadline) {
		return a.deadline
	}
	until := s.Since
	if a.answerTime > 0 {
		until = s.Deadline.Add(-a.answerTime).Add(time.Nanosecond) // the bound itself is in time
	}
	if long := s.Since.Add(s.LongRequestWindow); a.canOutlast() && long.After(until) {
		until = long
	}
	return until
}

// refusal reports whether a stopping node refuses a request that is complete now, and when the caller should retry. Late in the stop, a request is
// accepted only if its answer is due before the deadline, so that it cannot be cut off.
func (s *StopPlan) refusal(now time.Time, a incomingRequest) (retryAfter time.Duration, refused bool) {
	if s == nil || s.isDue(now, a) {
		return 0, false
	}
	if a.canOutlast() && now.Before(s.Since.Add(s.LongRequestWindow)) {
		return 0, false
	}
	return s.retryAfter(now, a), true
}

// retryAfter returns when the caller of a refused request should retry.
func (s *StopPlan) retryAfter(now time.Time, a incomingRequest) time.Duration {
	if a.connOpenedAt.After(s.Since.Add(s.ReroutingDelay)) { // new connections still arrive here: no other node accepts them
		return max(s.Deadline.Sub(now), retryAfterOtherNode)
	}
	return retryAfterOtherNode
}
