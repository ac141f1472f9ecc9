package openai_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
)

// FuzzRequests parses arbitrary bodies. For each accepted one, the limits must be valid and the body for the engine must be valid JSON.
func FuzzRequests(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, endpoint := range []vaneyoke.Endpoint{vaneyoke.EndpointChat, vaneyoke.EndpointCompletions} {
			req, err := openai.ParseRequest(endpoint, raw)
			if err != nil {
				continue
			}
			must.GreaterEq(t, 0, req.MaxTokens)
			body, err := json.Marshal(openai.NonStreamRequest(&req).Fields)
			must.NoError(t, err)
			must.True(t, json.Valid(body))
		}
	})
}
