package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/callerapi"
	"github.com/vaneyoke/vaneyoke/decide/openai"
)

// Client sends requests to one node.
type Client struct {
	http *http.Client
	url  string
	key  string
}

// New returns a client of the node at url that authenticates with the given API key.
func New(client *http.Client, url, key string) *Client {
	return &Client{http: client, url: url, key: key}
}

// Request is the body of a chat completion request.
type Request struct {
	Model     vaneyoke.ModelID `json:"model"`
	Messages  []openai.Message `json:"messages"`
	MaxTokens vaneyoke.Tokens  `json:"max_tokens,omitempty"`
	Stop      []string         `json:"stop,omitempty"`
	Stream    bool             `json:"stream"`
}

// FailedError is an error answer of a node, or an error event within a stream.
type FailedError struct {
	Status int
	Detail callerapi.ErrorDetail
}

// Error returns the result code, its name and the message.
func (e *FailedError) Error() string {
	return e.Detail.Code + " " + e.Detail.Type + ": " + e.Detail.Message
}

// Generate starts a streamed chat completion; header holds additional request headers.
func (c *Client) Generate(ctx context.Context, req Request, header http.Header) (*Stream, error) {
	req.Stream = true
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	res, err := c.post(ctx, openai.PathChat, body, header) //nolint:bodyclose // the stream closes it
	if err != nil {
		return nil, err
	}
	return newStream(res), nil
}

// Call calls a method of a plain service and returns the body of its answer.
func (c *Client) Call(ctx context.Context, service vaneyoke.ServiceID, method string, body []byte, header http.Header) ([]byte, error) {
	res, err := c.post(ctx, "/v1/services/"+string(service)+"/"+method, body, header)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	return io.ReadAll(res.Body)
}

func (c *Client) post(ctx context.Context, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	defer func() { _ = res.Body.Close() }()
	return nil, readFailure(res)
}

func readFailure(res *http.Response) error {
	var body callerapi.ErrorBody
	if err := json.NewDecoder(res.Body).Decode(&body); err != nil {
		return err
	}
	return &FailedError{Status: res.StatusCode, Detail: body.Failure}
}
