package callerapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/decide/policy"
	"github.com/vaneyoke/vaneyoke/shell/failover"
)

// CallInput is what every request that runs something has.
type CallInput struct {
	Authorization string `header:"Authorization" doc:"Bearer key of a workspace."`
	TraceParent   string `header:"traceparent" doc:"W3C trace context of the caller."`
	Repeatable    string `header:"Vaneyoke-Repeatable" enum:"true,false," doc:"Whether the request may be run again after a failure."`
	Kind          string `header:"Vaneyoke-Kind" maxLength:"64" doc:"Kind of request, as the operators' policies know it."`
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
	a.complete(ctx, &req, workspace, "", in)
	req.Content = vaneyoke.NewContentID([]byte(workspace.ID), []byte(strconv.Itoa(int(endpoint))), in.RawBody)
	req.Repeatable = in.Repeatable != "false"
	ctx, span := a.startSpan(ctx, "caller", in.TraceParent)
	defer span.End()
	ask := failover.OpenRequest{Request: &req, Body: in.RawBody, IdempotencyKey: in.Key, Cursor: in.Cursor}
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
func (a *API) complete(ctx context.Context, req *vaneyoke.Request, workspace vaneyoke.Workspace, service vaneyoke.ServiceID, in *CallInput) {
	req.ID = vaneyoke.RequestID(uuid.NewString())
	serve.CallerOf(ctx).Note(string(req.ID))
	req.Workspace = workspace.ID
	req.Recovery = workspace.Recovery
	req.ReceivedAt = time.Now()
	req.Kind = in.Kind
	req.MaxWait = a.config.MaxWait
	a.decide(req, service)
	if in.MaxWaitMS > 0 {
		req.MaxWait = min(time.Duration(in.MaxWaitMS)*time.Millisecond, req.MaxWait)
	}
}

// decide has the policies say where the request may run and how long it may wait.
// What is decided at admission holds for the whole request; drains and withdrawals of upstreams count at each attempt.
func (a *API) decide(req *vaneyoke.Request, service vaneyoke.ServiceID) {
	d := a.directory.Decide(req.ReceivedAt, policy.Query{
		Workspace: string(req.Workspace), Kind: req.Kind, Model: string(req.Model), Service: string(service),
		PromptBytes: req.PromptBytes, DataCentre: string(a.directory.DataCentre()),
	})
	req.Rule, req.Order, req.Priority = d.Rule, d.Order, d.Priority
	if d.MaxWait > 0 {
		req.MaxWait = d.MaxWait
	}
	if d.Recovery != "" {
		req.Recovery = d.Recovery
	}
}

// startSpan opens a span under the caller's own, if it sent one.
func (a *API) startSpan(ctx context.Context, name, traceParent string) (context.Context, trace.Span) {
	carrier := propagation.MapCarrier{"traceparent": traceParent}
	ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	return a.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}
