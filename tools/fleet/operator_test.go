package fleet_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

// operatorCall is a call of the operator API.
type operatorCall struct {
	method, path, key, ifMatch, idempotencyKey string
	body                                       any
}

// callOperatorAPI sends a call to a node, and returns the name of the result code and the body of the answer.
func callOperatorAPI(t testing.TB, f *fleet.Fleet, node int, o operatorCall) (code string, body []byte) {
	t.Helper()
	raw, err := json.Marshal(o.body)
	must.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), o.method, f.Nodes[node].AdminURL()+o.path, bytes.NewReader(raw))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+o.key)
	req.Header.Set("Content-Type", "application/json")
	if o.ifMatch != "" {
		req.Header.Set("If-Match", o.ifMatch)
	}
	if o.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", o.idempotencyKey)
	}
	res, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(res.Body)
	must.NoError(t, err)
	var failure struct {
		Error struct{ Type, Message string } `json:"error"`
	}
	if res.StatusCode >= http.StatusBadRequest {
		must.NoError(t, json.Unmarshal(body, &failure))
		return failure.Error.Type, body
	}
	return "ok", body
}

func submitPolicy(name, wait string) operatorCall {
	text := fmt.Sprintf("[policy]\nname = %s\n[rule.all]\nwait = %s\n", name, wait)
	return operatorCall{method: http.MethodPut, path: "/v1/policies/" + name, key: fleet.OperatorKey, body: map[string]string{"text": text}}
}

// startMembers starts a fleet and waits until all its nodes have joined the members.
func startMembers(t *testing.T, nodes int, adjust func(*settings.Settings)) *fleet.Fleet {
	f := start(t, func(c *fleet.Config) {
		c.Nodes = nodes
		c.AdjustSettings = func(s *settings.Settings) {
			withoutTimeouts(s)
			s.Platform.Poll = 50 * time.Millisecond
			if adjust != nil {
				adjust(s)
			}
		}
	})
	for len(f.Platform.RowIDs("node")) < nodes {
		must.NoError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
	joined, err := catalog.ReadRevision(t.Context(), f.Platform.Memory)
	must.NoError(t, err)
	for _, n := range f.Nodes { // a node that has not read the list of members cannot be confirmed by them later
		for n.Revision() < joined {
			must.NoError(t, t.Context().Err())
			time.Sleep(time.Millisecond)
		}
	}
	return f
}

func TestOperatorsChangeTheFleet(t *testing.T) {
	f := startMembers(t, 3, nil)
	revise := func(name, wait, version string) operatorCall {
		o := submitPolicy(name, wait)
		o.ifMatch = version
		return o
	}
	once := submitPolicy("c", "3s")
	once.idempotencyKey = "key-1"
	other := submitPolicy("d", "3s")
	other.idempotencyKey = "key-1"
	good, err := os.ReadFile("../../docs/examples/souk.ini")
	must.NoError(t, err)
	upstream := f.Upstreams()[0]
	upstream.ID = "engine-9"
	steps := []struct {
		name     string
		call     operatorCall
		want     string
		contains string // expected in the body
	}{
		{"submit", submitPolicy("a", "1s"), "ok", `"nodes":3`},
		{"submit again without a version", submitPolicy("a", "2s"), "conflict", "it was changed by souk/operator/"},
		{"revise", revise("a", "2s", `"1"`), "ok", ""},
		{"revise an old version", revise("a", "3s", `"1"`), "conflict", ""},
		{"no version", revise("a", "3s", "newest"), "bad_request", "If-Match"},
		{"program with problems", submitPolicy("a", "soon"), "bad_policy", "must be a duration"},
		{"name differs", func() operatorCall { o := submitPolicy("b", "1s"); o.path = "/v1/policies/x"; return o }(), "bad_policy", "is b and not x"},
		{"with a key", once, "ok", ""},
		{"again with the key", once, "ok", ""},
		{"the key for another change", other, "conflict", "used for another change"},
		{"caller submits", func() operatorCall { o := submitPolicy("e", "1s"); o.key = fleet.CallerKey; return o }(), "forbidden", ""},
		{"stranger submits", func() operatorCall { o := submitPolicy("e", "1s"); o.key = "x"; return o }(), "unknown_key", ""},
		{"operator registers", operatorCall{method: http.MethodPut, path: "/v1/upstreams/engine-9", key: fleet.OperatorKey, body: upstream}, "forbidden", ""},
		{"administrator registers", operatorCall{method: http.MethodPut, path: "/v1/upstreams/engine-9", key: fleet.AdminKey, body: upstream}, "ok", ""},
		{"drain", operatorCall{method: http.MethodPost, path: "/v1/upstreams/engine-9/drain", key: fleet.OperatorKey}, "ok", ""},
		{"list", operatorCall{method: http.MethodGet, path: "/v1/upstreams", key: fleet.OperatorKey}, "ok", `"state":"leaving"`},
		{"remove", operatorCall{method: http.MethodDelete, path: "/v1/upstreams/engine-9", key: fleet.AdminKey}, "ok", ""},
		{"remove again", operatorCall{method: http.MethodDelete, path: "/v1/upstreams/engine-9", key: fleet.AdminKey}, "not_found", ""},
		{"withdraw", operatorCall{method: http.MethodDelete, path: "/v1/policies/a", key: fleet.OperatorKey}, "ok", ""},
		{"check", operatorCall{method: http.MethodPost, path: "/v1/check", key: fleet.OperatorKey, body: map[string]string{"text": string(good)}}, "ok", "no upstream matches engine-3"},
		{"explain", operatorCall{method: http.MethodPost, path: "/v1/explain", key: fleet.OperatorKey, body: map[string]string{"workspace": "souk"}}, "ok", `"rule":"c/all"`},
		{"create workspace", operatorCall{method: http.MethodPut, path: "/v1/workspaces/potters", key: fleet.AdminKey, body: map[string]string{"recovery": "frugal"}}, "ok", ""},
		{"create key", operatorCall{method: http.MethodPost, path: "/v1/workspaces/potters/keys", key: fleet.AdminKey, body: map[string]any{"role": "operator", "scope": []string{"potters"}}}, "ok", `"key":"vy-`},
		{"list workspaces", operatorCall{method: http.MethodGet, path: "/v1/workspaces?limit=1", key: fleet.OperatorKey}, "ok", `"next":"potters"`},
		{"status", operatorCall{method: http.MethodGet, path: "/v1/status", key: fleet.OperatorKey}, "ok", `"behind":0`},
		{"audit", operatorCall{method: http.MethodGet, path: "/v1/audit", key: fleet.OperatorKey}, "ok", "withdraw policy a"},
	}
	for i, s := range steps {
		code, body := callOperatorAPI(t, f, i%3, s.call)
		must.EqOp(t, s.want, code, must.Sprintf("%s: %s", s.name, body))
		must.StrContains(t, string(body), s.contains)
	}
}

func TestWorkspaceOperatorIsScoped(t *testing.T) {
	f := startMembers(t, 1, nil)
	code, _ := callOperatorAPI(t, f, 0, operatorCall{method: http.MethodPut, path: "/v1/workspaces/potters", key: fleet.AdminKey, body: map[string]string{"recovery": "fast"}})
	must.EqOp(t, "ok", code)
	code, body := callOperatorAPI(t, f, 0, operatorCall{method: http.MethodPost, path: "/v1/workspaces/potters/keys", key: fleet.AdminKey, body: map[string]any{"role": "operator", "scope": []string{"potters"}}})
	must.EqOp(t, "ok", code, must.Sprint(string(body)))
	var key struct{ Key string }
	must.NoError(t, json.Unmarshal(body, &key))
	for workspaces, want := range map[string]string{"potters": "ok", "souk": "forbidden", "*": "forbidden"} {
		o := submitPolicy("p", "1s")
		o.key = key.Key
		o.body = map[string]string{"text": "[policy]\nname = p\nworkspaces = " + workspaces + "\n[rule.r]\nwait = 1s\n"}
		code, body := callOperatorAPI(t, f, 0, o)
		must.EqOp(t, want, code, must.Sprint(string(body)))
	}
}

// TestConcurrentPolicySubmissions checks that exactly one of many concurrent submissions of a policy is accepted, even if the store's replies are lost.
func TestConcurrentPolicySubmissions(t *testing.T) {
	const operators = 12
	f := startMembers(t, 3, nil)
	f.Platform.LoseReplies(5)
	var mu sync.Mutex
	codes := map[string]int{}
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() {
			code, _ := callOperatorAPI(t, f, i%3, submitPolicy("contested", fmt.Sprintf("%ds", i+1)))
			mu.Lock()
			defer mu.Unlock()
			codes[code]++
		})
	}
	wait.Wait()
	must.MapEq(t, map[string]int{"ok": 1, "conflict": operators - 1}, codes)
	must.SliceLen(t, 1, f.Platform.RowIDs("policy"))
}

// TestAcceptedPolicyIsActiveAtOtherNodes checks that a policy is active at the other nodes as soon as it is accepted, while they cannot read the store,
// and that no policy is accepted while the store is down.
func TestAcceptedPolicyIsActiveAtOtherNodes(t *testing.T) {
	f := startMembers(t, 3, nil)
	code, _ := callOperatorAPI(t, f, 0, submitPolicy("early", "1s"))
	must.EqOp(t, "ok", code)
	f.Platform.SetDown(true)
	defer f.Platform.SetDown(false)
	active := 0
	for i := range f.Nodes {
		_, body := callOperatorAPI(t, f, i, operatorCall{method: http.MethodGet, path: "/v1/policies", key: fleet.OperatorKey})
		if strings.Contains(string(body), `"early"`) {
			active++
		}
	}
	must.GreaterEq(t, 2, active)
	code, _ = callOperatorAPI(t, f, 0, submitPolicy("late", "1s"))
	must.EqOp(t, "store_down", code)
	must.SliceLen(t, 1, f.Platform.RowIDs("policy"))
}

// TestFleetServesWhileTheStoreIsDown sets a short validity of confirmations, so that the nodes must confirm one another's configuration.
func TestFleetServesWhileTheStoreIsDown(t *testing.T) {
	f := startMembers(t, 3, func(s *settings.Settings) { s.Platform.Fresh = 3 * time.Second })
	f.Platform.SetDown(true)
	deadline := time.Now().Add(4 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	c := newCaller(t, f, "down-1")
	s, err := c.connect(1)
	must.NoError(t, err)
	c.readAll(s)
	f.Nodes[0].Kill()
	f.Nodes[1].Kill()
	isolated := newCaller(t, f, "down-2")
	for err == nil {
		_, err = isolated.connect(2)
		time.Sleep(50 * time.Millisecond)
	}
	must.StrContains(t, err.Error(), vaneyoke.CodeNotFresh.Info().Name)
}

// TestNodeStartsWhileTheTableIsDown checks that a new node takes the configuration from the other nodes.
func TestNodeStartsWhileTheTableIsDown(t *testing.T) {
	f := startMembers(t, 3, nil)
	f.Platform.SetTableDown(true)
	must.NoError(t, f.StartNode(t.Context(), 3))
	c := newCaller(t, f, "new-1")
	var s *client.Stream
	err := io.EOF
	for err != nil { // the delay between attempts leaves the new node enough processor time to query the others
		must.NoError(t, t.Context().Err())
		time.Sleep(50 * time.Millisecond)
		s, err = c.connect(3)
	}
	c.readAll(s)
}

// TestNodeStartedWhilePlatformDownRefusesRequests starts a node that can read neither the configuration nor the list of VMs.
func TestNodeStartedWhilePlatformDownRefusesRequests(t *testing.T) {
	f := startMembers(t, 3, nil)
	f.Platform.SetDown(true)
	must.NoError(t, f.StartNode(t.Context(), 3))
	_, err := newCaller(t, f, "new-2").connect(3)
	must.ErrorContains(t, err, vaneyoke.CodeNotFresh.Info().Name)
}
