package retry

import "time"

// BudgetConfig configures a retry budget.
type BudgetConfig struct {
	Ratio     float64 // retries earned by each admitted request
	PerSecond float64 // retries earned each second regardless of traffic
	Burst     float64 // retries that can be accumulated
	// Window, if not 0, bounds the retries of each window by the requests of the same window: nothing is accumulated
	// beyond Burst, and PerSecond has no effect.
	Window time.Duration
}

// DefaultBudgetConfig returns the default settings of a node.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.2, PerSecond: 10, Burst: 500}
}

// Budget bounds the retries of one node, so that retries don't multiply the load when a data centre fails.
type Budget struct {
	cfg        BudgetConfig
	tokens     float64
	refilledAt time.Time

	requests, retries slidingWindow // used if Window is set
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	b := &Budget{cfg: cfg, tokens: cfg.Burst}
	b.requests.length, b.retries.length = cfg.Window, cfg.Window
	return b
}

// SetBurst changes how many retries can be accumulated; those beyond the new bound are lost.
func (b *Budget) SetBurst(burst float64) {
	b.cfg.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// Admit adds the Ratio that an admitted request earns.
func (b *Budget) Admit(now time.Time) {
	if b.cfg.Window > 0 {
		b.requests.add(now)
		return
	}
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// Take spends one retry, and reports whether one was available.
func (b *Budget) Take(now time.Time) bool {
	if b.cfg.Window > 0 {
		return b.takeInWindow(now)
	}
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns how many retries are available.
func (b *Budget) Left(now time.Time) float64 {
	if b.cfg.Window > 0 {
		return max(b.cfg.Burst+b.cfg.Ratio*b.requests.sum(now)-b.retries.sum(now), 0)
	}
	b.refill(now)
	return b.tokens
}

// GiveBack undoes the latest Take, for a retry that never reached an upstream.
func (b *Budget) GiveBack(now time.Time) {
	if b.cfg.Window > 0 {
		b.retries.removeLatest(now)
		return
	}
	b.tokens = min(b.tokens+1, b.cfg.Burst)
}

// refill adds the retries that PerSecond has earned since the last call.
func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.tokens+b.cfg.PerSecond*now.Sub(b.refilledAt).Seconds(), b.cfg.Burst)
	}
	b.refilledAt = now
}

// takeInWindow spends a retry if the retries of the window, including this one, stay within what its requests allow.
func (b *Budget) takeInWindow(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.retries.add(now)
	return true
}
