package vaneyoke_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
)

const maxExitStatus = 255

func TestDocsListEveryCode(t *testing.T) {
	doc, err := os.ReadFile("docs/RESULT-CODES.md")
	must.NoError(t, err)
	must.EqOp(t, vaneyoke.CodesPage(), string(doc))
	last := vaneyoke.Code(-1)
	for _, info := range vaneyoke.Codes() {
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
