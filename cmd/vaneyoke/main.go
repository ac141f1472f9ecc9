// Command vaneyoke is the command-line tool for callers and operators. It also runs the demonstration and the stand-ins.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	_ "time/tzdata" // a VM may have no time zone database

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "vaneyoke:", err)
		os.Exit(vaneyoke.ExitStatus(err))
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:                  "vaneyoke",
		Usage:                 "call and operate a fleet of vaneyoke nodes",
		Version:               vaneyoke.Version,
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			demoCommand(),
			devCommand(),
			generateCommand(),
			loadCommand(),
			measureCommand(),
			standinCommand(),
			policyCommand(),
			upstreamCommand(),
			workspaceCommand(),
			capCommand(),
			statusCommand(),
			auditCommand(),
			bootstrapCommand(),
			explainRequestCommand(),
			fleetCommand(),
			docsCommand(),
			versionCommand(),
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintln(cmd.Root().Writer, vaneyoke.Version)
			return err
		},
	}
}
