package engine

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
)

// readAll reads a stream to its end and sums up its messages.
func readAll(body string, base, next vaneyoke.Tokens) (text string, ids, first int, end vaneyoke.FinishReason, err error) {
	s := newStream(io.NopCloser(strings.NewReader(body)), base, next)
	first = -1
	for {
		message, err := s.Next()
		if err != nil {
			return text, ids, first, end, err
		}
		switch m := message.(type) {
		case Prompt:
		case *Tokens:
			if first < 0 {
				first = int(m.Batch.First)
			}
			text += string(m.Batch.Text)
			ids += len(m.Batch.IDs)
		case End:
			end = m.Reason
		}
	}
}

func TestStream(t *testing.T) {
	one := "data: {\"choices\":[{\"token_ids\":[7],\"text\":\"a\"}]}\n\n"
	stop := "data: {\"choices\":[{\"token_ids\":[],\"finish_reason\":\"stop\"}]}\n\n"
	cases := map[string]struct {
		body  string
		text  string
		ids   int
		end   vaneyoke.FinishReason
		cause error // its type must be that of the stream's error
	}{
		"completion":            {one + stop, "a", 1, "stop", io.EOF},
		"chat":                  {"data: {\"choices\":[{\"token_ids\":[7,8],\"delta\":{\"content\":\"é\"}}]}\n\n" + stop, "é", 2, "stop", io.EOF},
		"tokens at the finish":  {"data: {\"choices\":[{\"token_ids\":[7],\"text\":\"a\",\"finish_reason\":\"length\"}]}\n\n", "a", 1, "length", io.EOF},
		"comments and blanks":   {": ping\n\n\n" + one + stop, "a", 1, "stop", io.EOF},
		"long line":             {"data: {\"pad\":\"" + strings.Repeat("x", 40_000) + "\",\"choices\":[{\"token_ids\":[7],\"text\":\"a\"}]}\n\n" + stop, "a", 1, "stop", io.EOF},
		"cut off":               {one, "a", 1, "", &ClosedError{}},
		"cut within an event":   {one + "data: {\"choi", "a", 1, "", &ClosedError{}},
		"done without a reason": {one + "data: [DONE]\n\n", "a", 1, "", &ClosedError{}},
		"error event":           {one + "data: {\"error\":{}}\n\n", "a", 1, "", &ClosedError{}},
		"no JSON":               {one + "data: {\"choi\n\n", "a", 1, "", &MalformedError{}},
		"text without ids":      {"data: {\"choices\":[{\"text\":\"a\"}]}\n\n", "", 0, "", &MalformedError{}},
		"ids that are no ids":   {"data: {\"choices\":[{\"token_ids\":[\"x\"]}]}\n\n", "", 0, "", &MalformedError{}},
		"event id is no index":  {"id: x\n" + one, "", 0, "", &MalformedError{}},
		"endless line":          {"data: " + strings.Repeat("x", maxEventBytes+readBufferBytes) + "\n", "", 0, "", &MalformedError{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			text, ids, _, end, err := readAll(tc.body, 0, 0)
			must.EqOp(t, tc.text, text)
			must.EqOp(t, tc.ids, ids)
			must.EqOp(t, tc.end, end)
			must.True(t, sameErrorType(tc.cause, err), must.Sprint(err))
		})
	}
}

func sameErrorType(want, got error) bool {
	if errors.Is(want, io.EOF) {
		return errors.Is(got, io.EOF)
	}
	_, wantClosed := errors.AsType[*ClosedError](want)
	_, closed := errors.AsType[*ClosedError](got)
	_, malformed := errors.AsType[*MalformedError](got)
	return wantClosed == closed && wantClosed != malformed
}

func TestEventIDsDetermineTheIndex(t *testing.T) {
	body := "id: 5\ndata: {\"choices\":[{\"token_ids\":[7,8],\"text\":\"a\"}]}\n\n"
	_, _, first, _, _ := readAll(body, 10, 10)
	must.EqOp(t, 13, first)
}

// FuzzStream checks that no input makes a stream panic or never end.
func FuzzStream(f *testing.F) {
	f.Add("id: 1\ndata: {\"choices\":[{\"token_ids\":[7],\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n")
	f.Add("data: {\"prompt_token_ids\":[1,2],\"choices\":[{\"delta\":{\"content\":\"x\"},\"token_ids\":[3]}]}\n\ndata: [DONE]\n\n")
	f.Add("data: {\"choices\":[null]}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		_, ids, _, _, err := readAll(body, 0, 0)
		must.Error(t, err)
		must.LessEq(t, len(body), ids)
	})
}

// Guards against a line that is read as two where it is about as long as the reader's buffer or a multiple of it.
func TestLongLineIsReadAsTwo(t *testing.T) {
	stop := "data: {\"choices\":[{\"token_ids\":[],\"finish_reason\":\"stop\"}]}\n\n"
	for multiple := 1; multiple <= 3; multiple++ {
		for length := multiple*readBufferBytes - 4; length <= multiple*readBufferBytes+4; length++ {
			for _, end := range []string{"\n", "\r\n"} {
				head, tail := "data: {\"pad\":\"", "\",\"choices\":[{\"token_ids\":[7],\"text\":\"a\"}]}"
				line := head + strings.Repeat("x", length-len(head)-len(tail)) + tail
				text, ids, _, reason, err := readAll(strings.Repeat(line+end+end, 3)+stop, 0, 0)
				must.ErrorIs(t, err, io.EOF)
				must.EqOp(t, "aaa", text)
				must.EqOp(t, 3, ids)
				must.EqOp(t, vaneyoke.FinishStop, reason)
			}
		}
	}
}
