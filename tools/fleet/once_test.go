package fleet_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
	"github.com/vaneyoke/vaneyoke/tools/standin"
)

// callResult calls the service with an order, and returns the name of the result code, or "ok" for an answer.
func callResult(t *testing.T, f *fleet.Fleet, node int, key, order string) string {
	t.Helper()
	c := client.New(http.DefaultClient, f.Nodes[node].URL(), fleet.CallerKey)
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	raw, err := c.Call(t.Context(), fleet.Service, "reserve", []byte(`{"order":"`+order+`"}`), header)
	if failed, ok := errors.AsType[*client.FailedError](err); ok {
		return failed.Detail.Type
	}
	must.NoError(t, err)
	var answer standin.ServiceAnswer
	must.NoError(t, json.Unmarshal(raw, &answer))
	must.EqOp(t, order, answer.Order)
	must.EqOp(t, 1, answer.Runs)
	return "ok"
}

const neverAnswers = "service never answers"

// call is one call of a test case: the fault injected before it, the node that receives it, and the expected result.
type call struct {
	before func(f *fleet.Fleet)
	node   int
	key    string
	order  string
	want   string
}

func TestRunsAtMostOnce(t *testing.T) {
	nothing := func(*fleet.Fleet) {}
	kill := func(f *fleet.Fleet) { postFault(t, f.Services[0].URL(), `{"fault":"kill"}`) }
	restore := func(f *fleet.Fleet) { postFault(t, f.Services[0].URL(), `{"fault":"restore"}`) }
	down := func(f *fleet.Fleet) { f.Platform.SetDown(true) }
	up := func(f *fleet.Fleet) { f.Platform.SetDown(false) }
	loseReply := func(f *fleet.Fleet) { f.Platform.LoseReplies(1) }
	slow := func(f *fleet.Fleet) { f.Services[0].SetDelay(time.Hour) }
	closeService := func(f *fleet.Fleet) { _ = f.Services[0].Close() }
	cases := map[string]struct {
		calls []call
		runs  int
	}{
		"repeat at the same node":          {[]call{{nothing, 0, "k", "a", "ok"}, {nothing, 0, "k", "a", "ok"}}, 1},
		"repeat at another node":           {[]call{{nothing, 0, "k", "a", "ok"}, {nothing, 1, "k", "a", "ok"}}, 1},
		"key for another order":            {[]call{{nothing, 0, "k", "a", "ok"}, {nothing, 1, "k", "b", "conflict"}}, 1},
		"reply of the claim is lost":       {[]call{{loseReply, 0, "k", "a", "ok"}, {nothing, 1, "k", "a", "ok"}}, 1},
		"store is down":                    {[]call{{down, 0, "k", "a", "claim_unknown"}, {down, 1, "k", "a", "claim_unknown"}}, 0},
		"store was down":                   {[]call{{down, 0, "k", "a", "claim_unknown"}, {up, 1, "k2", "a", "ok"}}, 1},
		"service is killed in the call":    {[]call{{kill, 0, "k", "a", "may_have_run"}, {restore, 1, "k", "a", "may_have_run"}}, 0},
		neverAnswers:                       {[]call{{slow, 0, "k", "a", "may_have_run"}, {nothing, 1, "k", "a", "may_have_run"}}, 1},
		"service cannot be reached":        {[]call{{closeService, 0, "k", "a", "no_upstream"}, {nothing, 1, "k", "a", "no_upstream"}}, 0},
		"without a key, service is killed": {[]call{{kill, 0, "", "a", "may_have_run"}}, 0},
		"without a key, store down":        {[]call{{down, 0, "", "a", "ok"}}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := start(t, func(c *fleet.Config) {
				c.AdjustSettings = func(s *settings.Settings) {
					s.Limits.MaxWait = 300 * time.Millisecond
					s.Limits.CallSilence = time.Hour
					s.Platform.Fresh = time.Hour
					if name == neverAnswers {
						s.Limits.CallSilence, s.Recovery.Patience = 200*time.Millisecond, 1
					}
				}
			})
			for i, c := range tc.calls {
				c.before(f)
				must.EqOp(t, c.want, callResult(t, f, c.node, c.key, c.order), must.Sprintf("call %d", i))
				waitAnswerSaved(t, f, c)
			}
			total := 0
			for _, runs := range f.Services[0].Orders() {
				total += runs
			}
			must.EqOp(t, tc.runs, total)
		})
	}
}

// waitAnswerSaved waits until the answer is saved in the table; the caller itself does not wait for that.
func waitAnswerSaved(t *testing.T, f *fleet.Fleet, c call) {
	t.Helper()
	if c.want != "ok" || c.key == "" {
		return
	}
	for !f.Platform.RowContains("claim", "souk/"+c.key, "done") {
		must.NoError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
}

func postFault(t *testing.T, url, body string) {
	t.Helper()
	res, err := http.Post(url+"/standin/fault", "application/json", strings.NewReader(body))
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, res.StatusCode)
	_ = res.Body.Close()
}

// TestLateAnswerIsKeptForReturningCaller guards against losing the answer of a call, or running it twice, when its caller disconnects while it runs.
func TestLateAnswerIsKeptForReturningCaller(t *testing.T) {
	f := start(t, func(c *fleet.Config) {
		c.AdjustSettings = func(s *settings.Settings) { s.Limits.CallSilence = time.Hour; s.Platform.Fresh = time.Hour }
	})
	f.Services[0].SetDelay(300 * time.Millisecond)
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		for len(f.Services[0].Orders()) == 0 && t.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		leave()
	}()
	c := client.New(http.DefaultClient, f.Nodes[0].URL(), fleet.CallerKey)
	_, err := c.Call(ctx, fleet.Service, "reserve", []byte(`{"order":"a"}`), http.Header{"Idempotency-Key": {"k"}})
	must.ErrorIs(t, err, context.Canceled)
	for got := ""; got != "ok"; got = callResult(t, f, 1, "k", "a") {
		must.SliceContains(t, []string{"", "may_have_run"}, got)
		must.NoError(t, t.Context().Err())
		time.Sleep(10 * time.Millisecond)
	}
	must.MapEq(t, map[string]int{"a": 1}, f.Services[0].Orders())
}
