package gossip

// Factor is how much longer an upstream takes for the same work than the upstreams of its service usually do; 1 is as usual.
type Factor float64

// The range of factors that are believed.
const (
	MinFactor Factor = 0.2
	MaxFactor Factor = 8
)

// Valid reports whether the factor is within the range of those that are believed.
func (f Factor) Valid() bool { return f >= MinFactor && f <= MaxFactor }
