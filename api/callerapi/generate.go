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

// CallInput holds the headers and body common to all requests that run something.
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

// anyObject is the schema of a body that is any JSON object.
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
		MaxBodyBytes: a.config.MaxBodyBytes,
		Security:     security,
		RequestBody:  anyObject(),
		// The node parses bodies itself and forwards unknown members.
		SkipValidateBody: true,
	}
	huma.Register(api, operation, func(ctx context.Context, in *CallInput) (*huma.StreamResponse, error) {
		res, err := a.generate(ctx, endpoint, in)
		if err != nil {
			return nil, newError(err)
		}
		return res, nil
	})
}

// generate starts a generation and waits for its first text or its end, so that an earlier failure gets its own status.
func (a *API) generate(ctx context.Context, endpoint vaneyoke.Endpoint, in *CallInput) (*huma.StreamResponse, error) {
	workspace, err := a.admit(in.Authorization)
	if err != nil {
		return nil, err
	}
	req, err := openai.ParseRequest(endpoint, in.RawBody)
	if err != nil {
		return nil, err
	}
	a.setRequestFields(ctx, &req, workspace, "", in)
	req.Content = vaneyoke.NewContentID([]byte(workspace.ID), []byte(strconv.Itoa(int(endpoint))), in.RawBody)
	req.Repeatable = in.Repeatable != "false"
	ctx, span := a.startSpan(ctx, "caller", in.TraceParent)
	defer span.End()
	open := failover.OpenRequest{Request: &req, Body: in.RawBody, IdempotencyKey: in.Key, Cursor: in.Cursor}
	reader, err := a.failover.Open(ctx, open)
	if err != nil {
		return nil, err
	}
	answer := &responder{api: a, reader: reader, req: &req}
	if req.Stream {
		return answer.respondStream(ctx)
	}
	return answer.respondUnary(ctx)
}

// setRequestFields sets the fields that do not come from the body.
func (a *API) setRequestFields(ctx context.Context, req *vaneyoke.Request, workspace vaneyoke.Workspace, service vaneyoke.ServiceID, in *CallInput) {
	req.ID = vaneyoke.RequestID(uuid.NewString())
	serve.CallerOf(ctx).SetRequestID(string(req.ID))
	req.Workspace = workspace.ID
	req.Recovery = workspace.Recovery
	req.ReceivedAt = time.Now()
	req.Kind = in.Kind
	req.MaxWait = a.config.MaxWait
	a.applyPolicies(req, service)
	if in.MaxWaitMS > 0 {
		req.MaxWait = min(time.Duration(in.MaxWaitMS)*time.Millisecond, req.MaxWait)
	}
}

// applyPolicies sets where the request may run and how long it may wait, as the policies decide. The decision made at admission
// applies to the whole request, while drains and withdrawals of upstreams are checked at each attempt.
func (a *API) applyPolicies(req *vaneyoke.Request, service vaneyoke.ServiceID) {
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

// startSpan starts a span, as a child of the caller's span if it sent one.
func (a *API) startSpan(ctx context.Context, name, traceParent string) (context.Context, trace.Span) {
	carrier := propagation.MapCarrier{"traceparent": traceParent}
	ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	return a.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}
