package openai

import (
	"encoding/json"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Usage is the usage member of a response.
type Usage struct {
	PromptTokens     vaneyoke.Tokens `json:"prompt_tokens"`
	CompletionTokens vaneyoke.Tokens `json:"completion_tokens"`
	TotalTokens      vaneyoke.Tokens `json:"total_tokens"`
}

func newUsage(u vaneyoke.Usage) Usage {
	return Usage{PromptTokens: u.Prompt, CompletionTokens: u.Completion, TotalTokens: u.Prompt + u.Completion}
}

// Message is the message of a chat answer.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Choice is the single choice of a response.
type Choice struct {
	Index        int                   `json:"index"`
	Message      *Message              `json:"message,omitempty"`
	Text         *string               `json:"text,omitempty"`
	Logprobs     json.RawMessage       `json:"logprobs"`
	FinishReason vaneyoke.FinishReason `json:"finish_reason"`
}

// Response is a non-streaming answer.
type Response struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   vaneyoke.ModelID `json:"model"`
	Choices []Choice         `json:"choices"`
	Usage   Usage            `json:"usage"`
}

// NewResponse returns the non-streaming answer to req.
func NewResponse(req *vaneyoke.Request, created time.Time, text string, reason vaneyoke.FinishReason, usage vaneyoke.Usage) Response {
	response := Response{ID: AnswerID(req), Created: created.Unix(), Model: req.Model, Usage: newUsage(usage)}
	choice := Choice{FinishReason: reason}
	if req.Endpoint == vaneyoke.EndpointChat {
		response.Object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		response.Object = "text_completion"
		choice.Text = &text
	}
	response.Choices = []Choice{choice}
	return response
}

// engineResponse is an engine's non-streaming answer, of which only the choices are parsed.
type engineResponse struct {
	Choices []vaneyoke.Fields `json:"choices"`
	Usage   json.RawMessage   `json:"usage"`
}

// Chunks converts an engine's non-streaming answer into the equivalent events of a stream.
func (w *Writer) Chunks(answer []byte, withUsage bool) ([]byte, error) {
	var response engineResponse
	if err := json.Unmarshal(answer, &response); err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeUpstream, err, "the engine's answer is not JSON")
	}
	var events []byte
	for _, choice := range response.Choices {
		finish := choice["finish_reason"]
		delete(choice, "finish_reason")
		w.convertToDelta(choice)
		choice.Set("finish_reason", nil)
		events = append(events, w.Raw(appendJSON(nil, []vaneyoke.Fields{choice}))...)
		events = append(events, w.Raw(appendJSON(nil, []vaneyoke.Fields{w.finishChoice(choice["index"], finish)}))...)
	}
	if withUsage && len(response.Usage) > 0 {
		w.beginEvent("")
		w.buf = append(w.buf, `,"choices":[],"usage":`...)
		w.buf = append(w.buf, response.Usage...)
		w.buf = append(w.buf, '}')
		events = append(events, w.endEvent()...)
	}
	return events, nil
}

// convertToDelta replaces a choice's message by the delta of a chunk; tool calls get an index, which the API requires in chunks.
func (w *Writer) convertToDelta(choice vaneyoke.Fields) {
	if !w.chat {
		return
	}
	var message vaneyoke.Fields
	if json.Unmarshal(choice["message"], &message) != nil {
		return
	}
	delete(choice, "message")
	var calls []vaneyoke.Fields
	if json.Unmarshal(message["tool_calls"], &calls) == nil && len(calls) > 0 {
		for i, call := range calls {
			call.Set("index", i)
		}
		message.Set("tool_calls", calls)
	}
	choice.Set("delta", message)
}

func (w *Writer) finishChoice(index, finish json.RawMessage) vaneyoke.Fields {
	choice := vaneyoke.Fields{"index": index, "finish_reason": finish}
	if w.chat {
		choice["delta"] = json.RawMessage("{}")
	} else {
		choice["text"] = json.RawMessage(`""`)
	}
	return choice
}
