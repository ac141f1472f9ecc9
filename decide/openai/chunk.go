package openai

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/vaneyoke/vaneyoke"
)

// EndOfStream is the last event of a stream that ended normally.
const EndOfStream = "data: [DONE]\n\n"

// Writer encodes the chunks of one streamed answer as server-sent events.
type Writer struct {
	head []byte // beginning of each event, up to the choices
	chat bool
	buf  []byte
}

// NewWriter returns a writer for the answer to req.
func NewWriter(req *vaneyoke.Request, created time.Time) *Writer {
	object := "text_completion"
	chat := req.Endpoint == vaneyoke.EndpointChat
	if chat {
		object = "chat.completion.chunk"
	}
	head := []byte(`data: {"id":`)
	head = appendQuote(head, []byte(AnswerID(req)))
	head = append(head, `,"object":"`...)
	head = append(head, object...)
	head = append(head, `","created":`...)
	head = strconv.AppendInt(head, created.Unix(), 10)
	head = append(head, `,"model":`...)
	head = appendQuote(head, []byte(req.Model))
	return &Writer{head: head, chat: chat}
}

// AnswerID returns the id of the answer that the caller sees.
func AnswerID(req *vaneyoke.Request) string {
	if req.Endpoint == vaneyoke.EndpointChat {
		return "chatcmpl-" + string(req.ID)
	}
	return "cmpl-" + string(req.ID)
}

// appendQuote appends text as a JSON string; invalid UTF-8 becomes replacement characters.
func appendQuote(buf, text []byte) []byte {
	out, _ := jsontext.AppendQuote(buf, text)
	return out
}

// Role returns the first event of a chat, which has the role and no text.
func (w *Writer) Role() []byte {
	w.beginEvent("")
	w.buf = append(w.buf, `,"choices":[{"index":0,"delta":{"role":"assistant","content":""},"logprobs":null,"finish_reason":null}]}`...)
	return w.endEvent()
}

// Chat reports whether the answer is a chat.
func (w *Writer) Chat() bool { return w.chat }

// Text returns the event for a chunk of text; id is the event's id, "" for none. The result is valid until the next call.
func (w *Writer) Text(id string, text []byte) []byte {
	w.beginEvent(id)
	if w.chat {
		w.buf = append(w.buf, `,"choices":[{"index":0,"delta":{"content":`...)
		w.buf = appendQuote(w.buf, text)
		w.buf = append(w.buf, `},"logprobs":null,"finish_reason":null}]}`...)
		return w.endEvent()
	}
	w.buf = append(w.buf, `,"choices":[{"index":0,"text":`...)
	w.buf = appendQuote(w.buf, text)
	w.buf = append(w.buf, `,"logprobs":null,"finish_reason":null}]}`...)
	return w.endEvent()
}

// Finish returns the event with the finish reason.
func (w *Writer) Finish(reason vaneyoke.FinishReason) []byte {
	w.beginEvent("")
	choices := `,"choices":[{"index":0,"text":"","logprobs":null,"finish_reason":`
	if w.chat {
		choices = `,"choices":[{"index":0,"delta":{},"logprobs":null,"finish_reason":`
	}
	w.buf = append(w.buf, choices...)
	w.buf = appendQuote(w.buf, []byte(reason))
	w.buf = append(w.buf, `}]}`...)
	return w.endEvent()
}

// Usage returns the event with the usage figures.
func (w *Writer) Usage(usage vaneyoke.Usage) []byte {
	w.beginEvent("")
	w.buf = append(w.buf, `,"choices":[],"usage":`...)
	w.buf = appendJSON(w.buf, newUsage(usage))
	w.buf = append(w.buf, '}')
	return w.endEvent()
}

// Raw returns an event with the given choices as JSON.
func (w *Writer) Raw(choices []byte) []byte {
	w.beginEvent("")
	w.buf = append(w.buf, `,"choices":`...)
	w.buf = append(w.buf, choices...)
	w.buf = append(w.buf, '}')
	return w.endEvent()
}

func (w *Writer) beginEvent(id string) {
	w.buf = w.buf[:0]
	if id != "" {
		w.buf = append(w.buf, "id: "...)
		w.buf = append(w.buf, id...)
		w.buf = append(w.buf, '\n')
	}
	w.buf = append(w.buf, w.head...)
}

func (w *Writer) endEvent() []byte {
	w.buf = append(w.buf, "\n\n"...)
	return w.buf
}

// appendJSON appends the JSON encoding of v; it panics if v cannot be encoded, which no value of this package causes.
func appendJSON(buf []byte, v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("openai: value cannot be encoded: " + err.Error())
	}
	return append(buf, raw...)
}
