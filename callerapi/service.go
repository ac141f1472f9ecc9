package callerapi

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"github.com/vaneyoke/vaneyoke"
)

// serviceInput is a call to a plain service.
type serviceInput struct {
	CallInput
	Service vaneyoke.ServiceID `path:"service"`
	Call    string             `path:"call"`
}

func (a *API) registerServices(api huma.API) {
	operation := huma.Operation{
		OperationID:  "call-service",
		Method:       http.MethodPost,
		Path:         "/v1/services/{service}/{call}",
		Summary:      "Call a plain service; the call runs at most once unless it is marked as repeatable.",
		MaxBodyBytes: a.config.BodyBytes,
		Security:     security,
		RequestBody:  anyObject(),
		// Bodies are read by the node itself, which passes on members that it does not know.
		SkipValidateBody: true,
	}
	huma.Register(api, operation, func(ctx context.Context, in *serviceInput) (*huma.StreamResponse, error) {
		res, err := a.callService(ctx, in)
		if err != nil {
			return nil, fail(err)
		}
		return res, nil
	})
}

func (a *API) callService(ctx context.Context, in *serviceInput) (*huma.StreamResponse, error) {
	workspace, err := a.admit(in.Authorization)
	if err != nil {
		return nil, err
	}
	req := vaneyoke.Request{Repeatable: in.Repeatable == "true"}
	a.complete(&req, workspace, &in.CallInput)
	ctx, span := a.startSpan(ctx, "caller", in.TraceParent)
	defer span.End()
	session := a.relay.Call(ctx, &req, in.Service, "/"+in.Call, in.RawBody)
	result, err := session.Wait(ctx)
	if err != nil {
		session.Abandon()
		return nil, err
	}
	if err := result.Err(); err != nil {
		return nil, err
	}
	answer := session.Answer()
	return respond(answer.Status, answer.MediaType, string(req.ID), answer.Body), nil
}
