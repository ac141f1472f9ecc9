package fleet_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/check"
	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

// Guards against a generation that ends without text and whose caller gets no answer or no end.
func TestAnswerWithoutTextHasNoEnd(t *testing.T) {
	f := start(t, func(c *fleet.Config) { c.AdjustSettings = withoutTimeouts })
	req, _ := prompt("say nothing length=0")
	for name, header := range map[string]http.Header{"once": nil, "resumable": {"Idempotency-Key": {"key-empty"}}} {
		t.Run(name, func(t *testing.T) {
			for range 2 { // the second time it is kept
				s, err := client.New(http.DefaultClient, f.Nodes[0].URL(), fleet.CallerKey).Generate(t.Context(), req, header)
				must.NoError(t, err)
				text, reason := read(t, s, nil)
				must.EqOp(t, "", text)
				must.EqOp(t, vaneyoke.FinishStop, reason)
			}
		})
	}
	t.Run("in one body", func(t *testing.T) {
		body, err := json.Marshal(req)
		must.NoError(t, err)
		post, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.Nodes[0].URL()+"/v1/chat/completions", strings.NewReader(string(body)))
		must.NoError(t, err)
		post.Header.Set("Authorization", "Bearer "+fleet.CallerKey)
		post.Header.Set("Content-Type", "application/json")
		res, err := http.DefaultClient.Do(post)
		must.NoError(t, err)
		defer func() { _ = res.Body.Close() }()
		must.EqOp(t, http.StatusOK, res.StatusCode)
		var answer struct {
			Choices []struct {
				Message struct{ Content string }
				Reason  vaneyoke.FinishReason `json:"finish_reason"`
			}
		}
		must.NoError(t, json.NewDecoder(res.Body).Decode(&answer))
		must.Len(t, 1, answer.Choices)
		must.EqOp(t, "", answer.Choices[0].Message.Content)
		must.EqOp(t, vaneyoke.FinishStop, answer.Choices[0].Reason)
	})
}

// Guards against a caller who comes back after the last text of its answer, whose end it did not get, and gets no end, or text again.
func TestCallerBackAfterItsLastTextGetsNoEnd(t *testing.T) {
	for name, fault := range map[string]func(*fleet.Fleet){
		"caller reconnects":           func(*fleet.Fleet) {},
		"owner is killed":             func(f *fleet.Fleet) { f.Nodes[0].Kill() },
		"owner and engine are killed": func(f *fleet.Fleet) { f.Nodes[0].Kill(); killEngines(f) },
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, func(c *fleet.Config) { c.Nodes = 4; c.AdjustSettings = withoutTimeouts })
			c := newCaller(t, f, "key-1")
			s, err := c.connect(0)
			must.NoError(t, err)
			for whole := false; !whole; {
				must.NoError(t, c.read(s, 1))
				report, err := check.Answer(c.ids, c.text.String())
				whole = err == nil && report.Tokens >= answerTokens
			}
			_ = s.Close()
			fault(f)
			s, err = c.connect(1)
			must.NoError(t, err)
			c.readAll(s)
		})
	}
}

// killEngines kills all engines but one.
func killEngines(f *fleet.Fleet) {
	for _, e := range f.Engines[1:] {
		e.Kill(nil)
	}
}
