// Package muteline relays TCP connections in tests, and has open ones fall silent for good without a reset.
package muteline
