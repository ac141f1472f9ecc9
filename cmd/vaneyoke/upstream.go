package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/operatorapi"
)

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "register, list, drain and remove upstreams",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the upstreams as one node sees them", Flags: adminFlags(), Action: listUpstreams},
			{
				Name: "register", Usage: "register an upstream, or change the one that has the version of --if-match", ArgsUsage: "ID",
				Flags: adminFlags(ifMatchFlag(), waitFlag(),
					&cli.StringFlag{Name: "url", Required: true},
					&cli.StringFlag{Name: "kind", Value: string(vaneyoke.KindEngine), Usage: "engine or service"},
					&cli.StringFlag{Name: "data-centre", Required: true},
					&cli.StringFlag{Name: "vm"},
					&cli.StringSliceFlag{Name: "model", Usage: "model that an engine has loaded; may be given several times"},
					&cli.StringFlag{Name: "service", Usage: "service that is offered"},
					&cli.IntFlag{Name: "slots", Value: 64, Usage: "generations that an engine runs at once"},
				),
				Action: registerUpstream,
			},
			upstreamAction("drain", "give an upstream no new work", http.MethodPost, "/drain"),
			upstreamAction("undrain", "give an upstream new work again", http.MethodPost, "/undrain"),
			upstreamAction("remove", "remove an upstream", http.MethodDelete, ""),
		},
	}
}

func upstreamPath(id string) string { return "/v1/upstreams/" + url.PathEscape(id) }

func upstreamAction(name, usage, method, suffix string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "ID", Flags: adminFlags(waitFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().First() == "" {
				return vaneyoke.Err(vaneyoke.CodeUsage, "the upstream's id is missing")
			}
			return change(ctx, cmd, adminCall{method: method, path: upstreamPath(cmd.Args().First()) + suffix})
		},
	}
}

func listUpstreams(ctx context.Context, cmd *cli.Command) error {
	var out struct {
		Upstreams []operatorapi.UpstreamLoad `json:"upstreams"`
	}
	if _, err := call(ctx, cmd, adminCall{method: http.MethodGet, path: "/v1/upstreams"}, &out); err != nil {
		return err
	}
	if done, err := printJSON(cmd, out); done {
		return err
	}
	return printTable(cmd, "ID\tKIND\tDATA CENTRE\tSTATE\tOFFERS\tIN FLIGHT\tBREAKER\tDRAINED", func(w io.Writer) {
		for _, u := range out.Upstreams {
			offers := fmt.Sprint(u.Models)
			if u.Kind == vaneyoke.KindService {
				offers = string(u.Service)
			}
			breaker := lo.Ternary(u.BreakerOpen, "open", "closed")
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%t\n", u.ID, u.Kind, u.DataCentre, u.State, offers, u.InFlight, breaker, u.Drained)
		}
	})
}

func registerUpstream(ctx context.Context, cmd *cli.Command) error {
	u := vaneyoke.Upstream{
		ID:         vaneyoke.UpstreamID(cmd.Args().First()),
		Kind:       vaneyoke.UpstreamKind(cmd.String("kind")),
		URL:        cmd.String("url"),
		VM:         vaneyoke.VMID(cmd.String("vm")),
		DataCentre: vaneyoke.DataCentreID(cmd.String("data-centre")),
		State:      vaneyoke.StateLive,
		Models:     lo.Map(cmd.StringSlice("model"), func(m string, _ int) vaneyoke.ModelID { return vaneyoke.ModelID(m) }),
		Service:    vaneyoke.ServiceID(cmd.String("service")),
		Slots:      cmd.Int("slots"),
	}
	return change(ctx, cmd, adminCall{method: http.MethodPut, path: upstreamPath(string(u.ID)), body: u, ifMatch: cmd.String("if-match")})
}
