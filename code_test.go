package vaneyoke_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
)

const maxExitStatus = 255

// row returns a code's row in docs/RESULT-CODES.md.
func row(info vaneyoke.CodeInfo) string {
	status, notRun := "-", "no"
	if info.Status > 0 {
		status = fmt.Sprint(info.Status)
	}
	if info.NotRun {
		notRun = "yes"
	}
	return fmt.Sprintf("| %d | `%s` | %s | %s | %s |", info.Code, info.Name, status, notRun, info.Text)
}

func TestDocsListEveryCode(t *testing.T) {
	doc, err := os.ReadFile("docs/RESULT-CODES.md")
	must.NoError(t, err)
	last := vaneyoke.Code(-1)
	for _, info := range vaneyoke.Codes() {
		must.StrContains(t, string(doc), row(info))
		must.Greater(t, last, info.Code)
		must.LessEq(t, vaneyoke.Code(maxExitStatus), info.Code)
		last = info.Code
	}
}

func TestErrorsCarryTheirCode(t *testing.T) {
	inner := vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body.model", "is missing")
	must.EqOp(t, vaneyoke.CodeBadRequest, vaneyoke.CodeOf(fmt.Errorf("wrapped: %w", inner)))
	must.EqOp(t, "body.model", vaneyoke.FieldOf(inner))
	must.EqOp(t, vaneyoke.CodeOK, vaneyoke.CodeOf(vaneyoke.WrapErr(vaneyoke.CodeStoreDown, nil, "get")))
	must.EqOp(t, vaneyoke.CodeInternal, vaneyoke.CodeOf(os.ErrClosed))
	outer := vaneyoke.WrapErr(vaneyoke.CodeStoreDown, inner, "outer")
	must.EqOp(t, vaneyoke.CodeBadRequest, vaneyoke.CodeOf(outer))
	must.EqOp(t, vaneyoke.CodeStoreDown, vaneyoke.CodeOf(vaneyoke.WrapErr(vaneyoke.CodeStoreDown, os.ErrClosed, "get")))
}
