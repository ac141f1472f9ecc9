package callerapi

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
)

type healthOutput struct {
	Body struct {
		Status string `json:"status"`
	}
}

func (a *API) registerHealth(api huma.API) {
	a.registerProbe(api, "healthz", "Tell whether the process runs.", func() error { return nil })
	a.registerProbe(api, "readyz", "Tell whether the node takes new requests.", a.directory.Ready)
}

func (a *API) registerProbe(api huma.API, name, summary string, probe func() error) {
	operation := huma.Operation{OperationID: name, Method: http.MethodGet, Path: "/" + name, Summary: summary}
	huma.Register(api, operation, func(context.Context, *struct{}) (*healthOutput, error) {
		if err := probe(); err != nil {
			return nil, newError(err)
		}
		out := &healthOutput{}
		out.Body.Status = "ok"
		return out, nil
	})
}
