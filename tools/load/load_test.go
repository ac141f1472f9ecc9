package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/tools/check"
	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
	"github.com/vaneyoke/vaneyoke/tools/load"
	"github.com/vaneyoke/vaneyoke/tools/standin"
)

// tokenTexts returns the text of each token of a correct answer. A token that ends within a character is joined with the next one.
func tokenTexts(prompt []vaneyoke.TokenID, salt check.Salt) []string {
	length, _, _ := check.AnswerLength(prompt)
	var texts []string
	var text []byte
	prefix, last := check.HashPrefix(prompt), prompt[len(prompt)-1]
	for n := vaneyoke.Tokens(1); n <= length || check.EndsMidCharacter(last); n++ {
		last = check.NextToken(prefix, last, salt)
		prefix = prefix.Append(last)
		text = check.AppendText(text, last)
		if !check.EndsMidCharacter(last) {
			texts = append(texts, string(text))
			text = nil
		}
	}
	return texts
}

// corruption corrupts an answer, given the answer of another run to the same request and an answer to another request.
type corruption func(texts, again, other []string) []string

func TestCheckerDetectsCorruptAnswers(t *testing.T) {
	cases := map[string]struct {
		corrupt   corruption
		violation bool
	}{
		"whole":           {func(texts, _, _ []string) []string { return texts }, false},
		"token missing":   {func(texts, _, _ []string) []string { return append(texts[:4:4], texts[5:]...) }, true},
		"token repeated":  {func(texts, _, _ []string) []string { return append(texts[:5:5], texts[4:]...) }, true},
		"tokens swapped":  {func(texts, _, _ []string) []string { texts[4], texts[5] = texts[5], texts[4]; return texts }, true},
		"two runs mixed":  {func(texts, again, _ []string) []string { return append(texts[:5:5], again[5:]...) }, true},
		"another answer":  {func(_, _, other []string) []string { return other }, true},
		"end is missing":  {func(texts, _, _ []string) []string { return texts[:len(texts)-2] }, true},
		"start again":     {func(texts, again, _ []string) []string { return append(texts[:5:5], again...) }, true},
		"half characters": {func(texts, _, _ []string) []string { texts[3] += "\u00c3"; return texts }, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			node := httptest.NewServer(corruptingNode(tc.corrupt))
			defer node.Close()
			config := load.DefaultConfig()
			config.Rate, config.Duration = 200, 50*time.Millisecond
			config.Kinds = []load.Kind{{Name: "lookup", Share: 1, MeanTokens: 20, PromptWords: 3}}
			result, err := load.Run(t.Context(), config, &load.Remote{URLs: []string{node.URL}, Caller: "k"})
			must.NoError(t, err)
			must.Greater(t, 0, result.Sent)
			must.EqOp(t, tc.violation, result.Violations > 0, must.Sprint(result.ViolationExamples))
		})
	}
}

// corruptingNode sends corrupted answers to chat requests.
func corruptingNode(corrupt corruption) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req client.Request
		if json.NewDecoder(r.Body).Decode(&req) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		prompt := check.Tokenize(standin.ChatPrompt(req.Messages))
		other := check.Tokenize("another prompt length=20")
		for _, text := range corrupt(tokenTexts(prompt, 1), tokenTexts(prompt, 2), tokenTexts(other, 3)) {
			raw, _ := json.Marshal(text)
			fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", raw)
		}
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	})
}

// TestNoViolationsUnderFaults injects faults into engines, nodes, services and the platform. It checks counts only, so that its result does not depend on the machine's speed.
func TestNoViolationsUnderFaults(t *testing.T) {
	engine := standin.DefaultEngineConfig()
	engine.TokenInterval = 2 * time.Millisecond
	f, err := fleet.Start(t.Context(), fleet.Config{
		Nodes: 4, Engines: 4, Services: 2, Engine: engine, Recovery: vaneyoke.RecoverFast,
		Log: t.Output(), LogLevel: "error", TraceOutput: "off",
		AdjustSettings: func(s *settings.Settings) { s.Recovery.Floor, s.Platform.Fresh = 100*time.Millisecond, time.Hour },
	})
	must.NoError(t, err)
	defer f.Close()
	config := load.DefaultConfig()
	config.Rate, config.Duration = 100, 3*time.Second
	for _, text := range []string{
		"300ms,engine-0,kill", "400ms,node-0,kill", "600ms,engine-1,cut-links", "800ms,engine-0,restore",
		"900ms,engine-2,pause", "1s,node-0,restart", "1200ms,platform,down", "1300ms,service-0,cut-links",
		"1500ms,engine-2,continue", "1600ms,node-2,kill", "1700ms,engine-3,malformed,3", "1800ms,platform,up",
		"2s,node-2,restart", "2100ms,engine-1,error,3", "2200ms,engine-3,kill", "2500ms,node-1,kill", "2600ms,engine-3,restore",
	} {
		fault, err := load.ParseFault(text)
		must.NoError(t, err)
		config.Faults = append(config.Faults, fault)
	}
	result, err := load.Run(t.Context(), config, load.NewEmbedded(f))
	must.NoError(t, err)
	must.Zero(t, result.Violations, must.Sprint(result.ViolationExamples))
	must.Greater(t, 100, result.Answers)
	must.Greater(t, 0, result.Seams)
	must.Greater(t, 0, result.Reconnects)
}

func TestReadFile(t *testing.T) {
	cases := map[string]struct {
		text string
		code vaneyoke.Code
	}{
		"good":        {"[load]\nrate = 5\nduration = 3s\n[kind.long]\nshare = 1\ntokens = 9\n[faults]\n2s = engine-0,kill\n", vaneyoke.CodeOK},
		"bad rate":    {"[load]\nrate = x\n", vaneyoke.CodeSettingsValue},
		"bad fault":   {"[faults]\n2s = engine-0\n", vaneyoke.CodeUsage},
		"bad instant": {"[faults]\nsoon = engine-0,kill\n", vaneyoke.CodeUsage},
		"no INI":      {"[load", vaneyoke.CodeSettingsFile},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "load.ini")
			must.NoError(t, os.WriteFile(path, []byte(tc.text), 0o600))
			config, err := load.ReadFile(path, load.DefaultConfig())
			must.EqOp(t, tc.code, vaneyoke.CodeOf(err))
			if err != nil {
				return
			}
			must.EqOp(t, 5, config.Rate)
			must.Eq(t, []load.Kind{{Name: "long", Share: 1, MeanTokens: 9}}, config.Kinds)
			must.Eq(t, []load.Fault{{At: 2 * time.Second, Target: "engine-0", Fault: "kill"}}, config.Faults)
		})
	}
	_, err := load.Run(context.Background(), load.Config{}, &load.Remote{})
	must.EqOp(t, vaneyoke.CodeUsage, vaneyoke.CodeOf(err))
}
