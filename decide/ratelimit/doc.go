// Package ratelimit implements distributed rate limiting: all nodes together keep the rate limits that upstreams declare. An upstream's rate
// is divided among a few nodes, the owners of its limit, each of which grants permits from a token bucket. State handles events and returns
// effects; it does no I/O and has no clock of its own.
package ratelimit
