// Package check verifies an answer from its text alone: it detects tokens that are missing, repeated, out of order or from another run.
//
// The stand-in engines compute each token from the exact prefix and from a salt that differs between attempts. A token that follows any other prefix is therefore detected.
package check
