package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/lease"
	"github.com/vaneyoke/vaneyoke/shell/duties"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
)

const (
	fleetAsksAtOnce = 32 // nodes that are asked at the same time
	fleetNamesShown = 8  // names in a line
)

// nodeBelief is what one node told of itself.
type nodeBelief struct {
	VM      vaneyoke.VMID        `json:"vm"`
	Version vaneyoke.Revision    `json:"version"`
	Build   string               `json:"build"`  // "" where its build does not tell
	Speaks  feed.ProtocolVersion `json:"speaks"` // what its build understands
	Part    mesh.NodeStatus      `json:"part"`
	Leases  leaseViews           `json:"leases,omitempty"`
	Silent  bool                 `json:"silent,omitempty"` // whether it did not answer
}

// leaseViews are what a node knows of the leases of duties.
type leaseViews map[lease.Name]duties.LeaseView

// fleetBelief is what the nodes of a fleet believe.
type fleetBelief struct {
	Nodes []nodeBelief `json:"nodes"` // by VM
}

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "tell what the nodes that take opaque requests believe: versions in force, who reads the store, who is cut off",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Required: true, Usage: "`ADDRESS` of one node's metrics; the others are asked at the same port"},
			&cli.DurationFlag{Name: "wait", Value: 2 * time.Second, Usage: "longest wait for a node"},
			&cli.BoolFlag{Name: "json", Usage: "print what each node told as JSON"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			belief, err := askFleet(ctx, &http.Client{Timeout: cmd.Duration("wait")}, cmd.String("admin"))
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return json.NewEncoder(cmd.Root().Writer).Encode(belief)
			}
			belief.print(cmd.Root().Writer)
			return nil
		},
	}
}

// askFleet asks one node for the members, and each of them what it believes.
func askFleet(ctx context.Context, client *http.Client, admin string) (fleetBelief, error) {
	_, port, err := net.SplitHostPort(admin)
	if err != nil {
		return fleetBelief{}, vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "--admin")
	}
	var members []feed.Member
	if err := getJSON(ctx, client, "http://"+admin+"/debug/members", &members); err != nil {
		return fleetBelief{}, vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "--admin")
	}
	belief := fleetBelief{Nodes: make([]nodeBelief, len(members))}
	turns := make(chan struct{}, fleetAsksAtOnce)
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			belief.Nodes[i] = askNode(ctx, client, m, port)
		})
	}
	wait.Wait()
	slices.SortFunc(belief.Nodes, func(a, b nodeBelief) int { return cmp.Compare(a.VM, b.VM) })
	return belief, nil
}

func askNode(ctx context.Context, client *http.Client, m feed.Member, port string) nodeBelief {
	var vars struct {
		Version vaneyoke.Revision `json:"configuration_version"`
		Build   string
		Speaks  feed.ProtocolVersion
		Mesh    struct {
			Part mesh.NodeStatus `json:"part"`
		} `json:"mesh"`
		Duties struct {
			Leases leaseViews `json:"leases"`
		} `json:"duties"`
	}
	host, _, err := net.SplitHostPort(m.Address)
	if err == nil {
		err = getJSON(ctx, client, "http://"+net.JoinHostPort(host, port)+"/debug/vars", &vars)
	}
	return nodeBelief{VM: m.VM, Version: vars.Version, Build: vars.Build, Speaks: vars.Speaks, Part: vars.Mesh.Part, Leases: vars.Duties.Leases, Silent: err != nil}
}

func getJSON(ctx context.Context, client *http.Client, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return json.NewDecoder(res.Body).Decode(into)
}

// print writes the belief on one screen, whatever the number of nodes.
func (b fleetBelief) print(w io.Writer) {
	told := lo.Filter(b.Nodes, func(n nodeBelief, _ int) bool { return !n.Silent })
	fmt.Fprintf(w, "nodes      %d registered, %d answered\n", len(b.Nodes), len(told))
	versions := lo.GroupBy(told, func(n nodeBelief) vaneyoke.Revision { return n.Version })
	newest := lo.Keys(versions)
	slices.SortFunc(newest, func(a, b vaneyoke.Revision) int { return cmp.Compare(b, a) })
	for i, version := range newest {
		names := ""
		if i > 0 {
			names = ": " + namesOf(versions[version])
		}
		fmt.Fprintf(w, "version    %d at %d%s\n", version, len(versions[version]), names)
	}
	printBuilds(w, told)
	readers := lo.Filter(told, func(n nodeBelief, _ int) bool { return n.Part.Reading == feed.ReadAll.String() })
	fmt.Fprintf(w, "reads      %s\n", namesOf(readers))
	printDuties(w, told)
	confirmed := lo.Uniq(lo.FilterMap(told, func(n nodeBelief, _ int) (string, bool) { return string(n.Part.Reader), n.Part.Fresh }))
	slices.Sort(confirmed)
	fmt.Fprintf(w, "confirmed  by the store to %s\n", orNobody(confirmed))
	old := lo.Filter(told, func(n nodeBelief, _ int) bool { return !n.Part.Fresh })
	fmt.Fprintf(w, "old        tables of %s\n", namesOf(old))
	silent := lo.Filter(b.Nodes, func(n nodeBelief, _ int) bool { return n.Silent })
	fmt.Fprintf(w, "silent     %s\n", namesOf(silent))
	if len(told) > 0 {
		most := lo.MaxBy(told, func(a, b nodeBelief) bool { return a.Part.Followers > b.Part.Followers })
		fmt.Fprintf(w, "followers  at most %d (%s)\n", most.Part.Followers, most.VM)
	}
}

// printDuties writes which node holds each duty, by the nodes' own word.
func printDuties(w io.Writer, told []nodeBelief) {
	names := lo.Uniq(lo.FlatMap(told, func(n nodeBelief, _ int) []lease.Name { return lo.Keys(n.Leases) }))
	slices.Sort(names)
	for _, name := range names {
		holders := lo.Filter(told, func(n nodeBelief, _ int) bool { return n.Leases[name].Held })
		fence := lo.Max(lo.Map(told, func(n nodeBelief, _ int) lease.FencingToken { return n.Leases[name].Token }))
		fmt.Fprintf(w, "duty       %s: held by %s, token %d\n", name, namesOf(holders), fence)
	}
}

// printBuilds writes how many nodes run each build, and what it understands; the nodes of all but the commonest are named.
func printBuilds(w io.Writer, told []nodeBelief) {
	type build struct {
		name   string
		speaks feed.ProtocolVersion
	}
	groups := lo.GroupBy(told, func(n nodeBelief) build { return build{cmp.Or(n.Build, "an earlier one"), n.Speaks} })
	builds := lo.Keys(groups)
	slices.SortFunc(builds, func(a, b build) int {
		return cmp.Or(cmp.Compare(len(groups[b]), len(groups[a])), cmp.Compare(a.name, b.name), cmp.Compare(a.speaks, b.speaks))
	})
	for i, b := range builds {
		names := ""
		if i > 0 {
			names = ": " + namesOf(groups[b])
		}
		fmt.Fprintf(w, "build      %s, speaks %d, at %d%s\n", b.name, b.speaks, len(groups[b]), names)
	}
}

// namesOf returns the names of some nodes, or how many they are beyond a few.
func namesOf(nodes []nodeBelief) string {
	return orNobody(lo.Map(nodes, func(n nodeBelief, _ int) string { return string(n.VM) }))
}

func orNobody(names []string) string {
	switch {
	case len(names) == 0:
		return "nobody"
	case len(names) > fleetNamesShown:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:fleetNamesShown], ", "), len(names)-fleetNamesShown)
	default:
		return strings.Join(names, ", ")
	}
}
