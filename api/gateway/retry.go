package gateway

import "time"

const (
	defaultRetryAfter   = 500 * time.Millisecond // if nothing determines when the caller should retry
	retryAfterOtherNode = 20 * time.Millisecond  // if another node can accept the request at once
	// A caller that no node can serve yet is told to retry after a random share of its own wait, between these two. It has
	// few retries, and the missing state is back within seconds. A later retry is more likely to succeed, but leaves less
	// time for the answer.
	minRetryShare = 1.0 / 20
	maxRetryShare = 1.0 / 10
)

// randomRetryAfter returns when a caller with the given longest wait should retry. The random number, at least 0 and less
// than 1, spreads the retries of callers that were refused at the same time.
func randomRetryAfter(wait time.Duration, random float64) time.Duration {
	if wait <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(float64(wait) * (minRetryShare + (maxRetryShare-minRetryShare)*random))
}
