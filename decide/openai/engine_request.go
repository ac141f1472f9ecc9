package openai

import "github.com/vaneyoke/vaneyoke"

// Paths of the engines' HTTP API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
)

// EngineRequest is the body of one attempt and the path to which it is sent.
type EngineRequest struct {
	Path   string
	Fields vaneyoke.Fields
}

// nodeFields lists the members that are not copied from the caller's body to the engine, because the node implements them itself.
var nodeFields = []string{"stop", "include_stop_str_in_output", "stream_options", "user", "priority"}

// chatOnlyFields lists the members that the completions endpoint does not support.
var chatOnlyFields = []string{
	"messages", "max_completion_tokens", "chat_template", "chat_template_kwargs", "add_generation_prompt",
	"continue_final_message", "tools", "tool_choice", "response_format", "documents",
}

// StreamRequest returns the streaming attempt that continues an answer after the delivered tokens. The prefix is the prompt with these tokens;
// it is empty for an attempt from the first token.
func StreamRequest(req *vaneyoke.Request, prefix []vaneyoke.TokenID, delivered vaneyoke.Tokens) EngineRequest {
	fields := req.Fields.Clone()
	for _, name := range nodeFields {
		delete(fields, name)
	}
	fields.Set("stream", true)
	fields.Set("return_token_ids", true)
	setPriority(fields, req)
	if req.MaxTokens > 0 {
		setMaxTokens(fields, req.MaxTokens-delivered)
	}
	if len(prefix) == 0 {
		return EngineRequest{Path: path(req.Endpoint), Fields: fields}
	}
	return continuationRequest(req, fields, prefix, delivered)
}

func continuationRequest(req *vaneyoke.Request, fields vaneyoke.Fields, prefix []vaneyoke.TokenID, delivered vaneyoke.Tokens) EngineRequest {
	for _, name := range chatOnlyFields {
		delete(fields, name)
	}
	fields.Set("prompt", prefix)
	fields.Set("add_special_tokens", false)
	if req.MinTokens > 0 {
		fields.Set("min_tokens", max(req.MinTokens-delivered, 0))
	}
	return EngineRequest{Path: PathCompletions, Fields: fields}
}

// setPriority passes the priority that a policy set to the engine.
func setPriority(fields vaneyoke.Fields, req *vaneyoke.Request) {
	if req.Priority != 0 {
		fields.Set("priority", req.Priority)
	}
}

// setMaxTokens sets the limit under the name that both endpoints support.
func setMaxTokens(fields vaneyoke.Fields, limit vaneyoke.Tokens) {
	delete(fields, "max_completion_tokens")
	fields.Set("max_tokens", limit)
}

// NonStreamRequest returns the attempt whose whole answer arrives in one body.
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
