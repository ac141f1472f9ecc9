package policy_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/policy"
)

var rewrite = flag.Bool("rewrite", false, "rewrite the expected files")

// TestProgramProblems compares the problems of each program in testdata with its .expected file.
func TestProgramProblems(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text, err := os.ReadFile(path)
			must.NoError(t, err)
			p, problems := policy.Compile(text)
			if p != nil {
				problems = policy.Check(day(0, 0), []*policy.Policy{p}, p.Name, upstreams(), []vaneyoke.WorkspaceID{"weavers"})
			}
			got := strings.Join(lo.Map(problems, func(p policy.Problem, _ int) string { return p.String() + "\n" }), "")
			expected := strings.TrimSuffix(path, ".ini") + ".expected"
			if *rewrite {
				must.NoError(t, os.WriteFile(expected, []byte(got), 0o600))
			}
			want, err := os.ReadFile(expected)
			must.NoError(t, err)
			must.EqOp(t, string(want), got)
		})
	}
}

func upstreams() []vaneyoke.Upstream {
	var list []vaneyoke.Upstream
	for i, dataCentre := range []vaneyoke.DataCentreID{"hall-a", "hall-b", "hall-c", "hall-a"} {
		id := vaneyoke.UpstreamID("engine-" + string(rune('0'+i)))
		list = append(list, vaneyoke.Upstream{ID: id, DataCentre: dataCentre, State: vaneyoke.StateLive})
	}
	return list
}

// day returns a time on a Wednesday in summer, in UTC.
func day(hour, minute int) time.Time { return time.Date(2026, 7, 15, hour, minute, 0, 0, time.UTC) }

func load(t *testing.T, path string) *policy.Policy {
	t.Helper()
	text, err := os.ReadFile(path)
	must.NoError(t, err)
	p, problems := policy.Compile(text)
	must.SliceEmpty(t, problems)
	must.SliceEmpty(t, policy.Check(day(0, 0), []*policy.Policy{p}, p.Name, upstreams(), nil))
	return p
}

// TestExamplePrograms covers shifts that cross midnight, weekends and both daylight-saving transitions.
func TestExamplePrograms(t *testing.T) {
	souk, trentfold := "../../docs/examples/souk.ini", "../../docs/examples/trentfold.ini"
	cases := map[string]struct {
		program string
		now     time.Time
		kind    string
		bytes   int
		rule    string
		drained int
	}{
		"buyer at noon":              {souk, day(11, 0), "price", 10, "souk-day/lookups", 0},
		"small catalogue at noon":    {souk, day(11, 0), "catalogue", 10, "souk-day/rest", 0},
		"large catalogue at noon":    {souk, day(11, 0), "catalogue", 30_000, "souk-day/catalogues-by-day", 0},
		"catalogue at eight, Tunis":  {souk, day(19, 0), "catalogue", 30_000, "souk-day/catalogues-by-night", 0},
		"a minute before eight":      {souk, day(18, 59), "catalogue", 30_000, "souk-day/catalogues-by-day", 0},
		"stalls closed at midnight":  {souk, day(23, 0), "price", 10, "souk-day/lookups", 1},
		"floor at night":             {trentfold, day(2, 0), "status", 10, "trentfold-shifts/floor", 0},
		"night shift over midnight":  {trentfold, day(23, 30), "manifest", 10, "trentfold-shifts/night-reconciliation", 0},
		"night shift at half nine":   {trentfold, day(20, 30), "manifest", 10, "trentfold-shifts/night-reconciliation", 0},
		"a minute before half nine":  {trentfold, day(20, 29), "manifest", 10, "trentfold-shifts/day-reconciliation", 0},
		"half nine in winter":        {trentfold, time.Date(2026, 12, 2, 21, 30, 0, 0, time.UTC), "manifest", 10, "trentfold-shifts/night-reconciliation", 0},
		"half eight UTC in winter":   {trentfold, time.Date(2026, 12, 2, 20, 30, 0, 0, time.UTC), "manifest", 10, "trentfold-shifts/day-reconciliation", 0},
		"repeated hour in autumn":    {trentfold, time.Date(2026, 10, 25, 1, 15, 0, 0, time.UTC), "manifest", 10, "trentfold-shifts/night-reconciliation", 0},
		"skipped hour in spring":     {trentfold, time.Date(2026, 3, 29, 1, 15, 0, 0, time.UTC), "manifest", 10, "trentfold-shifts/night-reconciliation", 0},
		"weekend drain":              {trentfold, time.Date(2026, 7, 18, 13, 0, 0, 0, time.UTC), "status", 10, "trentfold-shifts/floor", 1},
		"weekend before the drain":   {trentfold, time.Date(2026, 7, 18, 12, 59, 0, 0, time.UTC), "status", 10, "trentfold-shifts/floor", 0},
		"Sunday UTC, Monday locally": {trentfold, time.Date(2026, 7, 19, 23, 30, 0, 0, time.UTC), "status", 10, "trentfold-shifts/floor", 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			set := policy.NewSet([]*policy.Policy{load(t, tc.program)})
			query := policy.Query{Workspace: "any", Kind: tc.kind, PromptBytes: tc.bytes, DataCentre: "hall-a"}
			must.EqOp(t, tc.rule, set.Decide(tc.now, query).Rule)
			must.EqOp(t, tc.rule, set.Decide(tc.now, query).Rule)
			explained, steps := set.Explain(tc.now, query)
			must.EqOp(t, tc.rule, explained.Rule)
			must.True(t, steps[len(steps)-1].Matched)
			must.SliceLen(t, tc.drained, set.Drained(tc.now))
			must.Zero(t, set.Failures())
		})
	}
}

func TestWorkspacePolicyTakesPrecedence(t *testing.T) {
	general, _ := policy.Compile([]byte("[policy]\nname = a\n[rule.all]\nwait = 1s\n"))
	own, _ := policy.Compile([]byte("[policy]\nname = z\nworkspaces = weavers\n[rule.big]\nwhen = prompt_bytes > 100\nwait = 2s\n"))
	set := policy.NewSet([]*policy.Policy{general, own})
	for query, want := range map[policy.Query]string{
		{Workspace: "weavers", PromptBytes: 200}: "z/big",
		{Workspace: "weavers", PromptBytes: 50}:  "a/all",
		{Workspace: "potters", PromptBytes: 200}: "a/all",
	} {
		must.EqOp(t, want, set.Decide(day(1, 0), query).Rule)
	}
}

// BenchmarkDecide uses the required scale of 100 rules and 5,300 workspaces.
func BenchmarkDecide(b *testing.B) {
	set, queries := requiredScale()
	now := day(10, 0)
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		set.Decide(now, queries[i%len(queries)])
		i++
	}
}

// TestDecisionAllocations checks that a cached decision allocates nothing.
func TestDecisionAllocations(t *testing.T) {
	set, queries := requiredScale()
	now := day(10, 0)
	for _, q := range queries {
		set.Decide(now, q)
	}
	must.EqOp(t, 0, testing.AllocsPerRun(100, func() { set.Decide(now, queries[7]) }))
}

func requiredScale() (*policy.Set, []policy.Query) {
	const rules, workspaces = 100, 5300
	var policies []*policy.Policy
	for i := range rules {
		name := "p" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		p, _ := policy.Compile([]byte("[policy]\nname = " + name + "\n[rule.r]\nwhen = kind == \"" + name + "\" and hour >= 8 and hour < 20\nupstreams = data_centre:hall-a\n"))
		policies = append(policies, p)
	}
	queries := make([]policy.Query, workspaces)
	for i := range queries {
		queries[i] = policy.Query{Workspace: "w" + time.Duration(i).String(), Kind: "pcv", Model: "m", DataCentre: "hall-a"}
	}
	return policy.NewSet(policies), queries
}
