package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/tools/check"
	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
	"github.com/vaneyoke/vaneyoke/tools/standin"
)

const (
	demoTokens   = 160
	demoKillAt   = 0.5 // fraction of the answer after which its engine is killed
	demoPrompt   = "Reconcile the night manifest of the Derby depot with the sorting rules."
	demoTimeout  = 30 * time.Second
	demoOrder    = `{"order":"carpet-17"}`
	demoNodes    = 3
	demoEngines  = 4
	demoServices = 1
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "stream a generation on embedded stand-ins, kill its engine in the middle, and check the answer",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			return runDemo(ctx, cmd.Root().Writer)
		},
	}
}

// demo is one run of the demonstration.
type demo struct {
	out        io.Writer
	fleet      *fleet.Fleet
	text       strings.Builder
	lastAt     time.Time
	longestGap time.Duration // between two chunks of the answer
	killed     bool
}

func runDemo(ctx context.Context, out io.Writer) error {
	f, err := fleet.Start(ctx, fleet.Config{
		Nodes: demoNodes, Engines: demoEngines, Services: demoServices,
		Engine:   standin.DefaultEngineConfig(),
		Recovery: vaneyoke.RecoverFast,
		Log:      io.Discard, LogLevel: "info", TraceOutput: "off",
	})
	if err != nil {
		return err
	}
	defer f.Close()
	d := &demo{out: out, fleet: f}
	fmt.Fprintf(out, "%d nodes, %d engines, %d service and the platform run in this process.\n\n", demoNodes, demoEngines, demoServices)
	if err := d.generate(ctx); err != nil {
		return err
	}
	if err := d.report(); err != nil {
		return err
	}
	return d.callOnce(ctx)
}

func (d *demo) client(node int) *client.Client {
	return client.New(http.DefaultClient, d.fleet.Nodes[node].URL(), fleet.CallerKey)
}

func (d *demo) request() client.Request {
	content := fmt.Sprintf("%s length=%d", demoPrompt, demoTokens)
	return client.Request{Model: fleet.Model, Messages: []openai.Message{{Role: "user", Content: content}}}
}

func (d *demo) generate(ctx context.Context) error {
	stream, err := d.client(0).Generate(ctx, d.request(), nil)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for chunk, err := range stream.All() {
		if err != nil {
			return vaneyoke.WrapErr(vaneyoke.CodeCheckViolation, err, "the stream broke off")
		}
		d.handle(chunk)
	}
	return nil
}

// handle prints a chunk of the answer, and kills its engine once after demoKillAt of the answer.
func (d *demo) handle(chunk client.Chunk) {
	now := time.Now()
	if !d.lastAt.IsZero() {
		d.longestGap = max(d.longestGap, now.Sub(d.lastAt))
	}
	d.lastAt = now
	d.text.WriteString(chunk.Text)
	fmt.Fprint(d.out, chunk.Text)
	if engine := d.fleet.BusyEngine(); !d.killed && engine != nil && d.text.Len() > demoTokens*demoKillAt*tokenBytes {
		fmt.Fprint(d.out, " [engine killed] ")
		engine.Kill(nil)
		d.killed = true
	}
}

// tokenBytes is the length of the text of a stand-in engine's token.
const tokenBytes = 8

func (d *demo) report() error {
	prompt := check.Tokenize(standin.ChatPrompt(d.request().Messages))
	report, err := check.Answer(prompt, d.text.String())
	if err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeCheckViolation, err, "the answer breaks a promise")
	}
	if len(report.Seams) == 0 {
		return vaneyoke.Err(vaneyoke.CodeCheckViolation, "the answer shows no seam although its engine was killed")
	}
	var decoded, prefilled int64
	for _, e := range d.fleet.Engines {
		decoded += e.Stats().DecodedTokens
		prefilled += e.Stats().PrefillTokens
	}
	fmt.Fprintf(d.out, "\n\ntokens            %d, each in its place\n", report.Tokens)
	fmt.Fprintf(d.out, "seam              at token %d\n", report.Seams[0])
	fmt.Fprintf(d.out, "resume latency    %s between two pieces, engine prefill included\n", d.longestGap.Round(time.Microsecond))
	fmt.Fprintf(d.out, "extra decoded     %d tokens\n", decoded-int64(report.Tokens))
	fmt.Fprintf(d.out, "extra prefilled   %d tokens\n", prefilled-int64(len(prompt)))
	return nil
}

// callOnce sends an at-most-once call through another node, and checks that it ran once.
func (d *demo) callOnce(ctx context.Context) error {
	answer, err := d.client(1).Call(ctx, fleet.Service, "reserve", []byte(demoOrder), nil)
	if err != nil {
		return withResultCode(err)
	}
	fmt.Fprintf(d.out, "service call      %s", answer)
	for order, runs := range d.fleet.Services[0].Orders() {
		if runs != 1 {
			return vaneyoke.Err(vaneyoke.CodeCheckViolation, "order %s ran %d times", order, runs)
		}
	}
	fmt.Fprintln(d.out, "promises checked  none missing, none repeated, none mixed, at most once")
	return nil
}
