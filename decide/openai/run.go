package openai

import "github.com/vaneyoke/vaneyoke"

// Paths of the engines' API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
)

// EngineRequest is the body of one attempt and the path that it goes to.
type EngineRequest struct {
	Path   string
	Fields vaneyoke.Fields
}

// notForEngine names the members that the node carries out itself.
var notForEngine = []string{"stop", "include_stop_str_in_output", "stream_options", "user", "priority"}

// chatOnly names the members that the completions endpoint does not know.
var chatOnly = []string{
	"messages", "max_completion_tokens", "chat_template", "chat_template_kwargs", "add_generation_prompt",
	"continue_final_message", "tools", "tool_choice", "response_format", "documents",
}

// StreamRequest returns the attempt that gives the answer from index given on; prefix is empty for the first token on.
func StreamRequest(req *vaneyoke.Request, prefix []vaneyoke.TokenID, given vaneyoke.Tokens) EngineRequest {
	fields := req.Fields.Clone()
	for _, name := range notForEngine {
		delete(fields, name)
	}
	fields.Set("stream", true)
	fields.Set("return_token_ids", true)
	setPriority(fields, req)
	if req.MaxTokens > 0 {
		setLimit(fields, req.MaxTokens-given)
	}
	if len(prefix) == 0 {
		return EngineRequest{Path: path(req.Endpoint), Fields: fields}
	}
	return continued(req, fields, prefix, given)
}

func continued(req *vaneyoke.Request, fields vaneyoke.Fields, prefix []vaneyoke.TokenID, given vaneyoke.Tokens) EngineRequest {
	for _, name := range chatOnly {
		delete(fields, name)
	}
	fields.Set("prompt", prefix)
	fields.Set("add_special_tokens", false)
	if req.MinTokens > 0 {
		fields.Set("min_tokens", max(req.MinTokens-given, 0))
	}
	return EngineRequest{Path: PathCompletions, Fields: fields}
}

// setPriority tells the engine the priority that a policy gave.
func setPriority(fields vaneyoke.Fields, req *vaneyoke.Request) {
	if req.Priority != 0 {
		fields.Set("priority", req.Priority)
	}
}

// setLimit keeps the limit under the one name that both endpoints know.
func setLimit(fields vaneyoke.Fields, limit vaneyoke.Tokens) {
	delete(fields, "max_completion_tokens")
	fields.Set("max_tokens", limit)
}

// NonStreamRequest returns the attempt that gives the whole answer in one body.
func NonStreamRequest(req *vaneyoke.Request) EngineRequest {
	fields := req.Fields.Clone()
	delete(fields, "stream_options")
	delete(fields, "priority")
	fields.Set("stream", false)
	setPriority(fields, req)
	return EngineRequest{Path: path(req.Endpoint), Fields: fields}
}

func path(endpoint vaneyoke.Endpoint) string {
	if endpoint == vaneyoke.EndpointChat {
		return PathChat
	}
	return PathCompletions
}
