package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
)

// TestFleetSummary queries a fleet in which one node has an older configuration, one has stale tables and one does not answer.
func TestFleetSummary(t *testing.T) {
	const nodes = 40
	var members []feed.Member
	port := ""
	for i := range nodes {
		m := feed.Member{VM: vaneyoke.VMID(fmt.Sprintf("edge-%02d", i)), Address: fmt.Sprintf("127.9.1.%d:1", i+1)}
		members = append(members, m)
		if i == nodes-1 {
			break // it does not answer
		}
		mux := http.NewServeMux()
		mux.HandleFunc("/debug/members", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(members) })
		mux.HandleFunc("/debug/vars", func(w http.ResponseWriter, _ *http.Request) {
			status := mesh.NodeStatus{Source: "edge-00", Reading: "nothing", Fresh: true, Reader: "edge-00"}
			version := 12
			switch i {
			case 0:
				status = mesh.NodeStatus{Followers: 4, Reading: "all", Fresh: true, Reader: "edge-00"}
			case 3:
				version = 11
			case 5:
				status = mesh.NodeStatus{Reading: "once", AgeMs: 31200, Reader: "edge-00"}
			}
			vars := map[string]any{"configuration_version": version, "mesh": map[string]any{"part": status}}
			if i != 3 && i != 7 { // the builds of these two do not report their version
				vars["build"], vars["speaks"] = "0.1.0-049c5c6", 1
			}
			if i < 2 {
				vars["duties"] = map[string]any{"leases": map[string]any{"usage": map[string]any{"holder": "edge-00", "fence": 31, "held": i == 0}}}
			}
			_ = json.NewEncoder(w).Encode(vars)
		})
		host := fmt.Sprintf("127.9.1.%d:", i+1)
		l, err := net.Listen("tcp", host+orDefault(port, "0"))
		must.NoError(t, err)
		_, port, err = net.SplitHostPort(l.Addr().String())
		must.NoError(t, err)
		server := &httptest.Server{Listener: l, Config: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}}
		server.Start()
		t.Cleanup(server.Close)
	}
	var out bytes.Buffer
	cmd := command()
	cmd.Writer = &out
	must.NoError(t, cmd.Run(t.Context(), []string{"vaneyoke", "fleet", "--admin", "127.9.1.1:" + port, "--wait", "5s"}))
	must.EqOp(t, `nodes      40 registered, 39 answered
version    12 at 38
version    11 at 1: edge-03
build      0.1.0-049c5c6, speaks 1, at 37
build      an earlier one, speaks 0, at 2: edge-03, edge-07
reads      edge-00
duty       usage: held by edge-00, token 31
confirmed  by the store to edge-00
old        tables of edge-05
silent     edge-39
followers  at most 4 (edge-00)
`, out.String())

	out.Reset()
	must.NoError(t, cmd.Run(t.Context(), []string{"vaneyoke", "fleet", "--json", "--admin", "127.9.1.1:" + port}))
	var state fleetState
	must.NoError(t, json.Unmarshal(out.Bytes(), &state))
	must.Len(t, nodes, state.Nodes)
	must.EqOp(t, 31200, state.Nodes[5].Status.AgeMs)

	must.Error(t, command().Run(t.Context(), []string{"vaneyoke", "fleet", "--admin", "nowhere"}))
}

func orDefault(given, fallback string) string {
	if given == "" {
		return fallback
	}
	return given
}

// TestLongNameListsAreShortened checks that the length of a line does not grow with the fleet.
func TestLongNameListsAreShortened(t *testing.T) {
	var nodes []nodeState
	must.EqOp(t, "nobody", joinNodeNames(nodes))
	for i := range 300 {
		nodes = append(nodes, nodeState{VM: vaneyoke.VMID(fmt.Sprint(i))})
	}
	must.EqOp(t, "0, 1, 2, 3, 4, 5, 6, 7 and 292 more", joinNodeNames(nodes))
}
