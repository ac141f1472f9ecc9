// Package mutant supports mutation tests, which check that a property test fails if a rule is removed from the code.
package mutant

import "pgregory.net/rapid"

// Caught reports whether violates returns true for any of the given number of random examples.
func Caught(attempts int, violates func(t *rapid.T) bool) bool {
	example := rapid.Custom(violates)
	for seed := range attempts {
		if example.Example(seed) {
			return true
		}
	}
	return false
}
