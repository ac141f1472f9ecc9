package callerapi

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
)

// Model is an entry of the list of models.
type Model struct {
	ID      vaneyoke.ModelID `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	OwnedBy string           `json:"owned_by"`
}

type modelsInput struct {
	Authorization string `header:"Authorization"`
}

type modelsOutput struct {
	Body struct {
		Object string  `json:"object"`
		Data   []Model `json:"data"`
	}
}

func (a *API) registerModels(api huma.API) {
	operation := huma.Operation{
		OperationID: "list-models",
		Method:      http.MethodGet,
		Path:        openai.PathModels,
		Summary:     "List the models that engines offer.",
		Security:    security,
	}
	huma.Register(api, operation, func(_ context.Context, in *modelsInput) (*modelsOutput, error) {
		if _, err := a.identify(in.Authorization); err != nil {
			return nil, newError(err)
		}
		out := &modelsOutput{}
		out.Body.Object = "list"
		out.Body.Data = lo.Map(a.directory.Models(), func(id vaneyoke.ModelID, _ int) Model {
			return Model{ID: id, Object: "model", OwnedBy: "vaneyoke"}
		})
		return out, nil
	})
}
