package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/settings"
)

// docsCommand writes the pages that stand for tables in the code; it is for the project's own developers.
func docsCommand() *cli.Command {
	return &cli.Command{
		Name:   "docs",
		Usage:  "write the pages of settings and result codes",
		Hidden: true,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "dir", Value: "docs", Usage: "`FOLDER` of the pages"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			pages := map[string]string{"SETTINGS.md": settings.Markdown(), "RESULT-CODES.md": vaneyoke.CodesPage()}
			for name, text := range pages {
				if err := os.WriteFile(filepath.Join(cmd.String("dir"), name), []byte(text), reportMode); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
