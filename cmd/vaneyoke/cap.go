package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/platform"
)

func capCommand() *cli.Command {
	return &cli.Command{
		Name:  "cap",
		Usage: "limit the requests of a workspace or a route on all nodes",
		Commands: []*cli.Command{
			{
				Name: "set", Usage: "admit only a share of a workspace's or a route's requests while others wait; 0 puts them aside altogether",
				Flags:  capFlags(capNameFlags(&cli.FloatFlag{Name: "share", Required: true, Usage: "share of the requests, from 0 to 1"})...),
				Action: setCap,
			},
			{Name: "clear", Usage: "lift the cap on a workspace, a route or a route of a workspace", Flags: capFlags(capNameFlags()...), Action: clearCap},
			{Name: "list", Usage: "list the caps", Flags: capFlags(&cli.BoolFlag{Name: "json", Usage: "print them as JSON"}), Action: listCaps},
		},
	}
}

// capFlags returns the flags of a command that reads or writes the store's table, with those of its own.
func capFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "store", Required: true, Usage: "`ADDRESS` of the store", Sources: cli.EnvVars("VANEYOKE_STORE")},
		&cli.DurationFlag{Name: "timeout", Value: 5 * time.Second, Usage: "longest wait for each answer of the store"},
	}, more...)
}

// capNameFlags returns the flags that name a cap, with those of a command.
func capNameFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "workspace", Usage: "workspace; all of them if not given"},
		&cli.StringFlag{Name: "route", Usage: "route; all of them if not given"},
		&cli.Uint64Flag{Name: "revision", Usage: "revision that the cap must have, as list tells it, and 0 for none; the current one if not given"},
	}, more...)
}

func newCaps(cmd *cli.Command) *platform.Caps {
	return platform.NewCaps(&http.Client{Timeout: cmd.Duration("timeout")}, cmd.String("store"))
}

func setCap(ctx context.Context, cmd *cli.Command) error {
	c := admission.Cap{
		Workspace: vaneyoke.WorkspaceID(cmd.String("workspace")), Route: vaneyoke.RouteID(cmd.String("route")), Share: cmd.Float("share"),
	}
	return changeCap(ctx, cmd, c, func(caps *platform.Caps, revision vaneyoke.Revision) error {
		if revision == 0 {
			if err := checkCount(ctx, caps); err != nil {
				return err
			}
		}
		return caps.Write(ctx, c, revision)
	})
}

// checkCount returns an error if nodes would not apply one more cap.
func checkCount(ctx context.Context, caps *platform.Caps) error {
	rows, err := caps.All(ctx)
	if err != nil {
		return err
	}
	count := lo.CountBy(rows, func(r platform.CapRow) bool { return r.Problem == "" })
	if count >= platform.MaxCaps {
		return vaneyoke.Err(vaneyoke.CodeUsage, "the cap was not set: there are %d, and nodes apply no more", count)
	}
	return nil
}

func clearCap(ctx context.Context, cmd *cli.Command) error {
	c := admission.Cap{Workspace: vaneyoke.WorkspaceID(cmd.String("workspace")), Route: vaneyoke.RouteID(cmd.String("route")), Share: 1}
	return changeCap(ctx, cmd, c, func(caps *platform.Caps, revision vaneyoke.Revision) error {
		if revision == 0 {
			return nil
		}
		return caps.Remove(ctx, c.Workspace, c.Route, revision)
	})
}

// changeCap changes the row of a cap if it has the revision that was read or given, and prints what was in force before.
func changeCap(ctx context.Context, cmd *cli.Command, c admission.Cap, change func(*platform.Caps, vaneyoke.Revision) error) error {
	if err := platform.CheckCap(c); err != nil {
		return err
	}
	caps := newCaps(cmd)
	before, err := caps.Find(ctx, c.Workspace, c.Route)
	if err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeStoreDown, err, "the cap was not changed: the store at %s cannot be read", cmd.String("store"))
	}
	if cmd.IsSet("revision") && vaneyoke.Revision(cmd.Uint64("revision")) != before.Revision {
		return vaneyoke.Err(vaneyoke.CodeStoreRace, "the cap was not changed: in force is %s", describeCap(before))
	}
	switch err = change(caps, before.Revision); vaneyoke.CodeOf(err) {
	case vaneyoke.CodeOK:
	case vaneyoke.CodeUsage:
		return err
	case vaneyoke.CodeStoreRace:
		return lostRace(ctx, caps, c, err)
	case vaneyoke.CodeStoreUnknown:
		return vaneyoke.WrapErr(vaneyoke.CodeStoreUnknown, err, "the cap may have been changed; \"vaneyoke cap list\" tells; before, %s was in force", describeCap(before))
	default:
		return vaneyoke.WrapErr(vaneyoke.CodeStoreDown, err, "the cap was not changed: the store at %s refused it", cmd.String("store"))
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "before: %s\n", describeCap(before))
	return err
}

// lostRace returns the error for a cap that another operator changed meanwhile.
func lostRace(ctx context.Context, caps *platform.Caps, c admission.Cap, race error) error {
	now, err := caps.Find(ctx, c.Workspace, c.Route)
	if err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeStoreRace, race, "the cap was not changed: another operator changed it meanwhile")
	}
	return vaneyoke.WrapErr(vaneyoke.CodeStoreRace, race, "the cap was not changed: another operator changed it meanwhile, and in force is %s", describeCap(now))
}

func describeCap(row platform.CapRow) string {
	switch {
	case row.Revision == 0:
		return "no cap"
	case row.Problem != "":
		return fmt.Sprintf("nothing, since revision %d cannot be read (%s)", row.Revision, row.Problem)
	default:
		return fmt.Sprintf("share %g at revision %d", row.Cap.Share, row.Revision)
	}
}

func listCaps(ctx context.Context, cmd *cli.Command) error {
	rows, err := newCaps(cmd).All(ctx)
	if err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeStoreDown, err, "the store at %s cannot be read", cmd.String("store"))
	}
	slices.SortFunc(rows, func(a, b platform.CapRow) int {
		return cmp.Or(cmp.Compare(a.Cap.Workspace, b.Cap.Workspace), cmp.Compare(a.Cap.Route, b.Cap.Route), cmp.Compare(a.Revision, b.Revision))
	})
	if cmd.Bool("json") {
		return json.NewEncoder(cmd.Root().Writer).Encode(rows)
	}
	return printTable(cmd, "WORKSPACE\tROUTE\tSHARE\tREVISION", func(w io.Writer) {
		for _, r := range rows {
			if r.Problem != "" {
				fmt.Fprintf(w, "not in force: %s\t\t\t%d\n", r.Problem, r.Revision)
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%g\t%d\n", cmp.Or(string(r.Cap.Workspace), "all"), cmp.Or(string(r.Cap.Route), "all"), r.Cap.Share, r.Revision)
		}
	})
}
