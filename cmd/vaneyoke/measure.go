package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/measure"
)

const reportMode = 0o644

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure what a node costs at several sizes, in this process; takes about two minutes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "docs/slopes.json", Usage: "`FILE` for the slopes"},
			&cli.StringFlag{Name: "page", Value: "docs/CAPACITY.md", Usage: "`FILE` whose tables are replaced"},
			&cli.BoolFlag{Name: "tables-only", Usage: "measure nothing, and write the page's tables and the picture anew from the file of slopes"},
			&cli.StringFlag{Name: "plot", Value: "docs/capacity.svg", Usage: "`FILE` for the picture"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Bool("tables-only") {
				return rewriteTables(cmd)
			}
			report, err := measure.Run(ctx, cmd.Root().Writer)
			if err != nil {
				return err
			}
			raw, err := json.MarshalIndent(report, "", "  ")
			if err != nil {
				return err
			}
			if err := os.WriteFile(cmd.String("out"), append(raw, '\n'), reportMode); err != nil {
				return err
			}
			if err := report.Plot(cmd.String("plot")); err != nil {
				return err
			}
			return writePage(cmd.String("page"), report)
		},
	}
}

// rewriteTables writes the page's tables from slopes that were measured before.
func rewriteTables(cmd *cli.Command) error {
	raw, err := os.ReadFile(cmd.String("out"))
	if err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "--out")
	}
	var report measure.Report
	if err := json.Unmarshal(raw, &report); err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "--out")
	}
	if err := report.Plot(cmd.String("plot")); err != nil {
		return err
	}
	return writePage(cmd.String("page"), &report)
}

// writePage puts the tables into a page that has marks for them.
func writePage(path string, report *measure.Report) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "--page")
	}
	return os.WriteFile(path, []byte(report.ReplaceTables(string(page))), reportMode)
}
