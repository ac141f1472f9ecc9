// Command vaneyoked runs one node.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
	_ "time/tzdata" // VMs may have no time zones of their own

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/node"
	"github.com/vaneyoke/vaneyoke/settings"
	"github.com/vaneyoke/vaneyoke/telemetry"
)

// logWait is the longest wait for the reader of the log when the node ends.
const logWait = 500 * time.Millisecond

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "vaneyoked:", err)
		os.Exit(vaneyoke.ExitStatus(err))
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:                  "vaneyoked",
		Usage:                 "run one node of vaneyoke",
		Version:               vaneyoke.Version,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "INI `FILE` with the node's settings", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
	}
}

// reloadUntil takes in the settings at each SIGHUP until ctx ends; a file with errors is told of and left aside.
func reloadUntil(ctx context.Context, hangups <-chan os.Signal, path string, n node.Process, log logrus.FieldLogger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, err := settings.Load(path)
		if err != nil {
			log.WithFields(logrus.Fields{"code": int(vaneyoke.CodeOf(err)), "error": err}).Error("settings_refused")
			continue
		}
		n.Reload(s)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, err := settings.Load(cmd.String("config"))
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		fmt.Fprintln(cmd.Root().Writer, "settings are good")
		return nil
	}
	out := telemetry.NewAsyncWriter(os.Stderr)
	defer out.Close(logWait)
	log, err := telemetry.NewLogger(out, s.Log.Level)
	if err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeSettingsValue, err, "[log] level")
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	n, err := node.New(s, log, out.Lost)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	reloadUntil(ctx, hangups, cmd.String("config"), n, log)
	return n.Stop(context.WithoutCancel(ctx))
}
