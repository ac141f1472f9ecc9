// Package muteline provides a TCP proxy for tests that can silently stop forwarding on open connections, as a network failure without a reset
// does.
package muteline
