package client

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net/http"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/callerapi"
)

const (
	lineBytes    = 4 << 10
	maxLineBytes = 1 << 20
)

var (
	fieldData  = []byte("data: ")
	fieldID    = []byte("id: ")
	doneMarker = []byte("[DONE]")
)

// Chunk is one event of a streamed answer.
type Chunk struct {
	Cursor string // id of the event, "" if it has none
	Text   string
	Reason vaneyoke.FinishReason // set in the last chunk
}

// Stream reads a streamed answer.
type Stream struct {
	body   io.ReadCloser
	lines  *bufio.Scanner
	cursor string
	id     string
}

func newStream(res *http.Response) *Stream {
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(make([]byte, lineBytes), maxLineBytes)
	return &Stream{body: res.Body, lines: lines, id: res.Header.Get("X-Request-Id")}
}

// RequestID returns the id that the node assigned to the request.
func (s *Stream) RequestID() string { return s.id }

// Close closes the body of the answer.
func (s *Stream) Close() error { return s.body.Close() }

// event holds the fields of a chat completion chunk that are read.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason vaneyoke.FinishReason `json:"finish_reason"`
	} `json:"choices"`
	Failure *callerapi.ErrorDetail `json:"error"`
}

// Next returns the next chunk, io.EOF after the end of the answer, or io.ErrUnexpectedEOF if the stream ended before that.
func (s *Stream) Next() (Chunk, error) {
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if id, ok := bytes.CutPrefix(line, fieldID); ok {
			s.cursor = string(id)
			continue
		}
		data, ok := bytes.CutPrefix(line, fieldData)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			return Chunk{}, io.EOF
		}
		return s.parseChunk(data)
	}
	if err := s.lines.Err(); err != nil {
		return Chunk{}, err
	}
	return Chunk{}, io.ErrUnexpectedEOF
}

// All returns an iterator over the chunks up to the end of the answer; it stops after the first error.
func (s *Stream) All() iter.Seq2[Chunk, error] {
	return func(yield func(Chunk, error) bool) {
		for {
			chunk, err := s.Next()
			if errors.Is(err, io.EOF) || !yield(chunk, err) || err != nil {
				return
			}
		}
	}
}

func (s *Stream) parseChunk(data []byte) (Chunk, error) {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return Chunk{}, err
	}
	if e.Failure != nil {
		return Chunk{}, &FailedError{Status: http.StatusOK, Detail: *e.Failure}
	}
	chunk := Chunk{Cursor: s.cursor}
	s.cursor = ""
	if len(e.Choices) > 0 {
		chunk.Text = e.Choices[0].Delta.Content
		chunk.Reason = e.Choices[0].FinishReason
	}
	return chunk, nil
}
