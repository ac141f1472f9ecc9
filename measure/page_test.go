package measure_test

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/measure"
)

// TestPageQuotesTheSlopes keeps docs/CAPACITY.md and docs/slopes.json from drifting apart.
func TestPageQuotesTheSlopes(t *testing.T) {
	raw, err := os.ReadFile("../docs/slopes.json")
	must.NoError(t, err)
	var report measure.Report
	must.NoError(t, json.Unmarshal(raw, &report))
	must.Greater(t, 10, len(report.Series))
	for _, s := range report.Series {
		must.GreaterEq(t, 3, len(s.Points), must.Sprint(s.Name))
	}
	page, err := os.ReadFile("../docs/CAPACITY.md")
	must.NoError(t, err)
	must.EqOp(t, report.ReplaceTables(string(page)), string(page))
	must.StrContains(t, string(page), report.Tables())
}
