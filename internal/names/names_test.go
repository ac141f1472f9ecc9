package names_test

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/names"
)

func TestOfUnknownNumber(t *testing.T) {
	for number, want := range map[int]string{0: "none", 1: "one", 2: "unknown 2", -1: "unknown -1", math.MaxInt: "unknown 9223372036854775807", math.MinInt: "unknown -9223372036854775808"} {
		must.EqOp(t, want, names.Of(number, "none", "one"))
	}
}
