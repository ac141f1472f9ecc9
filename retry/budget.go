package retry

import "time"

// BudgetConfig holds the bounds of a retry budget.
type BudgetConfig struct {
	Ratio     float64 // retries allowed for each admitted request
	PerSecond float64 // retries allowed each second whatever the traffic
	Burst     float64 // retries that can be saved up
}

// DefaultBudgetConfig returns the settings that the nodes start from.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.2, PerSecond: 10, Burst: 500}
}

// Budget bounds the retries of one node, so that a failing hall does not multiply its load.
type Budget struct {
	cfg  BudgetConfig
	left float64
	last time.Time
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, left: cfg.Burst}
}

// SetBurst changes how many retries can be saved up; what was saved beyond that is lost.
func (b *Budget) SetBurst(burst float64) {
	b.cfg.Burst = burst
	b.left = min(b.left, burst)
}

// Admit earns the share of a retry that an admitted request brings.
func (b *Budget) Admit() { b.left = min(b.left+b.cfg.Ratio, b.cfg.Burst) }

// Take spends one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

func (b *Budget) refill(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.left = min(b.left+b.cfg.PerSecond*now.Sub(b.last).Seconds(), b.cfg.Burst)
	}
	b.last = now
}
