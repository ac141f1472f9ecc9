package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/internal/httpcheck"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

const (
	// HeaderRequestID carries the run's name, by which its stream can be resumed or cancelled.
	HeaderRequestID = "X-Request-Id"
	// HeaderLastEventID carries the number of tokens of a resumed stream that were already received.
	HeaderLastEventID = "Last-Event-ID"

	// PathDetokenize is the endpoint that converts tokens to text.
	PathDetokenize = "/detokenize"

	pathStreams       = "/v1/streams/"
	maxAnswerBytes    = 32 << 20
	maxRefusalBytes   = 64 << 10
	mediaTypeJSON     = "application/json"
	headerMediaType   = "Content-Type"
	headerTraceParent = "traceparent"
	// headerReplay without a value is not sent, but lets net/http's transport replay the request.
	headerReplay = "Idempotency-Key"
)

// Client starts runs on engines and calls services.
type Client struct {
	http        *http.Client
	noKeepAlive *http.Client
}

// New returns a client that uses the given HTTP clients, which must not retry or time out streams. noKeepAlive must open a
// connection for each request: on a reused one that the other side has closed, a request that was not run could not be told
// from one that may have run. Responses that violate HTTP are errors, whatever they say.
func New(client, noKeepAlive *http.Client) *Client {
	return &Client{http: httpcheck.Client(client), noKeepAlive: httpcheck.Client(noKeepAlive)}
}

// StreamName returns the name of a run on an engine. The epoch is part of it, since each owner of a request counts its
// attempts from the start.
func StreamName(id vaneyoke.RequestID, epoch uint64, attempt vaneyoke.Attempt) string {
	return string(id) + "." + strconv.FormatUint(epoch, 10) + "." + strconv.Itoa(int(attempt))
}

// Start starts a run and returns its stream, whose first token has the index from. With replay, the transport may send the
// request again if a reused connection turns out to be closed.
func (c *Client) Start(ctx context.Context, url, stream string, run openai.EngineRequest, from vaneyoke.Tokens, replay bool) (*Stream, error) {
	body, err := json.Marshal(run.Fields)
	if err != nil {
		return nil, &RefusedError{Status: http.StatusBadRequest, Body: []byte(err.Error())}
	}
	header := http.Header{HeaderRequestID: {stream}, headerMediaType: {mediaTypeJSON}}
	if replay {
		header[headerReplay] = nil
	}
	res, err := c.send(ctx, http.MethodPost, url+run.Path, header, body) //nolint:bodyclose // the stream closes it
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, readStatusError(res)
	}
	return newStream(res.Body, from, from), nil
}

// Resume attaches to the stream of a run. base is the index within the answer of the run's first token, from that of the
// first token to be sent.
func (c *Client) Resume(ctx context.Context, url, stream string, base, from vaneyoke.Tokens) (*Stream, error) {
	header := http.Header{HeaderLastEventID: {strconv.Itoa(int(from - base))}}
	res, err := c.send(ctx, http.MethodGet, url+pathStreams+stream, header, nil)
	if err != nil {
		return nil, err
	}
	switch res.StatusCode {
	case http.StatusOK:
		stream := newStream(res.Body, base, from)
		stream.isResumed = true
		return stream, nil
	case http.StatusNotFound, http.StatusGone:
		_ = res.Body.Close()
		return nil, &StreamNotFoundError{}
	default:
		return nil, readStatusError(res)
	}
}

// Reachable reports whether an engine answers an HTTP request, with any status.
func (c *Client) Reachable(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/", nil)
	if err != nil {
		return false
	}
	res, err := c.noKeepAlive.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return true
}

// IncompleteTokens asks an engine how many of the last ids encode an incomplete character. It returns 0 if the engine cannot
// tell.
func (c *Client) IncompleteTokens(ctx context.Context, url string, model vaneyoke.ModelID, ids []vaneyoke.TokenID) (vaneyoke.Tokens, error) {
	for incomplete := range vaneyoke.Tokens(min(maxIncompleteTokens, len(ids))) {
		text, err := c.detokenize(ctx, url, DetokenizeBody{Model: model, Tokens: ids[max(0, len(ids)-maxContextIDs) : len(ids)-int(incomplete)]})
		if err != nil || !strings.HasSuffix(text, replacementChar) {
			return incomplete, err
		}
	}
	return 0, nil
}

const (
	maxIncompleteTokens = 4 // most tokens of an incomplete character
	maxContextIDs       = 16
	replacementChar     = "\uFFFD"
)

// DetokenizeBody is the body of a request to PathDetokenize.
type DetokenizeBody struct {
	Model  vaneyoke.ModelID   `json:"model"`
	Tokens []vaneyoke.TokenID `json:"tokens"`
}

// DetokenizeReply is the body of the response.
type DetokenizeReply struct {
	Prompt string `json:"prompt"`
}

// detokenize returns the text of tokens, or "" if the engine cannot tell.
func (c *Client) detokenize(ctx context.Context, url string, body DetokenizeBody) (string, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return "", err
	}
	answer, err := c.Call(ctx, url+PathDetokenize, "", raw)
	if err != nil || answer.Status != http.StatusOK {
		return "", err
	}
	var reply DetokenizeReply
	if err := json.Unmarshal(answer.Body, &reply); err != nil {
		return "", &MalformedError{Reason: "detokenizer's answer is not JSON"}
	}
	return reply.Prompt, nil
}

// Cancel asks an engine to stop a run; an engine that does not know the run is not an error.
func (c *Client) Cancel(ctx context.Context, url, stream string) error {
	res, err := c.send(ctx, http.MethodDelete, url+pathStreams+stream, http.Header{}, nil)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// Answer is the complete response to a call.
type Answer struct {
	Status    int
	MediaType string
	Body      []byte
	Pushback  time.Duration // how long the engine wants no further requests; 0 if it does not say
}

// Call sends a body and returns the complete response, whatever its status.
func (c *Client) Call(ctx context.Context, url, id string, body []byte) (Answer, error) {
	return c.call(ctx, c.http, url, id, body)
}

// CallOnce is like Call on a new connection, for requests that may run at most once.
func (c *Client) CallOnce(ctx context.Context, url, id string, body []byte) (Answer, error) {
	return c.call(ctx, c.noKeepAlive, url, id, body)
}

func (c *Client) call(ctx context.Context, client *http.Client, url, id string, body []byte) (Answer, error) {
	header := http.Header{HeaderRequestID: {id}, headerMediaType: {mediaTypeJSON}}
	res, err := send(ctx, client, http.MethodPost, url, header, body)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, &ClosedError{Err: err}
	}
	if len(answer) > maxAnswerBytes {
		return Answer{}, &MalformedError{Reason: "answer is too large"}
	}
	if forward.FramingOf(res) == forward.CloseDelimited && !c.Reachable(ctx, originOf(res)) { // the connections of a process that ends close as those of a whole answer do
		return Answer{}, &ClosedError{Err: io.ErrUnexpectedEOF}
	}
	pushback, _ := Pushback(res.StatusCode, res.Header)
	return Answer{Status: res.StatusCode, MediaType: res.Header.Get(headerMediaType), Body: answer, Pushback: pushback}, nil
}

// originOf returns the scheme and address to which a response's request was sent.
func originOf(res *http.Response) string {
	return res.Request.URL.Scheme + "://" + res.Request.URL.Host
}

func (c *Client) send(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	return send(ctx, c.http, method, url, header, body)
}

func send(ctx context.Context, client *http.Client, method, url string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, &NotSentError{Reason: err.Error()}
	}
	if _, replay := header[headerReplay]; !replay {
		req.GetBody = nil // keeps the transport from sending the request a second time
	}
	header[headerTraceParent] = traceParent(ctx)
	req.Header = header
	var written atomic.Bool
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}))
	res, err := client.Do(req)
	if err == nil {
		return res, nil
	}
	failure := ClassifySendError(err)
	if _, notSent := errors.AsType[*NotSentError](failure); notSent && written.Load() { // a refused connection may be that of the transport's replay
		return nil, &ClosedError{Err: err}
	}
	return nil, failure
}

// Err returns the error that the answer's status stands for, or nil for 200.
func (a Answer) Err() error {
	if a.Status == http.StatusOK {
		return nil
	}
	return newStatusError(a.Status, a.Pushback, a.Body)
}

func readStatusError(res *http.Response) error {
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxRefusalBytes))
	if _, ok := errors.AsType[*httpcheck.ViolationError](err); ok {
		return &ClosedError{Err: err}
	}
	pushback, _ := Pushback(res.StatusCode, res.Header)
	return newStatusError(res.StatusCode, pushback, body)
}
