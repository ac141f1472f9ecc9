package feed

import "time"

// Config holds the times and bounds of a node's decisions.
type Config struct {
	StaleAfter        time.Duration // age of tables from which a node is not relied on
	MemberWait        time.Duration // how long a node of a new fleet waits for the others to register before it reads the store
	StaleGrace        time.Duration // for how long tables are old before a node does something about it
	MaxSearchInterval time.Duration // longest pause between two tries to find tables that are not old
	RetryInterval     time.Duration // time after which nodes that could not be followed are tried again
	FailbackInterval  time.Duration // time after which a node that follows another one than its first choice asks that one again
	OfferInterval     time.Duration // time between two offers to the same node
	MaxCandidates     int           // nodes that are tried in turn
	Standbys          int           // nodes of a data centre, by rank, that read the store while the tables are old
	Probes            float64       // other nodes of a data centre that try the store between two pauses, on average
	MaxOffers         int           // offers that are sent at a time
}

// DefaultConfig returns the bounds that the nodes start from.
func DefaultConfig() Config {
	return Config{
		StaleAfter: 1500 * time.Millisecond, MemberWait: 600 * time.Millisecond, StaleGrace: 300 * time.Millisecond, MaxSearchInterval: 2 * time.Second,
		RetryInterval: 3 * time.Second, FailbackInterval: 5 * time.Second, OfferInterval: 500 * time.Millisecond,
		MaxCandidates: 3, Standbys: 2, Probes: 2, MaxOffers: 24,
	}
}
