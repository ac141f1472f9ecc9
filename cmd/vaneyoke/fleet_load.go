package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
)

// maxQueuesShown bounds the lines of queues and of caps.
const maxQueuesShown = 8

// loadState is what a node publishes of its queues; it is empty for a build that publishes nothing.
type loadState struct {
	Queues   []queueState    `json:"queues,omitempty"`
	Rejected map[string]int  `json:"rejected,omitempty"` // requests by reason
	Caps     []admission.Cap `json:"caps,omitempty"`     // in force
	Known    bool            `json:"known"`              // whether the node publishes its queues or caps
}

// queueKey names the requests that a queue is shown for.
type queueKey struct {
	Service   vaneyoke.ServiceID   `json:"service"`
	Route     vaneyoke.RouteID     `json:"route"`
	Workspace vaneyoke.WorkspaceID `json:"workspace"`
}

// queueState is what waits at a node, or at all of them.
type queueState struct {
	queueKey
	Requests int             `json:"requests"`
	Tokens   vaneyoke.Tokens `json:"tokens"`
	OldestMs int64           `json:"oldest_ms"`
	Nodes    int             `json:"nodes,omitempty"` // at which requests wait
}

// readLoad reads the variables "admission" and "caps" of a node; whatever they do not hold in the known form is left out.
func readLoad(admissionVar, capsVar json.RawMessage) loadState {
	var state loadState
	var queues struct {
		Queues struct {
			Services []struct {
				Service vaneyoke.ServiceID `json:"service"`
				Waiting []queueState       `json:"waiting"`
			} `json:"services"`
		} `json:"queues"`
		Rejected map[string]int `json:"rejected_total"` // by route and reason
	}
	if json.Unmarshal(admissionVar, &queues) == nil {
		state.Known, state.Rejected = true, map[string]int{}
		for _, service := range queues.Queues.Services {
			for _, q := range service.Waiting {
				q.Service, q.Nodes = service.Service, 1
				state.Queues = append(state.Queues, q)
			}
		}
		for name, count := range queues.Rejected {
			state.Rejected[name[strings.LastIndexByte(name, ' ')+1:]] += count
		}
	}
	var caps struct {
		InForce []admission.Cap `json:"in_force"`
	}
	if json.Unmarshal(capsVar, &caps) == nil {
		state.Known, state.Caps = true, caps.InForce
	}
	return state
}

// printLoad writes what waits and is rejected on all nodes, and the caps in force. It writes nothing if no node publishes any of it.
func printLoad(w io.Writer, answered []nodeState) {
	known := lo.Filter(answered, func(n nodeState, _ int) bool { return n.Load.Known })
	if len(known) == 0 {
		return
	}
	printQueues(w, known)
	printRejected(w, known)
	printCaps(w, known)
}

// printQueues writes the sum of what waits, and the longest queues by route and workspace.
func printQueues(w io.Writer, nodes []nodeState) {
	sums := map[queueKey]queueState{}
	var all queueState
	for _, n := range nodes {
		for _, q := range n.Load.Queues {
			sums[q.queueKey] = addQueues(sums[q.queueKey], q)
			all = addQueues(all, q)
		}
	}
	if all.Requests == 0 {
		fmt.Fprintln(w, "waiting    nothing")
		return
	}
	fmt.Fprintf(w, "waiting    %s\n", describeQueue(all))
	longest := lo.Values(sums)
	slices.SortFunc(longest, func(a, b queueState) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Workspace, b.Workspace))
	})
	for _, q := range longest[:min(len(longest), maxQueuesShown)] {
		fmt.Fprintf(w, "queue      service %s, route %s, workspace %s: %s at %d nodes\n", q.Service, q.Route, q.Workspace, describeQueue(q), q.Nodes)
	}
	if more := len(longest) - maxQueuesShown; more > 0 {
		fmt.Fprintf(w, "queue      and %d more\n", more)
	}
}

func addQueues(sum, q queueState) queueState {
	return queueState{
		queueKey: q.queueKey, Requests: sum.Requests + q.Requests, Tokens: sum.Tokens + q.Tokens,
		OldestMs: max(sum.OldestMs, q.OldestMs), Nodes: sum.Nodes + q.Nodes,
	}
}

func describeQueue(q queueState) string {
	return fmt.Sprintf("%d requests, %d tokens, oldest %.1f s", q.Requests, q.Tokens, float64(q.OldestMs)/1000)
}

// printRejected writes the rejections since the nodes' starts by reason.
func printRejected(w io.Writer, nodes []nodeState) {
	counts := map[string]int{}
	for _, n := range nodes {
		for reason, count := range n.Load.Rejected {
			counts[reason] += count
		}
	}
	reasons := lo.Keys(counts)
	slices.SortFunc(reasons, func(a, b string) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
	fmt.Fprintf(w, "rejected   %s\n", joinNames(lo.Map(reasons, func(r string, _ int) string { return fmt.Sprintf("%d %s", counts[r], r) })))
}

// printCaps writes the caps in force, and at how many nodes they are.
func printCaps(w io.Writer, nodes []nodeState) {
	counts := map[admission.Cap]int{}
	for _, n := range nodes {
		for _, c := range n.Load.Caps {
			counts[c]++
		}
	}
	caps := lo.Keys(counts)
	slices.SortFunc(caps, func(a, b admission.Cap) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Share, b.Share))
	})
	for _, c := range caps[:min(len(caps), maxQueuesShown)] {
		fmt.Fprintf(w, "cap        workspace %s, route %s: share %g at %d of %d nodes\n",
			cmp.Or(string(c.Workspace), "all"), cmp.Or(string(c.Route), "all"), c.Share, counts[c], len(nodes))
	}
	if more := len(caps) - maxQueuesShown; more > 0 {
		fmt.Fprintf(w, "cap        and %d more\n", more)
	}
}
