package recovered_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/recovered"
)

func fail(cause any) {
	if cause == nil {
		var none *strings.Builder
		none.Reset() // a nil pointer
	}
	panic(cause)
}

func recoverFrom(cause any) (err *recovered.Error) {
	defer func() { err = recovered.New(recover()) }()
	fail(cause)
	return nil
}

// Guards against a panic whose cause cannot be told by its log line, or whose line has no bound.
func TestPanicIsToldWithoutItsPlaceOrBound(t *testing.T) {
	err := recoverFrom("no head")
	must.EqOp(t, "panic: no head", err.Error())
	must.StrHasPrefix(t, "recovered_test.fail (error_test.go:", err.Stack)
	err = recoverFrom(strings.Repeat("x", 10_000))
	must.Less(t, 600, len(err.Error()))
	must.Less(t, 3000, len(err.Stack))
	err = recoverFrom(nil)
	must.StrContains(t, err.Error(), "nil pointer")
	must.StrContains(t, err.Stack, "recovered_test.fail (error_test.go:")
}
