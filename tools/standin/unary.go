package standin

import (
	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
)

// unaryResponse is a non-streaming answer.
type unaryResponse struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Choices []unaryChoice `json:"choices"`
	Usage   openai.Usage  `json:"usage"`
}

type unaryChoice struct {
	Index        int                   `json:"index"`
	Text         string                `json:"text,omitempty"`
	Message      *unaryMessage         `json:"message,omitempty"`
	FinishReason vaneyoke.FinishReason `json:"finish_reason"`
}

type unaryMessage struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

func (r *engineRun) unaryResponse(text string, reason vaneyoke.FinishReason, tokens int, tools bool) unaryResponse {
	prompt, completion := vaneyoke.Tokens(len(r.prompt)), vaneyoke.Tokens(tokens)
	choice := unaryChoice{FinishReason: reason, Text: text}
	response := unaryResponse{ID: "run", Object: "text_completion"}
	response.Usage = openai.Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
	if r.chat {
		response.Object = "chat.completion"
		choice.Text = ""
		choice.Message = &unaryMessage{Role: "assistant", Content: &text}
	}
	if r.chat && tools {
		call := toolCall{ID: "call_1", Type: "function", Function: toolFunction{Name: "lookup", Arguments: `{}`}}
		choice.Message = &unaryMessage{Role: "assistant", ToolCalls: []toolCall{call}}
		choice.FinishReason = "tool_calls"
	}
	response.Choices = []unaryChoice{choice}
	return response
}
