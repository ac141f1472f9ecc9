package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/claim"
	"github.com/vaneyoke/vaneyoke/shell/claims"
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
		MaxBodyBytes: a.config.MaxBodyBytes,
		Security:     security,
		RequestBody:  anyObject(),
		// The node parses bodies itself and forwards unknown members.
		SkipValidateBody: true,
	}
	huma.Register(api, operation, func(ctx context.Context, in *serviceInput) (*huma.StreamResponse, error) {
		res, err := a.callService(ctx, in)
		if err != nil {
			return nil, newError(err)
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
	a.setRequestFields(ctx, &req, workspace, in.Service, &in.CallInput)
	req.Content = vaneyoke.NewContentID([]byte(workspace.ID), []byte(in.Service), []byte(in.Call), in.RawBody)
	ctx, span := a.startSpan(ctx, "caller", in.TraceParent)
	defer span.End()
	if in.Key == "" || req.Repeatable {
		answer, err := a.runCall(ctx, &req, in)
		return respondWith(answer, &req), err
	}
	answer, err := a.runDetached(ctx, func(ctx context.Context) (claim.Answer, error) {
		return a.claims.RunAtMostOnce(ctx, claims.Request{
			Workspace: workspace.ID, Key: in.Key, ID: req.ID, BodyDigest: callDigest(in),
		}, func(ctx context.Context) claims.Outcome { return outcomeOf(a.runCall(ctx, &req, in)) })
	})
	return respondWith(answer, &req), err
}

// runDetached makes a claimed call that continues if its caller disconnects, so that the answer is there when the caller retries.
func (a *API) runDetached(ctx context.Context, call func(context.Context) (claim.Answer, error)) (claim.Answer, error) {
	var answer claim.Answer
	var err error
	done := make(chan struct{})
	a.inFlight.Add(1)
	go func() {
		defer a.inFlight.Add(-1)
		defer close(done)
		answer, err = call(context.WithoutCancel(ctx))
	}()
	select {
	case <-done:
		return answer, err
	case <-ctx.Done():
		return claim.Answer{}, vaneyoke.WrapErr(vaneyoke.CodeCallerGone, ctx.Err(), "caller is gone")
	}
}

// callDigest identifies a call, so that one key cannot be used for two different calls.
func callDigest(in *serviceInput) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00", in.Service, in.Call)
	_, _ = h.Write(in.RawBody)
	return hex.EncodeToString(h.Sum(nil))
}

// runCall sends the call and waits for its answer.
func (a *API) runCall(ctx context.Context, req *vaneyoke.Request, in *serviceInput) (claim.Answer, error) {
	session := a.relay.Call(ctx, req, in.Service, "/"+in.Call, in.RawBody)
	result, err := session.Wait(ctx)
	if err != nil {
		session.Abandon()
		return claim.Answer{}, err
	}
	answer := session.Answer()
	return claim.Answer{Status: answer.Status, MediaType: answer.MediaType, Body: answer.Body}, result.Err()
}

// outcomeOf returns a call's answer or, if it failed, whether it may have run.
func outcomeOf(answer claim.Answer, err error) claims.Outcome {
	switch code := vaneyoke.CodeOf(err); {
	case err == nil:
		return claims.Outcome{Answer: &answer}
	case code.Info().NotRun:
		return claims.Outcome{NotRun: code}
	default:
		return claims.Outcome{MayHaveRun: true}
	}
}

func respondWith(answer claim.Answer, req *vaneyoke.Request) *huma.StreamResponse {
	return respond(answer.Status, answer.MediaType, string(req.ID), answer.Body)
}
