package gateway

import "time"

// Stopping says how a node stops.
type Stopping struct {
	Since time.Time     // when it was told to
	Until time.Time     // when it ends at the latest
	Calm  time.Duration // how long the platform may take to send new connections elsewhere
	// Streams is how long streams that can go on at another node are still taken: most end in time, and a caller whose
	// stream is cut off at the end comes back for the rest.
	Streams time.Duration
}

// refusal says whether a stopping node refuses a request for a stream, and when the caller should come back.
func (s *Stopping) refusal(now, opened time.Time, resumable bool) (retryAfter time.Duration, refused bool) {
	if s == nil || (resumable && now.Before(s.Since.Add(s.Streams))) {
		return 0, false
	}
	if opened.After(s.Since.Add(s.Calm)) { // new connections still come, so that no other node takes them
		return max(s.Until.Sub(now), retryElsewhere), true
	}
	return retryElsewhere, true
}
