package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/standin"
)

// standIn is a running stand-in server.
type standIn interface {
	io.Closer
	URL() string
}

func standinCommand() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP number and port"}
	return &cli.Command{
		Name:  "standin",
		Usage: "run one stand-in until it is interrupted",
		Flags: []cli.Flag{listen},
		Commands: []*cli.Command{
			standinKind("engine", "a model engine", func(a string) (standIn, error) {
				return standin.NewEngine(a, standin.DefaultEngineConfig())
			}),
			standinKind("service", "a plain service", func(a string) (standIn, error) { return standin.NewService(a) }),
			standinKind("platform", "the platform's table, object store and list of VMs", func(a string) (standIn, error) {
				return standin.NewPlatform(a)
			}),
		},
	}
}

func standinKind(name, usage string, start func(string) (standIn, error)) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Action: func(ctx context.Context, cmd *cli.Command) error {
		s, err := start(cmd.String("listen"))
		if err != nil {
			return vaneyoke.WrapErr(vaneyoke.CodeListen, err, "start the stand-in")
		}
		if _, err := fmt.Fprintln(cmd.Root().Writer, s.URL()); err != nil {
			return err
		}
		<-ctx.Done()
		return s.Close()
	}}
}
