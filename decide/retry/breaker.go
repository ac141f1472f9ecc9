package retry

import "time"

// BreakerConfig configures a circuit breaker.
type BreakerConfig struct {
	Failures int           // consecutive failures that open the breaker
	OpenFor  time.Duration // time before the first trial request
	OpenMax  time.Duration // upper bound of the time before a trial request, which doubles with each failed trial
}

// DefaultBreakerConfig returns the default settings of a node.
func DefaultBreakerConfig() BreakerConfig {
	return BreakerConfig{Failures: 3, OpenFor: 500 * time.Millisecond, OpenMax: 15 * time.Second}
}

// Breaker is a circuit breaker for one upstream: it opens after consecutive failures, and lets a single trial request through after a pause
// that grows exponentially.
type Breaker struct {
	cfg           BreakerConfig
	failures      int
	openings      int // consecutive openings without a success; 0 while the breaker is closed
	openUntil     time.Time
	trialInFlight bool
}

// NewBreaker returns a closed breaker.
func NewBreaker(cfg BreakerConfig) *Breaker { return &Breaker{cfg: cfg} }

// Allows reports whether a request may be sent at now.
func (b *Breaker) Allows(now time.Time) bool { return b.AllowsAfter(now, 0) }

// AllowsAfter is Allows with the trial of an open breaker put off by delay, for callers that leave the trial to others first.
func (b *Breaker) AllowsAfter(now time.Time, delay time.Duration) bool {
	if b.openings == 0 {
		return true
	}
	return !b.trialInFlight && !now.Before(b.openUntil.Add(delay))
}

// IsOpen reports whether the breaker is open.
func (b *Breaker) IsOpen() bool { return b.openings > 0 }

// HoldUntil opens the breaker until the given time, after which it lets a trial through. A trial in flight is disregarded.
func (b *Breaker) HoldUntil(until time.Time) {
	b.openings = max(b.openings, 1)
	b.trialInFlight = false
	if until.After(b.openUntil) {
		b.openUntil = until
	}
}

// Open opens the breaker immediately, regardless of earlier failures.
func (b *Breaker) Open(now time.Time) {
	if b.openings == 0 {
		b.failures = b.cfg.Failures
	}
	b.Failed(now)
}

// Sent records that a request was sent; on an open breaker whose pause is over, it is the trial.
func (b *Breaker) Sent(now time.Time) {
	if b.openings > 0 && !now.Before(b.openUntil) {
		b.trialInFlight = true
	}
}

// Succeeded records a success, which closes the breaker.
func (b *Breaker) Succeeded() {
	b.failures = 0
	b.openings = 0
	b.trialInFlight = false
}

// Inconclusive records that a request ended without telling whether the upstream is healthy, so that another trial may be sent.
func (b *Breaker) Inconclusive() { b.trialInFlight = false }

// Failed records a failure, which may open the breaker. A failed trial opens it again for longer; failures of requests that were sent before it
// opened have no effect.
func (b *Breaker) Failed(now time.Time) {
	b.failures++
	if b.openings == 0 && b.failures < b.cfg.Failures {
		return
	}
	if b.openings > 0 && !b.trialInFlight {
		return
	}
	b.trialInFlight = false
	b.openings++
	b.openUntil = now.Add(b.openDuration())
}

// openDuration returns how long the breaker stays open before the next trial.
func (b *Breaker) openDuration() time.Duration {
	shift := min(b.openings-1, 16)
	return min(b.cfg.OpenFor<<shift, b.cfg.OpenMax)
}
