package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/failover"
	"github.com/vaneyoke/vaneyoke/openai"
)

// CallInput is what every request that runs something has.
type CallInput struct {
	Authorization string `header:"Authorization" doc:"Bearer key of a workspace."`
	TraceParent   string `header:"traceparent" doc:"W3C trace context of the caller."`
	Repeatable    string `header:"Vaneyoke-Repeatable" enum:"true,false," doc:"Whether the request may be run again after a failure."`
	MaxWaitMS     int    `header:"Vaneyoke-Max-Wait-Ms" minimum:"0" doc:"Longest wait for an upstream; 0 for the node's setting."`
	Key           string `header:"Idempotency-Key" maxLength:"200" doc:"The caller's own key, by which it may come back for the answer."`
	Cursor        string `header:"Last-Event-ID" maxLength:"8192" doc:"Id of the last event that the caller holds."`
	RawBody       []byte `contentType:"application/json"`
}

// anyObject describes a body that is any JSON object.
func anyObject() *huma.RequestBody {
	schema := &huma.Schema{Type: huma.TypeObject, AdditionalProperties: true}
	return &huma.RequestBody{Required: true, Content: map[string]*huma.MediaType{mediaJSON: {Schema: schema}}}
}

func (a *API) registerGenerations(api huma.API) {
	a.registerGeneration(api, "create-chat-completion", openai.PathChat, vaneyoke.EndpointChat)
	a.registerGeneration(api, "create-completion", openai.PathCompletions, vaneyoke.EndpointCompletions)
}

func (a *API) registerGeneration(api huma.API, id, path string, endpoint vaneyoke.Endpoint) {
	operation := huma.Operation{
		OperationID:  id,
		Method:       http.MethodPost,
		Path:         path,
		Summary:      "Run a generation, streamed as server-sent events or whole.",
		MaxBodyBytes: a.config.BodyBytes,
		Security:     security,
		RequestBody:  anyObject(),
		// Bodies are read by the node itself, which passes on members that it does not know.
		SkipValidateBody: true,
	}
	huma.Register(api, operation, func(ctx context.Context, in *CallInput) (*huma.StreamResponse, error) {
		res, err := a.generate(ctx, endpoint, in)
		if err != nil {
			return nil, fail(err)
		}
		return res, nil
	})
}

// generate starts a generation and waits for its first text or its end, so that a failure before it has a status of its own.
func (a *API) generate(ctx context.Context, endpoint vaneyoke.Endpoint, in *CallInput) (*huma.StreamResponse, error) {
	workspace, err := a.admit(in.Authorization)
	if err != nil {
		return nil, err
	}
	req, err := openai.ParseRequest(endpoint, in.RawBody)
	if err != nil {
		return nil, err
	}
	a.complete(&req, workspace, in)
	req.Repeatable = in.Repeatable != "false"
	ctx, span := a.startSpan(ctx, "caller", in.TraceParent)
	defer span.End()
	ask := failover.Ask{Request: &req, Body: in.RawBody, Key: in.Key, Cursor: in.Cursor}
	reader, err := a.failover.Open(ctx, ask)
	if err != nil {
		return nil, err
	}
	answer := &answer{api: a, reader: reader, req: &req}
	if req.Stream {
		return answer.stream(ctx)
	}
	return answer.whole(ctx)
}

// complete fills in what the body does not say.
func (a *API) complete(req *vaneyoke.Request, workspace vaneyoke.Workspace, in *CallInput) {
	req.ID = vaneyoke.RequestID(uuid.NewString())
	req.Workspace = workspace.ID
	req.Recovery = workspace.Recovery
	req.ReceivedAt = time.Now()
	req.MaxWait = a.config.MaxWait
	if in.MaxWaitMS > 0 {
		req.MaxWait = min(time.Duration(in.MaxWaitMS)*time.Millisecond, a.config.MaxWait)
	}
}

// startSpan opens a span under the caller's own, if it sent one.
func (a *API) startSpan(ctx context.Context, name, traceParent string) (context.Context, trace.Span) {
	carrier := propagation.MapCarrier{"traceparent": traceParent}
	ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	return a.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}
