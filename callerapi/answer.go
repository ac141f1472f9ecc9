package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/openai"
	"github.com/vaneyoke/vaneyoke/relay"
)

const (
	headerRequest = "X-Request-Id"
	mediaJSON     = "application/json"
	mediaEvents   = "text/event-stream"
)

// answer gives a session's answer to one caller.
type answer struct {
	api     *API
	session *relay.Session
	req     *vaneyoke.Request
}

// whole waits for the end of the session and answers in one body.
func (a *answer) whole(ctx context.Context) (*huma.StreamResponse, error) {
	result, err := a.session.Wait(ctx)
	if err != nil {
		a.session.Abandon()
		return nil, err
	}
	if err := result.Err(); err != nil {
		return nil, err
	}
	body := a.session.Answer().Body
	if a.req.Continuable {
		whole := openai.NewWhole(a.req, a.req.ReceivedAt, string(a.session.Text()), result.Reason, result.Usage)
		if body, err = json.Marshal(whole); err != nil {
			return nil, vaneyoke.WrapErr(vaneyoke.CodeInternal, err, "encode answer")
		}
	}
	return respond(http.StatusOK, mediaJSON, string(a.req.ID), body), nil
}

// respond returns an answer with the given body.
func respond(status int, media, request string, body []byte) *huma.StreamResponse {
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		ctx.SetHeader("Content-Type", media)
		ctx.SetHeader(headerRequest, request)
		ctx.SetStatus(status)
		_, _ = ctx.BodyWriter().Write(body)
	}}
}

// stream waits for the first text, and then answers as server-sent events.
func (a *answer) stream(ctx context.Context) (*huma.StreamResponse, error) {
	text, result, err := a.session.Read(ctx, 0)
	if err != nil {
		a.session.Abandon()
		return nil, err
	}
	if err := result.Err(); err != nil {
		return nil, err
	}
	return &huma.StreamResponse{Body: func(hc huma.Context) {
		hc.SetHeader("Content-Type", mediaEvents)
		hc.SetHeader("Cache-Control", "no-cache")
		hc.SetHeader(headerRequest, string(a.req.ID))
		w, ok := hc.BodyWriter().(http.ResponseWriter)
		if !ok {
			return
		}
		s := &sender{answer: a, http: w, control: http.NewResponseController(w), writer: openai.NewWriter(a.req, a.req.ReceivedAt)}
		if err := s.send(ctx, text, result); err != nil {
			a.session.Abandon()
		}
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
func (s *sender) send(ctx context.Context, text []byte, result relay.Result) error {
	if !s.req.Continuable {
		return s.sendWhole(ctx, result)
	}
	if s.writer.Chat() {
		if err := s.write(s.writer.Role(), false); err != nil {
			return err
		}
	}
	sent := 0
	for !result.Ended {
		if err := s.write(s.writer.Text("", text), true); err != nil {
			return err
		}
		sent += len(text)
		var err error
		if text, result, err = s.session.Read(ctx, sent); err != nil {
			return err
		}
	}
	return s.finish(result)
}

// sendWhole writes an answer that came from the engine in one body.
func (s *sender) sendWhole(ctx context.Context, result relay.Result) error {
	var err error
	if !result.Ended {
		if result, err = s.session.Wait(ctx); err != nil {
			return err
		}
	}
	if result.Err() != nil {
		return s.finish(result)
	}
	events, err := s.writer.Chunks(s.session.Answer().Body, s.req.IncludeUsage)
	if err != nil {
		return s.writeFailure(err)
	}
	return s.write(append(events, openai.EndOfStream...), true)
}

func (s *sender) finish(result relay.Result) error {
	if err := result.Err(); err != nil {
		return s.writeFailure(err)
	}
	end := append([]byte(nil), s.writer.Finish(result.Reason)...)
	if s.req.IncludeUsage {
		end = append(end, s.writer.Usage(result.Usage)...)
	}
	return s.write(append(end, openai.EndOfStream...), true)
}

// writeFailure ends a stream that has begun with an event that tells why.
func (s *sender) writeFailure(err error) error {
	body, encodeErr := json.Marshal(newErrorBody(err))
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
