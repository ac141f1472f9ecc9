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

// answer gives an answer to one caller.
type answer struct {
	api    *API
	reader *failover.Reader
	req    *vaneyoke.Request
}

// whole waits for the end of the session and answers in one body.
func (a *answer) whole(ctx context.Context) (*huma.StreamResponse, error) {
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
		whole := openai.NewResponse(a.req, a.req.ReceivedAt, string(session.Text()), result.Reason, result.Usage)
		if body, err = json.Marshal(whole); err != nil {
			return nil, vaneyoke.WrapErr(vaneyoke.CodeInternal, err, "encode answer")
		}
	}
	return respond(http.StatusOK, mediaJSON, string(a.req.ID), body), nil
}

// announceEnd tells the caller where its connection ends with the answer.
func announceEnd(ctx huma.Context) {
	if serve.CallerOf(ctx.Context()).Ending() {
		ctx.SetHeader("Connection", "close")
	}
}

// respond returns an answer with the given body.
func respond(status int, media, request string, body []byte) *huma.StreamResponse {
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		announceEnd(ctx)
		ctx.SetHeader("Content-Type", media)
		ctx.SetHeader(headerRequest, request)
		ctx.SetStatus(status)
		_, _ = ctx.BodyWriter().Write(body)
	}}
}

// stream waits for the first text, and then answers as server-sent events.
func (a *answer) stream(ctx context.Context) (*huma.StreamResponse, error) {
	resumed := a.reader.Resumed()
	piece, result, err := a.reader.Read(ctx)
	if err == nil && !resumed {
		err = result.Err()
	}
	if err != nil {
		a.reader.Close(true)
		return nil, err
	}
	return &huma.StreamResponse{Body: func(hc huma.Context) {
		announceEnd(hc)
		hc.SetHeader("Content-Type", mediaEvents)
		hc.SetHeader("Cache-Control", "no-cache")
		hc.SetHeader(headerRequest, string(a.req.ID))
		w, ok := hc.BodyWriter().(http.ResponseWriter)
		if !ok {
			a.reader.Close(true)
			return
		}
		s := &sender{answer: a, http: w, control: http.NewResponseController(w), writer: openai.NewWriter(a.req, a.req.ReceivedAt)}
		a.reader.Close(s.send(ctx, piece, result, resumed) != nil)
	}}, nil
}

// sender writes one stream to one caller.
type sender struct {
	*answer
	http    http.ResponseWriter
	control *http.ResponseController
	writer  *openai.Writer
}

// send writes the answer to its end; an error says that the caller is gone.
func (s *sender) send(ctx context.Context, piece failover.Chunk, result relay.Result, resumed bool) error {
	if !s.req.Continuable {
		return s.sendWhole(ctx, result)
	}
	if s.writer.Chat() && !resumed {
		if err := s.write(s.writer.Role(), false); err != nil {
			return err
		}
	}
	for !result.Ended {
		if err := s.write(s.writer.Text(piece.Cursor, piece.Text), true); err != nil {
			return err
		}
		var err error
		if piece, result, err = s.reader.Read(ctx); err != nil {
			return err
		}
	}
	return s.finish(ctx, result)
}

// sendWhole writes an answer that came from the engine in one body.
func (s *sender) sendWhole(ctx context.Context, result relay.Result) error {
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

func (s *sender) finish(ctx context.Context, result relay.Result) error {
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

// writeFailure ends a stream that has begun with an event that tells why.
func (s *sender) writeFailure(err error) error {
	body, encodeErr := json.Marshal(NewErrorBody(err))
	if encodeErr != nil {
		return encodeErr
	}
	event := append([]byte("data: "), body...)
	return s.write(append(event, "\n\n"...), true)
}

// write sends bytes within the time that a caller may take to read them.
func (s *sender) write(event []byte, flush bool) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.api.config.WriteTimeout))
	if _, err := s.http.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.control.Flush()
}
