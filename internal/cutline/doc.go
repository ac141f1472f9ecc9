// Package cutline provides a dialer for tests that partitions its process from some addresses, as a network between hosts would.
package cutline
