package fleet_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	gpt "github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/callerapi"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/tools/check"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
	"github.com/vaneyoke/vaneyoke/tools/standin"
)

func officialClient(f *fleet.Fleet) gpt.Client {
	return gpt.NewClient(option.WithBaseURL(f.Nodes[0].URL()+"/v1"), option.WithAPIKey(fleet.CallerKey), option.WithMaxRetries(0))
}

func TestOfficialClient(t *testing.T) {
	f := start(t, func(c *fleet.Config) { c.AdjustSettings = withoutTimeouts })
	official := officialClient(f)
	messages := []gpt.ChatCompletionMessageParamUnion{gpt.UserMessage("describe length=40")}
	params := gpt.ChatCompletionNewParams{Model: string(fleet.Model), Messages: messages}
	ids := check.Tokenize(standin.ChatPrompt([]openai.Message{{Role: "user", Content: "describe length=40"}}))

	t.Run("whole chat", func(t *testing.T) {
		res, err := official.Chat.Completions.New(t.Context(), params)
		must.NoError(t, err)
		report, err := check.Answer(ids, res.Choices[0].Message.Content)
		must.NoError(t, err)
		must.EqOp(t, int64(report.Tokens), res.Usage.CompletionTokens)
		must.EqOp(t, int64(len(ids)), res.Usage.PromptTokens)
		must.EqOp(t, "stop", res.Choices[0].FinishReason)
	})
	t.Run("streamed chat with usage", func(t *testing.T) {
		streamed := params
		streamed.StreamOptions = gpt.ChatCompletionStreamOptionsParam{IncludeUsage: gpt.Bool(true)}
		stream := official.Chat.Completions.NewStreaming(t.Context(), streamed)
		var acc gpt.ChatCompletionAccumulator
		for stream.Next() {
			must.True(t, acc.AddChunk(stream.Current()))
		}
		must.NoError(t, stream.Err())
		report, err := check.Answer(ids, acc.Choices[0].Message.Content)
		must.NoError(t, err)
		must.EqOp(t, int64(report.Tokens), acc.Usage.CompletionTokens)
	})
	t.Run("limit", func(t *testing.T) {
		limited := params
		limited.MaxCompletionTokens = gpt.Int(7)
		res, err := official.Chat.Completions.New(t.Context(), limited)
		must.NoError(t, err)
		must.EqOp(t, int64(7), res.Usage.CompletionTokens)
		must.EqOp(t, "length", res.Choices[0].FinishReason)
	})
	t.Run("stop string", func(t *testing.T) {
		whole, err := official.Chat.Completions.New(t.Context(), params)
		must.NoError(t, err)
		stopped := params
		stopped.Stop = gpt.ChatCompletionNewParamsStopUnion{OfStringArray: []string{"é"}}
		res, err := official.Chat.Completions.New(t.Context(), stopped)
		must.NoError(t, err)
		must.EqOp(t, "stop", res.Choices[0].FinishReason)
		must.StrNotContains(t, res.Choices[0].Message.Content, "é")
		must.Less(t, len(whole.Choices[0].Message.Content), len(res.Choices[0].Message.Content))
	})
	t.Run("tools", func(t *testing.T) {
		tools := params
		tools.Tools = []gpt.ChatCompletionToolUnionParam{gpt.ChatCompletionFunctionTool(gpt.FunctionDefinitionParam{Name: "lookup"})}
		stream := official.Chat.Completions.NewStreaming(t.Context(), tools)
		var acc gpt.ChatCompletionAccumulator
		for stream.Next() {
			must.True(t, acc.AddChunk(stream.Current()))
		}
		must.NoError(t, stream.Err())
		must.EqOp(t, "lookup", acc.Choices[0].Message.ToolCalls[0].Function.Name)
		must.EqOp(t, "tool_calls", acc.Choices[0].FinishReason)
	})
	t.Run("completions", func(t *testing.T) {
		res, err := official.Completions.New(t.Context(), gpt.CompletionNewParams{
			Model:  gpt.CompletionNewParamsModel(fleet.Model),
			Prompt: gpt.CompletionNewParamsPromptUnion{OfString: gpt.String("plain prompt")},
		})
		must.NoError(t, err)
		must.EqOp(t, 16, int(res.Usage.CompletionTokens))
	})
	t.Run("models", func(t *testing.T) {
		page, err := official.Models.List(t.Context())
		must.NoError(t, err)
		must.EqOp(t, string(fleet.Model), page.Data[0].ID)
	})
}

func TestBadRequests(t *testing.T) {
	f := start(t, func(c *fleet.Config) {
		c.AdjustSettings = func(s *settings.Settings) { s.Limits.BodyBytes = 2000; s.Limits.MaxWait = 200 * time.Millisecond }
	})
	chat := `{"model":"reconcile-1","messages":[{"role":"user","content":"x"}]`
	cases := map[string]struct {
		path, key, body string
		code            vaneyoke.Code
		param           string
	}{
		"no key":         {openai.PathChat, "", chat + "}", vaneyoke.CodeNoKey, ""},
		"unknown key":    {openai.PathChat, "x", chat + "}", vaneyoke.CodeUnknownKey, ""},
		"operator's key": {openai.PathChat, fleet.OperatorKey, chat + "}", vaneyoke.CodeForbidden, ""},
		"no JSON":        {openai.PathChat, fleet.CallerKey, "{", vaneyoke.CodeBadRequest, "body"},
		"wrong type":     {openai.PathChat, fleet.CallerKey, chat + `,"max_tokens":"many"}`, vaneyoke.CodeBadRequest, "body.max_tokens"},
		"bad limit":      {openai.PathChat, fleet.CallerKey, chat + `,"max_tokens":0}`, vaneyoke.CodeBadRequest, "body.max_tokens"},
		"bad stop":       {openai.PathChat, fleet.CallerKey, chat + `,"stop":7}`, vaneyoke.CodeBadRequest, "body.stop"},
		"no messages":    {openai.PathChat, fleet.CallerKey, `{"model":"reconcile-1"}`, vaneyoke.CodeBadRequest, "body.messages"},
		"no model":       {openai.PathChat, fleet.CallerKey, `{"messages":[]}`, vaneyoke.CodeBadRequest, "body.model"},
		"no prompt":      {openai.PathCompletions, fleet.CallerKey, `{"model":"reconcile-1"}`, vaneyoke.CodeBadRequest, "body.prompt"},
		"unknown model":  {openai.PathChat, fleet.CallerKey, strings.Replace(chat, "reconcile-1", "x", 1) + "}", vaneyoke.CodeUnknownModel, ""},
		"too large":      {openai.PathChat, fleet.CallerKey, chat + `,"pad":"` + strings.Repeat("x", 3000) + `"}`, vaneyoke.CodeBodyTooLarge, ""},
		"no service":     {"/v1/services/none/call", fleet.CallerKey, "{}", vaneyoke.CodeUnknownModel, ""},
		"no path":        {"/v2/none", fleet.CallerKey, "{}", vaneyoke.CodeNotFound, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.Nodes[0].URL()+tc.path, bytes.NewBufferString(tc.body))
			must.NoError(t, err)
			if tc.key != "" {
				req.Header.Set("Authorization", "Bearer "+tc.key)
			}
			res, err := http.DefaultClient.Do(req)
			must.NoError(t, err)
			defer func() { _ = res.Body.Close() }()
			var body callerapi.ErrorBody
			must.NoError(t, json.NewDecoder(res.Body).Decode(&body))
			must.EqOp(t, tc.code.Info().Name, body.Failure.Type)
			must.EqOp(t, tc.code.Info().Status, res.StatusCode)
			must.EqOp(t, tc.param, body.Failure.Param)
			must.True(t, body.Failure.NotRun)
		})
	}
	must.Zero(t, totalRuns(f))
}
