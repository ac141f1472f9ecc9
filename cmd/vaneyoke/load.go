package main

import (
	"context"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
	"github.com/vaneyoke/vaneyoke/tools/load"
	"github.com/vaneyoke/vaneyoke/tools/standin"
)

func loadCommand() *cli.Command {
	defaults := load.DefaultConfig()
	return &cli.Command{
		Name:                      "load",
		DisableSliceFlagSeparator: true,
		Usage:                     "send an open load, break things at given times, and check every answer",
		Description: "Without --url the load goes to a fleet of stand-ins in this process.\n" +
			"A fault is TIME,TARGET,FAULT[,FACTOR], such as 2s,engine-1,kill or 3s,node-0,restart.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Usage: "INI `FILE` with the load; flags go before it"},
			&cli.FloatFlag{Name: "rate", Value: defaults.Rate, Usage: "requests a second"},
			&cli.DurationFlag{Name: "duration", Value: defaults.Duration, Usage: "time of the arrivals"},
			&cli.IntFlag{Name: "open", Value: defaults.MaxOpen, Usage: "most requests at once", Validator: atLeast(1)},
			&cli.Uint64Flag{Name: "seed", Value: defaults.Seed, Usage: "seed of arrivals and mix"},
			&cli.StringSliceFlag{Name: "fault", Usage: "fault; may be given several times"},
			&cli.StringSliceFlag{Name: "url", Usage: "address of a node; may be given several times"},
			&cli.StringFlag{Name: "key", Value: fleet.CallerKey, Usage: "caller key"},
			&cli.StringSliceFlag{Name: "target", Usage: "NAME=URL of a stand-in that faults may name, with --url"},
			&cli.IntFlag{Name: "nodes", Value: 3, Usage: "nodes of the fleet in this process", Validator: atLeast(1)},
			&cli.IntFlag{Name: "engines", Value: 4, Usage: "engines of the fleet in this process", Validator: atLeast(1)},
			&cli.DurationFlag{Name: "gap", Value: standin.DefaultEngineConfig().TokenInterval, Usage: "time between an engine's tokens in this process"},
			&cli.StringFlag{Name: "recovery", Value: string(vaneyoke.RecoverFast), Usage: "recovery of the workspace in this process: fast or frugal", Validator: checkRecovery},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "of the nodes in this process"},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	config, err := loadConfig(cmd)
	if err != nil {
		return err
	}
	target, stop, err := loadTarget(ctx, cmd)
	if err != nil {
		return err
	}
	defer stop()
	result, err := load.Run(ctx, config, target)
	if err != nil {
		return err
	}
	write := result.WriteTable
	if cmd.Bool("json") {
		write = result.WriteJSON
	}
	if err := write(cmd.Root().Writer); err != nil {
		return err
	}
	if result.Violations > 0 {
		return vaneyoke.Err(vaneyoke.CodeCheckViolation, "%d violations", result.Violations)
	}
	return nil
}

// loadConfig reads the load file, if any. Flags that are set override its values.
func loadConfig(cmd *cli.Command) (load.Config, error) {
	config := load.DefaultConfig()
	var err error
	if path := cmd.String("file"); path != "" {
		if config, err = load.ReadFile(path, config); err != nil {
			return config, err
		}
	}
	if cmd.IsSet("rate") {
		config.Rate = cmd.Float("rate")
	}
	if cmd.IsSet("duration") {
		config.Duration = cmd.Duration("duration")
	}
	if cmd.IsSet("open") {
		config.MaxOpen = cmd.Int("open")
	}
	if cmd.IsSet("seed") {
		config.Seed = cmd.Uint64("seed")
	}
	for _, text := range cmd.StringSlice("fault") {
		fault, err := load.ParseFault(text)
		if err != nil {
			return config, err
		}
		config.Faults = append(config.Faults, fault)
	}
	return config, nil
}

// loadTarget returns the fleet to load and a function that stops it.
func loadTarget(ctx context.Context, cmd *cli.Command) (load.Target, func(), error) {
	if urls := cmd.StringSlice("url"); len(urls) > 0 {
		remote := &load.Remote{URLs: urls, Caller: cmd.String("key"), StandIns: map[string]string{}}
		for _, text := range cmd.StringSlice("target") {
			name, url, ok := strings.Cut(text, "=")
			if !ok {
				return nil, nil, vaneyoke.Err(vaneyoke.CodeUsage, "target %q must be NAME=URL", text)
			}
			remote.StandIns[name] = url
		}
		return remote, func() {}, nil
	}
	engine := standin.DefaultEngineConfig()
	engine.TokenInterval = cmd.Duration("gap")
	f, err := fleet.Start(ctx, fleet.Config{
		Nodes: cmd.Int("nodes"), Engines: cmd.Int("engines"), Services: 1,
		Engine: engine, Recovery: vaneyoke.Recovery(cmd.String("recovery")),
		Log: os.Stderr, LogLevel: cmd.String("log-level"), TraceOutput: "off",
	})
	if err != nil {
		return nil, nil, err
	}
	return load.NewEmbedded(f), f.Close, nil
}
