package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/node"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
	"github.com/vaneyoke/vaneyoke/tools/standin"
)

const devGrace = 30 * time.Second

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "keep a fleet of nodes and stand-ins up until it is interrupted",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "nodes", Value: 3, Usage: "number of nodes", Validator: atLeast(1)},
			&cli.IntFlag{Name: "engines", Value: 4, Usage: "number of stand-in engines", Validator: atLeast(1)},
			&cli.IntFlag{Name: "services", Value: 1, Usage: "number of stand-in services", Validator: atLeast(0)},
			&cli.IntFlag{Name: "port", Usage: "first port of the nodes, 0 for any", Validator: atLeast(0)},
			&cli.DurationFlag{Name: "gap", Value: standin.DefaultEngineConfig().TokenInterval, Usage: "time between an engine's tokens"},
			&cli.StringFlag{Name: "recovery", Value: string(vaneyoke.RecoverFast), Usage: "recovery of the workspace: fast or frugal", Validator: checkRecovery},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warning or error"},
			&cli.StringFlag{Name: "trace", Value: "off", Usage: "off, stdout or the path of a file"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON line once the fleet is ready"},
		},
		Action: runDev,
	}
}

func atLeast(limit int) func(int) error {
	return func(n int) error {
		if n < limit {
			return fmt.Errorf("must be at least %d, got %d", limit, n)
		}
		return nil
	}
}

func checkRecovery(text string) error {
	switch vaneyoke.Recovery(text) {
	case vaneyoke.RecoverFast, vaneyoke.RecoverFrugal:
		return nil
	default:
		return fmt.Errorf("must be fast or frugal, got %q", text)
	}
}

// endpoints holds the addresses and keys of a fleet; --json prints it for programs.
type endpoints struct {
	Nodes       []string  `json:"nodes"`
	Admin       []string  `json:"admin"`
	Engines     []address `json:"engines"`
	Services    []address `json:"services"`
	Platform    string    `json:"platform"`
	CallerKey   string    `json:"caller_key"`
	OperatorKey string    `json:"operator_key"`
}

type address struct {
	Name string `json:"name"`
	URL  string `json:"url"`
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	config := fleet.Config{
		Nodes:          cmd.Int("nodes"),
		Engines:        cmd.Int("engines"),
		Services:       cmd.Int("services"),
		FirstPort:      cmd.Int("port"),
		Engine:         standin.DefaultEngineConfig(),
		Recovery:       vaneyoke.Recovery(cmd.String("recovery")),
		Log:            os.Stderr,
		LogLevel:       cmd.String("log-level"),
		TraceOutput:    cmd.String("trace"),
		AdjustSettings: func(s *settings.Settings) { s.Node.Grace = devGrace },
	}
	config.Engine.TokenInterval = cmd.Duration("gap")
	f, err := fleet.Start(ctx, config)
	if err != nil {
		return err
	}
	if err := printEndpoints(cmd, f); err != nil {
		f.Close()
		return err
	}
	<-ctx.Done()
	return f.Stop(context.WithoutCancel(ctx))
}

func printEndpoints(cmd *cli.Command, f *fleet.Fleet) error {
	e := fleetEndpoints(f)
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		return json.NewEncoder(out).Encode(e)
	}
	_, err := fmt.Fprintf(out, "nodes     %v\nadmin     %v\nengines   %v\nservices  %v\nplatform  %s\nkey       %s\n",
		e.Nodes, e.Admin, e.Engines, e.Services, e.Platform, e.CallerKey)
	return err
}

func fleetEndpoints(f *fleet.Fleet) endpoints {
	e := endpoints{Platform: f.Platform.URL(), CallerKey: fleet.CallerKey, OperatorKey: fleet.OperatorKey, Services: []address{}}
	e.Nodes = lo.Map(f.Nodes, func(n *node.Node, _ int) string { return n.URL() })
	e.Admin = lo.Map(f.Nodes, func(n *node.Node, _ int) string { return n.AdminURL() })
	for _, u := range f.Upstreams() {
		entry := address{Name: string(u.ID), URL: u.URL}
		if u.Kind == vaneyoke.KindEngine {
			e.Engines = append(e.Engines, entry)
		} else {
			e.Services = append(e.Services, entry)
		}
	}
	return e
}
