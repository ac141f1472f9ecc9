package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

func best(key string, names []string) string {
	found := names[0]
	for _, name := range names[1:] {
		if rendezvous.Score(key, name) > rendezvous.Score(key, found) {
			found = name
		}
	}
	return found
}

// TestRemovingNameMovesOnlyItsKeys removes one of ten names.
func TestRemovingNameMovesOnlyItsKeys(t *testing.T) {
	var names []string
	for n := range 10 {
		names = append(names, fmt.Sprint("name-", n))
	}
	counts := map[string]int{}
	for n := range 5000 {
		key := fmt.Sprint("key-", n)
		before := best(key, names)
		counts[before]++
		after := best(key, names[:9])
		must.True(t, before == after || before == names[9])
	}
	for name, count := range counts {
		must.Between(t, 400, count, 600, must.Sprint(name))
	}
	must.NotEqOp(t, rendezvous.Score("a", "bc"), rendezvous.Score("ab", "c"))
}
