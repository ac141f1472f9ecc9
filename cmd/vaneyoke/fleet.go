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
	"github.com/vaneyoke/vaneyoke/internal/httpcheck"
	"github.com/vaneyoke/vaneyoke/shell/duties"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
)

const (
	maxConcurrentQueries = 32 // nodes that are queried at the same time
	maxNamesShown        = 8  // in a line
)

// nodeState is the state that a node reports.
type nodeState struct {
	VM       vaneyoke.VMID        `json:"vm"`
	Version  vaneyoke.Revision    `json:"version"`
	Build    string               `json:"build"`  // "" if its build does not report it
	Protocol feed.ProtocolVersion `json:"speaks"` // version of the peer protocol that its build supports
	Status   mesh.NodeStatus      `json:"part"`
	Leases   leaseViews           `json:"leases,omitempty"`
	Load     loadState            `json:"load"`
	Silent   bool                 `json:"silent,omitempty"` // true if it did not answer
}

// leaseViews holds what a node knows of the leases of duties.
type leaseViews map[lease.Name]duties.LeaseView

// fleetState holds the states that the nodes of a fleet report.
type fleetState struct {
	Nodes []nodeState `json:"nodes"` // sorted by VM
}

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "tell what the nodes that take opaque requests believe: versions in force, who reads the store, who is cut off, what waits and is capped",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Required: true, Usage: "`ADDRESS` of one node's metrics; the others are asked at the same port"},
			&cli.DurationFlag{Name: "wait", Value: 2 * time.Second, Usage: "longest wait for a node"},
			&cli.BoolFlag{Name: "json", Usage: "print what each node told as JSON"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			state, err := queryFleet(ctx, httpcheck.Client(&http.Client{Timeout: cmd.Duration("wait")}), cmd.String("admin"))
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return json.NewEncoder(cmd.Root().Writer).Encode(state)
			}
			state.print(cmd.Root().Writer)
			return nil
		},
	}
}

// queryFleet gets the list of members from one node, and the state of each of them.
func queryFleet(ctx context.Context, client *http.Client, admin string) (fleetState, error) {
	_, port, err := net.SplitHostPort(admin)
	if err != nil {
		return fleetState{}, vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "--admin")
	}
	var members []feed.Member
	if err := getJSON(ctx, client, "http://"+admin+"/debug/members", &members); err != nil {
		return fleetState{}, vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "--admin")
	}
	state := fleetState{Nodes: make([]nodeState, len(members))}
	semaphore := make(chan struct{}, maxConcurrentQueries)
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			state.Nodes[i] = queryNode(ctx, client, m, port)
		})
	}
	wait.Wait()
	slices.SortFunc(state.Nodes, func(a, b nodeState) int { return cmp.Compare(a.VM, b.VM) })
	return state, nil
}

func queryNode(ctx context.Context, client *http.Client, m feed.Member, port string) nodeState {
	var vars struct {
		Version vaneyoke.Revision `json:"configuration_version"`
		Build   string
		Speaks  feed.ProtocolVersion
		Mesh    struct {
			Status mesh.NodeStatus `json:"part"`
		} `json:"mesh"`
		Duties struct {
			Leases leaseViews `json:"leases"`
		} `json:"duties"`
		Admission json.RawMessage `json:"admission"`
		Caps      json.RawMessage `json:"caps"`
	}
	host, _, err := net.SplitHostPort(m.Address)
	if err == nil {
		err = getJSON(ctx, client, "http://"+net.JoinHostPort(host, port)+"/debug/vars", &vars)
	}
	return nodeState{
		VM: m.VM, Version: vars.Version, Build: vars.Build, Protocol: vars.Speaks, Status: vars.Mesh.Status, Leases: vars.Duties.Leases,
		Load: readLoad(vars.Admission, vars.Caps), Silent: err != nil,
	}
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

// print writes a summary whose length does not grow with the number of nodes.
func (s fleetState) print(w io.Writer) {
	answered := lo.Filter(s.Nodes, func(n nodeState, _ int) bool { return !n.Silent })
	fmt.Fprintf(w, "nodes      %d registered, %d answered\n", len(s.Nodes), len(answered))
	versions := lo.GroupBy(answered, func(n nodeState) vaneyoke.Revision { return n.Version })
	newest := lo.Keys(versions)
	slices.SortFunc(newest, func(a, b vaneyoke.Revision) int { return cmp.Compare(b, a) })
	for i, version := range newest {
		names := ""
		if i > 0 {
			names = ": " + joinNodeNames(versions[version])
		}
		fmt.Fprintf(w, "version    %d at %d%s\n", version, len(versions[version]), names)
	}
	printBuilds(w, answered)
	readers := lo.Filter(answered, func(n nodeState, _ int) bool { return n.Status.Reading == feed.ReadAll.String() })
	fmt.Fprintf(w, "reads      %s\n", joinNodeNames(readers))
	printDuties(w, answered)
	confirmed := lo.Uniq(lo.FilterMap(answered, func(n nodeState, _ int) (string, bool) { return string(n.Status.Reader), n.Status.Fresh }))
	slices.Sort(confirmed)
	fmt.Fprintf(w, "confirmed  by the store to %s\n", joinNames(confirmed))
	stale := lo.Filter(answered, func(n nodeState, _ int) bool { return !n.Status.Fresh })
	fmt.Fprintf(w, "old        tables of %s\n", joinNodeNames(stale))
	silent := lo.Filter(s.Nodes, func(n nodeState, _ int) bool { return n.Silent })
	fmt.Fprintf(w, "silent     %s\n", joinNodeNames(silent))
	if len(answered) > 0 {
		most := lo.MaxBy(answered, func(a, b nodeState) bool { return a.Status.Followers > b.Status.Followers })
		fmt.Fprintf(w, "followers  at most %d (%s)\n", most.Status.Followers, most.VM)
	}
	printLoad(w, answered)
}

// printDuties writes which nodes report to hold each duty, and the highest fencing token that is reported.
func printDuties(w io.Writer, answered []nodeState) {
	names := lo.Uniq(lo.FlatMap(answered, func(n nodeState, _ int) []lease.Name { return lo.Keys(n.Leases) }))
	slices.Sort(names)
	for _, name := range names {
		holders := lo.Filter(answered, func(n nodeState, _ int) bool { return n.Leases[name].Held })
		token := lo.Max(lo.Map(answered, func(n nodeState, _ int) lease.FencingToken { return n.Leases[name].Token }))
		fmt.Fprintf(w, "duty       %s: held by %s, token %d\n", name, joinNodeNames(holders), token)
	}
}

// printBuilds writes how many nodes run each build and its protocol version. It names the nodes of all builds but the most common one.
func printBuilds(w io.Writer, answered []nodeState) {
	type build struct {
		name     string
		protocol feed.ProtocolVersion
	}
	groups := lo.GroupBy(answered, func(n nodeState) build { return build{cmp.Or(n.Build, "an earlier one"), n.Protocol} })
	builds := lo.Keys(groups)
	slices.SortFunc(builds, func(a, b build) int {
		return cmp.Or(cmp.Compare(len(groups[b]), len(groups[a])), cmp.Compare(a.name, b.name), cmp.Compare(a.protocol, b.protocol))
	})
	for i, b := range builds {
		names := ""
		if i > 0 {
			names = ": " + joinNodeNames(groups[b])
		}
		fmt.Fprintf(w, "build      %s, speaks %d, at %d%s\n", b.name, b.protocol, len(groups[b]), names)
	}
}

// joinNodeNames returns the names of at most maxNamesShown nodes, and how many more there are.
func joinNodeNames(nodes []nodeState) string {
	return joinNames(lo.Map(nodes, func(n nodeState, _ int) string { return string(n.VM) }))
}

func joinNames(names []string) string {
	switch {
	case len(names) == 0:
		return "nobody"
	case len(names) > maxNamesShown:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamesShown], ", "), len(names)-maxNamesShown)
	default:
		return strings.Join(names, ", ")
	}
}
