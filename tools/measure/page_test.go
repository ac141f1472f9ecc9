package measure_test

import (
	"encoding/json"
	"math"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/tools/measure"
)

// TestPageMatchesSlopes checks that the tables in docs/CAPACITY.md agree with docs/slopes.json.
func TestPageMatchesSlopes(t *testing.T) {
	raw, err := os.ReadFile("../../docs/slopes.json")
	must.NoError(t, err)
	var report measure.Report
	must.NoError(t, json.Unmarshal(raw, &report))
	must.Greater(t, 10, len(report.Series))
	for _, s := range report.Series {
		must.GreaterEq(t, 3, len(s.Points), must.Sprint(s.Name))
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	must.NoError(t, err)
	must.EqOp(t, report.ReplaceTables(string(page)), string(page))
	must.StrContains(t, string(page), report.Tables())
}

// TestPageMatchesSweep checks that the sweep table in docs/CAPACITY.md agrees with docs/sweep.json, the figures of the users' benchmark.
func TestPageMatchesSweep(t *testing.T) {
	raw, err := os.ReadFile("../../docs/sweep.json")
	must.NoError(t, err)
	var sweep measure.Sweep
	must.NoError(t, json.Unmarshal(raw, &sweep))
	must.GreaterEq(t, 3, len(sweep.Sizes))
	for _, f := range sweep.Figures {
		must.Len(t, len(sweep.Sizes), f.Middle, must.Sprint(f.Name))
		must.Len(t, len(sweep.Sizes), f.Busiest, must.Sprint(f.Name))
		must.NotEq(t, "", f.Mechanism)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	must.NoError(t, err)
	must.StrContains(t, string(page), sweep.Table())
}

// TestGrowthExponent checks the exponent that figures are extrapolated with.
func TestGrowthExponent(t *testing.T) {
	sizes := []float64{30, 100, 300}
	for want, values := range map[float64][]float64{0: {5, 5, 5}, 1: {3, 10, 30}, 0.5: {math.Sqrt(30), 10, math.Sqrt(300)}} {
		must.InDelta(t, want, measure.GrowthExponent(sizes, values), 1e-9)
	}
	must.EqOp(t, 0, measure.GrowthExponent(sizes, []float64{9, 5, 3}))
}
