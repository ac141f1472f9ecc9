package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
)

const (
	publishedAdmission = `{"queues":{"services":[{"service":"lm","mode":"ranked","drain":900.5,"waiting":[
		{"route":"tell","workspace":"a","requests":3,"tokens":9000,"oldest_ms":2400},{"route":"tell","workspace":"b","requests":1,"tokens":100,"oldest_ms":50}]}],
		"caps":[{"workspace":"a","share":0.2}]},"rejected_total":{"tell early":4,"look early":1,"tell capped":7},"decisions_total":{"rejected":12}}`
	publishedCaps = `{"in_force":[{"workspace":"a","share":0.2},{"route":"tell","share":0}],"rows_skipped":1}`
)

// TestFleetShowsLoad sums up the queues, rejections and caps of nodes; one has not seen a cap yet, and one has an earlier build.
func TestFleetShowsLoad(t *testing.T) {
	nodes := []nodeState{
		{Load: readLoad(json.RawMessage(publishedAdmission), json.RawMessage(publishedCaps))},
		{Load: readLoad(json.RawMessage(publishedAdmission), json.RawMessage(`{"in_force":[{"workspace":"a","share":0.2}]}`))},
		{Load: readLoad(nil, nil)},
	}
	var out bytes.Buffer
	printLoad(&out, nodes)
	must.EqOp(t, `waiting    8 requests, 18200 tokens, oldest 2.4 s
queue      service lm, route tell, workspace a: 6 requests, 18000 tokens, oldest 2.4 s at 2 nodes
queue      service lm, route tell, workspace b: 2 requests, 200 tokens, oldest 0.1 s at 2 nodes
rejected   14 capped, 10 early
cap        workspace all, route tell: share 0 at 1 of 2 nodes
cap        workspace a, route all: share 0.2 at 2 of 2 nodes
`, out.String())
}

// TestUnknownFormsOfLoadBreakFleet reads variables of builds that publish nothing, or something else.
func TestUnknownFormsOfLoadBreakFleet(t *testing.T) {
	for _, published := range []string{"", "null", "[]", "7", `{"queues":[{"service":"lm"}]}`, `{"rejected_total":[1]}`, `{"queues":{"services":{}}}`} {
		var out bytes.Buffer
		printLoad(&out, []nodeState{{Load: readLoad(json.RawMessage(published), json.RawMessage(published))}})
		must.StrNotContains(t, out.String(), "queue ", must.Sprint(published))
	}
	var out bytes.Buffer
	printLoad(&out, []nodeState{{Load: readLoad(nil, nil)}})
	must.EqOp(t, "", out.String())
}

// TestLoadSummaryGrowsWithQueues checks that the length of the summary is bounded.
func TestLoadSummaryGrowsWithQueues(t *testing.T) {
	var waiting, caps []string
	for i := range 500 {
		waiting = append(waiting, fmt.Sprintf(`{"route":"r%d","workspace":"w","requests":1,"tokens":%d,"oldest_ms":1}`, i, i))
		caps = append(caps, fmt.Sprintf(`{"route":"r%d","share":0.5}`, i))
	}
	queues := `{"queues":{"services":[{"service":"s","waiting":[` + strings.Join(waiting, ",") + `]}]}}`
	var nodes []nodeState
	for i := range 20 {
		load := readLoad(json.RawMessage(queues), json.RawMessage(`{"in_force":[`+strings.Join(caps, ",")+`]}`))
		nodes = append(nodes, nodeState{VM: vaneyoke.VMID(fmt.Sprint(i)), Load: load})
	}
	var out bytes.Buffer
	printLoad(&out, nodes)
	must.LessEq(t, 2*maxQueuesShown+4, strings.Count(out.String(), "\n"))
	must.StrContains(t, out.String(), "queue      and 492 more\n")
	must.StrContains(t, out.String(), "cap        and 492 more\n")
}
