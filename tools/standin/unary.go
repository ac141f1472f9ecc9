package standin

import (
	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
)

// wholeAnswer is an answer in one body.
type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Choices []wholeChoice `json:"choices"`
	Usage   openai.Usage  `json:"usage"`
}

type wholeChoice struct {
	Index        int                   `json:"index"`
	Text         string                `json:"text,omitempty"`
	Message      *wholeMessage         `json:"message,omitempty"`
	FinishReason vaneyoke.FinishReason `json:"finish_reason"`
}

type wholeMessage struct {
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

func (r *engineRun) wholeAnswer(text string, reason vaneyoke.FinishReason, tokens int, tools bool) wholeAnswer {
	prompt, completion := vaneyoke.Tokens(len(r.prompt)), vaneyoke.Tokens(tokens)
	choice := wholeChoice{FinishReason: reason, Text: text}
	answer := wholeAnswer{ID: "run", Object: "text_completion"}
	answer.Usage = openai.Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
	if r.chat {
		answer.Object = "chat.completion"
		choice.Text = ""
		choice.Message = &wholeMessage{Role: "assistant", Content: &text}
	}
	if r.chat && tools {
		call := toolCall{ID: "call_1", Type: "function", Function: toolFunction{Name: "lookup", Arguments: `{}`}}
		choice.Message = &wholeMessage{Role: "assistant", ToolCalls: []toolCall{call}}
		choice.FinishReason = "tool_calls"
	}
	answer.Choices = []wholeChoice{choice}
	return answer
}
