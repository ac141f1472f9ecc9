package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/process/telemetry"
)

// docsCommand returns the command that generates documentation from tables in the code. It is for developers of this project.
func docsCommand() *cli.Command {
	return &cli.Command{
		Name:   "docs",
		Usage:  "write the pages of settings and result codes, and the table of events",
		Hidden: true,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "dir", Value: "docs", Usage: "`FOLDER` of the pages"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			pages := map[string]string{"SETTINGS.md": settings.Markdown(), "RESULT-CODES.md": vaneyoke.CodesPage()}
			for name, text := range pages {
				if err := os.WriteFile(filepath.Join(cmd.String("dir"), name), []byte(text), reportMode); err != nil {
					return err
				}
			}
			return writeEvents(filepath.Join(cmd.String("dir"), "OPERATIONS.md"))
		},
	}
}

// writeEvents replaces the Events section of the operators' page, which is its last section.
func writeEvents(path string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text, _, ok := strings.Cut(string(page), "## Events\n")
	if !ok {
		return vaneyoke.Err(vaneyoke.CodeUsage, "%s has no part named Events", path)
	}
	return os.WriteFile(path, []byte(text+"## Events\n\n"+telemetry.EventsTable()), reportMode)
}
