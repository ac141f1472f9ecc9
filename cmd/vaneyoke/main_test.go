package main

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
	"github.com/vaneyoke/vaneyoke/tools/load"
	"github.com/vaneyoke/vaneyoke/tools/standin"
)

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	cmd := command()
	cmd.Writer, cmd.ErrWriter = &out, &out
	err := cmd.Run(t.Context(), append([]string{"vaneyoke"}, args...))
	return out.String(), err
}

func TestDemoVerifiesAnswer(t *testing.T) {
	out, err := run(t, "demo")
	must.NoError(t, err, must.Sprint(out))
	for _, part := range []string{"[engine killed]", "seam              at token", "promises checked"} {
		must.StrContains(t, out, part)
	}
}

func TestLoadPrintsJSON(t *testing.T) {
	out, err := run(t, "load", "--duration", "300ms", "--rate", "50", "--fault", "100ms,engine-0,kill", "--json")
	must.NoError(t, err, must.Sprint(out))
	var result load.Result
	must.NoError(t, json.Unmarshal([]byte(out), &result))
	must.Zero(t, result.Violations)
	must.Greater(t, 0, result.Answers)
}

func TestBadCommandLines(t *testing.T) {
	cases := map[string][]string{
		"fault without a target": {"load", "--fault", "1s,kill"},
		"recovery":               {"dev", "--recovery", "slow"},
		"no nodes":               {"dev", "--nodes", "0"},
		"target without a name":  {"load", "--url", "http://127.0.0.1:1", "--target", "x"},
		"no prompt":              {"generate", "--key", "k"},
		"no key":                 {"status"},
	}
	for name, args := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := run(t, args...)
			must.Error(t, err)
			must.EqOp(t, int(vaneyoke.CodeUsage), vaneyoke.ExitStatus(err))
		})
	}
}

// TestOperatorCommands runs the operator's commands against a fleet.
func TestOperatorCommands(t *testing.T) {
	f, err := fleet.Start(t.Context(), fleet.Config{
		Nodes: 2, Engines: 2, RegisterMembers: true, Engine: standin.DefaultEngineConfig(), Recovery: vaneyoke.RecoverFast,
		Log: io.Discard, LogLevel: "error", TraceOutput: "off",
	})
	must.NoError(t, err)
	defer f.Close()
	program := filepath.Join(t.TempDir(), "p.ini")
	must.NoError(t, os.WriteFile(program, []byte("[policy]\nname = day\n[rule.all]\nwait = 5s\n"), 0o600))
	cases := []struct {
		args []string
		last string
		want string
		code vaneyoke.Code
	}{
		{[]string{"policy", "check"}, program, "the program is good", vaneyoke.CodeOK},
		{[]string{"policy", "submit", "--wait"}, program, "in force at 2 of 2 nodes", vaneyoke.CodeOK},
		{[]string{"policy", "submit"}, program, "", vaneyoke.CodeConflict},
		{[]string{"policy", "list"}, "", "day", vaneyoke.CodeOK},
		{[]string{"policy", "get"}, "day", "[rule.all]", vaneyoke.CodeOK},
		{[]string{"policy", "explain", "--workspace", "souk"}, "", "decided by day/all", vaneyoke.CodeOK},
		{[]string{"upstream", "list"}, "", "engine-1", vaneyoke.CodeOK},
		{[]string{"upstream", "drain"}, "engine-1", "accepted", vaneyoke.CodeOK},
		{[]string{"workspace", "create", "--recovery", "frugal"}, "potters", "accepted", vaneyoke.CodeOK},
		{[]string{"workspace", "list"}, "", "frugal", vaneyoke.CodeOK},
		{[]string{"policy", "withdraw"}, "day", "accepted", vaneyoke.CodeOK},
		{[]string{"status"}, "", "vm-1", vaneyoke.CodeOK},
		{[]string{"audit"}, "", "put policy day", vaneyoke.CodeOK},
	}
	for _, tc := range cases {
		args := append(append([]string{}, tc.args...), "--admin", f.Nodes[0].AdminURL(), "--key", fleet.AdminKey)
		if tc.last != "" {
			args = append(args, tc.last)
		}
		out, err := run(t, args...)
		must.EqOp(t, tc.code, vaneyoke.CodeOf(err), must.Sprintf("%v: %v %s", tc.args, err, out))
		must.StrContains(t, out, tc.want)
	}
}
