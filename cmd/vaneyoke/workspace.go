package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/node"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
)

func workspaceCommand() *cli.Command {
	return &cli.Command{
		Name:  "workspace",
		Usage: "create workspaces and their keys",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the workspaces", Flags: adminFlags(&cli.StringFlag{Name: "after", Usage: "name after which the list begins"}), Action: listWorkspaces},
			{
				Name: "create", Usage: "create a workspace, or change the one that has the version of --if-match", ArgsUsage: "NAME",
				Flags:  adminFlags(ifMatchFlag(), waitFlag(), &cli.StringFlag{Name: "recovery", Value: string(vaneyoke.RecoverFast), Usage: "fast or frugal", Validator: checkRecovery}),
				Action: createWorkspace,
			},
			{
				Name: "create-key", Usage: "create a key and print it once", ArgsUsage: "NAME",
				Flags: adminFlags(
					&cli.StringFlag{Name: "role", Value: string(vaneyoke.RoleCaller), Usage: "caller, viewer, operator or administrator"},
					&cli.StringSliceFlag{Name: "scope", Usage: "workspace that an operator's rights are bound to; may be given several times"},
				),
				Action: createKey,
			},
			{Name: "revoke-key", Usage: "revoke the key whose hash begins with HASH", ArgsUsage: "NAME HASH", Flags: adminFlags(waitFlag()), Action: revokeKey},
		},
	}
}

func workspacePath(id string) string { return "/v1/workspaces/" + url.PathEscape(id) }

func listWorkspaces(ctx context.Context, cmd *cli.Command) error {
	var out struct {
		Workspaces []vaneyoke.Workspace `json:"workspaces"`
		Next       string               `json:"next"`
	}
	if _, err := call(ctx, cmd, adminCall{method: http.MethodGet, path: "/v1/workspaces?after=" + url.QueryEscape(cmd.String("after"))}, &out); err != nil {
		return err
	}
	if done, err := printJSON(cmd, out); done {
		return err
	}
	return printTable(cmd, "NAME\tRECOVERY\tROLE\tHASH", func(w io.Writer) {
		for _, ws := range out.Workspaces {
			fmt.Fprintf(w, "%s\t%s\t\t\n", ws.ID, ws.Recovery)
			for _, k := range ws.Keys {
				fmt.Fprintf(w, "\t\t%s\t%.12s\n", k.Role, k.Hash)
			}
		}
	})
}

func createWorkspace(ctx context.Context, cmd *cli.Command) error {
	body := struct {
		Recovery string `json:"recovery"`
	}{cmd.String("recovery")}
	return change(ctx, cmd, adminCall{method: http.MethodPut, path: workspacePath(cmd.Args().First()), body: body, ifMatch: cmd.String("if-match")})
}

func createKey(ctx context.Context, cmd *cli.Command) error {
	body := struct {
		Role  string   `json:"role"`
		Scope []string `json:"scope,omitempty"`
	}{cmd.String("role"), cmd.StringSlice("scope")}
	var out struct {
		Key  string           `json:"key"`
		Hash vaneyoke.KeyHash `json:"hash"`
	}
	c := adminCall{method: http.MethodPost, path: workspacePath(cmd.Args().First()) + "/keys", body: body}
	if _, err := call(ctx, cmd, c, &out); err != nil {
		return err
	}
	if done, err := printJSON(cmd, out); done {
		return err
	}
	_, err := fmt.Fprintln(cmd.Root().Writer, out.Key)
	return err
}

func revokeKey(ctx context.Context, cmd *cli.Command) error {
	return change(ctx, cmd, adminCall{method: http.MethodDelete, path: workspacePath(cmd.Args().First()) + "/keys/" + cmd.Args().Get(1)})
}

// bootstrapCommand returns the command that writes the first administrator's key directly into the platform's table.
func bootstrapCommand() *cli.Command {
	return &cli.Command{
		Name:  "bootstrap",
		Usage: "write the first administrator's key into the platform's table; fails where the workspace exists",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "INI `FILE` of a node, which says where the platform is", Required: true},
			&cli.StringFlag{Name: "workspace", Value: "administration", Usage: "workspace of the key"},
			&cli.StringFlag{Name: "key", Usage: "administrator key to set", Sources: cli.EnvVars("VANEYOKE_OPERATOR_KEY"), Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := settings.Load(cmd.String("config"))
			if err != nil {
				return err
			}
			w := vaneyoke.Workspace{
				ID:       vaneyoke.WorkspaceID(cmd.String("workspace")),
				Keys:     []vaneyoke.Key{{Hash: catalog.HashKey(cmd.String("key")), Role: vaneyoke.RoleAdministrator}},
				Recovery: vaneyoke.RecoverFast,
			}
			revision, err := catalog.Apply(ctx, node.NewPlatform(s.Platform), catalog.Change{
				Partition: catalog.PartitionWorkspaces, ID: string(w.ID), Value: w,
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "revision %d\n", revision)
			return err
		},
	}
}
