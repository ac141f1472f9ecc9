package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/measure"
)

const reportMode = 0o644

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure what requests, sessions and policies cost a node, in this process; takes about a minute",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "docs/slopes.json", Usage: "`FILE` for the slopes"},
			&cli.StringFlag{Name: "page", Value: "docs/CAPACITY.md", Usage: "`FILE` whose tables are replaced"},
			&cli.BoolFlag{Name: "tables-only", Usage: "measure nothing, and write the page's tables and the picture anew from the file of slopes"},
			&cli.StringFlag{Name: "sweep", Value: "docs/sweep.json", Usage: "`FILE` of what the users' bench measured at several numbers of nodes"},
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
			return writePage(cmd, report)
		},
	}
}

// rewriteTables writes the page's tables from slopes measured by an earlier run.
func rewriteTables(cmd *cli.Command) error {
	var report measure.Report
	if err := readJSON(cmd, "out", &report); err != nil {
		return err
	}
	return writePage(cmd, &report)
}

// readJSON decodes the JSON file that a flag names.
func readJSON(cmd *cli.Command, flag string, into any) error {
	raw, err := os.ReadFile(cmd.String(flag))
	if err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "--%s", flag)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "--%s", flag)
	}
	return nil
}

// writePage replaces the tables between their markers in the page, and draws the plot.
func writePage(cmd *cli.Command, report *measure.Report) error {
	var sweep measure.Sweep
	if err := readJSON(cmd, "sweep", &sweep); err != nil {
		return err
	}
	if err := sweep.Plot(cmd.String("plot")); err != nil {
		return err
	}
	path := cmd.String("page")
	page, err := os.ReadFile(path)
	if err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "--page")
	}
	return os.WriteFile(path, []byte(sweep.ReplaceTable(report.ReplaceTables(string(page)))), reportMode)
}
