package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

func generateCommand() *cli.Command {
	return &cli.Command{
		Name:      "generate",
		Usage:     "send a prompt to a node and print the answer as it comes",
		ArgsUsage: "PROMPT...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "url", Value: "http://127.0.0.1:8080", Usage: "address of a node or of the balancer", Sources: cli.EnvVars("VANEYOKE_URL")},
			&cli.StringFlag{Name: "key", Usage: "caller key", Sources: cli.EnvVars("VANEYOKE_KEY"), Required: true},
			&cli.StringFlag{Name: "model", Value: string(fleet.Model), Usage: "model"},
			&cli.IntFlag{Name: "max-tokens", Usage: "most tokens of the answer, 0 for the engine's limit", Validator: atLeast(0)},
		},
		Action: runGenerate,
	}
}

func runGenerate(ctx context.Context, cmd *cli.Command) error {
	prompt := strings.Join(cmd.Args().Slice(), " ")
	if prompt == "" {
		return vaneyoke.Err(vaneyoke.CodeUsage, "the prompt is missing")
	}
	c := client.New(http.DefaultClient, cmd.String("url"), cmd.String("key"))
	stream, err := c.Generate(ctx, client.Request{
		Model:     vaneyoke.ModelID(cmd.String("model")),
		Messages:  []openai.Message{{Role: "user", Content: prompt}},
		MaxTokens: vaneyoke.Tokens(cmd.Int("max-tokens")),
	}, nil)
	if err != nil {
		return withResultCode(err)
	}
	defer func() { _ = stream.Close() }()
	for chunk, err := range stream.All() {
		if err != nil {
			return withResultCode(err)
		}
		if _, err := fmt.Fprint(cmd.Root().Writer, chunk.Text); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(cmd.Root().Writer)
	return err
}

// withResultCode wraps an error with the result code that the node reported.
func withResultCode(err error) error {
	failed, ok := errors.AsType[*client.FailedError](err)
	if !ok {
		return vaneyoke.WrapErr(vaneyoke.CodeInterrupted, err, "the node cannot be reached or broke off")
	}
	for _, info := range vaneyoke.Codes() {
		if info.Name == failed.Detail.Type {
			return vaneyoke.WrapErr(info.Code, err, "the node refused")
		}
	}
	return err
}
