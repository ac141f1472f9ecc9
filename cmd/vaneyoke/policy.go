package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/policy"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
)

// programBody is the request body of submit and check.
type programBody struct {
	Text string `json:"text"`
}

func policyCommand() *cli.Command {
	return &cli.Command{
		Name:  "policy",
		Usage: "submit, revise, withdraw, check and explain policies",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the policies in force", Flags: adminFlags(), Action: listPolicies},
			{Name: "get", Usage: "print a policy's program", ArgsUsage: "NAME", Flags: adminFlags(), Action: getPolicy},
			{
				Name: "submit", Usage: "submit a program; with --if-match it revises the one that has that version", ArgsUsage: "FILE",
				Flags: adminFlags(ifMatchFlag(), waitFlag()), Action: submitPolicy,
			},
			{Name: "withdraw", Usage: "withdraw a policy", ArgsUsage: "NAME", Flags: adminFlags(ifMatchFlag(), waitFlag()), Action: withdrawPolicy},
			{Name: "check", Usage: "check a program against the fleet without submitting it", ArgsUsage: "FILE", Flags: adminFlags(), Action: checkPolicy},
			explainCommand(),
		},
	}
}

func policyPath(name string) string { return "/v1/policies/" + url.PathEscape(name) }

func listPolicies(ctx context.Context, cmd *cli.Command) error {
	var out struct {
		Revision vaneyoke.Revision `json:"revision"`
		Policies []catalog.Policy  `json:"policies"`
	}
	if _, err := call(ctx, cmd, adminCall{method: http.MethodGet, path: "/v1/policies"}, &out); err != nil {
		return err
	}
	if done, err := printJSON(cmd, out); done {
		return err
	}
	return printTable(cmd, "NAME\tCHANGED\tBY", func(w io.Writer) {
		for _, p := range out.Policies {
			fmt.Fprintf(w, "%s\t%s\t%s\n", p.Name, p.At.Format(time.RFC3339), p.By)
		}
	})
}

func getPolicy(ctx context.Context, cmd *cli.Command) error {
	var out catalog.Policy
	etag, err := call(ctx, cmd, adminCall{method: http.MethodGet, path: policyPath(cmd.Args().First())}, &out)
	if err != nil {
		return err
	}
	if done, err := printJSON(cmd, out); done {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "; version %s\n%s", etag, out.Text)
	return err
}

// readProgram reads and compiles the file that the command names, which finds all problems that do not depend on the fleet.
func readProgram(cmd *cli.Command) (string, *policy.Policy, error) {
	path := cmd.Args().First()
	text, err := os.ReadFile(path)
	if err != nil {
		return "", nil, vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "program")
	}
	compiled, problems := policy.Compile(text)
	if compiled != nil {
		return string(text), compiled, nil
	}
	for _, p := range problems {
		fmt.Fprintf(cmd.Root().ErrWriter, "%s: %s\n", path, p)
	}
	return "", nil, vaneyoke.Err(vaneyoke.CodeBadPolicy, "%d problems", len(problems))
}

func submitPolicy(ctx context.Context, cmd *cli.Command) error {
	text, compiled, err := readProgram(cmd)
	if err != nil {
		return err
	}
	return change(ctx, cmd, adminCall{
		method: http.MethodPut, path: policyPath(compiled.Name), body: programBody{Text: text}, ifMatch: cmd.String("if-match"),
	})
}

func withdrawPolicy(ctx context.Context, cmd *cli.Command) error {
	return change(ctx, cmd, adminCall{method: http.MethodDelete, path: policyPath(cmd.Args().First()), ifMatch: cmd.String("if-match")})
}

func checkPolicy(ctx context.Context, cmd *cli.Command) error {
	text, _, err := readProgram(cmd)
	if err != nil {
		return err
	}
	var out struct {
		Good     bool             `json:"good"`
		Problems []policy.Problem `json:"problems"`
	}
	if _, err := call(ctx, cmd, adminCall{method: http.MethodPost, path: "/v1/check", body: programBody{Text: text}}, &out); err != nil {
		return err
	}
	if done, err := printJSON(cmd, out); done {
		return err
	}
	for _, p := range out.Problems {
		fmt.Fprintln(cmd.Root().Writer, p)
	}
	if !out.Good {
		return vaneyoke.Err(vaneyoke.CodeBadPolicy, "%d problems", len(out.Problems))
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, "the program is good")
	return err
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "tell which rule decides for a request, and why each earlier one does not",
		Flags: adminFlags(
			&cli.StringFlag{Name: "workspace", Required: true},
			&cli.StringFlag{Name: "kind"},
			&cli.StringFlag{Name: "model"},
			&cli.StringFlag{Name: "service"},
			&cli.IntFlag{Name: "prompt-bytes"},
			&cli.StringFlag{Name: "data-centre"},
			&cli.TimestampFlag{Name: "at", Usage: "time such as 2026-07-15T11:00:00Z; now where it is left out", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
		),
		Action: explain,
	}
}

// explainBody is the request body of explain: the attributes by which a rule is chosen.
type explainBody struct {
	Workspace   string     `json:"workspace"`
	Kind        string     `json:"kind"`
	Model       string     `json:"model"`
	Service     string     `json:"service"`
	PromptBytes int        `json:"prompt_bytes"`
	DataCentre  string     `json:"data_centre"`
	At          *time.Time `json:"at,omitempty"`
}

func explain(ctx context.Context, cmd *cli.Command) error {
	body := explainBody{
		Workspace: cmd.String("workspace"), Kind: cmd.String("kind"), Model: cmd.String("model"),
		Service: cmd.String("service"), PromptBytes: cmd.Int("prompt-bytes"), DataCentre: cmd.String("data-centre"),
	}
	if at := cmd.Timestamp("at"); !at.IsZero() {
		body.At = &at
	}
	var out struct {
		Rule     string              `json:"rule"`
		Order    []vaneyoke.Selector `json:"upstreams"`
		MaxWait  string              `json:"wait"`
		Priority int                 `json:"priority"`
		Recovery vaneyoke.Recovery   `json:"recovery"`
		Steps    []policy.Step       `json:"steps"`
		Drained  []vaneyoke.Selector `json:"drained"`
	}
	if _, err := call(ctx, cmd, adminCall{method: http.MethodPost, path: "/v1/explain", body: body}, &out); err != nil {
		return err
	}
	if done, err := printJSON(cmd, out); done {
		return err
	}
	w := cmd.Root().Writer
	for _, s := range out.Steps {
		verdict := "does not match"
		if s.Matched {
			verdict = "matches"
		}
		fmt.Fprintf(w, "%s %s: %s %s\n", s.Rule, verdict, s.When, s.Error)
	}
	if out.Rule == "" {
		fmt.Fprintln(w, "no rule matches: the nodes' settings decide")
		return nil
	}
	_, err := fmt.Fprintf(w, "decided by %s: upstreams %v, wait %s, priority %d, recovery %s; drained now %v\n",
		out.Rule, out.Order, out.MaxWait, out.Priority, out.Recovery, out.Drained)
	return err
}
