package openai

import (
	"encoding/json"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Usage is the usage member of an answer.
type Usage struct {
	PromptTokens     vaneyoke.Tokens `json:"prompt_tokens"`
	CompletionTokens vaneyoke.Tokens `json:"completion_tokens"`
	TotalTokens      vaneyoke.Tokens `json:"total_tokens"`
}

func usageOf(u vaneyoke.Usage) Usage {
	return Usage{PromptTokens: u.Prompt, CompletionTokens: u.Completion, TotalTokens: u.Prompt + u.Completion}
}

// Message is the message of a chat answer.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Choice is the only choice of an answer.
type Choice struct {
	Index        int                   `json:"index"`
	Message      *Message              `json:"message,omitempty"`
	Text         *string               `json:"text,omitempty"`
	Logprobs     json.RawMessage       `json:"logprobs"`
	FinishReason vaneyoke.FinishReason `json:"finish_reason"`
}

// Response is an answer that is not streamed.
type Response struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   vaneyoke.ModelID `json:"model"`
	Choices []Choice         `json:"choices"`
	Usage   Usage            `json:"usage"`
}

// NewResponse returns the answer to req in one body.
func NewResponse(req *vaneyoke.Request, created time.Time, text string, reason vaneyoke.FinishReason, usage vaneyoke.Usage) Response {
	whole := Response{ID: AnswerID(req), Created: created.Unix(), Model: req.Model, Usage: usageOf(usage)}
	choice := Choice{FinishReason: reason}
	if req.Endpoint == vaneyoke.EndpointChat {
		whole.Object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		whole.Object = "text_completion"
		choice.Text = &text
	}
	whole.Choices = []Choice{choice}
	return whole
}

// rawWhole is an engine's answer, of which only the choices are looked into.
type rawWhole struct {
	Choices []vaneyoke.Fields `json:"choices"`
	Usage   json.RawMessage   `json:"usage"`
}

// Chunks returns the events of a stream that says the same as an engine's whole answer.
func (w *Writer) Chunks(answer []byte, withUsage bool) ([]byte, error) {
	var whole rawWhole
	if err := json.Unmarshal(answer, &whole); err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeUpstream, err, "the engine's answer is not JSON")
	}
	var events []byte
	for _, choice := range whole.Choices {
		finish := choice["finish_reason"]
		delete(choice, "finish_reason")
		w.asDelta(choice)
		choice.Set("finish_reason", nil)
		events = append(events, w.Raw(appendJSON(nil, []vaneyoke.Fields{choice}))...)
		events = append(events, w.Raw(appendJSON(nil, []vaneyoke.Fields{w.last(choice["index"], finish)}))...)
	}
	if withUsage && len(whole.Usage) > 0 {
		w.start("")
		w.buf = append(w.buf, `,"choices":[],"usage":`...)
		w.buf = append(w.buf, whole.Usage...)
		w.buf = append(w.buf, '}')
		events = append(events, w.end()...)
	}
	return events, nil
}

// asDelta makes a whole message the delta of a chunk; its tool calls are numbered, as the API asks.
func (w *Writer) asDelta(choice vaneyoke.Fields) {
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

func (w *Writer) last(index, finish json.RawMessage) vaneyoke.Fields {
	last := vaneyoke.Fields{"index": index, "finish_reason": finish}
	if w.chat {
		last["delta"] = json.RawMessage("{}")
	} else {
		last["text"] = json.RawMessage(`""`)
	}
	return last
}
