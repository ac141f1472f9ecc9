package ratelimit

import (
	"math"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// bucket is the token bucket from which an owner grants permits. It holds at most one token plus those of one second.
type bucket struct {
	tokens      float64
	refilledAt  time.Time // time of the last refill; if in the future, no tokens are added until then
	lastRetry   time.Time // latest retry time that was given out
	lastRequest time.Time // when a permit was last requested
}

// refill adds the tokens since the last refill, up to the capacity of the bucket.
func (b *bucket) refill(now time.Time, rate vaneyoke.PerSecond) {
	if now.After(b.refilledAt) {
		b.tokens += float64(rate) * now.Sub(b.refilledAt).Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, 1+float64(rate))
}

// take takes a token, and reports whether there was one.
func (b *bucket) take(now time.Time, rate vaneyoke.PerSecond) bool {
	b.refill(now, rate)
	b.lastRequest = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// untilAvailable returns the time until the next token.
func (b *bucket) untilAvailable(now time.Time, rate vaneyoke.PerSecond) time.Duration {
	b.refill(now, rate)
	return max(b.refilledAt.Sub(now), 0) + timeFor(1-b.tokens, rate)
}

// reserveRetry returns the retry-after time of a refused requester, spaced after those that were refused earlier.
func (b *bucket) reserveRetry(now time.Time, rate vaneyoke.PerSecond) time.Duration {
	b.lastRetry = later(now.Add(b.untilAvailable(now, rate)), b.lastRetry.Add(timeFor(1, rate)))
	if limit := now.Add(maxRetryAfter); b.lastRetry.After(limit) {
		b.lastRetry = limit
	}
	return b.lastRetry.Sub(now)
}

// timeFor returns the time that a number of requests takes at a rate, at most maxRetryAfter.
func timeFor(requests float64, rate vaneyoke.PerSecond) time.Duration {
	seconds := min(max(requests, 0)/float64(rate), maxRetryAfter.Seconds())
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
