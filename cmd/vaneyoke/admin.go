package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/callerapi"
	"github.com/vaneyoke/vaneyoke/api/operatorapi"
	"github.com/vaneyoke/vaneyoke/internal/httpcheck"
	"github.com/vaneyoke/vaneyoke/tools/client"
)

// adminFlags returns the flags of a command that calls the operator API, with those of its own.
func adminFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "admin", Value: "http://127.0.0.1:8081", Usage: "address of a node's operator API", Sources: cli.EnvVars("VANEYOKE_ADMIN")},
		&cli.StringFlag{Name: "key", Usage: "operator key", Sources: cli.EnvVars("VANEYOKE_OPERATOR_KEY"), Required: true},
		&cli.BoolFlag{Name: "json", Usage: "print the answer as JSON"},
	}, more...)
}

// ifMatchFlag returns the flag for a conditional change, which fails unless the changed object still has the given version.
func ifMatchFlag() cli.Flag {
	return &cli.StringFlag{Name: "if-match", Usage: "version of what is changed, as get tells it"}
}

// adminCall is a request to the operator API.
type adminCall struct {
	method  string
	path    string
	body    any
	ifMatch string
}

// nodeClient is the client for requests to nodes.
var nodeClient = httpcheck.Client(http.DefaultClient)

// call sends a request, decodes its answer into out and returns the answer's ETag.
func call(ctx context.Context, cmd *cli.Command, c adminCall, out any) (string, error) {
	var body io.Reader = http.NoBody
	if c.body != nil {
		raw, err := json.Marshal(c.body)
		if err != nil {
			return "", err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, cmd.String("admin")+c.path, body)
	if err != nil {
		return "", vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "--admin")
	}
	req.Header.Set("Authorization", "Bearer "+cmd.String("key"))
	req.Header.Set("Content-Type", "application/json")
	if c.ifMatch != "" {
		req.Header.Set("If-Match", c.ifMatch)
	}
	if c.method != http.MethodGet {
		req.Header.Set("Idempotency-Key", uuid.NewString())
	}
	res, err := nodeClient.Do(req)
	if err != nil {
		return "", vaneyoke.WrapErr(vaneyoke.CodeNotFresh, err, "the node cannot be reached")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusBadRequest {
		var failure callerapi.ErrorBody
		if err := json.NewDecoder(res.Body).Decode(&failure); err != nil {
			return "", err
		}
		return "", withResultCode(&client.FailedError{Status: res.StatusCode, Detail: failure.Failure})
	}
	return res.Header.Get("ETag"), json.NewDecoder(res.Body).Decode(out)
}

// printJSON prints a value as JSON if the command has --json, and reports whether it has.
func printJSON(cmd *cli.Command, v any) (bool, error) {
	if !cmd.Bool("json") {
		return false, nil
	}
	encoder := json.NewEncoder(cmd.Root().Writer)
	return true, encoder.Encode(v)
}

// printTable prints rows in aligned columns.
func printTable(cmd *cli.Command, head string, rows func(w io.Writer)) error {
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(w)
	return w.Flush()
}

// changeResult is the answer to a change.
type changeResult struct {
	Revision vaneyoke.Revision `json:"revision"`
	InForce  int               `json:"in_force"`
	Nodes    int               `json:"nodes"`
}

// change makes a change and prints on how many nodes it is active. With --wait it first waits for all nodes that can be reached.
func change(ctx context.Context, cmd *cli.Command, c adminCall) error {
	var out changeResult
	etag, err := call(ctx, cmd, c, &out)
	if err != nil {
		return err
	}
	if cmd.Bool("wait") {
		if out.InForce, err = waitForAll(ctx, cmd, out.Revision); err != nil {
			return err
		}
	}
	if done, err := printJSON(cmd, out); done {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "accepted as revision %d, in force at %d of %d nodes, version %s\n", out.Revision, out.InForce, out.Nodes, etag)
	return err
}

func waitFlag() cli.Flag {
	return &cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force at every node that can be reached"}
}

// statusBody is the answer to a status request.
type statusBody struct {
	Revision vaneyoke.Revision        `json:"revision"`
	Fresh    bool                     `json:"fresh"`
	Nodes    []operatorapi.NodeStatus `json:"nodes"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "tell which revision each node has in force",
		Flags: adminFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var out statusBody
			if _, err := call(ctx, cmd, adminCall{method: http.MethodGet, path: "/v1/status"}, &out); err != nil {
				return err
			}
			if done, err := printJSON(cmd, out); done {
				return err
			}
			return printTable(cmd, "VM\tDATA CENTRE\tREACHED\tREVISION\tBEHIND", func(w io.Writer) {
				for _, n := range out.Nodes {
					fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\n", n.VM, n.DataCentre, n.Reached, n.Revision, n.Behind)
				}
			})
		},
	}
}

// auditBody is a page of the audit trail.
type auditBody struct {
	Entries []struct {
		Revision vaneyoke.Revision `json:"revision"`
		Actor    string            `json:"actor"`
		Action   string            `json:"action"`
		At       string            `json:"at"`
	} `json:"entries"`
	Next string `json:"next"`
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "list who changed what",
		Flags: adminFlags(&cli.StringFlag{Name: "after", Usage: "entry after which the list begins"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var out auditBody
			if _, err := call(ctx, cmd, adminCall{method: http.MethodGet, path: "/v1/audit?after=" + cmd.String("after")}, &out); err != nil {
				return err
			}
			if done, err := printJSON(cmd, out); done {
				return err
			}
			return printTable(cmd, "REVISION\tAT\tACTOR\tACTION", func(w io.Writer) {
				for _, e := range out.Entries {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", e.Revision, e.At, e.Actor, e.Action)
				}
			})
		},
	}
}
