package gateway

import "time"

// Stopping says how a node stops.
type StopPlan struct {
	Since          time.Time     // when it was told to
	Deadline       time.Time     // when each request that it took has had its answer
	ReroutingDelay time.Duration // how long the platform may take to send new connections elsewhere
	// Early is how long requests are still taken whose answer may last longer than the node: most end in time, and a caller
	// whose stream is cut off at the end comes back for the rest.
	LongRequestWindow time.Duration
}

// arrival is what decides whether a stopping node takes a request.
type arrival struct {
	at        time.Time
	opened    time.Time     // when its connection was opened
	needs     time.Duration // how long the node must still run to answer it
	stream    bool
	resumable bool // whether another node can go on with the stream
}

// refusal says whether a stopping node refuses a request, and when the caller should come back. A request is taken where
// its answer is due before the node ends, whatever becomes of it, so that none that was taken late is cut off.
func (s *StopPlan) refusal(a arrival) (retryAfter time.Duration, refused bool) {
	if s == nil || !a.at.Add(a.needs).After(s.Deadline) {
		return 0, false
	}
	if (a.resumable || !a.stream) && a.at.Before(s.Since.Add(s.LongRequestWindow)) {
		return 0, false
	}
	if a.opened.After(s.Since.Add(s.ReroutingDelay)) { // new connections still come, so that no other node takes them
		return max(s.Deadline.Sub(a.at), retryElsewhere), true
	}
	return retryElsewhere, true
}
