package feed

import "time"

// Config holds the timing and the limits of a node's decisions.
type Config struct {
	StaleAfter        time.Duration // age from which tables count as stale
	MemberWait        time.Duration // how long a node of a new fleet waits for others to register before it reads the store
	StaleGrace        time.Duration // how long tables may be stale before the node looks for fresh ones
	MaxSearchInterval time.Duration // longest pause between two searches for fresh tables
	RetryInterval     time.Duration // pause after all candidates failed before they are tried again
	FailbackInterval  time.Duration // time after which a node that follows another source queries its preferred one again
	OfferInterval     time.Duration // time between two offers to the same node
	MaxCandidates     int           // candidates that are tried in turn
	Standbys          int           // highest-ranked nodes of a data centre that read the store while the tables are stale
	Probes            float64       // other nodes of a data centre that probe the store per search interval, on average
	MaxOffers         int           // offers that are sent at a time
}

// DefaultConfig returns the configuration that nodes start with.
func DefaultConfig() Config {
	return Config{
		StaleAfter: 1500 * time.Millisecond, MemberWait: 600 * time.Millisecond, StaleGrace: 300 * time.Millisecond, MaxSearchInterval: 2 * time.Second,
		RetryInterval: 3 * time.Second, FailbackInterval: 5 * time.Second, OfferInterval: 500 * time.Millisecond,
		MaxCandidates: 3, Standbys: 2, Probes: 2, MaxOffers: 24,
	}
}
