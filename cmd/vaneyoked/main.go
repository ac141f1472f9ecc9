// Command vaneyoked runs one node.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	_ "time/tzdata" // a VM may have no time zone database

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/node"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/process/telemetry"
)

// nodeOptions change how the node is assembled, in tests only.
var nodeOptions []node.Option

func main() {
	if err := command(catchSignals()).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "vaneyoked:", err)
		os.Exit(vaneyoke.ExitStatus(err))
	}
}

// command returns the command line. sigs are the signals that control the node.
func command(sigs *signals) *cli.Command {
	return &cli.Command{
		Name:                  "vaneyoked",
		Usage:                 "run one node of vaneyoke",
		Version:               vaneyoke.Version,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "INI `FILE` with the node's settings", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return run(ctx, cmd, sigs) },
	}
}

func run(ctx context.Context, cmd *cli.Command, sigs *signals) error {
	s, err := settings.Load(cmd.String("config"))
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		fmt.Fprintln(cmd.Root().Writer, "settings are good")
		return nil
	}
	out := telemetry.NewAsyncWriter(os.Stdout)
	r := &runner{path: cmd.String("config"), signals: sigs}
	defer r.closeLog(out)
	log, err := telemetry.NewLogger(out, s.Log.Level)
	if err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeSettingsValue, err, "[log] level")
	}
	if limit, ok := s.Limits.CollectorBytes(); ok {
		defer debug.SetMemoryLimit(debug.SetMemoryLimit(limit))
	}
	n, err := node.New(s, log, out.Lost, nodeOptions...)
	if err != nil {
		return err
	}
	r.node, r.log = n, log
	return r.run(ctx)
}
