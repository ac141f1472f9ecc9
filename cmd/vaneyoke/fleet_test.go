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

// TestFleetInOneScreen asks nodes of which one is behind, one has old tables and one does not answer.
func TestFleetInOneScreen(t *testing.T) {
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
			part := mesh.NodeStatus{Source: "edge-00", Reading: "nothing", Fresh: true, Reader: "edge-00"}
			version := 12
			switch i {
			case 0:
				part = mesh.NodeStatus{Followers: 4, Reading: "all", Fresh: true, Reader: "edge-00"}
			case 3:
				version = 11
			case 5:
				part = mesh.NodeStatus{Reading: "once", AgeMs: 31200, Reader: "edge-00"}
			}
			vars := map[string]any{"configuration_version": version, "mesh": map[string]any{"part": part}}
			if i != 3 && i != 7 { // the builds of these two do not tell
				vars["build"], vars["speaks"] = "0.1.0-049c5c6", 1
			}
			if i < 2 {
				vars["duties"] = map[string]any{"leases": map[string]any{"usage": map[string]any{"holder": "edge-00", "fence": 31, "held": i == 0}}}
			}
			_ = json.NewEncoder(w).Encode(vars)
		})
		host := fmt.Sprintf("127.9.1.%d:", i+1)
		l, err := net.Listen("tcp", host+either(port, "0"))
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
	var belief fleetBelief
	must.NoError(t, json.Unmarshal(out.Bytes(), &belief))
	must.Len(t, nodes, belief.Nodes)
	must.EqOp(t, 31200, belief.Nodes[5].Part.AgeMs)

	must.Error(t, command().Run(t.Context(), []string{"vaneyoke", "fleet", "--admin", "nowhere"}))
}

func either(given, other string) string {
	if given == "" {
		return other
	}
	return given
}

// TestNamesBeyondAFew holds that a line does not grow with the fleet.
func TestNamesBeyondAFew(t *testing.T) {
	var nodes []nodeBelief
	must.EqOp(t, "nobody", namesOf(nodes))
	for i := range 300 {
		nodes = append(nodes, nodeBelief{VM: vaneyoke.VMID(fmt.Sprint(i))})
	}
	must.EqOp(t, "0, 1, 2, 3, 4, 5, 6, 7 and 292 more", namesOf(nodes))
}
