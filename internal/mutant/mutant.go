// Package mutant helps tests to show that they notice a rule that was taken out.
package mutant

import "pgregory.net/rapid"

// Caught reports whether any of so many random stories is found to break a promise.
func Caught(stories int, broken func(t *rapid.T) bool) bool {
	story := rapid.Custom(broken)
	for seed := range stories {
		if story.Example(seed) {
			return true
		}
	}
	return false
}
