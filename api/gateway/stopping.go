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
	receivedAt   time.Time
	connOpenedAt time.Time     // zero if unknown
	timeNeeded   time.Duration // how long the node must keep running to answer it
	stream       bool
	resumable    bool // whether another node can resume the stream
}

// refusal reports whether a stopping node refuses a request, and when the caller should retry. Late in the stop, a request is
// accepted only if its answer is due before the deadline, so that it cannot be cut off.
func (s *StopPlan) refusal(a incomingRequest) (retryAfter time.Duration, refused bool) {
	if s == nil || !a.receivedAt.Add(a.timeNeeded).After(s.Deadline) {
		return 0, false
	}
	if (a.resumable || !a.stream) && a.receivedAt.Before(s.Since.Add(s.LongRequestWindow)) {
		return 0, false
	}
	if a.connOpenedAt.After(s.Since.Add(s.ReroutingDelay)) { // new connections still arrive here: no other node accepts them
		return max(s.Deadline.Sub(a.receivedAt), retryAfterOtherNode), true
	}
	return retryAfterOtherNode, true
}
