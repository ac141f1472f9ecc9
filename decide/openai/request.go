package openai

import (
	"encoding/json"
	"errors"

	"github.com/vaneyoke/vaneyoke"
)

// defaultCompletionTokens is the completions endpoint's max_tokens if the caller sets none.
const defaultCompletionTokens = 16

// body holds the members of a request body that the node itself interprets.
type body struct {
	Model               vaneyoke.ModelID `json:"model"`
	Prompt              json.RawMessage  `json:"prompt"`
	Messages            json.RawMessage  `json:"messages"`
	Stream              bool             `json:"stream"`
	StreamOptions       *streamOptions   `json:"stream_options"`
	MaxTokens           *int             `json:"max_tokens"`
	MaxCompletionTokens *int             `json:"max_completion_tokens"`
	MinTokens           int              `json:"min_tokens"`
	Stop                json.RawMessage  `json:"stop"`
	IncludeStop         bool             `json:"include_stop_str_in_output"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// nonContinuableFields lists the fields with which an answer cannot be continued from a token prefix.
var nonContinuableFields = []string{
	"tools", "functions", "response_format", "structured_outputs", "guided_json", "guided_regex",
	"guided_choice", "guided_grammar", "logprobs", "top_logprobs", "prompt_logprobs", "echo", "audio",
	"use_beam_search",
}

// ParseRequest parses and checks a caller's body.
func ParseRequest(endpoint vaneyoke.Endpoint, raw []byte) (vaneyoke.Request, error) {
	var b body
	var fields vaneyoke.Fields
	if err := json.Unmarshal(raw, &fields); err != nil {
		return vaneyoke.Request{}, bodyError(err)
	}
	if err := json.Unmarshal(raw, &b); err != nil {
		return vaneyoke.Request{}, bodyError(err)
	}
	req := vaneyoke.Request{
		Endpoint:     endpoint,
		Model:        b.Model,
		Stream:       b.Stream,
		IncludeUsage: b.StreamOptions != nil && b.StreamOptions.IncludeUsage,
		Repeatable:   true,
		Continuable:  continuable(fields),
		Fields:       fields,
		MinTokens:    vaneyoke.Tokens(b.MinTokens),
		IncludeStop:  b.IncludeStop,
		PromptBytes:  len(b.Prompt) + len(b.Messages),
	}
	if err := check(endpoint, &b, &req); err != nil {
		return vaneyoke.Request{}, err
	}
	return req, nil
}

func check(endpoint vaneyoke.Endpoint, b *body, req *vaneyoke.Request) error {
	if b.Model == "" {
		return vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body.model", "model is missing")
	}
	if err := checkPrompt(endpoint, b); err != nil {
		return err
	}
	limit, err := maxTokens(endpoint, b)
	if err != nil {
		return err
	}
	req.MaxTokens = limit
	req.Stop, err = parseStop(b.Stop)
	return err
}

func checkPrompt(endpoint vaneyoke.Endpoint, b *body) error {
	if endpoint == vaneyoke.EndpointChat {
		var messages []json.RawMessage
		if err := json.Unmarshal(b.Messages, &messages); err != nil || len(messages) == 0 {
			return vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body.messages", "messages must be a list with at least one message")
		}
		return nil
	}
	if len(b.Prompt) == 0 || string(b.Prompt) == "null" {
		return vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body.prompt", "prompt is missing")
	}
	return nil
}

func maxTokens(endpoint vaneyoke.Endpoint, b *body) (vaneyoke.Tokens, error) {
	limit, field := b.MaxTokens, "body.max_tokens"
	if b.MaxCompletionTokens != nil && endpoint == vaneyoke.EndpointChat {
		limit, field = b.MaxCompletionTokens, "body.max_completion_tokens"
	}
	switch {
	case limit != nil && *limit < 1:
		return 0, vaneyoke.ErrField(vaneyoke.CodeBadRequest, field, "must be at least 1, got %d", *limit)
	case limit != nil:
		return vaneyoke.Tokens(*limit), nil
	case endpoint == vaneyoke.EndpointCompletions:
		return defaultCompletionTokens, nil
	default:
		return 0, nil
	}
}

// parseStop parses the stop member, which is a string, a list of strings or null.
func parseStop(raw json.RawMessage) ([]string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return withoutEmpty([]string{one}), nil
	}
	var many []string
	if err := json.Unmarshal(raw, &many); err != nil {
		return nil, vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body.stop", "must be a string or a list of strings")
	}
	return withoutEmpty(many), nil
}

func withoutEmpty(list []string) []string {
	var kept []string
	for _, s := range list {
		if s != "" {
			kept = append(kept, s)
		}
	}
	return kept
}

// continuable reports whether another engine can continue the answer from a token prefix.
func continuable(fields vaneyoke.Fields) bool {
	for _, name := range nonContinuableFields {
		raw, ok := fields[name]
		if ok && !isDefault(name, raw) {
			return false
		}
	}
	return isUnsetOrOne(fields["n"]) && isUnsetOrOne(fields["best_of"]) && isSinglePrompt(fields["prompt"])
}

// isDefault reports whether a field's value is equivalent to its absence.
func isDefault(name string, raw json.RawMessage) bool {
	switch string(raw) {
	case "null", "false", "[]":
		return true
	}
	if name != "response_format" {
		return false
	}
	var format struct {
		Type string `json:"type"`
	}
	return json.Unmarshal(raw, &format) == nil && format.Type == "text"
}

func isUnsetOrOne(raw json.RawMessage) bool {
	return len(raw) == 0 || string(raw) == "null" || string(raw) == "1"
}

// isSinglePrompt reports whether the prompt is a single string or a single list of token ids.
func isSinglePrompt(raw json.RawMessage) bool {
	if len(raw) == 0 || raw[0] != '[' {
		return true
	}
	var ids []vaneyoke.TokenID
	return json.Unmarshal(raw, &ids) == nil
}

// bodyError converts an error of the JSON decoder into one for the caller, with the field if it is known.
func bodyError(err error) error {
	if e, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body."+e.Field, "must be of another type, got %s", e.Value)
	}
	return vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body", "is not a JSON object: %s", err)
}
