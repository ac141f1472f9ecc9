package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fastjson"

	"github.com/vaneyoke/vaneyoke"
)

const (
	readBufferBytes = 8 << 10
	maxEventBytes   = 1 << 20
)

var (
	fieldData  = []byte("data:")
	fieldID    = []byte("id:")
	endOfData  = []byte("[DONE]")
	errNoEnd   = errors.New("stream ended without a finish reason")
	errTooLong = &MalformedError{Reason: "event is too long"}
)

// Stream reads the server-sent events of one run.
type Stream struct {
	body      io.ReadCloser
	reader    *bufio.Reader
	parser    fastjson.Parser
	base      vaneyoke.Tokens // index within the answer of the run's first token
	next      vaneyoke.Tokens // index within the answer of the next token
	isResumed bool            // whether its first event has to state that it goes on at next
	line      []byte          // buffer for a line longer than the reader's buffer
	id        []byte          // of the event that is read
	data      []byte          // of the event that is read
	tokens    Tokens
	ids       []vaneyoke.TokenID
	text      []byte
	queue     []Message // messages of the last event
	queueHead int       // index of the next message to return
	ended     bool
}

func newStream(body io.ReadCloser, base, next vaneyoke.Tokens) *Stream {
	return &Stream{body: body, reader: bufio.NewReaderSize(body, readBufferBytes), base: base, next: next}
}

// Close ends the connection.
func (s *Stream) Close() error { return s.body.Close() }

// Next returns the next message, or io.EOF after End.
func (s *Stream) Next() (Message, error) {
	for {
		if s.queueHead < len(s.queue) {
			s.queueHead++
			return s.queue[s.queueHead-1], nil
		}
		if s.ended {
			return nil, io.EOF
		}
		data, err := s.readEvent()
		if err != nil {
			return nil, err
		}
		if err := s.decodeEvent(data); err != nil {
			return nil, err
		}
	}
}

// readEvent returns the data of the next event that has some.
func (s *Stream) readEvent() ([]byte, error) {
	for {
		if err := s.readFields(); err != nil {
			return nil, err
		}
		switch {
		case len(s.data) == 0:
		case bytes.Equal(s.data, endOfData):
			return nil, &ClosedError{Err: errNoEnd}
		default:
			return s.data, nil
		}
	}
}

// readFields reads the fields of the next event up to the empty line that ends it. Of a field that is repeated the last value counts.
func (s *Stream) readFields() error {
	s.id, s.data = s.id[:0], s.data[:0]
	for {
		line, err := s.readLine()
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		if value, ok := bytes.CutPrefix(line, fieldID); ok {
			s.id = append(s.id[:0], bytes.TrimSpace(value)...)
		}
		if value, ok := bytes.CutPrefix(line, fieldData); ok {
			s.data = append(s.data[:0], bytes.TrimSpace(value)...)
		}
	}
}

// readLine returns the next line, which is valid until the next call.
func (s *Stream) readLine() ([]byte, error) {
	s.line = s.line[:0]
	for {
		part, err := s.reader.ReadSlice('\n')
		if err == nil && len(s.line) == 0 {
			return part, nil
		}
		s.line = append(s.line, part...)
		if err == nil {
			return s.line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, &ClosedError{Err: err}
		}
		if len(s.line) > maxEventBytes {
			return nil, errTooLong
		}
	}
}

// decodeEvent decodes an event's data into the queue of messages.
func (s *Stream) decodeEvent(data []byte) error {
	value, err := s.parser.ParseBytes(data)
	if err != nil {
		return &MalformedError{Reason: "event is not JSON"}
	}
	if value.Exists("error") {
		return &ClosedError{Err: errors.New("engine reported an error in mid-stream")}
	}
	s.queue = s.queue[:0]
	s.queueHead = 0
	choice := value.Get("choices", "0")
	if err := s.readPrompt(value, choice); err != nil {
		return err
	}
	if choice == nil {
		return nil
	}
	if err := s.readTokens(choice); err != nil {
		return err
	}
	if reason := choice.GetStringBytes("finish_reason"); len(reason) > 0 {
		s.ended = true
		s.queue = append(s.queue, End{Reason: vaneyoke.FinishReason(reason)})
	}
	return nil
}

// readPrompt reads the prompt's ids from either of the two places where the endpoints put them.
func (s *Stream) readPrompt(value, choice *fastjson.Value) error {
	list := value.GetArray("prompt_token_ids")
	if list == nil && choice != nil {
		list = choice.GetArray("prompt_token_ids")
	}
	if list == nil {
		return nil
	}
	ids, err := appendIDs(make([]vaneyoke.TokenID, 0, len(list)), list)
	if err != nil {
		return err
	}
	s.queue = append(s.queue, Prompt{IDs: ids})
	return nil
}

func (s *Stream) readTokens(choice *fastjson.Value) error {
	list := choice.GetArray("token_ids")
	text := choice.GetStringBytes("text")
	if text == nil {
		text = choice.GetStringBytes("delta", "content")
	}
	if len(list) == 0 {
		if len(text) > 0 {
			return &MalformedError{Reason: "text without token ids"}
		}
		return nil
	}
	ids, err := appendIDs(s.ids[:0], list)
	if err != nil {
		return err
	}
	s.ids = ids
	s.text = append(s.text[:0], text...)
	first, err := s.firstIndex(vaneyoke.Tokens(len(ids)))
	if err != nil {
		return err
	}
	s.tokens.Batch = vaneyoke.Batch{First: first, IDs: s.ids, Text: s.text}
	s.next = s.tokens.Batch.End()
	s.queue = append(s.queue, &s.tokens)
	return nil
}

// firstIndex returns the index of the event's first token. The event id is the number of the run's tokens up to the event's
// end; without one, the tokens are counted here. The first event of a resumed stream has to state that it goes on where it was asked to.
func (s *Stream) firstIndex(count vaneyoke.Tokens) (vaneyoke.Tokens, error) {
	mustFit := s.isResumed
	s.isResumed = false
	if len(s.id) == 0 {
		if mustFit {
			return 0, &MalformedError{Reason: "nothing tells at which token a resumed stream goes on"}
		}
		return s.next, nil
	}
	end, err := strconv.Atoi(string(s.id))
	if err != nil || end < int(count) {
		return 0, &MalformedError{Reason: fmt.Sprintf("event id %q is not the number of a run's tokens", s.id)}
	}
	first := s.base + vaneyoke.Tokens(end) - count
	if mustFit && first != s.next {
		return 0, &MalformedError{Reason: fmt.Sprintf("a resumed stream goes on at token %d, not at %d", first, s.next)}
	}
	return first, nil
}

func appendIDs(ids []vaneyoke.TokenID, list []*fastjson.Value) ([]vaneyoke.TokenID, error) {
	for _, v := range list {
		id, err := v.Int()
		if err != nil {
			return nil, &MalformedError{Reason: "token id is not a number"}
		}
		ids = append(ids, vaneyoke.TokenID(id))
	}
	return ids, nil
}
