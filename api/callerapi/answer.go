package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/shell/failover"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

const (
	headerRequest = "X-Request-Id"
	mediaJSON     = "application/json"
	mediaEvents   = "text/event-stream"
)

// responder writes the response to one caller.
type responder struct {
	api    *API
	reader *failover.Reader
	req    *vaneyoke.Request
}

// respondUnary waits for the end of the session and responds with one body.
func (a *responder) respondUnary(ctx context.Context) (*huma.StreamResponse, error) {
	session := a.reader.Session()
	result, err := session.Wait(ctx)
	a.reader.Close(err != nil)
	if err != nil {
		return nil, err
	}
	if err := result.Err(); err != nil {
		return nil, err
	}
	a.reader.WaitReplicated(ctx)
	body := session.Answer().Body
	if a.req.Continuable {
		response := openai.NewResponse(a.req, a.req.ReceivedAt, string(session.Text()), result.Reason, result.Usage)
		if body, err = json.Marshal(response); err != nil {
			return nil, vaneyoke.WrapErr(vaneyoke.CodeInternal, err, "encode answer")
		}
	}
	return respond(http.StatusOK, mediaJSON, string(a.req.ID), body), nil
}

// announceClose tells the caller if its connection will be closed after the response.
func announceClose(ctx huma.Context) {
	if serve.CallerOf(ctx.Context()).WillClose() {
		ctx.SetHeader("Connection", "close")
	}
}

// respond returns a response with the given body.
func respond(status int, media, request string, body []byte) *huma.StreamResponse {
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		announceClose(ctx)
		ctx.SetHeader("Content-Type", media)
		ctx.SetHeader(headerRequest, request)
		ctx.SetStatus(status)
		_, _ = ctx.BodyWriter().Write(body)
	}}
}

// respondStream waits for the first text, and then responds with server-sent events.
func (a *responder) respondStream(ctx context.Context) (*huma.StreamResponse, error) {
	resumed := a.reader.Resumed()
	chunk, result, err := a.reader.Read(ctx)
	if err == nil && !resumed {
		err = result.Err()
	}
	if err != nil {
		a.reader.Close(true)
		return nil, err
	}
	return &huma.StreamResponse{Body: func(hc huma.Context) {
		announceClose(hc)
		hc.SetHeader("Content-Type", mediaEvents)
		hc.SetHeader("Cache-Control", "no-cache")
		hc.SetHeader(headerRequest, string(a.req.ID))
		w, ok := hc.BodyWriter().(http.ResponseWriter)
		if !ok {
			a.reader.Close(true)
			return
		}
		s := &streamWriter{responder: a, http: w, control: http.NewResponseController(w), writer: openai.NewWriter(a.req, a.req.ReceivedAt)}
		a.reader.Close(s.send(ctx, chunk, result, resumed) != nil)
	}}, nil
}

// streamWriter writes a response to one caller as server-sent events.
type streamWriter struct {
	*responder
	http    http.ResponseWriter
	control *http.ResponseController
	writer  *openai.Writer
}

// send writes the whole stream; an error means that the caller has disconnected.
func (s *streamWriter) send(ctx context.Context, chunk failover.Chunk, result relay.Result, resumed bool) error {
	if !s.req.Continuable {
		return s.sendAsChunks(ctx, result)
	}
	if s.writer.Chat() && !resumed {
		if err := s.write(s.writer.Role(), false); err != nil {
			return err
		}
	}
	for !result.Ended {
		if err := s.write(s.writer.Text(chunk.Cursor, chunk.Text), true); err != nil {
			return err
		}
		var err error
		if chunk, result, err = s.reader.Read(ctx); err != nil {
			return err
		}
	}
	return s.finish(ctx, result)
}

// sendAsChunks writes an answer that the engine returned in one body as chunks of a stream.
func (s *streamWriter) sendAsChunks(ctx context.Context, result relay.Result) error {
	var err error
	if !result.Ended {
		if result, err = s.reader.Session().Wait(ctx); err != nil {
			return err
		}
	}
	if result.Err() != nil {
		return s.finish(ctx, result)
	}
	events, err := s.writer.Chunks(s.reader.Session().Answer().Body, s.req.IncludeUsage)
	if err != nil {
		return s.writeFailure(err)
	}
	return s.write(append(events, openai.EndOfStream...), true)
}

func (s *streamWriter) finish(ctx context.Context, result relay.Result) error {
	if err := result.Err(); err != nil {
		return s.writeFailure(err)
	}
	s.reader.WaitReplicated(ctx)
	end := append([]byte(nil), s.writer.Finish(result.Reason)...)
	if s.req.IncludeUsage {
		end = append(end, s.writer.Usage(result.Usage)...)
	}
	return s.write(append(end, openai.EndOfStream...), true)
}

// writeFailure ends a stream that has begun with an error event.
func (s *streamWriter) writeFailure(err error) error {
	body, encodeErr := json.Marshal(NewErrorBody(err))
	if encodeErr != nil {
		return encodeErr
	}
	event := append([]byte("data: "), body...)
	return s.write(append(event, "\n\n"...), true)
}

// write sends an event within the write timeout.
func (s *streamWriter) write(event []byte, flush bool) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.api.config.WriteTimeout))
	if _, err := s.http.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.control.Flush()
}
