// Package balancer makes the placement state of a node safe for concurrent use, and supplies it with the clock and random numbers.
package balancer
