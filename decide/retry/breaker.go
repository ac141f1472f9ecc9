package retry

import "time"

// BreakerConfig holds the bounds of a circuit breaker.
type BreakerConfig struct {
	Failures int           // failures in a row that open the breaker
	OpenFor  time.Duration // first pause before a trial
	OpenMax  time.Duration // longest pause before a trial
}

// DefaultBreakerConfig returns the settings that the nodes start from.
func DefaultBreakerConfig() BreakerConfig {
	return BreakerConfig{Failures: 3, OpenFor: 500 * time.Millisecond, OpenMax: 15 * time.Second}
}

// Breaker keeps new work from an upstream that fails in a row, and lets a single trial through after a growing pause.
type Breaker struct {
	cfg      BreakerConfig
	failures int
	opened   int // openings in a row without a success
	until    time.Time
	trial    bool
}

// NewBreaker returns a closed breaker.
func NewBreaker(cfg BreakerConfig) *Breaker { return &Breaker{cfg: cfg} }

// Allows reports whether new work may be sent at now.
func (b *Breaker) Allows(now time.Time) bool { return b.AllowsAfter(now, 0) }

// AllowsAfter reports whether work may be sent where a trial is left to others for a while longer.
func (b *Breaker) AllowsAfter(now time.Time, longer time.Duration) bool {
	if b.opened == 0 {
		return true
	}
	return !b.trial && !now.Before(b.until.Add(longer))
}

// IsOpen reports whether the breaker holds work back.
func (b *Breaker) IsOpen() bool { return b.opened > 0 }

// HoldUntil holds work back until a time, after which a trial is let through; a trial under way counts for nothing.
func (b *Breaker) HoldUntil(until time.Time) {
	b.opened = max(b.opened, 1)
	b.trial = false
	if until.After(b.until) {
		b.until = until
	}
}

// Open holds work back at once, whatever came before.
func (b *Breaker) Open(now time.Time) {
	if b.opened == 0 {
		b.failures = b.cfg.Failures
	}
	b.Failed(now)
}

// Sent notes that work was sent; on an open breaker it is the trial.
func (b *Breaker) Sent(now time.Time) {
	if b.opened > 0 && !now.Before(b.until) {
		b.trial = true
	}
}

// Succeeded closes the breaker.
func (b *Breaker) Succeeded() {
	b.failures = 0
	b.opened = 0
	b.trial = false
}

// Dropped notes that sent work ended without a word on the upstream's health, so that the next trial may go.
func (b *Breaker) Dropped() { b.trial = false }

// Failed counts a failure, and opens the breaker or keeps it open.
func (b *Breaker) Failed(now time.Time) {
	b.failures++
	if b.opened == 0 && b.failures < b.cfg.Failures {
		return
	}
	if b.opened > 0 && !b.trial {
		return
	}
	b.trial = false
	b.opened++
	b.until = now.Add(b.pause())
}

func (b *Breaker) pause() time.Duration {
	shift := min(b.opened-1, 16)
	return min(b.cfg.OpenFor<<shift, b.cfg.OpenMax)
}
