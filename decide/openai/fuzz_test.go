package openai_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
)

// FuzzRequests reads any body of a caller's; what is let through is within bounds, and an engine is sent a body that can be read.
func FuzzRequests(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, endpoint := range []vaneyoke.Endpoint{vaneyoke.EndpointChat, vaneyoke.EndpointCompletions} {
			req, err := openai.ParseRequest(endpoint, raw)
			if err != nil {
				continue
			}
			must.GreaterEq(t, 0, req.MaxTokens)
			run, err := json.Marshal(openai.NonStreamRequest(&req).Fields)
			must.NoError(t, err)
			must.True(t, json.Valid(run))
		}
	})
}
